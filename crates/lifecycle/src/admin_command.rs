//! Admin commands: one line in, one line out. The texts are a stable format.

use std::fmt;

use crate::{ProcessState, Transition, TransitionError};

/// A command of operators or of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Asks whether this process accepts clients.
    Health,
    /// Has the node emptied: health checks fail, so that clients send no new requests.
    Quiesce,
    /// Puts a quiesced node back into service.
    Resume,
}

/// Why a request is not an admin command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// There is no command of this name, or the line is not text.
    #[error("unknown call; there are health, quiesce and resume")]
    UnknownCommand,
    /// The line is longer than any command.
    #[error("the line is too long")]
    LineTooLong,
    /// The client closed its side before the end of the line.
    #[error("the line was cut short")]
    Truncated,
    /// The client did not complete a line in time.
    #[error("no whole line came")]
    TimedOut,
    /// The client was disconnected in favour of a later one.
    #[error("too many callers wait")]
    TooManyClients,
}

/// The line that answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// The command was carried out.
    Ok(ProcessState),
    /// The process does not accept clients.
    NotAcceptingClients(ProcessState),
    /// The command is not possible in this state.
    Rejected(TransitionError),
    /// There was no command.
    InvalidRequest(AdminRequestError),
}

impl fmt::Display for AdminResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminResponse::Ok(state) => write!(f, "ok {state}"),
            AdminResponse::NotAcceptingClients(state) => write!(f, "fail {state}"),
            AdminResponse::Rejected(error) => write!(f, "fail {error}"),
            AdminResponse::InvalidRequest(error) => write!(f, "fail {error}"),
        }
    }
}

impl AdminCommand {
    /// Parses a line without its end. White space around the command is ignored.
    pub fn parse(line: &[u8]) -> Option<AdminCommand> {
        match line.trim_ascii() {
            b"health" => Some(AdminCommand::Health),
            b"quiesce" => Some(AdminCommand::Quiesce),
            b"resume" => Some(AdminCommand::Resume),
            _ => None,
        }
    }

    /// Carries the command out: the state has changed when there is a response.
    pub fn execute(self, state: &mut ProcessState) -> AdminResponse {
        let transition = match self {
            AdminCommand::Health if state.accepts_clients() => return AdminResponse::Ok(*state),
            AdminCommand::Health => return AdminResponse::NotAcceptingClients(*state),
            AdminCommand::Quiesce => Transition::Quiesce,
            AdminCommand::Resume => Transition::Resume,
        };
        match state.apply(transition) {
            Ok(next) => {
                *state = next;
                AdminResponse::Ok(next)
            }
            Err(error) => AdminResponse::Rejected(error),
        }
    }
}

/// Collects the one line of a request, which may arrive in pieces. It never holds more than the longest line.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    max_len: usize,
}

impl LineBuffer {
    /// An empty buffer for a line of at most `max_len` bytes.
    pub fn new(max_len: usize) -> LineBuffer {
        LineBuffer {
            bytes: Vec::new(),
            max_len,
        }
    }

    /// Adds bytes that arrived. Returns the command or an error at the end of the line, and `None` before.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Result<AdminCommand, AdminRequestError>> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        if self.bytes.len() + piece.len() > self.max_len {
            return Some(Err(AdminRequestError::LineTooLong));
        }
        self.bytes.extend_from_slice(piece);
        end.map(|_| AdminCommand::parse(&self.bytes).ok_or(AdminRequestError::UnknownCommand))
    }
}
