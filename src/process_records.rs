//! The records that a process keeps next to its instance file: the work that it leaves running when
//! it exits, for the other process of its node or a later one.

use std::path::{Path, PathBuf};

use crate::held_work_file::{HeldWorkError, HeldWorkFile};
use crate::node::HeldWork;

/// Suffix of the instance file's name for the record of the work that the process leaves running.
const HELD_WORK_SUFFIX: &str = ".held";
/// Suffix of the instance file's name for the ids of the process's runs.
const RUN_IDS_SUFFIX: &str = ".runs";
/// Suffix of the instance file's name for the record of the calls at an unresponsive database.
const CALLS_SUFFIX: &str = ".calls";

/// The records of the process that has locked one of the instance files.
pub struct ProcessRecords {
    held_work: HeldWorkFile,
    calls: HeldWorkFile,
    run_ids: PathBuf,
    /// Number of calls in the record; `None` if unknown.
    recorded_calls: Option<u32>,
}

impl ProcessRecords {
    /// Refers to the records next to this instance file, none of which need exist.
    pub fn for_instance_file(instance_file: &Path) -> ProcessRecords {
        ProcessRecords {
            held_work: HeldWorkFile::new(path_with_suffix(instance_file, HELD_WORK_SUFFIX)),
            calls: HeldWorkFile::new(path_with_suffix(instance_file, CALLS_SUFFIX)),
            run_ids: path_with_suffix(instance_file, RUN_IDS_SUFFIX),
            recorded_calls: None,
        }
    }

    /// Returns the path of the file with the ids of the process's runs.
    pub fn run_ids_path(&self) -> &Path {
        &self.run_ids
    }

    /// Removes the record of the work that an earlier process left running.
    ///
    /// # Errors
    /// [`HeldWorkError::System`].
    pub fn remove_held_work(&self) -> Result<(), HeldWorkError> {
        self.held_work.remove()
    }

    /// Records the work that this process leaves running.
    ///
    /// # Errors
    /// [`HeldWorkError::System`].
    pub fn write_held_work(&self, work: HeldWork) -> Result<(), HeldWorkError> {
        self.held_work.write(work)
    }

    /// Reads and removes the record of the work that a process left running. It is removed so that
    /// it is not attributed to a later process with the same instance file.
    ///
    /// # Errors
    /// [`HeldWorkError`] if there is no usable record.
    pub fn take_held_work(&self) -> Result<HeldWork, HeldWorkError> {
        let work = self.held_work.read();
        let _ = self.held_work.remove();
        work
    }

    /// Updates the record of how many calls this process has at an unresponsive database. After a
    /// failure, the next invocation tries again. Returns whether the number has changed; an unknown
    /// previous number counts as 0.
    ///
    /// # Errors
    /// [`HeldWorkError::System`].
    pub fn record_calls(&mut self, calls: u32) -> Result<bool, HeldWorkError> {
        if self.recorded_calls == Some(calls) {
            return Ok(false);
        }
        let previous = self.recorded_calls.take();
        self.write_calls(calls)?;
        self.recorded_calls = Some(calls);
        Ok(previous.unwrap_or(0) != calls)
    }

    fn write_calls(&self, calls: u32) -> Result<(), HeldWorkError> {
        if calls == 0 {
            return self.calls.remove();
        }
        self.calls.write(HeldWork {
            calls,
            ..HeldWork::default()
        })
    }

    /// Reads and removes the record of how many calls a process had at an unresponsive database.
    /// Returns 0 if there is no usable record.
    pub fn take_calls(&self) -> u32 {
        let calls = self.calls.read().map_or(0, |work| work.calls);
        let _ = self.calls.remove();
        calls
    }
}

fn path_with_suffix(instance_file: &Path, suffix: &str) -> PathBuf {
    let mut path = instance_file.as_os_str().to_owned();
    path.push(suffix);
    PathBuf::from(path)
}
