//! The command line.

use std::path::PathBuf;

use cells_cli::CellsCommand;
use clap::{Parser, Subcommand};
use fleet_cli::FleetCommand;

/// A billing node; with a command, what stands around one. `PROXY_CONFIG` names the node's configuration.
#[derive(Parser)]
#[command(
    name = "protocol-gateway",
    version,
    args_conflicts_with_subcommands = true
)]
pub(crate) struct Cli {
    /// The broker queues to consume from, in .yaml, .yml or .csv.
    #[arg(long, value_name = "FILE")]
    pub(crate) inventory: Option<PathBuf>,
    /// The file of cells, in JSON5: the node refuses tenants of other cells. SIGHUP reads it again.
    #[arg(long, value_name = "FILE")]
    pub(crate) cells: Option<PathBuf>,
    /// The fleet's file, in JSON5: the node keeps a view of the other nodes. SIGHUP reads it again.
    #[arg(long, value_name = "FILE")]
    pub(crate) fleet: Option<PathBuf>,
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Check, show and plan cells: which nodes serve which tenants.
    #[command(subcommand)]
    Cells(CellsCommand),
    /// Show what members of a fleet see of each other.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Start nodes with stand-ins on loopback, put faults between them, and tell what happens as lines of JSON.
    Faults {
        /// The play, in JSON5.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Show the program at work: a router and a few nodes with stand-ins on loopback, and what they see of each other.
    Demo(fault_testbed::demo::Demo),
    /// Carry requests to the nodes of each tenant's cell. SIGHUP reads the file of cells again.
    Route {
        /// The router's file, in JSON5.
        #[arg(value_name = "FILE", default_value = "deploy/router.json5")]
        file: PathBuf,
    },
}
