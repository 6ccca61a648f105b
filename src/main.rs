//! Entry point of the billing node: parses the command line, runs the command and returns its exit
//! code.

mod actors;
mod cli;
mod client_socket;
mod reload;
mod resource_divider;
mod route;
mod run_loop;
mod signals;
mod startup;

use std::error::Error;
use std::process::ExitCode;

use clap::Parser;
use protocol_gateway::node::Limits;

use self::cli::{Cli, Command};
use self::signals::Signals;

/// Descriptor limit of commands that serve no clients.
const COMMAND_DESCRIPTORS: usize = 64;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        None => serve(&cli),
        Some(command) => run_command(command),
    };
    result.unwrap_or_else(|error| {
        eprintln!("protocol-gateway: {error}");
        ExitCode::FAILURE
    })
}

/// Runs a node until it has shut down.
fn serve(cli: &Cli) -> Result<ExitCode, Box<dyn Error>> {
    let node = startup::start_node(cli)?;
    Ok(node.run()?)
}

fn run_command(command: &Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Cells(command) => print!("{}", cells_cli::run(command)?),
        Command::Fleet(command) => print!("{}", fleet_cli::run(command)?),
        Command::Faults { file } => {
            let scenario = fault_testbed::scenario::Scenario::read(file)?;
            scenario.run(true)?;
        }
        Command::Demo(demo) => run_demo(demo)?,
        Command::Route { file } => route::run_router(file)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn run_demo(demo: &fault_testbed::demo::DemoOptions) -> Result<(), Box<dyn Error>> {
    let limits = Limits::new(COMMAND_DESCRIPTORS);
    let signals = Signals::listen(limits.stack_bytes)?;
    let is_stopped = || signals.shut_down.try_recv().is_ok();
    fault_testbed::demo::run(demo, is_stopped)?;
    Ok(())
}
