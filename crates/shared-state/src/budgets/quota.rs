//! Budgets as they are configured, and the quotas of them that one node may spend.

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
    /// Units that each node owns permanently, whether or not it can reach the others.
    pub guaranteed: BTreeMap<Name, Units>,
}

impl QuotaConfig {
    /// Units that are guaranteed to no node and are leased on demand.
    pub fn pool(&self) -> Units {
        self.total.saturating_sub(self.guaranteed.values().sum())
    }

    /// Units that a node owns permanently.
    pub(crate) fn guaranteed_to(&self, node: &Name) -> Units {
        self.guaranteed.get(node).copied().unwrap_or(0)
    }
}

/// How much of a budget a node uses and how much it could use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(Units, Units)", into = "(Units, Units)")]
pub struct QuotaUsage {
    /// Units in use.
    pub in_use: Units,
    /// Units that would be in use if there were enough, those in use included.
    pub demand: Units,
}
serialize_as_tuple!(QuotaUsage {
    in_use: Units,
    demand: Units,
});

/// Units that a node owns permanently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct GuaranteedQuota {
    /// How many.
    pub units: Units,
    /// From when on they may be spent, on the node's monotonic clock.
    pub available_from: Duration,
}

impl GuaranteedQuota {
    /// Units that may be in use now.
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
    /// How many.
    pub units: Units,
    /// When the lease ends, on the node's monotonic clock.
    pub expires_at: Duration,
}

impl LeasedQuota {
    /// Units that may be in use now.
    pub fn available(&self, now: Duration) -> Units {
        if now < self.expires_at {
            self.units
        } else {
            0
        }
    }
}

/// What a node may spend of one budget: a value that can be published to other threads and stays correct as time passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendableQuota {
    /// The permanent part.
    pub guaranteed: GuaranteedQuota,
    /// The part on lease.
    pub leased: LeasedQuota,
}

impl SpendableQuota {
    /// Units that may be in use now.
    pub fn limit(&self, now: Duration) -> Units {
        self.guaranteed.available(now) + self.leased.available(now)
    }
}
