//! A request and its one answer, as the core sees them.

use std::fmt;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

use policy::{CallerId, ClassId, Span, TenantId, Time};

/// The id that a try carries to every peer: 16 hex digits, kept as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rid([u8; 16]);

impl Rid {
    /// Takes 16 hex digits and nothing else.
    pub fn parse(text: &str) -> Option<Rid> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(Rid(bytes))
    }
    /// The id of this number.
    pub fn from_number(n: u64) -> Rid {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(format!("{n:016x}").as_bytes());
        Rid(bytes)
    }
    /// The digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}
impl fmt::Display for Rid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The bytes of a request, a result, a call or a reply. Nothing here looks inside; they are carried in base64, as
/// most peers want them, so that what passes through is not coded twice.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Body(Box<str>);

impl Body {
    /// Bytes that came in base64.
    pub fn from_base64(text: impl Into<Box<str>>) -> Body {
        Body(text.into())
    }
    /// Bytes that came as they are.
    pub fn from_bytes(bytes: &[u8]) -> Body {
        Body(STANDARD.encode(bytes).into())
    }
    /// The base64 text.
    pub fn as_base64(&self) -> &str {
        &self.0
    }
    /// The bytes; none where the peer's base64 is broken.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        STANDARD.decode(self.0.as_bytes()).ok()
    }
}

/// Why a request failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Failure {
    /// Its run ended in an error.
    Run,
    /// The module gave it up.
    GivenUp,
    /// It may have run before, and must not run twice.
    MayHaveRun,
    /// Its key came with another body before: one of the two is wrong, and this one never ran.
    OtherBody,
    /// The executor would not take it, or the node lost hold of it.
    Internal,
}

impl Failure {
    /// A word for callers.
    pub fn word(self) -> &'static str {
        match self {
            Failure::Run => "run failed",
            Failure::GivenUp => "given up",
            Failure::MayHaveRun => "may have run",
            Failure::OtherBody => "its key came with another body",
            Failure::Internal => "internal error",
        }
    }
}

/// The final answer to a request.
#[derive(Clone, PartialEq, Debug)]
pub enum Outcome {
    /// The result that the executor made for it.
    Served(Body),
    /// It never ran.
    Refused {
        /// How long the caller should stay away.
        stay_away: Span,
        /// Whether it should try no other node.
        give_up: bool,
    },
    /// It never ran: its tenant belongs to another cell.
    Elsewhere {
        /// As of this epoch of the cells.
        epoch: u64,
    },
    /// It failed; it may have had its effect.
    Failed(Failure),
}

/// An answer with what goes out beside it.
#[derive(Clone, PartialEq, Debug)]
pub struct Answer {
    /// The answer itself.
    pub outcome: Outcome,
    /// The free value of the moment.
    pub hint: Option<f64>,
}

/// The right to answer a request, once: it is used up by giving the answer. One that is dropped unused answers
/// "failed", so that no path through the core can lose a request.
pub struct Reply(Option<Box<dyn FnOnce(Answer) + Send>>);

impl Reply {
    /// A right that hands the answer to `send`.
    pub fn new(send: impl FnOnce(Answer) + Send + 'static) -> Reply {
        Reply(Some(Box::new(send)))
    }
    /// Gives the answer.
    pub fn give(mut self, answer: Answer) {
        if let Some(send) = self.0.take() {
            send(answer);
        }
    }
    /// Gives it back unused: its caller has left, and is owed nothing.
    pub fn forgo(mut self) {
        self.0 = None;
    }
}
impl Drop for Reply {
    fn drop(&mut self) {
        if let Some(send) = self.0.take() {
            send(Answer {
                outcome: Outcome::Failed(Failure::Internal),
                hint: None,
            });
        }
    }
}

/// A request that a front has read.
pub struct Arrival {
    /// Its id with the peers.
    pub rid: Rid,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where one is named.
    pub tenant: Option<TenantId>,
    /// The tenant's name and what the request is about, for the cells.
    pub named: Option<(Box<str>, Option<Box<str>>)>,
    /// When it came to the machine.
    pub at: Time,
    /// How long its caller waits from then on, where that is told.
    pub wait: Option<Span>,
    /// Who sent it.
    pub caller: CallerId,
    /// Marked as a further try or a copy.
    pub resent: bool,
    /// Kilobytes while held.
    pub held_kb: f64,
    /// Its bytes.
    pub body: Body,
    /// What names its effect over all its tries: one that ran is not run again, for its class's window or, where the
    /// class is run once, in this life.
    pub key: Option<Box<str>>,
    /// The front has been told that an earlier try may have run.
    pub may_have_run: bool,
    /// Read only to be handed back: it is refused unless it may have run, and never runs.
    pub unwanted: bool,
    /// The right to answer it.
    pub reply: Reply,
}
