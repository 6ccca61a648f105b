//! The error type of the testbed, and its locks.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use test_doubles::TestDoubleError;

/// Why the testbed could not do what was asked of it.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The operating system refused a socket or a thread.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A file of a process can't be written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A test double or a process failed.
    #[error("{process}: {source}")]
    Process {
        /// The name of the process.
        process: String,
        /// The cause.
        source: TestDoubleError,
    },
    /// A test double that all processes share failed.
    #[error("{0}")]
    TestDouble(#[from] TestDoubleError),
    /// No process of this name was added.
    #[error("no process is called {0}")]
    UnknownProcess(String),
    /// The process of this name does not run.
    #[error("{0} does not run")]
    NotRunning(String),
}

impl TestbedError {
    /// Returns a function for `map_err` that names the process of a failure.
    pub(crate) fn process(name: &str) -> impl FnOnce(TestDoubleError) -> TestbedError + '_ {
        move |source| TestbedError::Process {
            process: name.to_string(),
            source,
        }
    }

    /// Writes a file of a process.
    pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), TestbedError> {
        std::fs::write(path, text).map_err(|source| TestbedError::File {
            path: path.to_path_buf(),
            source,
        })
    }
}

/// The value of a result; panics with the error, which fails the test that runs.
#[track_caller]
pub(crate) fn expect_ok<T, E: std::error::Error>(result: Result<T, E>) -> T {
    result.unwrap_or_else(|error| panic!("{error}"))
}

/// Locks state, also after a panic of a test's closure that held it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
