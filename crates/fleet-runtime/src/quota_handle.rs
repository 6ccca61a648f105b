//! This node's share of a budget. The code that spends it reads the limit and reports its usage
//! here, without blocking.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use mio::Waker;
use shared_state::{LeaseTimings, QuotaUsage, SpendableQuota, Units};

/// This node's share of one budget. Clones share the same state.
#[derive(Clone)]
pub struct QuotaHandle {
    started_at: Instant,
    spendable: Arc<ArcSwap<SpendableQuota>>,
    usage: Arc<ReportedUsage>,
    waker: Arc<Waker>,
}

/// The last reported usage.
#[derive(Debug, Default)]
struct ReportedUsage {
    in_use: AtomicU64,
    demand: AtomicU64,
}

impl QuotaHandle {
    /// Creates a share of which nothing may be spent yet. Times of the quota are relative to
    /// `started_at`. `waker` wakes the fleet actor.
    pub(crate) fn new(started_at: Instant, waker: Arc<Waker>) -> QuotaHandle {
        QuotaHandle {
            started_at,
            spendable: Arc::new(ArcSwap::from_pointee(SpendableQuota::default())),
            usage: Arc::default(),
            waker,
        }
    }

    /// Returns the number of units that may be in use now.
    pub fn limit(&self) -> Units {
        self.spendable.load().limit(self.started_at.elapsed())
    }

    /// Reports the number of units in use, and the number that would be in use if the quota were
    /// unlimited. Wakes the actor if the demand has risen above the limit.
    pub fn report_usage(&self, in_use: Units, demand: Units) {
        self.usage.in_use.store(in_use, Relaxed);
        let previous_demand = self.usage.demand.swap(demand, Relaxed);
        if demand > previous_demand && demand > self.limit() {
            // An actor that has ended needs no wake-up.
            let _ = self.waker.wake();
        }
    }

    /// Returns the maximum time that a unit may stay in use. After that time the spender must have
    /// ended its calls, as the units may be granted to another node.
    pub fn max_use_duration(&self) -> Duration {
        LeaseTimings::default().max_call_duration
    }

    /// Returns the last reported usage.
    pub(crate) fn usage(&self) -> QuotaUsage {
        QuotaUsage {
            in_use: self.usage.in_use.load(Relaxed),
            demand: self.usage.demand.load(Relaxed),
        }
    }

    /// Sets the quota that may be spent, and returns the previous one.
    pub(crate) fn set_spendable(&self, spendable: SpendableQuota) -> SpendableQuota {
        let previous = **self.spendable.load();
        if spendable != previous {
            self.spendable.store(Arc::new(spendable));
        }
        previous
    }
}
