//! Sharing of a budget of concurrent calls in a simulated fleet: the shipped leases and two
//! baselines, under kills, pauses, partitions, lost messages and clocks that drift. The ledger,
//! which receives the calls, counts those that are actually in flight.

mod calls;
mod faults;
mod simulation;

use std::time::Duration;

use shared_state::LeaseTimings;

pub use simulation::BudgetSimulation;

/// Strategies by which the nodes share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharingStrategy {
    /// The shipped strategy: a leader leases quotas to the nodes.
    Leases,
    /// Each node has an equal quota that never changes.
    Static,
    /// The limit of a node is the total minus the numbers of calls that the others last reported.
    Estimates,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct BudgetScenario {
    /// Number of nodes that share the budget.
    pub node_count: usize,
    /// Total of the budget: number of calls that may be in flight at once.
    pub total: u64,
    /// Part of the total that is guaranteed to each node.
    pub guaranteed: u64,
    /// Fraction of messages that are lost. Half as many are duplicated.
    pub loss: f64,
    /// True if nodes are killed and paused and the network is partitioned.
    pub has_faults: bool,
    /// Simulated duration.
    pub duration: Duration,
    /// Returns the number of calls that a node would have in flight without limits, given its index
    /// and the simulated time.
    pub demand: fn(usize, Duration) -> u64,
    /// Simulated time at which the total is halved, if it is.
    pub total_halved_at: Option<Duration>,
    /// Lease timings of the nodes.
    pub timings: LeaseTimings,
    /// Maximum actual difference between the rates of the nodes' clocks, as a fraction.
    pub max_drift: f64,
}

impl Default for BudgetScenario {
    /// Returns a scenario of six nodes that each demand half of a total of 120 calls, with all
    /// faults, for 90 s.
    fn default() -> BudgetScenario {
        BudgetScenario {
            node_count: 6,
            total: 120,
            guaranteed: 4,
            loss: 0.2,
            has_faults: true,
            duration: Duration::from_secs(90),
            demand: |_, _| 60,
            total_halved_at: None,
            timings: LeaseTimings::default(),
            max_drift: 0.01,
        }
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct BudgetReport {
    /// Number of checks of the calls in flight.
    pub checks: u64,
    /// Number of checks at which more calls than the total were in flight.
    pub exceeded: u64,
    /// Maximum number of calls in flight above the total.
    pub max_excess: u64,
    /// Number of checks at which the sum of the nodes' limits was above the total.
    pub limits_exceeded: u64,
    /// Fraction of the total that was in flight, sampled every 100 ms.
    pub utilization: Vec<f64>,
    /// Number of messages that all nodes sent.
    pub messages: u64,
}
