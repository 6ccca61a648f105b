//! Sharing of a budget of concurrent calls in a simulated fleet: the shipped leases and two baselines, under kills, pauses,
//! partitions, lost messages and clocks that drift. A ledger counts what is really in flight.

mod calls;
mod faults;
mod simulation;

use std::time::Duration;

use shared_state::LeaseTimings;

pub use simulation::BudgetSimulation;

/// How the nodes share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharingStrategy {
    /// The shipped one: a leader leases quotas.
    Leases,
    /// Each node has an equal quota that never changes.
    Static,
    /// Each node begins a call while the sum of what the others last reported is below the total.
    Estimates,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct BudgetScenario {
    /// How many nodes share the budget.
    pub node_count: usize,
    /// The total: how many calls may be in flight at once.
    pub total: u64,
    /// The part of the total that each node has guaranteed.
    pub guaranteed: u64,
    /// The fraction of messages that is lost; half as many are duplicated.
    pub loss: f64,
    /// Whether nodes are killed and paused and the network is divided.
    pub has_faults: bool,
    /// How long it runs.
    pub duration: Duration,
    /// How many calls a node would have in flight if it could, by its index and the time.
    pub demand: fn(usize, Duration) -> u64,
    /// When the total is halved, if it is.
    pub total_halved_at: Option<Duration>,
    /// The timings that the nodes use.
    pub timings: LeaseTimings,
    /// By which fraction the rates of the nodes' clocks really differ, at most.
    pub max_drift: f64,
}

impl Default for BudgetScenario {
    /// Six nodes that each want half of 120, with all faults, for a minute and a half.
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

/// What came of a simulation.
#[derive(Clone, Debug, Default)]
pub struct BudgetReport {
    /// How often the ledger was checked.
    pub checks: u64,
    /// At how many checks more than the total was in flight.
    pub exceeded: u64,
    /// The most that was in flight above the total.
    pub max_excess: u64,
    /// At how many checks the sum of what could be spent was above the total.
    pub limits_exceeded: u64,
    /// The fraction of the total that was in flight, at each tenth of a second.
    pub utilization: Vec<f64>,
    /// How many messages all nodes sent.
    pub messages: u64,
}
