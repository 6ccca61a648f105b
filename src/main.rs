//! The program of the billing node: reads its arguments, runs the command, and ends with its exit code.

mod actors;
mod cli;
mod reload;
mod resource_divider;
mod route;
mod run_loop;
mod signals;
mod startup;

use std::fmt::Display;
use std::process::ExitCode;

use clap::Parser;
use protocol_gateway::node::Limits;

use self::cli::{Cli, Command};
use self::signals::Signals;

/// Descriptors for the limits of commands that serve no clients.
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
fn serve(cli: &Cli) -> Result<ExitCode, String> {
    let node = startup::start_node(cli).map_err(to_text)?;
    node.run().map_err(to_text)
}

fn run_command(command: &Command) -> Result<ExitCode, String> {
    match command {
        Command::Cells(command) => print_output(cells_cli::run(command)),
        Command::Fleet(command) => print_output(fleet_cli::run(command)),
        Command::Faults { file } => {
            let script = fault_testbed::script::Script::read(file).map_err(to_text)?;
            script.play(true).map_err(to_text)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo(demo) => run_demo(demo),
        Command::Route { file } => route::run_router(file).map_err(to_text),
    }
}

fn print_output<E: Display>(output: Result<String, E>) -> Result<ExitCode, String> {
    print!("{}", output.map_err(to_text)?);
    Ok(ExitCode::SUCCESS)
}

fn run_demo(demo: &fault_testbed::demo::Demo) -> Result<ExitCode, String> {
    let limits = Limits::new(COMMAND_DESCRIPTORS);
    let signals = Signals::listen(limits.stack_bytes).map_err(to_text)?;
    let is_stopped = || signals.shut_down.try_recv().is_ok();
    fault_testbed::demo::run(demo, is_stopped).map_err(to_text)?;
    Ok(ExitCode::SUCCESS)
}

/// The text of an error, as the program ends with it.
#[expect(
    clippy::needless_pass_by_value,
    reason = "an argument of `map_err`, which passes errors by value"
)]
fn to_text(error: impl Display) -> String {
    error.to_string()
}
