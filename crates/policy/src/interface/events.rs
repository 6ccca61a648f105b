//! Events that the policy handles: requests, ends of runs and calls, and changes in the server's
//! environment.

use super::settings::{ClassId, TenantId};
use super::time::Span;

/// Identifies one attempt of a request; unique within the lifetime of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies the caller process that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// A request as read from its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier of this attempt.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request, if the site has tenants.
    pub tenant: Option<TenantId>,
    /// True if the request carries a key by which identical requests can be matched.
    pub has_key: bool,
    /// Remaining time for which the caller will wait, if known.
    pub remaining_wait: Option<Span>,
    /// Expected work on a standard core, if known.
    pub work_hint: Option<Span>,
    /// Memory in kilobytes that the request occupies while queued.
    pub queued_kb: f64,
    /// True if the request is known to be a retry or a hedged request.
    pub is_retry: bool,
    /// True if the request changes state.
    pub is_write: bool,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Time since the request reached the machine.
    pub age: Span,
    /// Request with a remembered idempotency key that this one duplicates.
    pub duplicate_of: Option<RequestId>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded, and its answer is sent.
    Served,
    /// The run failed, and its answer is sent.
    Failed,
    /// The run was stopped, or it ended at a call after its request had been abandoned.
    Stopped,
    /// The run never started.
    NeverStarted,
}

/// How a call to the dependency ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded, and the run continues by itself.
    Succeeded,
    /// The call failed and may have taken effect.
    Failed,
    /// The call was definitely not executed.
    NotExecuted,
}

/// Readings of the machine's gauges; `None` for a gauge that the site does not have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Recent busy fraction of the cores.
    pub cores_busy: Option<f64>,
    /// Number of threads that are running or ready to run at this moment.
    pub runnable: Option<f64>,
    /// Fraction of the memory in use.
    pub memory_used: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// An event that occurred since the last decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read and is now queued.
    RequestRead(Request),
    /// The run of a request, or the run that a duplicate joined, ended.
    RunEnded(RequestId, RunOutcome),
    /// A running request waits for permission to call the dependency.
    CallRequested(RequestId),
    /// A call ended after this duration.
    CallEnded(RequestId, CallOutcome, Span),
    /// The caller stopped waiting.
    CallerStoppedWaiting(RequestId),
    /// The node is shutting down; the process will be stopped after this duration.
    ShutdownNotice(Span),
    /// Another process takes over. This one continues with its requests and will be stopped after
    /// this duration.
    ReplacementNotice(Span),
    /// New quota of concurrent calls of this server, if the servers divide them dynamically.
    CallQuotaChanged(f64),
    /// New share of this process in the server's resources, if two processes run in parallel for a
    /// time.
    ResourceShareChanged {
        /// Memory in kilobytes.
        memory_kb: f64,
        /// Fraction of the concurrency that the server can sustain.
        concurrency_share: f64,
        /// Quota of concurrent calls of this process, unless it is set by
        /// [`Event::CallQuotaChanged`].
        call_quota: Option<f64>,
    },
    /// Number of this process's runs that may never have started. They count as concurrent runs,
    /// but must not prevent all other runs, because only later runs show what became of them.
    RunsInDoubt(usize),
    /// Upper bound of the runs of an earlier process of this server that are still on the cores; 0
    /// once they are known to have ended.
    RunsInherited(f64),
    /// Number of abandoned calls that the dependency may still have in progress.
    UnconfirmedCalls(usize),
    /// Load of the other servers, if the servers exchange it.
    FleetLoad {
        /// Number of servers whose counts are known, including this one; 0 if they are no longer
        /// known.
        servers: f64,
        /// Requests in flight on the other servers, by tenant; empty if unknown.
        in_flight_elsewhere: Vec<f64>,
    },
    /// A wake-up that [`crate::Action::WakeIn`] requested.
    Wake(Gauges),
}
