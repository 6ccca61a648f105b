//! The record of the work that a process leaves running when it exits, in a file next to its
//! instance file.
//!
//! When a process acquires the lock of an instance file, it removes the record that an earlier
//! process left there. It writes its own record shortly before it exits. The other process of the
//! node reads the record once it finds the lock free. A process that is killed before it writes the
//! record leaves none, and one of an earlier version writes none. The record is written to a second
//! file, which is then renamed, so that a partial record is never read.

use std::fs;
use std::io::{self, ErrorKind};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::node::HeldWork;

/// The version of the record's format.
const FORMAT_VERSION: u32 = 1;

/// Why a record can't be read or written.
#[derive(Debug, Error)]
pub enum HeldWorkError {
    /// The process left no record.
    #[error("there is no record")]
    Missing,
    /// The file system failed.
    #[error("the record can't be read or written: {0}")]
    System(#[source] io::Error),
    /// The content of the file is not a record.
    #[error("the record is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The record has an unknown format version.
    #[error("the record has the unknown format version {0}")]
    UnknownVersion(u32),
}

#[derive(Serialize, Deserialize)]
struct Record {
    version: u32,
    #[serde(flatten)]
    work: HeldWork,
}

/// The file with the record of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldWorkFile {
    path: PathBuf,
}

impl HeldWorkFile {
    /// Refers to the file at this path, which need not exist.
    pub fn new(path: PathBuf) -> HeldWorkFile {
        HeldWorkFile { path }
    }

    /// Removes the record, if there is one.
    ///
    /// # Errors
    /// [`HeldWorkError::System`].
    pub fn remove(&self) -> Result<(), HeldWorkError> {
        match fs::remove_file(&self.path) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(HeldWorkError::System(error)),
            _ => Ok(()),
        }
    }

    /// Replaces the record.
    ///
    /// # Errors
    /// [`HeldWorkError::System`]: a previous record is unchanged.
    pub fn write(&self, work: HeldWork) -> Result<(), HeldWorkError> {
        let record = Record {
            version: FORMAT_VERSION,
            work,
        };
        let text = serde_json::to_vec(&record).map_err(HeldWorkError::Malformed)?;
        let new_path = self.path.with_extension("new");
        fs::write(&new_path, text)
            .and_then(|()| fs::rename(&new_path, &self.path))
            .map_err(HeldWorkError::System)
    }

    /// Reads the record.
    ///
    /// # Errors
    /// [`HeldWorkError`] if there is no usable record.
    pub fn read(&self) -> Result<HeldWork, HeldWorkError> {
        let text = fs::read(&self.path).map_err(|error| match error.kind() {
            ErrorKind::NotFound => HeldWorkError::Missing,
            _ => HeldWorkError::System(error),
        })?;
        let record: Record = serde_json::from_slice(&text).map_err(HeldWorkError::Malformed)?;
        if record.version != FORMAT_VERSION {
            return Err(HeldWorkError::UnknownVersion(record.version));
        }
        Ok(record.work)
    }
}
