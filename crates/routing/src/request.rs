//! Requests, and the decisions on them.

use std::time::Duration;

use cells::Name;

/// The number of a request at the router.
pub type Ticket = u64;

/// A request as the router sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its tenant.
    pub tenant: Name,
    /// What it concerns, where the tenant is split by subject.
    pub subject: Option<Name>,
    /// Whether it may run more than once. One that is not idempotent is never retried once it may have run.
    pub is_idempotent: bool,
    /// The time at which an answer is of no use any more.
    pub deadline: Duration,
}

/// The decision on a request that has arrived or was queued.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDecision {
    /// Send it to this node.
    Forward(Name),
    /// Keep it queued; [`Router::route_next_queued`](crate::Router::route_next_queued) decides on it later.
    Queue,
    /// Reject it: it never ran.
    Reject(Rejection),
}

/// Why a router rejects a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// No cell serves its tenant.
    NoCell,
    /// No node of its cell is available.
    NoNode {
        /// The time after which the client may try again.
        retry_after: Duration,
    },
    /// Too many requests are queued for its cell.
    QueueFull {
        /// The time after which the client may try again.
        retry_after: Duration,
    },
    /// Its deadline has passed, or is too near.
    DeadlinePassed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node served it.
    Served,
    /// The node rejected it: it never ran there.
    Rejected {
        /// Whether the node asks not to try another one.
        is_final: bool,
    },
    /// The node answered with an error: it may have run.
    Failed,
    /// Nothing of it was written: the node could not be reached.
    NotSent,
    /// The connection broke, or no answer came: it may have run.
    Lost,
}

impl AttemptOutcome {
    /// Whether the node answered as a healthy one does.
    pub(crate) fn is_healthy(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Served | AttemptOutcome::Rejected { .. }
        )
    }
}

/// What to do after an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Return the node's answer to the client.
    ReturnAnswer,
    /// Send the request to this node next.
    Retry(Name),
    /// Report that it failed and may have run; there is no answer, and no further attempt.
    MayHaveRun,
    /// Report that it never ran; there is no answer, and no further attempt.
    NeverRan {
        /// The time after which the client may try again.
        retry_after: Duration,
    },
}
