//! A request and its one answer, as the core sees them.

use std::fmt;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

use policy::{CallerId, ClassId, Span, TenantId, Time};

/// The id that an attempt carries to every peer: 16 hex digits, kept as they were received.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestUid([u8; 16]);

impl RequestUid {
    /// Parses exactly 16 hex digits.
    pub fn parse(text: &str) -> Option<RequestUid> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(RequestUid(bytes))
    }

    /// The id whose digits are this number's.
    pub fn from_number(n: u64) -> RequestUid {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(format!("{n:016x}").as_bytes());
        RequestUid(bytes)
    }

    /// The digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

impl fmt::Display for RequestUid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The bytes of a request, a result, a call or a reply.
///
/// The core does not interpret them. They are kept in base64, as most peers send and expect them, so that they are
/// not decoded and encoded again on the way.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Payload(Box<str>);

impl Payload {
    /// A payload received as base64 text.
    pub fn from_base64(text: impl Into<Box<str>>) -> Payload {
        Payload(text.into())
    }

    /// A payload received as raw bytes.
    pub fn from_bytes(bytes: &[u8]) -> Payload {
        Payload(STANDARD.encode(bytes).into())
    }

    /// The base64 text.
    pub fn as_base64(&self) -> &str {
        &self.0
    }

    /// The raw bytes, or `None` where the peer's base64 is invalid.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        STANDARD.decode(self.0.as_bytes()).ok()
    }
}

/// Why a request failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Failure {
    /// Its run ended in an error.
    RunFailed,
    /// The policy gave it up.
    GivenUp,
    /// It may have run before, and must not run twice.
    MayHaveRun,
    /// Its idempotency key was used with another payload before; this one never ran.
    PayloadMismatch,
    /// The executor rejected it, or the node lost track of it.
    Internal,
}

impl Failure {
    /// The reason as callers see it.
    pub fn reason(self) -> &'static str {
        match self {
            Failure::RunFailed => "run failed",
            Failure::GivenUp => "given up",
            Failure::MayHaveRun => "may have run",
            Failure::PayloadMismatch => "its key came with another body",
            Failure::Internal => "internal error",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, PartialEq, Debug)]
pub enum Outcome {
    /// It was served with the executor's result.
    Served(Payload),
    /// It was rejected and never ran.
    Rejected {
        /// How long the caller should wait before it retries.
        retry_after: Span,
        /// Whether the caller should try no other node either.
        is_final: bool,
    },
    /// It never ran: its tenant belongs to another cell.
    WrongCell {
        /// The epoch of the cell layout that decided it.
        epoch: u64,
    },
    /// It failed; it may have taken effect.
    Failed(Failure),
}

impl Outcome {
    /// A rejection after which the caller may try another node at once.
    pub(super) fn rejected(retry_after: Span) -> Outcome {
        Outcome::Rejected {
            retry_after,
            is_final: false,
        }
    }
}

/// The answer to a request.
#[derive(Clone, PartialEq, Debug)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The node's capacity hint at that moment.
    pub capacity_hint: Option<f64>,
}

/// The right to answer a request exactly once.
///
/// One that is dropped unused answers with [`Failure::Internal`], so that no path through the core can lose a request.
pub struct Responder(Option<Box<dyn FnOnce(Answer) + Send>>);

impl Responder {
    /// A responder that hands the answer to `send`.
    pub fn new(send: impl FnOnce(Answer) + Send + 'static) -> Responder {
        Responder(Some(Box::new(send)))
    }

    /// Sends the answer.
    pub fn answer(mut self, answer: Answer) {
        if let Some(send) = self.0.take() {
            send(answer);
        }
    }

    /// Discards the right to answer: the caller has disconnected and gets none.
    pub fn discard(mut self) {
        self.0 = None;
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(send) = self.0.take() {
            send(Answer {
                outcome: Outcome::Failed(Failure::Internal),
                capacity_hint: None,
            });
        }
    }
}

/// What decides which cell a request belongs to.
pub struct CellKey {
    /// The name of its tenant.
    pub tenant: Box<str>,
    /// The subject of the request, where it names one.
    pub subject: Option<Box<str>>,
}

/// A request that a client has sent.
pub struct Arrival {
    /// Its id with the peers.
    pub uid: RequestUid,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where one is named.
    pub tenant: Option<TenantId>,
    /// Which cell it belongs to, where a tenant is named.
    pub cell_key: Option<CellKey>,
    /// When it reached the machine.
    pub arrived_at: Time,
    /// How long its caller waits from then on, where the caller said so.
    pub caller_timeout: Option<Span>,
    /// Who sent it.
    pub caller: CallerId,
    /// Whether it is marked as a retry or a hedged request.
    pub is_retry: bool,
    /// Kilobytes that it takes while it is queued.
    pub queued_kb: f64,
    /// Its body.
    pub payload: Payload,
    /// Its idempotency key: a request that ran under it is not run again, within its class's window or, where the
    /// class runs at most once, within the lifetime of this process.
    pub idempotency_key: Option<Box<str>>,
    /// Whether its source says that an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether it was read only to be handed back: it never runs, and is rejected unless it may have run.
    pub is_handed_back: bool,
    /// The right to answer it.
    pub responder: Responder,
}
