//! Why a scenario failed.

use std::path::PathBuf;

use json5_errors::ConfigFileError;

use crate::error::TestbedError;

/// Why a scenario can't be run, or failed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file's content can't be used.
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
        /// The cause.
        source: StepError,
    },
    /// The testbed itself failed, so that the faults asked for were not all applied.
    #[error("testbed: {}", .0.join("; "))]
    Testbed(Vec<String>),
}

/// Why a step failed.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// What was waited for did not happen.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The testbed could not carry it out.
    #[error("{0}")]
    Testbed(#[from] TestbedError),
}
