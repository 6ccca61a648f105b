//! The fleet's limits on database calls: the quota of concurrent calls, and the health of the
//! database, which the fleet calls the ledger.

use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use fleet_runtime::{QuotaHandle, SharedCounters};
use mio::Waker;

/// The fleet's limits on the database calls of this node, as far as its configuration limits or
/// observes them.
#[derive(Default)]
pub struct CallBudget {
    /// True if the fleet has a quota of concurrent calls. The node may then make no calls until it
    /// is a member.
    has_quota: bool,
    /// Observations of the ledger shared over the fleet, if the fleet keeps them.
    counters: Option<SharedCounters>,
    quota: OnceLock<QuotaHandle>,
    /// Number of requests that wait to make a call, as last reported by the policy.
    waiting_requests: AtomicUsize,
    waker: OnceLock<Arc<Waker>>,
}

/// A budget shared by the database actor, the policy actor and the fleet membership.
pub type SharedCallBudget = Arc<CallBudget>;

impl CallBudget {
    /// Creates a budget with or without a quota, and with the shared observations of the ledger if
    /// the fleet keeps them.
    pub fn new(has_quota: bool, counters: Option<SharedCounters>) -> CallBudget {
        CallBudget {
            has_quota,
            counters,
            ..CallBudget::default()
        }
    }

    /// Sets the quota that this node has as a member of the fleet. Only the first one has an
    /// effect.
    pub fn set_quota(&self, quota: QuotaHandle) {
        let _ = self.quota.set(quota);
    }

    /// Sets the number of requests that wait to make a call.
    pub fn set_waiting_requests(&self, requests: usize) {
        if self.waiting_requests.swap(requests, SeqCst) != requests {
            self.wake_actor();
        }
    }

    /// Wakes the actor when it may be idle but the quota or the demand has changed.
    pub fn wake_actor(&self) {
        if let Some(waker) = self.waker.get() {
            let _ = waker.wake();
        }
    }

    /// Sets the waker of the actor.
    pub(super) fn set_waker(&self, waker: Arc<Waker>) {
        let _ = self.waker.set(waker);
    }

    /// Returns the number of concurrent calls that the quota allows; `None` if there is no quota.
    pub(super) fn call_limit(&self) -> Option<usize> {
        self.has_quota
            .then(|| self.quota.get().map_or(0, QuotaHandle::limit) as usize)
    }

    /// Returns the maximum duration of a call under the quota; `None` while there is no quota.
    pub(super) fn max_call_duration(&self) -> Option<Duration> {
        self.quota.get().map(QuotaHandle::max_use_duration)
    }

    /// Returns true if the ledger is considered down, or unreachable from this node alone. Then
    /// only one call is made at a time, to detect its recovery.
    pub(super) fn is_ledger_unavailable(&self) -> bool {
        self.counters
            .as_ref()
            .is_some_and(|counters| counters.ledger_health().should_limit_calls())
    }

    /// Reports the numbers of calls in flight and queued to the fleet.
    pub(super) fn report_usage(&self, in_flight: usize, queued: usize) {
        let Some(quota) = self.quota.get() else {
            return;
        };
        // Requests one unit more than is needed now, so that the next call does not have to wait
        // for the leader's answer.
        let demand = in_flight + queued + self.waiting_requests.load(SeqCst) + 1;
        quota.report_usage(in_flight as u64, demand as u64);
    }

    /// Records the end of a call for the health of the ledger: its duration, or `None` if it
    /// failed.
    pub(super) fn record_call(&self, duration: impl FnOnce() -> Option<Duration>) {
        if let Some(counters) = &self.counters {
            counters.record_ledger_call(duration());
        }
    }
}
