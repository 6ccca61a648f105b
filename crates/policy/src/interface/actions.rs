//! What the policy decides, and the statistics that it reports for the log.

use super::events::RequestId;
use super::time::Span;

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a queued request, or resume a paused one.
    Run(RequestId),
    /// Stop a run.
    Stop(RequestId),
    /// Final answer: rejected. It never ran, or may safely run again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should wait before it sends another request.
        retry_after: Span,
        /// Whether it should not retry on another server either.
        give_up: bool,
    },
    /// Final answer: failed; it may or may not have run.
    Fail(RequestId),
    /// Make the call that a request waits for, with this timeout.
    Call(RequestId, Span),
    /// Continue without the call.
    SkipCall(RequestId),
    /// Remember the request's idempotency key for this long, so that duplicates are recognised.
    RememberKey(RequestId, Span),
    /// Forget the key.
    ForgetKey(RequestId),
    /// Answer this duplicate with the result of the request that it repeats.
    Join(RequestId),
    /// What health checks report from now on, without asking the policy again.
    SetHealth(bool),
    /// Set the capacity hint that answers carry.
    SetCapacityHint(f64),
    /// Close connections that have been idle for this long.
    CloseIdleConnections(Span),
    /// Send [`crate::Event::Wake`] after this long.
    WakeIn(Span),
    /// Write a line to the log.
    Log(String),
}

/// The shared dependency as this server observes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DependencyCallStats {
    /// Calls in flight at the dependency, abandoned ones that may still run there included.
    pub in_flight: f64,
    /// Mean of `in_flight` over the quota's window.
    pub mean_in_flight: f64,
    /// Calls in flight that this server may have.
    pub limit: f64,
    /// Recent mean duration of a call in milliseconds.
    pub recent_ms: f64,
    /// Best mean duration of a call over a longer time, in milliseconds.
    pub best_ms: f64,
}
