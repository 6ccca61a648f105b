//! Messages between reporting nodes and aggregators. They are encoded by `postcard`, by position: the order of fields and
//! variants is the wire format.

use membership::Name;
use serde::{Deserialize, Serialize};

use super::ServiceId;
use crate::health::{ObservedHealth, Tally};
use crate::sketch_counters::CounterChange;

/// A message between a reporting node and an aggregator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AggregationMessage {
    /// To an aggregator.
    Report(Report),
    /// From an aggregator.
    Reply(AggregateReply),
}

/// What a node counts and observes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The node's incarnation.
    pub incarnation: u64,
    /// Sequence number; rises with each report.
    pub seq: u32,
    /// The report that holds the counters which are not in this one; 0 if those are zero.
    pub base_seq: u32,
    /// The time stamp of the aggregator's last reply.
    pub echo: Option<EchoedStamp>,
    /// The last sum that the node received.
    pub known_sum: SumVersion,
    /// Counters that may differ from the report `base_seq`.
    pub counters: Vec<CounterChange>,
    /// What the node observes of dependencies.
    pub observations: Vec<ServiceObservation>,
    /// The node's site.
    pub site: Name,
}

/// The sum over all nodes that report: an aggregator's reply to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AggregateReply {
    /// The aggregator's incarnation.
    pub incarnation: u64,
    /// Sequence number of the report.
    pub seq: u32,
    /// The node's report that is in the sum; 0 for none.
    pub held_seq: u32,
    /// Milliseconds on the aggregator's clock; only the aggregator interprets it.
    pub stamp: u64,
    /// The version of the sum that holds the counters which are not in this reply; 0 if those are zero.
    pub base_version: u64,
    /// Version of this sum.
    pub version: u64,
    /// Counters that may differ from the sum `base_version`.
    pub counters: Vec<CounterChange>,
    /// How many nodes are in the sum, and how old it is.
    pub coverage: Coverage,
    /// Nodes that the aggregator considers present.
    pub present_nodes: u32,
    /// What the other nodes observe of dependencies.
    pub tallies: Vec<ServiceTally>,
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
    /// Version of the sum; rises with each change.
    pub version: u64,
}

/// How many nodes are in a sum, and how old it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Nodes whose report's age is known, the receiver's own included.
    pub nodes: u32,
    /// Age of the oldest of these reports, in milliseconds.
    pub oldest_age_ms: u32,
}

/// A node's observation of one dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceObservation {
    /// The dependency.
    pub service: ServiceId,
    /// What the node's own attempts show.
    pub health: ObservedHealth,
}

/// What the other nodes observe of one dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTally {
    /// The dependency.
    pub service: ServiceId,
    /// The observations.
    pub tally: Tally,
}
