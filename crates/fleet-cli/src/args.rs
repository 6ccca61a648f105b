//! The command line of `protocol-gateway fleet`. The doc comments of the types are the help text.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use fleet_runtime::{Config, ConfigError};
use membership::Name;

/// The commands.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Check a fleet file: prints nothing if it is valid, else one line, with a non-zero exit code.
    Check(FleetFileArgs),
    /// Show which members a member knows, and their states.
    Status {
        /// The member that is queried.
        #[command(flatten)]
        target: TargetArgs,
        /// Query every member that the first one knows, and show where they differ.
        #[arg(long)]
        all: bool,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show the shared state that a member knows: its quotas, the counts of the other nodes, the
    /// health of the ledger.
    State {
        /// The member that is queried.
        #[command(flatten)]
        target: TargetArgs,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show each change of the states that a member knows, until interrupted.
    Watch {
        /// The member that is queried.
        #[command(flatten)]
        target: TargetArgs,
        /// The interval between queries.
        #[arg(long, value_name = "MS", default_value_t = 200)]
        every_ms: u64,
    },
}

/// The fleet file.
#[derive(Args, Debug)]
pub struct FleetFileArgs {
    /// The fleet file, in JSON5.
    #[arg(value_name = "FILE", default_value = "deploy/fleet.json5")]
    pub(crate) path: PathBuf,
}

/// The member that is queried.
#[derive(Args, Debug)]
pub struct TargetArgs {
    #[command(flatten)]
    file: FleetFileArgs,
    /// The address of the member to query, if it is not the one of the fleet file.
    #[arg(long = "at", value_name = "ADDRESS")]
    address: Option<SocketAddr>,
    /// How long to wait for an answer.
    #[arg(long, value_name = "MS", default_value_t = 1000)]
    wait_ms: u64,
}

/// The address of the member to query, the name of its fleet, and the time limit of a query.
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) fleet: Name,
    pub(crate) timeout: Duration,
}

impl TargetArgs {
    /// Reads the fleet file for the fleet's name, and for the member's address unless one was
    /// given.
    pub(crate) fn resolve(&self) -> Result<Target, ConfigError> {
        let config = Config::read(&self.file.path)?;
        Ok(Target {
            address: self.address.unwrap_or(config.listen),
            fleet: config.fleet,
            timeout: Duration::from_millis(self.wait_ms),
        })
    }
}
