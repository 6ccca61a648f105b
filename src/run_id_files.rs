//! The files by which two processes of one node know each other's runs, so that a request that must
//! not run twice does not run in both. Each process writes the ids of such requests to a file of
//! its own, and reads the file of the other one.
//!
//! A file is a ring of ids of 16 bytes each, the oldest of which are overwritten.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::node::RequestUid;

/// Number of ids in a file. With both files full, they take 256 KiB of the node's memory.
const MAX_IDS: u64 = 8192;

/// The files of this process and of the other process of its node.
pub struct RunIdFiles {
    own: File,
    /// Number of ids that this process has written.
    written: u64,
    sibling: PathBuf,
}

impl RunIdFiles {
    /// Opens the file of this process. Ids that an earlier process left in it stay until they are
    /// overwritten.
    ///
    /// # Errors
    /// An error of the system.
    pub fn open(own: &Path, sibling: &Path) -> io::Result<RunIdFiles> {
        let own = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(own)?;
        Ok(RunIdFiles {
            own,
            written: 0,
            sibling: sibling.to_path_buf(),
        })
    }

    /// Writes the id of a request that is about to be sent to run.
    ///
    /// # Errors
    /// An error of the system. The id may then be written in part.
    pub fn record(&mut self, uid: RequestUid) -> io::Result<()> {
        let id = uid.as_bytes();
        let slot = self.written % MAX_IDS;
        self.own.write_all_at(id, slot * id.len() as u64)?;
        self.written += 1;
        Ok(())
    }

    /// Returns true if the other process has written this id. Without a file it has written none.
    ///
    /// # Errors
    /// An error of the system.
    pub fn sibling_has(&self, uid: RequestUid) -> io::Result<bool> {
        let ids = match std::fs::read(&self.sibling) {
            Ok(ids) => ids,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(false),
            Err(e) => return Err(e),
        };
        let id = uid.as_bytes();
        Ok(ids.chunks_exact(id.len()).any(|other| other == id))
    }
}
