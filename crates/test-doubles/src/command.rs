//! The path of the gateway program and the command that starts a node.

use std::path::PathBuf;
use std::process::{Command, Stdio};

use crate::error::{expect_ok, TestDoubleError};
use crate::scratch_file::ScratchFile;

/// The file name of the program.
const PROGRAM_NAME: &str = "protocol-gateway";
/// Environment variable with the path of another program to run, such as an earlier build for
/// comparison.
const PROGRAM_VARIABLE: &str = "GATEWAY_PROGRAM";
/// The deploy file, whose command sets environment variables for the program.
const DEPLOY_FILE: &str = include_str!("../../../deploy/balancer.toml");

/// Returns the path of the gateway program: `GATEWAY_PROGRAM` if set, the program of this process
/// if that is the gateway, otherwise the one that was built with the test. Panics if the path of
/// this process's program is unknown.
pub fn gateway_program() -> PathBuf {
    expect_ok(try_gateway_program())
}

fn try_gateway_program() -> Result<PathBuf, TestDoubleError> {
    if let Ok(program) = std::env::var(PROGRAM_VARIABLE) {
        return Ok(program.into());
    }
    let own = std::env::current_exe()
        .map_err(TestDoubleError::io("finding the program of this process"))?;
    if own.file_name().is_some_and(|name| name == PROGRAM_NAME) {
        return Ok(own);
    }
    // Tests are in target/PROFILE/deps, the program in target/PROFILE.
    own.ancestors()
        .nth(2)
        .map(|folder| folder.join(PROGRAM_NAME))
        .ok_or(TestDoubleError::Missing(
            "the folder that the tests were built in",
        ))
}

/// Returns the command that starts a node with this configuration file; panics if the path of the
/// program is unknown.
pub fn node_command(config: &ScratchFile) -> Command {
    expect_ok(try_node_command(config))
}

/// Returns the command that starts a node with this configuration file, with standard error piped.
///
/// # Errors
/// [`TestDoubleError`] if the path of the program is unknown, or the deploy file has no command.
pub fn try_node_command(config: &ScratchFile) -> Result<Command, TestDoubleError> {
    let mut command = Command::new(try_gateway_program()?);
    command.envs(deploy_variables()?);
    command
        .env("TMPDIR", config.folder())
        .env("PROXY_CONFIG", config.path())
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .stdin(Stdio::null());
    Ok(command)
}

/// Returns the environment variables that the command in the deploy file sets before `exec`.
fn deploy_variables() -> Result<Vec<(&'static str, &'static str)>, TestDoubleError> {
    let run = DEPLOY_FILE
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .ok_or(TestDoubleError::Missing("`run` in the deploy file"))?;
    Ok(run
        .trim_matches('"')
        .split(' ')
        .take_while(|word| *word != "exec")
        .filter_map(|word| word.split_once('='))
        .collect())
}
