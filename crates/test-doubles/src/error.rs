//! The error type of all test doubles.

use std::io;

/// The failure of a test double's operation.
#[derive(Debug, thiserror::Error)]
pub enum TestDoubleError {
    /// The operating system refused an operation.
    #[error("{action}: {source}")]
    Io {
        /// The attempted operation.
        action: String,
        /// The cause.
        source: io::Error,
    },
    /// A message is not valid JSON.
    #[error("message is not valid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// A text is not base64 of UTF-8.
    #[error("not base64 of UTF-8 text: {0}")]
    InvalidBase64(String),
    /// The node violated the protocol of a test double.
    #[error("protocol violation by the node: {0}")]
    Protocol(String),
    /// A condition did not become true within the time limit.
    #[error("timed out waiting for: {0}")]
    Timeout(String),
    /// The node closed the connection while an answer was expected.
    #[error("the connection was closed before the answer arrived")]
    ConnectionClosed,
    /// An answer has the id of another request.
    #[error("an answer to another request: {0}")]
    UnexpectedAnswer(String),
    /// A signal could not be sent to a process.
    #[error("signal {signal} to process {pid} failed")]
    Signal {
        /// The name of the signal, without `SIG`.
        signal: String,
        /// The process id.
        pid: u32,
    },
    /// Something that the environment should provide is missing.
    #[error("missing: {0}")]
    Missing(&'static str),
}

impl TestDoubleError {
    /// Returns a function for `map_err` that adds the attempted operation to an error of the
    /// operating system.
    pub(crate) fn io(action: impl Into<String>) -> impl FnOnce(io::Error) -> TestDoubleError {
        let action = action.into();
        move |source| TestDoubleError::Io { action, source }
    }
}

/// Returns the value of a result; panics with the error, which fails the current test.
#[track_caller]
pub(crate) fn expect_ok<T>(result: Result<T, TestDoubleError>) -> T {
    result.unwrap_or_else(|error| panic!("{error}"))
}
