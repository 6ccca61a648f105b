//! Lock files by which two processes of one node detect each other and divide its resources. They
//! are in the platform's scratch folder, which the processes of a node share.
//!
//! A process holds the lock of one of two instance files for its whole lifetime, however it ends,
//! and writes its status word to that file. A status word is valid only while its file is locked,
//! so that the word of a killed process is ignored. Names and content of the files are a stable
//! format: during a replacement, an old and a new version use the same files.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

use lifecycle::{
    status_word, target_shares, ProcessState, SiblingProcess, STATUS_WORD_LEN, TOTAL_SHARES,
};
use slog::{info, warn, Logger};

use crate::node::{HeldWork, RateLimitedLog};
use crate::process_records::ProcessRecords;
use crate::run_id_files::RunIdFiles;

/// Maximum number of processes of one node that run at the same time.
const MAX_PROCESSES: usize = 2;

/// The lock that registers this process among the processes of its node.
pub enum InstanceLock {
    /// There is no lock. Either the node has no admin address and therefore no second process, or
    /// the folder can't be used and a second process can't be detected.
    Unavailable,
    /// Two other processes are running: this one waits until one of them has ended.
    Waiting {
        /// The instance files.
        paths: [PathBuf; MAX_PROCESSES],
    },
    /// One of the two files is locked by this process.
    Held {
        /// The locked file, with this process's status word.
        own: File,
        /// The records of this process.
        own_records: ProcessRecords,
        /// The file of the other process.
        sibling: PathBuf,
        /// The records of the other process.
        sibling_records: ProcessRecords,
    },
}

impl InstanceLock {
    /// Creates a lock for the node with this name, without acquiring it yet.
    pub fn new(folder: &Path, node_name: &str) -> InstanceLock {
        let name = file_name_part(node_name);
        InstanceLock::Waiting {
            paths: [0, 1].map(|n| folder.join(format!("mothwinch-{name}.seat{n}"))),
        }
    }

    /// Acquires the lock if it is not held and one of the files is free, and publishes the state
    /// there.
    pub fn try_acquire(&mut self, state: ProcessState, log: &Logger) {
        let InstanceLock::Waiting { paths } = self else {
            return;
        };
        match lock_instance_file(paths) {
            Ok(Some(held)) => *self = held,
            Ok(None) => return,
            Err(e) => {
                warn!(log, "instance lock unavailable"; "error" => %e);
                *self = InstanceLock::Unavailable;
            }
        }
        self.publish(state);
        info!(log, "instance lock"; "sibling" => ?self.sibling());
    }

    /// Opens the files of the ids of runs, if the lock is held. Without them a request that comes to
    /// both processes can run in both.
    pub fn open_run_ids(&self, log: &Logger) -> Option<RunIdFiles> {
        let InstanceLock::Held {
            own_records,
            sibling_records,
            ..
        } = self
        else {
            return None;
        };
        RunIdFiles::open(own_records.run_ids_path(), sibling_records.run_ids_path())
            .inspect_err(|e| warn!(log, "file of run ids unavailable"; "error" => %e))
            .ok()
    }

    /// Returns the work that an earlier process with this instance file recorded before it ended,
    /// if the other process of the node has not read the record: this process may have locked the
    /// file before the other one checked it. The record is returned only once. Without another
    /// process, the record dates from before a restart and is removed unread.
    pub fn take_earlier_work(&self, log: &Logger) -> Option<HeldWork> {
        let InstanceLock::Held { own_records, .. } = self else {
            return None;
        };
        if self.sibling() != SiblingProcess::Absent {
            return own_records.take_held_work().ok();
        }
        if let Err(e) = own_records.remove_held_work() {
            warn!(log, "could not remove the work record of an earlier process"; "error" => %e);
        }
        None
    }

    /// Returns how many calls earlier processes of the node had at an unresponsive database when
    /// they were killed. The records are removed, so that each is returned only once.
    pub fn take_earlier_calls(&self) -> u32 {
        let InstanceLock::Held {
            own_records,
            sibling_records,
            ..
        } = self
        else {
            return 0;
        };
        let own_calls = own_records.take_calls();
        if self.sibling() == SiblingProcess::Absent {
            own_calls + sibling_records.take_calls()
        } else {
            own_calls
        }
    }

    /// Updates the record of how many calls this process has at an unresponsive database, in case
    /// it is killed. To be invoked periodically: an update that fails is retried the next time.
    pub fn record_calls_at_unresponsive_database(
        &mut self,
        calls: u32,
        failures: &RateLimitedLog,
        log: &Logger,
    ) {
        let InstanceLock::Held { own_records, .. } = self else {
            return;
        };
        match own_records.record_calls(calls) {
            Ok(true) => {
                info!(log, "calls at an unresponsive database"; "recorded" => calls);
            }
            Ok(false) => {}
            Err(e) => failures.log(|suppressed| {
                warn!(log, "could not record the calls at an unresponsive database"; "error" => %e,
                    "suppressed" => suppressed);
            }),
        }
    }

    /// Returns how many calls the other process, which was killed, had at an unresponsive database.
    /// The record is removed.
    pub fn take_sibling_calls(&self) -> u32 {
        match self {
            InstanceLock::Held {
                sibling_records, ..
            } => sibling_records.take_calls(),
            InstanceLock::Unavailable | InstanceLock::Waiting { .. } => 0,
        }
    }

    /// Records the work that this process leaves running, for the other process of the node.
    pub fn record_held_work(&self, work: HeldWork, log: &Logger) {
        let InstanceLock::Held { own_records, .. } = self else {
            return;
        };
        match own_records.write_held_work(work) {
            Ok(()) => info!(log, "held work recorded"; "runs" => work.runs, "calls" => work.calls,
                "memory_kb" => work.memory_kb),
            Err(e) => warn!(log, "held work not recorded"; "error" => %e),
        }
    }

    /// Returns the work that the other process recorded before it ended, if it did. The record is
    /// removed.
    pub fn take_sibling_work(&self, log: &Logger) -> Option<HeldWork> {
        let InstanceLock::Held {
            sibling_records, ..
        } = self
        else {
            return None;
        };
        sibling_records
            .take_held_work()
            .inspect_err(|e| warn!(log, "other process left no usable record"; "reason" => %e))
            .ok()
    }

    /// Returns whether this process may accept clients.
    pub fn may_accept_clients(&self) -> bool {
        !matches!(self, InstanceLock::Waiting { .. })
    }

    /// Writes the status word for the other process. If that fails, the other process assumes that
    /// this one accepts no clients.
    pub fn publish(&mut self, state: ProcessState) {
        if let InstanceLock::Held { own, .. } = self {
            let _ = own
                .rewind()
                .and_then(|()| own.write_all(&status_word(state)));
        }
    }

    /// Returns the status of the other process. The check creates no file.
    pub fn sibling(&self) -> SiblingProcess {
        let InstanceLock::Held { sibling, .. } = self else {
            return SiblingProcess::Absent;
        };
        let Ok(mut file) = File::open(sibling) else {
            return SiblingProcess::Absent;
        };
        // A shared lock, released when the file is closed: two processes that check at the same
        // time don't block each other.
        let is_alive = matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock));
        let mut word = Vec::new();
        // One byte more, to distinguish a longer text from a status word.
        let limit = STATUS_WORD_LEN as u64 + 1;
        let read = (&mut file).take(limit).read_to_end(&mut word);
        SiblingProcess::from_status(is_alive, if read.is_ok() { &word } else { b"" })
    }
}

/// The shares of the node's resources that this process holds. Each share is held by locking a
/// separate file.
pub struct ResourceShareLocks {
    files: Vec<ShareFile>,
    /// True for a process that can detect no other process: it has all shares, without locks.
    has_all: bool,
}

struct ShareFile {
    path: PathBuf,
    /// Present while the share is held; closing the file releases it.
    lock: Option<File>,
}

impl ResourceShareLocks {
    /// Creates the locks without acquiring any. A process without an instance lock has all shares
    /// at once.
    pub fn new(folder: &Path, node_name: &str, instance: &InstanceLock) -> ResourceShareLocks {
        let name = file_name_part(node_name);
        let has_all = matches!(instance, InstanceLock::Unavailable);
        let files = if has_all { 0 } else { TOTAL_SHARES };
        ResourceShareLocks {
            files: (0..files)
                .map(|n| ShareFile {
                    path: folder.join(format!("mothwinch-{name}.part{n}")),
                    lock: None,
                })
                .collect(),
            has_all,
        }
    }

    /// Returns the number of shares held.
    pub fn held(&self) -> u32 {
        if self.has_all {
            return TOTAL_SHARES;
        }
        self.files.iter().filter(|file| file.lock.is_some()).count() as u32
    }

    /// Releases shares, or acquires free ones, to hold as many as this process should. Returns the
    /// number held if it has changed.
    pub fn update(
        &mut self,
        own: ProcessState,
        sibling: SiblingProcess,
        in_use: u32,
        log: &Logger,
    ) -> Option<u32> {
        if self.has_all {
            return None;
        }
        let before = self.held();
        let target = target_shares(before, in_use, own, sibling);
        self.release(before.saturating_sub(target));
        if let Err(e) = self.acquire(target.saturating_sub(before)) {
            // Resources can't be divided without locks. The instance lock logs the same error for
            // this folder.
            warn!(log, "resource share locks unavailable"; "error" => %e);
            self.has_all = true;
        }
        let held = self.held();
        if held == before {
            return None;
        }
        info!(log, "resource shares"; "held" => held, "of" => TOTAL_SHARES, "in_use" => in_use, "sibling" => ?sibling);
        Some(held)
    }

    /// Releases this many shares, the last ones first.
    fn release(&mut self, count: u32) {
        let held = self
            .files
            .iter_mut()
            .rev()
            .filter(|file| file.lock.is_some());
        for file in held.take(count as usize) {
            file.lock = None;
        }
    }

    /// Acquires up to this many shares that are free.
    fn acquire(&mut self, count: u32) -> io::Result<()> {
        let mut missing = count;
        for share in self.files.iter_mut().filter(|file| file.lock.is_none()) {
            if missing == 0 {
                break;
            }
            let file = OpenOptions::new()
                .write(true)
                .create(true)
                .truncate(false)
                .open(&share.path)?;
            if file.try_lock().is_ok() {
                share.lock = Some(file);
                missing -= 1;
            }
        }
        Ok(())
    }
}

/// Converts a node's name to a part of a file name. The name comes from the platform and may
/// contain any character.
fn file_name_part(name: &str) -> String {
    name.chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || c == '-' {
                c
            } else {
                '_'
            }
        })
        .collect()
}

/// Locks one of the instance files. Returns `None` if both are locked.
fn lock_instance_file(paths: &[PathBuf; MAX_PROCESSES]) -> io::Result<Option<InstanceLock>> {
    for (path, sibling) in [(&paths[0], &paths[1]), (&paths[1], &paths[0])] {
        let own = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        match own.try_lock() {
            Ok(()) => {
                return Ok(Some(InstanceLock::Held {
                    own,
                    own_records: ProcessRecords::for_instance_file(path),
                    sibling: sibling.clone(),
                    sibling_records: ProcessRecords::for_instance_file(sibling),
                }))
            }
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Ok(None)
}
