//! A read-only copy of what a node knows of the fleet's counts and of the shared database, for tools. Names and shapes of the
//! JSON fields are a stable format.

use membership::Name;
use serde::{Deserialize, Serialize};

use crate::health::{DependencyHealth, Tally};
use crate::tuple_format::serialize_as_tuple;

/// What a node knows of the fleet's counts and of the shared database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AggregateSnapshot {
    /// The members that the node reports to.
    #[serde(rename = "gatherers")]
    pub aggregators: Vec<Name>,
    /// The aggregator whose sum it uses; none while it uses its own counts alone.
    #[serde(rename = "by")]
    pub aggregator: Option<Name>,
    /// Age of the oldest count in the sum, in milliseconds.
    pub age_ms: u64,
    /// Nodes in the sum.
    #[serde(rename = "covered")]
    pub coverage: CoverageSnapshot,
    /// An upper bound of any tenant's requests in flight at the other nodes.
    #[serde(rename = "most")]
    pub max_in_flight: u32,
    /// What the node concludes of the shared database.
    pub ledger: HealthState,
    /// The node's own recent calls of it.
    pub calls: CallCounts,
    /// What the other nodes observe of it.
    pub others: Tally,
}

/// How many nodes are in a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct CoverageSnapshot {
    /// Nodes in the sum.
    pub covered: u32,
    /// Nodes that the aggregator considers present.
    pub present: u32,
}
serialize_as_tuple!(CoverageSnapshot {
    covered: u32,
    present: u32,
});

/// The health of a dependency and for how long it has been that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(DependencyHealth, u64)", into = "(DependencyHealth, u64)")]
pub struct HealthState {
    /// The health.
    pub health: DependencyHealth,
    /// Milliseconds since it changed.
    pub for_ms: u64,
}
serialize_as_tuple!(HealthState {
    health: DependencyHealth,
    for_ms: u64,
});

/// Recent calls of a dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct CallCounts {
    /// All calls.
    pub total: u32,
    /// Calls that failed.
    pub failed: u32,
}
serialize_as_tuple!(CallCounts {
    total: u32,
    failed: u32,
});
