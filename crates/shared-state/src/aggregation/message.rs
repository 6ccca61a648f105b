//! Messages between reporting nodes and aggregators. `postcard` encodes them by position: the order
//! of fields and variants is the wire format.

use membership::Name;
use serde::{Deserialize, Serialize};

use super::ServiceId;
use crate::health::{ObservationCounts, ObservedHealth};
use crate::sketch_counters::CounterChange;

/// A message between a reporting node and an aggregator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AggregationMessage {
    /// From a reporting node to an aggregator.
    Report(Report),
    /// From an aggregator to a reporting node.
    Reply(AggregateReply),
}

/// A node's counters and observations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The node's incarnation.
    pub incarnation: u64,
    /// Sequence number; increases with each report.
    pub seq: u32,
    /// Sequence number of the report to which `counters` are the changes. If it is 0, counters that
    /// are not listed are zero.
    pub base_seq: u32,
    /// The time stamp of the aggregator's last reply.
    pub echo: Option<EchoedStamp>,
    /// The last sum that the node received.
    pub known_sum: SumVersion,
    /// Counters that may differ from those in the report `base_seq`.
    pub counters: Vec<CounterChange>,
    /// The node's own observations of dependencies.
    pub observations: Vec<ServiceObservation>,
    /// The node's site.
    pub site: Name,
}

/// The sum over all nodes that report, as an aggregator's reply to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AggregateReply {
    /// The aggregator's incarnation.
    pub incarnation: u64,
    /// Sequence number of the report.
    pub seq: u32,
    /// Sequence number of the node's report that is in the sum; 0 for none.
    pub held_seq: u32,
    /// Time in milliseconds on the aggregator's clock. Only the aggregator interprets it.
    pub stamp: u64,
    /// Version of the sum to which `counters` are the changes. If it is 0, counters that are not
    /// listed are zero.
    pub base_version: u64,
    /// Version of this sum.
    pub version: u64,
    /// Counters that may differ from those in the sum `base_version`.
    pub counters: Vec<CounterChange>,
    /// Number of nodes in the sum, and the sum's age.
    pub coverage: Coverage,
    /// Number of nodes that the aggregator considers present.
    pub present_nodes: u32,
    /// The other nodes' observations of dependencies.
    #[serde(rename = "tallies")]
    pub observation_counts: Vec<ServiceObservationCounts>,
}

/// An aggregator's time stamp that a reporting node sends back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedStamp {
    /// The stamp.
    pub stamp: u64,
    /// Milliseconds since it was received.
    pub elapsed_ms: u32,
}

/// Identifies one sum of one aggregator.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SumVersion {
    /// The aggregator's incarnation.
    pub incarnation: u64,
    /// Version of the sum; increases with each change.
    pub version: u64,
}

/// Number of nodes in a sum, and the sum's age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of nodes whose last report has a known age, including the receiver.
    pub nodes: u32,
    /// Age of the oldest of these reports, in milliseconds.
    pub oldest_age_ms: u32,
}

/// A node's observation of one dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceObservation {
    /// The dependency.
    pub service: ServiceId,
    /// Health that the node's own attempts show.
    pub health: ObservedHealth,
}

/// Counts of the other nodes' observations of one dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct ServiceTally")]
pub struct ServiceObservationCounts {
    /// The dependency.
    pub service: ServiceId,
    /// Counts of the observations.
    #[serde(rename = "tally")]
    pub counts: ObservationCounts,
}
