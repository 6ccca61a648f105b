//! The operators' door: one line in, one line out.

use std::fmt;

use crate::{Refused, State, Step};

/// What staff and platform may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Health,
    /// Empty the node.
    Quiesce,
    /// Bring it back.
    Resume,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unheard {
    /// No call of this name, or bytes that are no text.
    Unknown,
    /// Longer than any call.
    TooLong,
    /// The caller ended its side before the end of the line.
    Cut,
    /// The caller said nothing whole for too long.
    Late,
    /// It had to go for one that came later.
    Crowded,
}
impl fmt::Display for Unheard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unheard::Unknown => "unknown call; there are health, quiesce and resume",
            Unheard::TooLong => "the line is too long",
            Unheard::Cut => "the line was cut short",
            Unheard::Late => "no whole line came",
            Unheard::Crowded => "too many callers wait",
        })
    }
}

/// The line that goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is so.
    Ok(State),
    /// The process takes no clients.
    NotTaking(State),
    /// The call can't hold.
    Refused(Refused),
    /// There was no call.
    Unheard(Unheard),
}
impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Ok(state) => write!(f, "ok {state}"),
            Answer::NotTaking(state) => write!(f, "fail {state}"),
            Answer::Refused(why) => write!(f, "fail {why}"),
            Answer::Unheard(why) => write!(f, "fail {why}"),
        }
    }
}

impl Call {
    /// The call that a line, without its end, names. Space around it does no harm.
    pub fn parse(line: &[u8]) -> Option<Call> {
        match line.trim_ascii() {
            b"health" => Some(Call::Health),
            b"quiesce" => Some(Call::Quiesce),
            b"resume" => Some(Call::Resume),
            _ => None,
        }
    }

    /// Carries it out: the state has changed by the time that there is an answer.
    pub fn carry_out(self, state: &mut State) -> Answer {
        let step = match self {
            Call::Health if state.takes_clients() => return Answer::Ok(*state),
            Call::Health => return Answer::NotTaking(*state),
            Call::Quiesce => Step::Quiesce,
            Call::Resume => Step::Resume,
        };
        match state.step(step) {
            Ok(next) => {
                *state = next;
                Answer::Ok(next)
            }
            Err(why) => Answer::Refused(why),
        }
    }
}

/// The one line of a caller, as it comes in pieces. It holds no more than the longest line.
#[derive(Debug)]
pub struct Line {
    held: Vec<u8>,
    most: usize,
}

impl Line {
    /// Nothing yet, of at most so many bytes.
    pub fn new(most: usize) -> Line {
        Line {
            held: Vec::new(),
            most,
        }
    }
    /// Bytes came: the call, why there is none, or nothing while the line is not whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, Unheard>> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        if self.held.len() + piece.len() > self.most {
            return Some(Err(Unheard::TooLong));
        }
        self.held.extend_from_slice(piece);
        end.map(|_| Call::parse(&self.held).ok_or(Unheard::Unknown))
    }
}
