//! What a process writes about itself for another process of the same node, and what the other one makes of it. Both
//! processes may be of different versions, so the words are a stable format.

use crate::{ProcessState, Transition};

/// Length of a status word in bytes. All have the same, so that one written over another leaves nothing of it.
pub const STATUS_WORD_LEN: usize = 16;

const IDLE: &[u8; STATUS_WORD_LEN] = b"idle           \n";
const ACCEPTING_CLIENTS: &[u8; STATUS_WORD_LEN] = b"taking clients \n";
const SHUTTING_DOWN: &[u8; STATUS_WORD_LEN] = b"leaving        \n";

/// The status word that a process in this state writes.
pub fn status_word(state: ProcessState) -> [u8; STATUS_WORD_LEN] {
    *match state {
        ProcessState::ShuttingDown { .. } => SHUTTING_DOWN,
        _ if state.accepts_clients() => ACCEPTING_CLIENTS,
        _ => IDLE,
    }
}

/// The other process of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingProcess {
    /// There is none, whatever an earlier one has left behind.
    Absent,
    /// One that does not accept clients, or whose status word is unknown.
    Idle,
    /// One that accepts clients.
    AcceptingClients,
    /// One that is shutting down.
    ShuttingDown,
}

impl SiblingProcess {
    /// Reads the sibling's status from whether its process is alive and from its status word.
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

    /// How a process shuts down while this sibling runs. Only one that accepts clients is a successor: with any other the node
    /// ends with this process.
    pub fn shutdown_transition(self) -> Transition {
        Transition::ShutDown {
            replaced: self == SiblingProcess::AcceptingClients,
        }
    }
}
