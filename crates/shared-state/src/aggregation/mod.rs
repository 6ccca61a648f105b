//! Aggregation of counts and health observations over the fleet. Each node reports to two
//! aggregators, members that a hash of the names selects, and receives from them the sum over all
//! nodes that report. Reports and replies contain changes only, and their size is bounded whatever
//! the number of tenants and nodes.
//!
//! The age of a sum is known without synchronized clocks. A report echoes the time stamp of the
//! aggregator's last reply and the time since that reply arrived. From these the aggregator knows,
//! on its own clock, a lower bound of the time at which the report was made. A reply contains
//! everything that had been reported when the report that it answers arrived.

mod aggregator;
mod message;
mod node;
mod reporter;
mod settings;
mod snapshot;

use std::time::Duration;

use membership::Name;

use crate::health::ObservationCounts;
use crate::sketch_counters::SketchCounters;

pub use message::{
    AggregateReply, AggregationMessage, Coverage, EchoedStamp, Report, ServiceObservation,
    ServiceObservationCounts, SumVersion,
};
pub use node::{AggregationNode, ReportingMember};
pub use settings::ReportingSettings;
pub use snapshot::{AggregateSnapshot, CallCounts, CoverageSnapshot, HealthState};

/// Number that identifies a dependency which all nodes share.
pub type ServiceId = u8;
/// The database that all nodes share.
pub const LEDGER: ServiceId = 0;
/// Number of dependencies whose health is reported. Their numbers are below it.
pub(crate) const MAX_SERVICES: usize = 4;

/// The counts and observations of the other nodes, as known to one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Aggregate {
    /// Counts of the other nodes, each made at `as_of` or later.
    pub others: SketchCounters,
    /// Lower bound of the time at which the counts were made, on this node's clock.
    pub as_of: Duration,
    /// Time at which the aggregate becomes too old to be used, on this node's clock.
    pub expires_at: Duration,
    /// Number of nodes in the sum, including this one.
    pub covered_nodes: u32,
    /// Number of nodes that the aggregator considers present. If it exceeds `covered_nodes`, some
    /// nodes have not been counted.
    pub present_nodes: u32,
    /// The aggregator that computed the sum; `None` before the first sum.
    pub aggregator: Option<Name>,
    /// Identifies the sum among those of its aggregator.
    pub sum_version: SumVersion,
    /// The other nodes' observations of dependencies.
    pub observation_counts: Vec<ServiceObservationCounts>,
}

impl Aggregate {
    /// Returns the estimated number of requests in flight of a key at the other nodes, or `None`
    /// without a recent aggregate.
    pub fn estimate(&self, key: u64, now: Duration) -> Option<u32> {
        (self.aggregator.is_some() && now < self.expires_at).then(|| self.others.estimate(key))
    }

    /// Returns the other nodes' observations of a dependency. They are empty without a recent
    /// aggregate.
    pub fn observation_counts(&self, service: ServiceId, now: Duration) -> ObservationCounts {
        if now >= self.expires_at {
            return ObservationCounts::default();
        }
        self.observation_counts
            .iter()
            .find(|service_counts| service_counts.service == service)
            .map(|service_counts| service_counts.counts)
            .unwrap_or_default()
    }
}
