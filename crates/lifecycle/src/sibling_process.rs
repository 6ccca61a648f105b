//! The status that a process publishes to the other process of the same node. The two processes may
//! run different versions, so the status words are a stable format.

use crate::{ProcessState, Transition};

/// Length of a status word in bytes. All words have the same length, so that a new word overwrites
/// the old one completely.
pub const STATUS_WORD_LEN: usize = 16;

const IDLE: &[u8; STATUS_WORD_LEN] = b"idle           \n";
const ACCEPTING_CLIENTS: &[u8; STATUS_WORD_LEN] = b"taking clients \n";
const SHUTTING_DOWN: &[u8; STATUS_WORD_LEN] = b"leaving        \n";

/// Returns the status word that a process in this state writes.
pub fn status_word(state: ProcessState) -> [u8; STATUS_WORD_LEN] {
    *match state {
        ProcessState::ShuttingDown { .. } => SHUTTING_DOWN,
        _ if state.accepts_clients() => ACCEPTING_CLIENTS,
        _ => IDLE,
    }
}

/// The status of the other process of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingProcess {
    /// No other process is running, even if the status word of an earlier one remains.
    Absent,
    /// The process does not accept clients, or its status word is unknown.
    Idle,
    /// The process accepts clients.
    AcceptingClients,
    /// The process is shutting down.
    ShuttingDown,
}

impl SiblingProcess {
    /// Determines the sibling's status from the liveness of its process and from its status word.
    pub fn from_status(is_alive: bool, word: &[u8]) -> SiblingProcess {
        if !is_alive {
            return SiblingProcess::Absent;
        }
        if word == ACCEPTING_CLIENTS {
            SiblingProcess::AcceptingClients
        } else if word == SHUTTING_DOWN {
            SiblingProcess::ShuttingDown
        } else {
            SiblingProcess::Idle
        }
    }

    /// Returns the transition for a shutdown while the sibling has this status. Only a sibling that
    /// accepts clients is a successor; otherwise the node leaves service together with this
    /// process.
    pub fn shutdown_transition(self) -> Transition {
        Transition::ShutDown {
            replaced: self == SiblingProcess::AcceptingClients,
        }
    }
}
