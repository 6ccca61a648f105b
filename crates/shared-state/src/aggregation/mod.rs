//! Aggregation of counts and health observations over the fleet. Each node reports to two aggregators, members that a hash of
//! the names selects, and receives from them the sum over all nodes that report. Reports and replies carry changes only, so
//! both are bounded whatever the number of tenants and nodes.
//!
//! The age of a sum is known without synchronized clocks. A report echoes the time stamp of the aggregator's last reply and
//! how long ago that came, so the aggregator knows, by its own clock, a time before which the report was not made. And a reply
//! contains everything reported by the time that its own report arrived.

mod aggregator;
mod message;
mod node;
mod reporter;
mod settings;
mod snapshot;

use std::time::Duration;

use membership::Name;

use crate::health::Tally;
use crate::sketch_counters::SketchCounters;

pub use message::{
    AggregateReply, AggregationMessage, Coverage, EchoedStamp, Report, ServiceObservation,
    ServiceTally, SumVersion,
};
pub use node::{AggregationNode, ReportingMember};
pub use settings::ReportingSettings;
pub use snapshot::{AggregateSnapshot, CallCounts, CoverageSnapshot, HealthState};

/// Number of a dependency that all nodes share.
pub type ServiceId = u8;
/// The database that all nodes share.
pub const LEDGER: ServiceId = 0;
/// Dependencies whose health is reported; their numbers are below this.
pub(crate) const MAX_SERVICES: usize = 4;

/// What a node knows of the counts and the observations of the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Aggregate {
    /// Counts of the other nodes, each as of a moment no earlier than `as_of`.
    pub others: SketchCounters,
    /// Age of the oldest counts, as a time on this node's clock.
    pub as_of: Duration,
    /// When the aggregate becomes too old to be used, on this node's clock.
    pub expires_at: Duration,
    /// Nodes in the sum, this one included.
    pub covered_nodes: u32,
    /// Nodes that the aggregator considers present; where there are more than covered, some have not been counted.
    pub present_nodes: u32,
    /// The aggregator that made the sum; none before the first.
    pub aggregator: Option<Name>,
    /// Which of its sums this is.
    pub sum: SumVersion,
    /// What the other nodes observe of dependencies.
    pub tallies: Vec<ServiceTally>,
}

impl Aggregate {
    /// Estimated requests in flight of a key at the other nodes; `None` without a recent aggregate.
    pub fn estimate(&self, key: u64, now: Duration) -> Option<u32> {
        (self.aggregator.is_some() && now < self.expires_at).then(|| self.others.estimate(key))
    }

    /// What the other nodes observe of a dependency; empty without a recent aggregate.
    pub fn tally(&self, service: ServiceId, now: Duration) -> Tally {
        if now >= self.expires_at {
            return Tally::default();
        }
        self.tallies
            .iter()
            .find(|tally| tally.service == service)
            .map(|tally| tally.tally)
            .unwrap_or_default()
    }
}
