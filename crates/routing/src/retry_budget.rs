//! Budgets of retries: each first attempt of a tenant in a cell pays for a fraction of a retry, so that retries can't
//! multiply the load on a cell that rejects or fails requests.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use cells::Name;

/// The seconds' worth of the quota that can be saved up: nodes reject in bursts, so retries come in bursts.
const QUOTA_BURST_SECONDS: f64 = 0.25;

/// A tenant in a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BudgetKey {
    tenant: Name,
    cell: Name,
}

#[derive(Debug)]
struct BudgetEntry {
    /// The retries that are left.
    retries: f64,
    /// The number of the last use, by a count of all uses.
    last_use: u64,
}

/// The retry budgets of all tenants, of which a limited number is remembered, and this router's quota of the fleet's
/// retries.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    burst: f64,
    max_budgets: usize,
    budgets: HashMap<BudgetKey, BudgetEntry>,
    /// The budgets by their last use.
    by_last_use: BTreeMap<u64, BudgetKey>,
    uses: u64,
    /// None where the fleet has no quota of retries.
    quota: Option<RetryQuota>,
}

/// The use of a router's retry quota over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// The retries that were sent.
    pub sent: u64,
    /// The retries that were wanted, whether or not the quota allowed them.
    pub requested: u64,
}

/// This router's quota of the fleet's retries, as a rate that changes as quotas are moved between routers. All quotas add
/// up to the total at every instant, so in any time all routers together send what the total allows, and what each had
/// saved up.
#[derive(Debug)]
struct RetryQuota {
    per_second: f64,
    saved: f64,
    updated_at: Duration,
    usage: RetryUsage,
}

impl RetryQuota {
    fn new(now: Duration) -> RetryQuota {
        RetryQuota {
            per_second: 0.0,
            saved: 0.0,
            updated_at: now,
            usage: RetryUsage::default(),
        }
    }

    /// Adds what was saved since the last update, and sets the rate from now on.
    fn update(&mut self, per_second: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let saved = self.saved + self.per_second * elapsed;
        // One whole retry has to fit, or a small quota would never reach one.
        let limit = if per_second > 0.0 {
            (per_second * QUOTA_BURST_SECONDS).max(1.0)
        } else {
            0.0
        };
        self.saved = saved.min(limit);
        self.per_second = per_second;
        self.updated_at = now;
    }

    fn try_spend(&mut self, now: Duration) -> bool {
        self.update(self.per_second, now);
        self.usage.requested += 1;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.usage.sent += 1;
        true
    }
}

impl RetryBudgets {
    /// Creates budgets that start full at `burst` retries and gain `ratio` of a retry with each first attempt. At most
    /// `max_budgets` are remembered.
    pub fn new(ratio: f64, burst: f64, max_budgets: usize) -> RetryBudgets {
        RetryBudgets {
            ratio,
            burst,
            max_budgets: max_budgets.max(1),
            budgets: HashMap::new(),
            by_last_use: BTreeMap::new(),
            uses: 0,
            quota: None,
        }
    }

    /// Sets the fleet's retries a second that this router may send from now on; none where the fleet has no quota.
    pub fn set_quota(&mut self, per_second: Option<u64>, now: Duration) {
        let current = self.quota.take();
        self.quota = per_second.map(|per_second| {
            let mut quota = current.unwrap_or_else(|| RetryQuota::new(now));
            quota.update(per_second as f64, now);
            quota
        });
    }

    /// The use of the quota since this was last called.
    pub fn take_usage(&mut self) -> RetryUsage {
        let quota = self.quota.as_mut();
        quota.map_or_else(RetryUsage::default, |quota| {
            std::mem::take(&mut quota.usage)
        })
    }

    /// The number of budgets that are remembered.
    pub fn remembered_budgets(&self) -> usize {
        self.budgets.len()
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, tenant: &Name, cell: &Name) {
        let (ratio, burst) = (self.ratio, self.burst);
        let retries = self.retries_left(tenant, cell);
        *retries = (*retries + ratio).min(burst);
    }

    /// Whether a retry may be sent; if so, it is taken off the tenant's budget and the router's quota.
    pub fn try_spend_retry(&mut self, tenant: &Name, cell: &Name, now: Duration) -> bool {
        if *self.retries_left(tenant, cell) < 1.0 {
            return false;
        }
        if let Some(quota) = &mut self.quota {
            if !quota.try_spend(now) {
                return false;
            }
        }
        *self.retries_left(tenant, cell) -= 1.0;
        true
    }

    /// The retries left in a budget, which becomes the most recently used one.
    fn retries_left(&mut self, tenant: &Name, cell: &Name) -> &mut f64 {
        let key = BudgetKey {
            tenant: tenant.clone(),
            cell: cell.clone(),
        };
        self.uses += 1;
        if let Some(entry) = self.budgets.get(&key) {
            self.by_last_use.remove(&entry.last_use);
        } else if self.budgets.len() >= self.max_budgets {
            if let Some((_, oldest)) = self.by_last_use.pop_first() {
                self.budgets.remove(&oldest);
            }
        }
        self.by_last_use.insert(self.uses, key.clone());
        let full = BudgetEntry {
            retries: self.burst,
            last_use: self.uses,
        };
        let entry = self.budgets.entry(key).or_insert(full);
        entry.last_use = self.uses;
        &mut entry.retries
    }
}
