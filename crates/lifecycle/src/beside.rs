//! What a process says of itself to one that shares the node with it, and what follows for one that is told to end.

use crate::{State, Step};

/// What a process at the other seat says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// Nobody lives there, whatever was left.
    Nobody,
    /// One that takes no clients, or says nothing that makes sense.
    Idle,
    /// One that takes clients.
    Taking,
    /// One that was told to end.
    Leaving,
}

/// Bytes of the word at a seat, always as many: one that is written over another leaves nothing of it.
pub const WORD: usize = 16;

/// The word that a process in this state writes.
pub fn word(state: State) -> [u8; WORD] {
    *match state {
        State::Leaving { .. } => b"leaving        \n",
        _ if state.takes_clients() => b"taking clients \n",
        _ => b"idle           \n",
    }
}

impl Beside {
    /// From whether a process lives at the seat, and what stands there.
    pub fn read(lives: bool, text: &[u8]) -> Beside {
        match (lives, text) {
            (false, _) => Beside::Nobody,
            (true, b"taking clients \n") => Beside::Taking,
            (true, b"leaving        \n") => Beside::Leaving,
            (true, _) => Beside::Idle,
        }
    }
    /// What the platform's word to end is for a process beside this one. Only one that takes clients is a successor:
    /// beside any other the node ends with this process.
    pub fn leave(self) -> Step {
        Step::Leave {
            replaced: self == Beside::Taking,
        }
    }
}
