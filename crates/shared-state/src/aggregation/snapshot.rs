//! Read-only copies of a node's knowledge of the fleet's counts and of the shared database, for
//! tools. The names and shapes of the JSON fields are a stable format.

use membership::Name;
use serde::{Deserialize, Serialize};

use crate::health::{DependencyHealth, ObservationCounts};
use crate::tuple_format::serialize_as_tuple;

/// A node's knowledge of the fleet's counts and of the shared database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AggregateSnapshot {
    /// The members that the node reports to.
    #[serde(rename = "gatherers")]
    pub aggregators: Vec<Name>,
    /// The aggregator whose sum the node uses; `None` while it uses only its own counts.
    #[serde(rename = "by")]
    pub aggregator: Option<Name>,
    /// Age of the oldest count in the sum, in milliseconds.
    pub age_ms: u64,
    /// Numbers of nodes in the sum and of nodes present.
    #[serde(rename = "covered")]
    pub coverage: CoverageSnapshot,
    /// Upper bound of any tenant's requests in flight at the other nodes.
    #[serde(rename = "most")]
    pub max_in_flight: u32,
    /// Health of the shared database, as concluded by the node.
    pub ledger: HealthState,
    /// The node's own recent calls to the shared database.
    pub calls: CallCounts,
    /// The other nodes' observations of the shared database.
    pub others: ObservationCounts,
}

/// Numbers of nodes in a sum and of nodes present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct CoverageSnapshot {
    /// Number of nodes in the sum.
    pub covered: u32,
    /// Number of nodes that the aggregator considers present.
    pub present: u32,
}
serialize_as_tuple!(CoverageSnapshot {
    covered: u32,
    present: u32,
});

/// The health of a dependency, and the time since it last changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(DependencyHealth, u64)", into = "(DependencyHealth, u64)")]
pub struct HealthState {
    /// The health.
    pub health: DependencyHealth,
    /// Milliseconds since the health last changed.
    pub for_ms: u64,
}
serialize_as_tuple!(HealthState {
    health: DependencyHealth,
    for_ms: u64,
});

/// Counts of recent calls to a dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct CallCounts {
    /// Number of all calls.
    pub total: u32,
    /// Number of calls that failed.
    pub failed: u32,
}
serialize_as_tuple!(CallCounts {
    total: u32,
    failed: u32,
});
