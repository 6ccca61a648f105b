//! Read-only copies of a node's shared state for tools. The names and shapes of the JSON fields are
//! a stable format.

use std::cmp::Reverse;
use std::time::Duration;

use membership::Name;
use serde::{Deserialize, Serialize};

use super::{QuotaConfig, QuotaUsage, SpendableQuota, Units};
use crate::aggregation::AggregateSnapshot;
use crate::lease_holder::LeaseHolder;
use crate::lease_table::LeaseTable;
use crate::tuple_format::serialize_as_tuple;

/// Maximum number of holders in a snapshot, which has to fit one datagram.
const MAX_SNAPSHOT_HOLDERS: usize = 16;

/// A node's shared state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedStateSnapshot {
    /// The leader that the node knows, if any.
    #[serde(rename = "granter")]
    pub leader: Option<Name>,
    /// The node's budgets.
    pub budgets: Vec<BudgetSnapshot>,
    /// Counts and health of dependencies, if they are shared.
    #[serde(rename = "gathered")]
    pub aggregate: Option<AggregateSnapshot>,
}

/// A budget as a node knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetSnapshot {
    /// Name of the budget.
    pub name: Name,
    /// The total in this node's configuration.
    pub total: Units,
    /// The node's guaranteed quota.
    #[serde(rename = "floor")]
    pub guaranteed: GuaranteedSnapshot,
    /// The node's leased quota.
    pub leased: LeaseSnapshot,
    /// Units that the node uses, and units that it could use.
    #[serde(rename = "in_use")]
    pub usage: QuotaUsage,
    /// On the leader: the holders with the most reserved units, in descending order.
    pub holders: Vec<HolderSnapshot>,
    /// On the leader: units reserved for all holders.
    #[serde(rename = "counted")]
    pub reserved: Units,
}

impl BudgetSnapshot {
    /// Copies the state of one budget. `table` is present on the leader.
    pub(super) fn new(
        config: &QuotaConfig,
        holder: &LeaseHolder,
        table: Option<&LeaseTable>,
        now: Duration,
    ) -> BudgetSnapshot {
        let SpendableQuota { guaranteed, leased } = holder.spendable_quota();
        let mut holders: Vec<HolderSnapshot> =
            table.map_or(vec![], |table| table.holders(now).collect());
        holders.sort_by_key(|holder| Reverse(holder.reserved));
        holders.truncate(MAX_SNAPSHOT_HOLDERS);
        BudgetSnapshot {
            name: config.name.clone(),
            total: config.total,
            guaranteed: GuaranteedSnapshot {
                units: guaranteed.units,
                is_available: now >= guaranteed.available_from,
            },
            leased: LeaseSnapshot {
                units: leased.available(now),
                remaining_ms: leased.expires_at.saturating_sub(now).as_millis() as u64,
            },
            usage: holder.usage(),
            holders,
            reserved: table.map_or(0, |table| table.reserved(now)),
        }
    }
}

/// A node's guaranteed quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Units, bool)", into = "(Units, bool)")]
pub struct GuaranteedSnapshot {
    /// Number of units.
    pub units: Units,
    /// True if the units may be spent.
    pub is_available: bool,
}
serialize_as_tuple!(GuaranteedSnapshot {
    units: Units,
    is_available: bool,
});

/// A node's leased quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Units, u64)", into = "(Units, u64)")]
pub struct LeaseSnapshot {
    /// Number of units.
    pub units: Units,
    /// Milliseconds until the lease ends.
    pub remaining_ms: u64,
}
serialize_as_tuple!(LeaseSnapshot {
    units: Units,
    remaining_ms: u64,
});

/// A lease holder as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Name, Units, Units)", into = "(Name, Units, Units)")]
pub struct HolderSnapshot {
    /// Name of the node.
    pub name: Name,
    /// Maximum number of units that the node may be spending.
    pub reserved: Units,
    /// Units that the node could spend.
    pub demand: Units,
}
serialize_as_tuple!(HolderSnapshot {
    name: Name,
    reserved: Units,
    demand: Units,
});
