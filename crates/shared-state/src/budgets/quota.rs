//! Configured budgets, and the quotas that one node may spend of them.

use std::collections::BTreeMap;
use std::time::Duration;

use membership::Name;
use serde::{Deserialize, Serialize};

use crate::tuple_format::serialize_as_tuple;

/// Units of a budget: concurrent calls, or attempts per second.
pub type Units = u64;

/// Configuration of one budget, the same on all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Name of the budget.
    pub name: Name,
    /// Units that all nodes together may spend.
    pub total: Units,
    /// Units that each node owns permanently, whether or not it can reach other nodes.
    pub guaranteed: BTreeMap<Name, Units>,
}

impl QuotaConfig {
    /// Returns the units that are not guaranteed to any node and are leased on demand.
    pub fn pool(&self) -> Units {
        self.total.saturating_sub(self.guaranteed.values().sum())
    }

    /// Returns the units that a node owns permanently.
    pub(crate) fn guaranteed_to(&self, node: &Name) -> Units {
        self.guaranteed.get(node).copied().unwrap_or(0)
    }
}

/// Units of a budget that a node uses, and units that it could use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(Units, Units)", into = "(Units, Units)")]
pub struct QuotaUsage {
    /// Units in use.
    pub in_use: Units,
    /// Units that would be in use if there were enough quota, including those in use.
    pub demand: Units,
}
serialize_as_tuple!(QuotaUsage {
    in_use: Units,
    demand: Units,
});

/// Units that a node owns permanently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct GuaranteedQuota {
    /// Number of units.
    pub units: Units,
    /// Time from which the units may be spent, on the node's monotonic clock.
    pub available_from: Duration,
}

impl GuaranteedQuota {
    /// Returns the units that may be in use now.
    pub fn available(&self, now: Duration) -> Units {
        if now >= self.available_from {
            self.units
        } else {
            0
        }
    }
}

/// Units that a node holds on a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeasedQuota {
    /// Number of units.
    pub units: Units,
    /// Time at which the lease ends, on the node's monotonic clock.
    pub expires_at: Duration,
}

impl LeasedQuota {
    /// Returns the units that may be in use now.
    pub fn available(&self, now: Duration) -> Units {
        if now < self.expires_at {
            self.units
        } else {
            0
        }
    }
}

/// Units that a node may spend of one budget. The value can be published to other threads and stays
/// correct as time passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendableQuota {
    /// The permanent part.
    pub guaranteed: GuaranteedQuota,
    /// The leased part.
    pub leased: LeasedQuota,
}

impl SpendableQuota {
    /// Returns the units that may be in use now.
    pub fn limit(&self, now: Duration) -> Units {
        self.guaranteed.available(now) + self.leased.available(now)
    }
}
