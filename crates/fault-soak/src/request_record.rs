//! Records of requests and rule violations, as the peers of a node see them.

use std::fmt;
use std::time::{Duration, Instant};

use crate::site_settings::ClassPlan;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time since the start of the soak run.
    pub at: Duration,
    /// The violated rule, and how it was violated.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}", self.at.as_secs_f64(), self.text)
    }
}

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered with the result of a run.
    Served,
    /// Answered with a rejection, which promises that the request never ran.
    Rejected,
    /// Answered with an error.
    Failed,
    /// No answer is expected: the request was sent while its connection was being closed, or its
    /// loss has been reported.
    NoAnswerExpected,
    /// The process was killed. An answer that it wrote before may still reach the client.
    Killed,
}

/// How a connection with an unanswered request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// The process was killed, or the request was not written in full.
    Killed,
    /// The node closed the connection, on which this was the first request.
    ClosedNew,
    /// The node closed the connection after earlier requests.
    ClosedUsed,
}

/// A request that is about to be written to a process.
pub struct SentRequest<'a> {
    /// The request uid.
    pub uid: &'a str,
    /// The class of the request.
    pub class: ClassPlan,
    /// The idempotency key, if the class has them.
    pub key: Option<&'a str>,
    /// The body.
    pub body: &'a str,
    /// The generation of the node that the request is sent to: each kill or restart begins a new
    /// one.
    pub generation: usize,
}

/// The known state of a request.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    pub(crate) class: ClassPlan,
    pub(crate) key: Option<String>,
    pub(crate) body: String,
    pub(crate) sent_at: Instant,
    pub(crate) generation: usize,
    pub(crate) end: Option<RequestEnd>,
    /// Number of commands to run the request.
    pub(crate) commands: usize,
    /// True if a run of the request has begun.
    pub(crate) has_run: bool,
    /// The result of the run.
    pub(crate) result: Option<String>,
    /// The reply of the database to the last call.
    pub(crate) reply: Option<String>,
}

/// The decision on a command to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPermit {
    /// A run is started.
    Run,
    /// The request has ended: no run is started.
    Ended,
    /// No such request was sent.
    Unknown,
}

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Number of requests that were written.
    pub sent: usize,
    /// Number of requests for which no connection was available.
    pub unsent: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that were rejected.
    pub rejected: usize,
}

impl RequestTotals {
    /// Returns the sums of both counts.
    #[must_use]
    pub fn plus(self, other: RequestTotals) -> RequestTotals {
        RequestTotals {
            sent: self.sent + other.sent,
            unsent: self.unsent + other.unsent,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
        }
    }
}
