//! A request and its single answer, as the core of the node handles them.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

use policy::{CallerId, ClassId, Span, TenantId, Time};

/// The id that an attempt carries to every peer: 16 hex digits, kept as they were received.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestUid([u8; 16]);

impl RequestUid {
    /// Returns the digits of the id.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    /// Parses exactly 16 hex digits.
    pub fn parse(text: &str) -> Option<RequestUid> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(RequestUid(bytes))
    }

    /// Returns the id whose hex digits are those of this number.
    pub fn from_number(n: u64) -> RequestUid {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(format!("{n:016x}").as_bytes());
        RequestUid(bytes)
    }

    /// Returns the hex digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

impl fmt::Display for RequestUid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Identifies one arrival of a request within this process.
///
/// The node assigns it and sends it to no peer. A [`RequestUid`] is chosen by the sender, so several
/// clients may send the same one; an arrival id belongs to the one connection that the request was
/// read from.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct ArrivalId(u64);

impl ArrivalId {
    /// Returns an id that no other arrival in this process has.
    pub fn next() -> ArrivalId {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        ArrivalId(NEXT.fetch_add(1, Relaxed))
    }
}

impl fmt::Display for ArrivalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The bytes of a request, a result, a call or a reply.
///
/// The core does not interpret them. They are kept in base64, as most peers send and expect them,
/// to avoid decoding and encoding them again.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Payload(Box<str>);

impl Payload {
    /// Creates a payload from base64 text.
    pub fn from_base64(text: impl Into<Box<str>>) -> Payload {
        Payload(text.into())
    }

    /// Creates a payload from raw bytes.
    pub fn from_bytes(bytes: &[u8]) -> Payload {
        Payload(STANDARD.encode(bytes).into())
    }

    /// Returns the base64 text.
    pub fn as_base64(&self) -> &str {
        &self.0
    }

    /// Returns the raw bytes, or `None` if the peer's base64 is invalid.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        STANDARD.decode(self.0.as_bytes()).ok()
    }
}

/// Why a request failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Failure {
    /// The run of the request ended with an error.
    RunFailed,
    /// The policy failed the request before its run reported a result; the request may have run.
    GivenUp,
    /// The request may have run before and must not run twice.
    MayHaveRun,
    /// The idempotency key was used with another payload before; this request never ran.
    PayloadMismatch,
    /// The executor rejected the request, or the node dropped it without an answer.
    Internal,
}

impl Failure {
    /// Returns the reason as it is sent to callers.
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
    /// The request was served with the executor's result.
    Served(Payload),
    /// The request was rejected and never ran.
    Rejected {
        /// Time that the caller should wait before it retries.
        retry_after: Span,
        /// True if the caller should not try another node either.
        is_final: bool,
    },
    /// The request never ran, as its tenant belongs to another cell.
    WrongCell {
        /// The epoch of the cell layout that determined this.
        epoch: u64,
    },
    /// The request failed; it may have taken effect.
    Failed(Failure),
}

impl Outcome {
    /// Returns a rejection after which the caller may try another node at once.
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
    /// The node's capacity hint at the time of the answer.
    pub capacity_hint: Option<f64>,
}

/// The right to answer a request exactly once.
///
/// A responder that is dropped unused answers with [`Failure::Internal`], so that no path through
/// the core leaves a request unanswered.
pub struct Responder(Option<Box<dyn FnOnce(Answer) + Send>>);

impl Responder {
    /// Creates a responder that passes the answer to `send`.
    pub fn new(send: impl FnOnce(Answer) + Send + 'static) -> Responder {
        Responder(Some(Box::new(send)))
    }

    /// Sends the answer.
    pub fn answer(mut self, answer: Answer) {
        if let Some(send) = self.0.take() {
            send(answer);
        }
    }

    /// Discards the responder without sending an answer, as the caller has disconnected.
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

/// The key that determines which cell a request belongs to.
pub struct CellKey {
    /// The name of the tenant.
    pub tenant: Box<str>,
    /// The subject of the request, if it names one.
    pub subject: Option<Box<str>>,
}

/// A request that a client has sent.
pub struct Arrival {
    /// Identifies this arrival.
    pub id: ArrivalId,
    /// The id that peers use for the request.
    pub uid: RequestUid,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant, if the request names one.
    pub tenant: Option<TenantId>,
    /// Determines the cell of the request, if it names a tenant.
    pub cell_key: Option<CellKey>,
    /// Time at which the request reached the machine.
    pub arrived_at: Time,
    /// Time after the arrival for which the caller waits, if the caller sent it.
    pub caller_timeout: Option<Span>,
    /// The sender of the request.
    pub caller: CallerId,
    /// True if the request is marked as a retry or a hedged request.
    pub is_retry: bool,
    /// Kilobytes that the request takes while it is queued.
    pub queued_kb: f64,
    /// The body of the request.
    pub payload: Payload,
    /// The idempotency key. A request that ran under it is not run again within the window of its
    /// class or, if the class runs at most once, within the lifetime of this process.
    pub idempotency_key: Option<Box<str>>,
    /// True if the source of the request indicates that an earlier attempt may have run.
    pub may_have_run: bool,
    /// True if the request was read only to be handed back to its source: it never runs, and is
    /// rejected unless it may have run.
    pub is_handed_back: bool,
    /// The right to answer the request.
    pub responder: Responder,
}
