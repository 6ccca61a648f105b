//! Measurements of simulated fleets, printed as tables:
//! `cargo run --release -p fleet-simulation -- help`.

mod parallel;
mod statistics;
mod tables;

use std::time::Duration;

use clap::{Parser, Subcommand};
use fleet_simulation::measurements::FalseDeathConditions;

use tables::membership::Protocols;

/// Simulated fleets, measured.
#[derive(Parser)]
#[command(name = "fleet-simulation")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Recovery from faults: time until settled, and members declared dead by mistake.
    #[command(name = "hard")]
    Scenarios {
        /// Nodes.
        #[arg(long, default_value_t = 24)]
        nodes: usize,
        /// Runs of each scenario, with the seeds 1, 2, 3, ...
        #[arg(long = "plays", default_value_t = 20)]
        runs: u64,
    },
    /// The effect of the fleet's size: detection, joining, traffic.
    Sizes {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_value = "16,64,256,1024")]
        nodes: Vec<usize>,
        /// Runs of each size.
        #[arg(long = "plays", default_value_t = 5)]
        runs: u64,
        /// Only the shipped view.
        #[arg(long)]
        view: bool,
    },
    /// A budget of concurrent calls under random faults: how often more than the total was in
    /// flight.
    Budgets {
        /// Runs, with the seeds 1, 2, 3, ...
        #[arg(long = "plays", default_value_t = 200)]
        runs: u64,
        /// Nodes.
        #[arg(long, default_value_t = 6)]
        nodes: usize,
    },
    /// Aggregated counts and health: estimates compared with the truth, conclusions on a ledger
    /// that some nodes can't reach, traffic.
    #[command(name = "gather")]
    Aggregation {
        /// Runs of each scenario, with the seeds 1, 2, 3, ...
        #[arg(long = "plays", default_value_t = 200)]
        runs: u64,
        /// Nodes of the scenarios.
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// Sizes at which traffic is measured, one run each.
        #[arg(long, value_delimiter = ',', default_value = "16,256,4096")]
        sizes: Vec<usize>,
    },
    /// Members declared dead by mistake under loss, or with one slow node.
    #[command(name = "wrongly")]
    FalseDeaths {
        /// Nodes.
        #[arg(long, default_value_t = 256)]
        nodes: usize,
        /// The fraction of datagrams that is lost.
        #[arg(long, default_value_t = 0.2)]
        loss: f64,
        /// How late one node does everything, in milliseconds at most.
        #[arg(long, default_value_t = 0)]
        slow_ms: u64,
        /// Simulated seconds.
        #[arg(long, default_value_t = 3600)]
        seconds: u64,
        /// Runs.
        #[arg(long = "plays", default_value_t = 1)]
        runs: u64,
        /// Include the library foca, which takes the longest to simulate.
        #[arg(long)]
        foca: bool,
    },
}

fn main() {
    match Cli::parse().command {
        Command::Scenarios { nodes, runs } => tables::membership::print_scenarios(nodes, runs),
        Command::Sizes { nodes, runs, view } => {
            let protocols = if view {
                Protocols::ViewOnly
            } else {
                Protocols::All
            };
            tables::membership::print_sizes(&nodes, runs, protocols);
        }
        Command::Aggregation { runs, nodes, sizes } => {
            tables::aggregation::print_scenarios(nodes, runs);
            tables::aggregation::print_sizes(&sizes);
        }
        Command::Budgets { runs, nodes } => {
            tables::budgets::print_strategies(nodes, runs);
            tables::budgets::print_skewed_demand(nodes, runs);
            tables::budgets::print_halved_total(nodes, runs);
        }
        Command::FalseDeaths {
            nodes,
            loss,
            slow_ms,
            seconds,
            runs,
            foca,
        } => {
            let conditions = FalseDeathConditions {
                size: nodes,
                loss,
                max_lateness: Duration::from_millis(slow_ms),
                duration: Duration::from_secs(seconds),
            };
            let protocols = if foca {
                Protocols::All
            } else {
                Protocols::WithoutFoca
            };
            tables::membership::print_false_deaths(&conditions, runs, protocols);
        }
    }
}
