//! Aggregation of counts and of a dependency's health in a simulated fleet: clocks that drift, messages that are lost,
//! duplicated and late, membership views that lag behind, and a ledger that some nodes can't reach. What the nodes estimate
//! and conclude is checked against what is true.

mod checks;
mod delivery;
mod simulation;

use std::time::Duration;

pub use simulation::AggregationSimulation;

/// Which nodes can't reach the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerOutage {
    /// All can.
    None,
    /// One node can't.
    OneNode,
    /// No node of one site can.
    OneSite,
    /// No node can.
    Everywhere,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct AggregationScenario {
    /// How many nodes the fleet has.
    pub node_count: usize,
    /// How long it runs. An outage of the ledger lasts from a third of this to two thirds.
    pub duration: Duration,
    /// The fraction of messages that is lost. Where there is loss, a tenth is duplicated, and some take up to a second.
    pub loss: f64,
    /// Whether nodes are killed and restarted and the network is divided.
    pub has_faults: bool,
    /// Whether estimates are checked as if they were true of the moment at which they are read, to show that the check
    /// finds something.
    pub ignores_age: bool,
    /// Which nodes can't reach the ledger in the middle third.
    pub outage: LedgerOutage,
}

/// When the first and the last of some nodes did something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstAndLast {
    /// When the first did.
    pub first: Duration,
    /// When the last did.
    pub last: Duration,
}

/// What came of a simulation.
#[derive(Clone, Debug, Default)]
pub struct AggregationReport {
    /// How many estimates were checked.
    pub estimates: u64,
    /// How often there was no current estimate.
    pub missing: u64,
    /// How many estimates were lower than what the nodes counted in them had at least since the stated time.
    pub too_low: u64,
    /// By how much estimates were too high, in all, where they covered all nodes.
    pub excess: u64,
    /// What the other nodes really had in flight, in all, where estimates covered all nodes.
    pub counted: u64,
    /// The ages of the estimates, in milliseconds.
    pub ages_ms: Vec<u64>,
    /// How many conclusions on the ledger's health were wrong: down while some node could reach it, only here while this
    /// node could or, for two seconds and more, while nobody could.
    pub wrong_conclusions: u64,
    /// How many conclusions were checked.
    pub conclusions: u64,
    /// How long after the outage began the nodes that it concerns limited their calls; none if no node did.
    pub limited_after: Option<FirstAndLast>,
    /// How long after the outage ended the last of them lifted the limit; none if not all did.
    pub resumed_after: Option<Duration>,
    /// Bytes that the node sent that sent the most, including the headers of UDP and IP.
    pub max_sent_bytes: u64,
    /// Bytes that all nodes sent, including the headers of UDP and IP.
    pub total_sent_bytes: u64,
    /// Bytes of memory of the node that needed the most.
    pub max_memory_bytes: usize,
}
