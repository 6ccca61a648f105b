//! Requests and the routing decisions on them.

use std::time::Duration;

use cells::Name;

/// The router's own number for a request, unique within one router process.
pub type Ticket = u64;

/// The properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct Request {
    /// Tenant that sent the request.
    pub tenant: Name,
    /// Subject of the request, for tenants that are split by subject.
    pub subject: Option<Name>,
    /// True if the request may run more than once. A request that is not idempotent is never
    /// retried once it may have run.
    pub is_idempotent: bool,
    /// Time at which an answer is too late to be useful.
    pub deadline: Duration,
}

/// The decision on a request that has just arrived or is queued.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDecision {
    /// Send the request to this node.
    Forward(Name),
    /// Keep the request queued;
    /// [`Router::route_next_queued`](crate::Router::route_next_queued) decides on it later.
    Queue,
    /// Reject the request: it never ran.
    Reject(Rejection),
}

/// Reason for which the router rejects a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// No cell serves the tenant of the request.
    NoCell,
    /// No node of the cell is available.
    NoNode {
        /// Duration after which the client may try again.
        retry_after: Duration,
    },
    /// The queue of the cell is full.
    QueueFull {
        /// Duration after which the client may try again.
        retry_after: Duration,
    },
    /// The deadline has passed, or too little time is left for an attempt.
    DeadlinePassed,
}

/// The outcome of an attempt to run a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node served the request.
    Served,
    /// The node rejected the request: it never ran there.
    Rejected {
        /// True if the node asks the router not to try another node.
        is_final: bool,
    },
    /// The node answered with an error: the request may have run.
    Failed,
    /// No byte of the request was written: the node could not be reached.
    NotSent,
    /// The connection broke or no answer arrived: the request may have run.
    Lost,
}

impl AttemptOutcome {
    /// Returns true if the node answered as a healthy node does. Rejecting is healthy too.
    pub(crate) fn is_healthy(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Served | AttemptOutcome::Rejected { .. }
        )
    }
}

/// The decision on a request after an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Return the node's answer to the client.
    ReturnAnswer,
    /// Send the request to this node next.
    Retry(Name),
    /// Report to the client that the request failed and may have run. There is no answer from a
    /// node, and no further attempt.
    MayHaveRun,
    /// Report to the client that the request never ran. There is no answer from a node, and no
    /// further attempt.
    NeverRan {
        /// Duration after which the client may try again.
        retry_after: Duration,
    },
}
