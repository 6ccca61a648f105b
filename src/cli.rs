//! The command line.

use std::path::PathBuf;

use cells_cli::CellsCommand;
use clap::{Parser, Subcommand};
use fleet_cli::FleetCommand;

/// A billing node, or with a command one of its tools. `PROXY_CONFIG` names the node's
/// configuration.
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
    /// The file of cells, in JSON5: the node rejects tenants of other cells. SIGHUP reloads it.
    #[arg(long, value_name = "FILE")]
    pub(crate) cells: Option<PathBuf>,
    /// The fleet's file, in JSON5: the node joins the other nodes. SIGHUP reloads it.
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
    /// Show how the members of a fleet see each other.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Run nodes with test doubles on loopback, inject faults between them, and print what happens
    /// as lines of JSON.
    Faults {
        /// The scenario, in JSON5.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Run a router and a few nodes with test doubles on loopback, and print how they see each
    /// other.
    Demo(fault_testbed::demo::DemoOptions),
    /// Forward requests to the nodes of each tenant's cell. SIGHUP reloads the file of cells.
    Route {
        /// The router's file, in JSON5.
        #[arg(value_name = "FILE", default_value = "deploy/router.json5")]
        file: PathBuf,
    },
}
