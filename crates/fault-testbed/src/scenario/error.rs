//! The errors of scenarios.

use std::path::PathBuf;

use json5_errors::ConfigFileError;

use crate::error::TestbedError;

/// The reason why a scenario can't be run, or failed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error that caused it.
        source: std::io::Error,
    },
    /// The file's content is invalid.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// The testbed can't be set up.
    #[error("{0}")]
    Setup(#[from] TestbedError),
    /// A step failed.
    #[error("steps[{index}]: {source}")]
    Step {
        /// The position of the step, from 0.
        index: usize,
        /// The error that caused it.
        source: StepError,
    },
    /// The testbed itself failed, so that not all requested faults were applied.
    #[error("testbed: {}", .0.join("; "))]
    Testbed(Vec<String>),
}

/// The reason why a step failed.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// The expected state or result was not reached.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The testbed could not carry out the step.
    #[error("{0}")]
    Testbed(#[from] TestbedError),
}
