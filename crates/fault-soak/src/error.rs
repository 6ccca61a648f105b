//! The error type of soak runs.

use std::io;

use test_doubles::TestDoubleError;
use thiserror::Error;

/// Failure of the soak run itself, such as of its sockets or processes, as opposed to a rule
/// violation.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The operating system refused an operation.
    #[error("{operation}: {source}")]
    System {
        /// The refused operation.
        operation: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A node did not start.
    #[error("the node did not start; its log:\n{0}")]
    NotStarted(String),
    /// A thread of the soak run panicked.
    #[error("a thread of the soak run panicked")]
    Panicked,
    /// The plan has no node.
    #[error("the plan has no node")]
    NoNodes,
    /// A test double failed, or the program could not be found.
    #[error(transparent)]
    Program(#[from] TestDoubleError),
}

impl SoakError {
    /// Returns a function for `map_err` that adds the operation to an error of the operating
    /// system.
    pub(crate) fn system(operation: &'static str) -> impl FnOnce(io::Error) -> SoakError {
        move |source| SoakError::System { operation, source }
    }
}
