//! Actions that the policy returns, and the statistics that it reports for the log.

use super::events::RequestId;
use super::time::Span;

/// An action for the server to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a queued request, or resume a paused one.
    Run(RequestId),
    /// Stop a run.
    Stop(RequestId),
    /// Send the final answer: rejected. The request never ran, or may safely run again.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Duration for which the caller should wait before it sends another request.
        retry_after: Span,
        /// True if the caller should not retry on another server either.
        give_up: bool,
    },
    /// Send the final answer: failed. The request may or may not have run.
    Fail(RequestId),
    /// Make the call that a request waits for, with this timeout.
    Call(RequestId, Span),
    /// Continue the run without the call.
    SkipCall(RequestId),
    /// Remember the request's idempotency key for this long, so that duplicates are recognised.
    RememberKey(RequestId, Span),
    /// Forget the request's idempotency key.
    ForgetKey(RequestId),
    /// Answer this duplicate with the result of the request that it repeats.
    Join(RequestId),
    /// Set the result that health checks report from now on, without consulting the policy again.
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

/// Statistics of the calls to the shared dependency, as observed by this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DependencyCallStats {
    /// Number of calls in flight at the dependency, including abandoned ones that may still run
    /// there.
    pub in_flight: f64,
    /// Mean of `in_flight` over the quota's window.
    pub mean_in_flight: f64,
    /// Limit on the mean number of calls that this server has in flight.
    pub limit: f64,
    /// Recent mean duration of a call in milliseconds.
    pub recent_ms: f64,
    /// Best mean duration of a call over a longer time, in milliseconds.
    pub best_ms: f64,
}
