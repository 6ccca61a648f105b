//! The fleet's limits on database calls: the quota of concurrent calls and the health of the ledger.

use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use fleet_runtime::{QuotaHandle, SharedCounters};
use mio::Waker;

/// What the fleet allows of database calls, where its configuration limits or observes them.
#[derive(Default)]
pub struct CallBudget {
    /// Whether the fleet has a quota of concurrent calls. Until this node is a member it may make none.
    has_quota: bool,
    /// The shared observations of the ledger, where the fleet keeps them.
    counters: Option<SharedCounters>,
    quota: OnceLock<QuotaHandle>,
    /// Requests that wait to make a call, as the policy last reported.
    waiting_requests: AtomicUsize,
    waker: OnceLock<Arc<Waker>>,
}

/// A budget shared by the database's actor, the policy's actor and the fleet membership.
pub type SharedCallBudget = Arc<CallBudget>;

impl CallBudget {
    /// A budget with or without a quota, and with the shared observations of the ledger if there are any.
    pub fn new(has_quota: bool, counters: Option<SharedCounters>) -> CallBudget {
        CallBudget {
            has_quota,
            counters,
            ..CallBudget::default()
        }
    }

    /// Sets the quota that this node has as a member of the fleet. Only the first one counts.
    pub fn set_quota(&self, quota: QuotaHandle) {
        let _ = self.quota.set(quota);
    }

    /// Sets the number of requests that wait to make a call.
    pub fn set_waiting_requests(&self, requests: usize) {
        if self.waiting_requests.swap(requests, SeqCst) != requests {
            self.wake_actor();
        }
    }

    /// Wakes the actor, which has no call to make, because the quota or the demand has changed.
    pub fn wake_actor(&self) {
        if let Some(waker) = self.waker.get() {
            let _ = waker.wake();
        }
    }

    /// Sets what wakes the actor.
    pub(super) fn set_waker(&self, waker: Arc<Waker>) {
        let _ = self.waker.set(waker);
    }

    /// The concurrent calls that the quota allows; `None` where there is no quota.
    pub(super) fn call_limit(&self) -> Option<usize> {
        self.has_quota
            .then(|| self.quota.get().map_or(0, QuotaHandle::limit) as usize)
    }

    /// The longest that a call may take under the quota; `None` while there is no quota.
    pub(super) fn max_call_duration(&self) -> Option<Duration> {
        self.quota.get().map(QuotaHandle::max_use_duration)
    }

    /// Whether the ledger is judged unavailable, or out of this node's reach. Then only one call is made at a time, to
    /// find out when it serves again.
    pub(super) fn is_ledger_suspect(&self) -> bool {
        self.counters
            .as_ref()
            .is_some_and(|counters| counters.ledger_health().should_limit_calls())
    }

    /// Reports the calls in flight and those queued to the fleet.
    pub(super) fn report_usage(&self, in_flight: usize, queued: usize) {
        let Some(quota) = self.quota.get() else {
            return;
        };
        // One more than can be used now: the next call is not to wait for the leader's answer.
        let demand = in_flight + queued + self.waiting_requests.load(SeqCst) + 1;
        quota.report_usage(in_flight as u64, demand as u64);
    }

    /// Records a call that ended, for the health of the ledger: its duration, or `None` if it failed.
    pub(super) fn record_call(&self, duration: impl FnOnce() -> Option<Duration>) {
        if let Some(counters) = &self.counters {
            counters.record_ledger_call(duration());
        }
    }
}
