//! Estimates that the policy learns of classes and tenants, and its counts and measurements.

use std::collections::BTreeMap;

use crate::statistics::{CoreUsage, RecurringValues, RunStatistics, TrafficStatistics, LEARNING_RATE};
use crate::{Class, Policy, RequestId, TenantId, Time};

/// Waits that differ by no more than this fraction count as the same.
const SAME_WAIT_TOLERANCE: f64 = 0.01;
/// Minimum fraction of all recorded waits that a common wait makes up.
const COMMON_WAIT_FRACTION: f64 = 0.1;

/// Estimates learned for a class.
pub(crate) struct ClassEstimates {
    pub(crate) runs: RunStatistics,
    /// Waits in ms that callers announce with first attempts.
    announced_waits: RecurringValues,
}

impl ClassEstimates {
    pub(crate) fn new(class: &Class) -> ClassEstimates {
        ClassEstimates {
            runs: RunStatistics::new(class),
            announced_waits: RecurringValues::new(SAME_WAIT_TOLERANCE),
        }
    }

    /// Returns the minimum time in ms since the first attempt began, if the announced wait shows
    /// that the request is a retry. Callers of one kind announce the same wait with all first
    /// attempts. Any other wait is assumed to be the rest of the next longer common wait, or else
    /// of the whole deadline, after a rejection elsewhere. The waits of known retries are not
    /// recorded.
    pub(crate) fn infer_age(&mut self, wait_ms: f64, deadline_ms: f64, is_retry: bool) -> Option<f64> {
        if !is_retry {
            self.announced_waits.record(wait_ms, LEARNING_RATE);
        }
        let min_count =
            COMMON_WAIT_FRACTION * (f64::from(u8::from(!is_retry)) + self.announced_waits.total_count());
        let common_waits = || self.announced_waits.values_with_count(min_count);
        if common_waits().any(|common| self.announced_waits.is_same(common, wait_ms)) {
            return None;
        }
        let longer_waits = common_waits().filter(|common| *common > wait_ms);
        Some(longer_waits.fold(deadline_ms.max(wait_ms), f64::min) - wait_ms)
    }
}

/// Counts and measurements since the policy started.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) started_at: Option<Time>,
    /// Remembered idempotency keys, by request, and their expiry times.
    pub(crate) keys: BTreeMap<RequestId, Time>,
    pub(crate) on_core: usize,
    /// Number of the runs in `on_core` that may never have started.
    pub(crate) runs_in_doubt: usize,
    /// Upper bound of the runs of an earlier process that are on the cores as well.
    pub(crate) inherited_runs: f64,
    /// Time since which the gauges have shown no runs except those of this process.
    pub(crate) idle_since: Option<Time>,
    pub(crate) memory_kb: f64,
    /// This process's fraction of the concurrency that the server can sustain.
    pub(crate) concurrency_share: f64,
    pub(crate) cores: CoreUsage,
    pub(crate) traffic: TrafficStatistics,
    /// Priority below which callers should send nothing, and the capacity hint that was last
    /// published.
    pub(crate) priority_floor: f64,
    pub(crate) published_hint: Option<f64>,
    pub(crate) next_wake_at: Option<Time>,
    /// True if a queued request has waited too long.
    pub(crate) is_queue_late: bool,
    pub(crate) is_schedule_stale: bool,
    /// True if the server reports itself unhealthy, because requests wait too long to be read or
    /// runs take too long.
    pub(crate) is_congested: bool,
    pub(crate) health_changed_at: Option<Time>,
    /// Time until which the dependency is expected to lose answers.
    pub(crate) lossy_until: Time,
    /// Number of servers whose load is known, and the requests in flight on the others, by tenant.
    pub(crate) servers_counted: f64,
    pub(crate) in_flight_elsewhere: Vec<f64>,
    /// Time at which draining began, and time at which the process will be stopped.
    pub(crate) drains_from: Option<Time>,
    pub(crate) stops_at: Option<Time>,
}

impl Policy {
    /// Returns the factor by which work takes longer here now than estimated. A hang, a slow or
    /// overloaded machine and a cold start all show as core time spent with too little work done.
    pub(crate) fn slowdown(&self) -> f64 {
        self.observed.cores.slowdown(self.observed.traffic.mean_work_ms.max(1.0))
    }

    pub(crate) fn mean_run_ms(&self) -> f64 {
        self.observed.traffic.mean_work_ms * self.slowdown()
    }

    /// Returns the weight of a tenant's request as a fraction of its class's weight. Requests
    /// beyond the tenant's share have less weight but are not marked, so each request gets the mean
    /// weight of its tenant.
    pub(crate) fn tenant_weight_fraction(&self, tenant: Option<TenantId>) -> f64 {
        let Some(TenantId(index)) = tenant else { return 1.0 };
        let past_share = self.settings.over_share_weight_fraction;
        let Some(tenant) = self.settings.tenants.get(index as usize) else { return past_share };
        let share_here = tenant.allowance_per_s / f64::from(self.settings.servers.max(1));
        let within_share =
            (share_here / self.observed.traffic.tenant_rate(index as usize).max(1e-9)).min(1.0);
        within_share + (1.0 - within_share) * past_share
    }
}
