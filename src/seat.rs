//! How a process learns that another of the same node lives: two files in the platform's scratch folder, which processes of
//! a node share. Each holds the lock of one for as long as it lives, however it ends, and writes a word there. What a file
//! says counts while its lock is held and no longer, so that nothing left behind by a kill can be believed.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

use mothwinch_service::{word, Beside, State, WORD};

/// The two places.
pub struct Seats([PathBuf; 2]);

/// The place of this process.
pub struct Seat {
    own: File,
    number: usize,
    other: PathBuf,
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

impl Seats {
    /// The places of the node of this name.
    pub fn new(folder: &Path, name: &str) -> Seats {
        // A name is the platform's word and may hold anything.
        let name: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        Seats([0, 1].map(|n| folder.join(format!("mothwinch-{name}.seat{n}"))))
    }

    /// Takes a free place; none while two others live.
    pub fn take(&self) -> io::Result<Option<Seat>> {
        for number in 0..2 {
            let own = open(&self.0[number])?;
            match own.try_lock() {
                Ok(()) => return Ok(Some(Seat { own, number, other: self.0[1 - number].clone() })),
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
        Ok(None)
    }
}

impl Seat {
    /// Which of the two it is.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Writes down what the process beside this one is to know. What can't be written is taken there for one that takes
    /// no clients.
    pub fn say(&mut self, state: State) {
        let _ = self.own.rewind().and_then(|()| self.own.write_all(&word(state)));
    }

    /// What stands beside this process now. Nothing is created for the look.
    pub fn beside(&mut self) -> Beside {
        let Ok(mut file) = File::open(&self.other) else { return Beside::Nobody };
        // A shared lock for a moment, let go with the file: two that look at once do not see each other.
        let lives = matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock));
        let mut text = Vec::new();
        let read = (&mut file).take(WORD as u64 + 1).read_to_end(&mut text);
        Beside::read(lives, if read.is_ok() { &text } else { b"" })
    }
}
