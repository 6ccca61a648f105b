//! How a process learns that another of the same node lives: two files in the platform's scratch folder, which processes of
//! a node share. Each holds the lock of one for as long as it lives, however it ends, and writes a word there. What a file
//! says counts while its lock is held and no longer, so that nothing left behind by a kill can be believed.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

use lifecycle::{parts, word, Beside, State, PARTS, WORD};
use slog::{info, warn, Logger};

/// Where this process stands among those of its node.
pub enum Standing {
    /// By itself: there is no door, so no second process, or the folder can't be used, and none can be seen.
    Alone,
    /// Two others live: it waits until one of them has gone.
    Waiting([PathBuf; 2]),
    /// At a seat of its own.
    Seated {
        /// Its lock, and its word.
        own: File,
        /// Where the other one would sit.
        other: PathBuf,
    },
}

impl Standing {
    /// Before the first look for a seat of the node of this name.
    pub fn new(folder: &Path, name: &str) -> Standing {
        let name = plain(name);
        Standing::Waiting([0, 1].map(|n| folder.join(format!("mothwinch-{name}.seat{n}"))))
    }

    /// Takes a seat if it waits for one and one is free.
    pub fn look(&mut self, state: State, log: &Logger) {
        let Standing::Waiting(seats) = self else {
            return;
        };
        match take(seats) {
            Ok(Some(seated)) => *self = seated,
            Ok(None) => return,
            Err(e) => {
                warn!(log, "no seat"; "error" => %e);
                *self = Standing::Alone;
            }
        }
        self.say(state);
        info!(log, "seat"; "beside" => ?self.beside());
    }

    /// Whether this process may take clients.
    pub fn may_take(&self) -> bool {
        !matches!(self, Standing::Waiting(_))
    }

    /// Writes down what the process beside this one is to know. What can't be written is taken there for one that takes
    /// no clients.
    pub fn say(&mut self, state: State) {
        if let Standing::Seated { own, .. } = self {
            let _ = own.rewind().and_then(|()| own.write_all(&word(state)));
        }
    }

    /// What stands beside this process now. Nothing is created for the look.
    pub fn beside(&self) -> Beside {
        let Standing::Seated { other, .. } = self else {
            return Beside::Nobody;
        };
        let Ok(mut file) = File::open(other) else {
            return Beside::Nobody;
        };
        // A shared lock for a moment, let go with the file: two that look at once do not see each other.
        let lives = matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock));
        let mut text = Vec::new();
        let read = (&mut file).take(WORD as u64 + 1).read_to_end(&mut text);
        Beside::read(lives, if read.is_ok() { &text } else { b"" })
    }
}

/// The parts of what the node may have that this process holds, each by the lock of a file of its own.
pub struct Parts {
    files: Vec<(PathBuf, Option<File>)>,
    /// What a process that can see no other has: all of it, without locks.
    alone: bool,
}

impl Parts {
    /// None are held yet. One that stands alone has all of them at once.
    pub fn new(folder: &Path, name: &str, standing: &Standing) -> Parts {
        let path = |n: u32| folder.join(format!("mothwinch-{}.part{n}", plain(name)));
        let alone = matches!(standing, Standing::Alone);
        Parts {
            files: (0..if alone { 0 } else { PARTS })
                .map(|n| (path(n), None))
                .collect(),
            alone,
        }
    }
    /// How many are held.
    pub fn held(&self) -> u32 {
        if self.alone {
            return PARTS;
        }
        self.files.iter().filter(|(_, lock)| lock.is_some()).count() as u32
    }
    /// Lets go of parts, or takes what is free, so as to hold what this process is to. How many it holds, if that changed.
    pub fn look(&mut self, own: State, other: Beside, used: u32, log: &Logger) -> Option<u32> {
        if self.alone {
            return None;
        }
        let before = self.held();
        let wanted = parts(before, used, own, other);
        let held = self
            .files
            .iter_mut()
            .rev()
            .map(|(_, lock)| lock)
            .filter(|lock| lock.is_some());
        // The lock goes with the file.
        held.take(before.saturating_sub(wanted) as usize)
            .for_each(|lock| *lock = None);
        let mut missing = wanted.saturating_sub(before);
        for (path, lock) in self.files.iter_mut().filter(|(_, lock)| lock.is_none()) {
            if missing == 0 {
                break;
            }
            match OpenOptions::new()
                .write(true)
                .create(true)
                .truncate(false)
                .open(&*path)
            {
                Ok(file) if file.try_lock().is_ok() => {
                    *lock = Some(file);
                    missing -= 1;
                }
                Ok(_) => {}
                Err(e) => {
                    // Nothing is divided where nothing can be locked: the seats say the same of this folder.
                    warn!(log, "no parts"; "error" => %e);
                    self.alone = true;
                    break;
                }
            }
        }
        let now = self.held();
        (now != before).then(|| {
            info!(log, "parts"; "held" => now, "of" => PARTS, "used" => used, "beside" => ?other);
            now
        })
    }
}

/// A name as part of a file's: it is the platform's word and may hold anything.
fn plain(name: &str) -> String {
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

fn take(seats: &[PathBuf; 2]) -> io::Result<Option<Standing>> {
    for (seat, other) in [(&seats[0], &seats[1]), (&seats[1], &seats[0])] {
        let own = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(seat)?;
        match own.try_lock() {
            Ok(()) => {
                return Ok(Some(Standing::Seated {
                    own,
                    other: other.clone(),
                }))
            }
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Ok(None)
}
