//! `protocol-gateway fleet`: checks a fleet file, and shows what the members of a fleet know of
//! each other and of their shared state.

mod args;
mod comparison;
mod report;
mod text;
mod watch;

use fleet_runtime::{
    query_members, query_shared_state, Config, ConfigError, QueryError, SharedStateReply,
};
use serde::Serialize;

pub use args::{FleetCommand, FleetFileArgs, TargetArgs};
pub use comparison::query_all_members;
pub use report::{state_name, FleetReport, MemberReport, ViewReport};

use args::Target;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum FleetCommandError {
    /// The fleet file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The member did not answer.
    #[error(transparent)]
    Query(#[from] QueryError),
}

/// Runs a command and returns its output. `watch` prints its output itself until standard output is
/// closed.
///
/// # Errors
/// [`FleetCommandError`] if the file can't be used, or the queried member does not answer.
pub fn run(command: &FleetCommand) -> Result<String, FleetCommandError> {
    match command {
        FleetCommand::Check(file) => {
            Config::read(&file.path)?;
            Ok(String::new())
        }
        FleetCommand::Status { target, all, json } => {
            let target = target.resolve()?;
            if *all {
                show_all_views(&target, *json)
            } else {
                show_view(&target, *json)
            }
        }
        FleetCommand::State { target, json } => show_shared_state(&target.resolve()?, *json),
        FleetCommand::Watch { target, every_ms } => {
            watch::watch(&target.resolve()?, *every_ms);
            Ok(String::new())
        }
    }
}

fn show_view(target: &Target, as_json: bool) -> Result<String, FleetCommandError> {
    let reply = query_members(target.address, &target.fleet, target.timeout)?;
    let report = ViewReport::from(&reply);
    Ok(if as_json {
        to_json(&report)
    } else {
        text::format_view(&report)
    })
}

fn show_all_views(target: &Target, as_json: bool) -> Result<String, FleetCommandError> {
    let report = query_all_members(target.address, &target.fleet, target.timeout)?;
    Ok(if as_json {
        to_json(&report)
    } else {
        text::format_comparison(&report)
    })
}

fn show_shared_state(target: &Target, as_json: bool) -> Result<String, FleetCommandError> {
    let SharedStateReply { responder, state } =
        query_shared_state(target.address, &target.fleet, target.timeout)?;
    Ok(if as_json {
        to_json(&state)
    } else {
        text::format_shared_state(&responder.name, &state)
    })
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value)
        .map(|text| text + "\n")
        .unwrap_or_default()
}
