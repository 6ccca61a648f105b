//! How a process learns that another of the same node lives: two files in the platform's scratch folder, which processes of
//! a node share. Each holds the lock of one for as long as it lives, however it ends, and writes a word there. What a file
//! says counts while its lock is held and no longer, so that nothing left behind by a kill can be believed.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

use mothwinch_service::{word, Beside, State, WORD};
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
        // A name is the platform's word and may hold anything.
        let name: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        Standing::Waiting([0, 1].map(|n| folder.join(format!("mothwinch-{name}.seat{n}"))))
    }

    /// Takes a seat if it waits for one and one is free.
    pub fn look(&mut self, state: State, log: &Logger) {
        let Standing::Waiting(seats) = self else { return };
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
        let Standing::Seated { other, .. } = self else { return Beside::Nobody };
        let Ok(mut file) = File::open(other) else { return Beside::Nobody };
        // A shared lock for a moment, let go with the file: two that look at once do not see each other.
        let lives = matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock));
        let mut text = Vec::new();
        let read = (&mut file).take(WORD as u64 + 1).read_to_end(&mut text);
        Beside::read(lives, if read.is_ok() { &text } else { b"" })
    }
}

fn take(seats: &[PathBuf; 2]) -> io::Result<Option<Standing>> {
    for (seat, other) in [(&seats[0], &seats[1]), (&seats[1], &seats[0])] {
        let own = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(seat)?;
        match own.try_lock() {
            Ok(()) => return Ok(Some(Standing::Seated { own, other: other.clone() })),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Ok(None)
}
