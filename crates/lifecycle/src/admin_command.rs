//! Admin commands: each request and each response is one line. The texts are a stable format.

use std::fmt;

use crate::{ProcessState, Transition, TransitionError};

/// A command from an operator or from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Reports whether this process accepts clients.
    Health,
    /// Drains the node: health checks fail, so that clients send no new requests.
    Quiesce,
    /// Returns a quiesced node to service.
    Resume,
}

/// The reason why a request is not an admin command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// The line is not the name of a command.
    #[error("unknown call; there are health, quiesce and resume")]
    UnknownCommand,
    /// The line is longer than any command.
    #[error("the line is too long")]
    LineTooLong,
    /// The client closed its sending side before the end of the line.
    #[error("the line was cut short")]
    Truncated,
    /// The client did not send a complete line in time.
    #[error("no whole line came")]
    TimedOut,
    /// The client was disconnected in favour of a later one.
    #[error("too many callers wait")]
    TooManyClients,
}

/// The response line to an admin request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// The command was executed; contains the resulting state.
    Ok(ProcessState),
    /// The process does not accept clients.
    NotAcceptingClients(ProcessState),
    /// The command is not allowed in the current state.
    Rejected(TransitionError),
    /// The request was not a valid command.
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
    /// Parses a line without its line ending. White space around the command is ignored.
    pub fn parse(line: &[u8]) -> Option<AdminCommand> {
        match line.trim_ascii() {
            b"health" => Some(AdminCommand::Health),
            b"quiesce" => Some(AdminCommand::Quiesce),
            b"resume" => Some(AdminCommand::Resume),
            _ => None,
        }
    }

    /// Executes the command. Any change of the state is made before the response is returned.
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

/// Collects the line of a request, which may arrive in pieces, in a buffer of bounded size.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    max_len: usize,
}

impl LineBuffer {
    /// Creates an empty buffer for a line of at most `max_len` bytes.
    pub fn new(max_len: usize) -> LineBuffer {
        LineBuffer {
            bytes: Vec::new(),
            max_len,
        }
    }

    /// Appends received bytes. Returns the command or an error once the line is complete or too
    /// long, and `None` before that.
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
