//! The error type of the testbed, and helpers for results and locks.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use test_doubles::TestDoubleError;

/// The reason why an operation of the testbed failed.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A system call failed, for example to create a socket or a thread.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A file of a process can't be written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error that caused it.
        source: io::Error,
    },
    /// A test double or a process failed.
    #[error("{process}: {source}")]
    Process {
        /// The name of the process.
        process: String,
        /// The error that caused it.
        source: TestDoubleError,
    },
    /// A test double that all processes share failed.
    #[error("{0}")]
    TestDouble(#[from] TestDoubleError),
    /// No process of this name was added.
    #[error("there is no process {0}")]
    UnknownProcess(String),
    /// The process of this name is not running.
    #[error("{0} is not running")]
    NotRunning(String),
}

impl TestbedError {
    /// Returns a function for `map_err` that adds the name of the process to an error.
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

/// Returns the value of a result. Panics with the error, which fails the running test.
#[track_caller]
pub(crate) fn expect_ok<T, E: std::error::Error>(result: Result<T, E>) -> T {
    result.unwrap_or_else(|error| panic!("{error}"))
}

/// Locks a mutex, even if a test's closure panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
