//! Aggregation of counts and of a dependency's health in a simulated fleet. Clocks drift, messages
//! are lost, duplicated and late, membership views lag behind, and some nodes can't reach a
//! dependency, the ledger. The estimates and conclusions of the nodes are checked against the true
//! state.

mod checks;
mod delivery;
mod simulation;

use std::time::Duration;

pub use simulation::AggregationSimulation;

/// The nodes that can't reach the ledger during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerOutage {
    /// All nodes can reach it.
    None,
    /// One node can't reach it.
    OneNode,
    /// The nodes of one site can't reach it.
    OneSite,
    /// No node can reach it.
    Everywhere,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct AggregationScenario {
    /// Number of nodes in the fleet.
    pub node_count: usize,
    /// Simulated duration. An outage of the ledger begins after a third of it and ends after two
    /// thirds.
    pub duration: Duration,
    /// Fraction of messages that are lost. If it is above zero, a tenth of the others are
    /// duplicated, and some messages take up to a second.
    pub loss: f64,
    /// True if nodes are killed and restarted and the network is partitioned.
    pub has_faults: bool,
    /// True if estimates are checked as if their age were zero, to show that the check detects
    /// estimates that are too low.
    pub ignores_age: bool,
    /// The nodes that can't reach the ledger in the middle third of the simulation.
    pub outage: LedgerOutage,
}

/// Times until the first and the last node reacted to an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReactionTimes {
    /// Duration until the first node reacted.
    pub first: Duration,
    /// Duration until the last node reacted.
    pub last: Duration,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct AggregationReport {
    /// Number of estimates that were checked.
    pub estimates: u64,
    /// Number of checks at which there was no current estimate.
    pub missing: u64,
    /// Number of estimates that were lower than the sum of the minimum counts that the contributing
    /// nodes have had since the stated time.
    pub too_low: u64,
    /// Sum of the amounts by which estimates that covered all nodes were too high.
    pub excess: u64,
    /// Sum of the requests that the other nodes actually had in flight, over the estimates that
    /// covered all nodes.
    pub actual_in_flight: u64,
    /// Ages of the estimates, in milliseconds.
    pub ages_ms: Vec<u64>,
    /// Number of wrong conclusions on the ledger's health: `Down` while some node could reach it,
    /// or `OnlyHere` while this node could reach it or more than two seconds after an outage at all
    /// nodes began.
    pub wrong_conclusions: u64,
    /// Number of conclusions that were checked.
    pub conclusions: u64,
    /// Durations from the start of the outage until the first and the last of the nodes that
    /// limited their calls did so; `None` if no node did.
    pub limited_after: Option<ReactionTimes>,
    /// Duration from the end of the outage until the last of these nodes lifted the limit; `None`
    /// if not all did.
    pub resumed_after: Option<Duration>,
    /// Maximum number of bytes that a node sent, including the headers of UDP and IP.
    pub max_sent_bytes: u64,
    /// Number of bytes that all nodes sent, including the headers of UDP and IP.
    pub total_sent_bytes: u64,
    /// Maximum memory that a node used, in bytes.
    pub max_memory_bytes: usize,
}
