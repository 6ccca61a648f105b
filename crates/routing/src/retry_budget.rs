//! Retry budgets: each first attempt of a tenant in a cell adds a fraction of a retry to a budget,
//! so that retries can't multiply the load on a cell that rejects or fails requests.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use cells::Name;

/// Number of seconds' worth of unused quota that can accumulate. Nodes reject in bursts, so retries
/// come in bursts too.
const QUOTA_BURST_SECONDS: f64 = 0.25;

/// Each tenant has a separate budget in each cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BudgetKey {
    tenant: Name,
    cell: Name,
}

#[derive(Debug)]
struct BudgetEntry {
    remaining_retries: f64,
    /// Value of [`RetryBudgets::uses`] at the last use of this budget.
    last_use: u64,
}

/// The retry budgets of all tenants, of which a limited number is kept, and this router's quota of
/// the fleet's retries.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    burst: f64,
    max_budgets: usize,
    budgets: HashMap<BudgetKey, BudgetEntry>,
    /// Keys of the budgets, ordered by last use.
    by_last_use: BTreeMap<u64, BudgetKey>,
    /// Number of uses of all budgets together.
    uses: u64,
    /// `None` if the fleet has no quota of retries.
    quota: Option<RetryQuota>,
}

/// Use of a router's retry quota over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// Number of retries that were sent.
    pub sent: u64,
    /// Number of retries that were requested, whether or not the quota allowed them.
    pub requested: u64,
}

/// This router's quota of the fleet's retries: a token bucket whose rate changes as quota is moved
/// between routers. At every instant the quotas add up to the fleet's total. Over any interval, all
/// routers together therefore send at most what the total allows plus what each had accumulated.
#[derive(Debug)]
struct RetryQuota {
    retries_per_second: f64,
    /// Number of unused retries that have accumulated.
    accumulated_retries: f64,
    updated_at: Duration,
    usage: RetryUsage,
}

impl RetryQuota {
    fn new(now: Duration) -> RetryQuota {
        RetryQuota {
            retries_per_second: 0.0,
            accumulated_retries: 0.0,
            updated_at: now,
            usage: RetryUsage::default(),
        }
    }

    /// Adds the retries that have accumulated since the last update, and sets the new rate.
    fn update(&mut self, retries_per_second: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let accumulated = self.accumulated_retries + self.retries_per_second * elapsed;
        // The limit is at least one whole retry, as a small quota would otherwise never allow one.
        let limit = if retries_per_second > 0.0 {
            (retries_per_second * QUOTA_BURST_SECONDS).max(1.0)
        } else {
            0.0
        };
        self.accumulated_retries = accumulated.min(limit);
        self.retries_per_second = retries_per_second;
        self.updated_at = now;
    }

    fn try_spend(&mut self, now: Duration) -> bool {
        self.update(self.retries_per_second, now);
        self.usage.requested += 1;
        if self.accumulated_retries < 1.0 {
            return false;
        }
        self.accumulated_retries -= 1.0;
        self.usage.sent += 1;
        true
    }
}

impl RetryBudgets {
    /// Creates budgets that start full at `burst` retries and gain `ratio` of a retry with each
    /// first attempt. At most `max_budgets` are kept.
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

    /// Sets how many retries per second this router may send from now on; `None` if the fleet has
    /// no quota of retries.
    pub fn set_quota(&mut self, retries_per_second: Option<u64>, now: Duration) {
        let current = self.quota.take();
        self.quota = retries_per_second.map(|retries_per_second| {
            let mut quota = current.unwrap_or_else(|| RetryQuota::new(now));
            quota.update(retries_per_second as f64, now);
            quota
        });
    }

    /// Returns the use of the quota since the last call, and resets it.
    pub fn take_usage(&mut self) -> RetryUsage {
        let quota = self.quota.as_mut();
        quota.map_or_else(RetryUsage::default, |quota| {
            std::mem::take(&mut quota.usage)
        })
    }

    /// Returns the number of budgets that are kept.
    pub fn budget_count(&self) -> usize {
        self.budgets.len()
    }

    /// Records a first attempt, which adds to its tenant's budget in this cell.
    pub fn record_first_attempt(&mut self, tenant: &Name, cell: &Name) {
        let (ratio, burst) = (self.ratio, self.burst);
        let retries = self.remaining_retries(tenant, cell);
        *retries = (*retries + ratio).min(burst);
    }

    /// Returns true if a retry may be sent, and then deducts it from the tenant's budget and the
    /// router's quota.
    pub fn try_spend_retry(&mut self, tenant: &Name, cell: &Name, now: Duration) -> bool {
        if *self.remaining_retries(tenant, cell) < 1.0 {
            return false;
        }
        if let Some(quota) = &mut self.quota {
            if !quota.try_spend(now) {
                return false;
            }
        }
        *self.remaining_retries(tenant, cell) -= 1.0;
        true
    }

    /// Returns the number of retries that remain in a budget, and marks the budget as the most
    /// recently used one.
    fn remaining_retries(&mut self, tenant: &Name, cell: &Name) -> &mut f64 {
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
            remaining_retries: self.burst,
            last_use: self.uses,
        };
        let entry = self.budgets.entry(key).or_insert(full);
        entry.last_use = self.uses;
        &mut entry.remaining_retries
    }
}
