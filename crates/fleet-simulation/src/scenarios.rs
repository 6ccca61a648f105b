//! Faults that a fleet must recover from, as described in `docs/fleet.md`.

use std::time::Duration;

use crate::{FleetSimulation, Network, NodeId, Peer};

/// A fault or a sequence of faults, and how they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All nodes start at once, with one seed.
    Start,
    /// All nodes start at once; one of two seeds is down.
    SeedDown,
    /// A third of the nodes is killed at once.
    ThirdKilled,
    /// The network is partitioned into halves for a minute.
    Halves,
    /// The network is partitioned two to one for a minute.
    TwoToOne,
    /// The network is partitioned into thirds for a minute.
    InThree,
    /// One node is isolated from all others for a minute.
    OneIsolated,
    /// One node receives nothing for a minute.
    OneDeaf,
    /// Nothing that one node sends is received for a minute.
    OneMute,
    /// The network is partitioned into halves. Two nodes on each side restart before it heals.
    RestartsWhileDivided,
    /// A fifth of all datagrams are lost for a minute, and the others take up to 100 ms.
    HeavyLoss,
    /// One node is paused for 5 s.
    Paused,
    /// One node restarts in less time than the duration of a suspicion.
    QuickRestart,
    /// All nodes restart one after the other, at intervals of 1 s.
    RollingRestart,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 14] = [
        Scenario::Start,
        Scenario::SeedDown,
        Scenario::ThirdKilled,
        Scenario::Halves,
        Scenario::TwoToOne,
        Scenario::InThree,
        Scenario::OneIsolated,
        Scenario::OneDeaf,
        Scenario::OneMute,
        Scenario::RestartsWhileDivided,
        Scenario::HeavyLoss,
        Scenario::Paused,
        Scenario::QuickRestart,
        Scenario::RollingRestart,
    ];

    /// Returns true if the scenario is a network fault that ends after a minute.
    fn is_network_fault(self) -> bool {
        matches!(
            self,
            Scenario::Halves
                | Scenario::TwoToOne
                | Scenario::InThree
                | Scenario::OneIsolated
                | Scenario::OneDeaf
                | Scenario::OneMute
                | Scenario::RestartsWhileDivided
                | Scenario::HeavyLoss
        )
    }
}

/// Result of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Duration until all views of each partition had settled, from the end of the last fault, or
    /// from its beginning if it does not end. `None` if they had not settled within two minutes.
    pub settled_after: Option<Duration>,
    /// Number of times that a running, reachable member was declared dead.
    pub false_death_count: usize,
}

/// Interval at which a condition is tested.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration until a fleet has settled.
pub(crate) const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Duration of a network fault.
const FAULT_DURATION: Duration = Duration::from_secs(60);
/// Duration of a pause of a node.
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// Returns a fleet that has started and settled, or `None` if it does not settle.
pub fn settled_fleet<P: Peer>(
    size: usize,
    network: Network,
    seed: u64,
) -> Option<FleetSimulation<P>> {
    let mut fleet: FleetSimulation<P> = FleetSimulation::new(size, vec![0, 1], network, seed);
    fleet.start_all();
    run_until_settled(&mut fleet)?;
    fleet.run(Duration::from_secs(5));
    run_until_settled(&mut fleet)?;
    fleet.false_deaths.clear();
    fleet.true_deaths.clear();
    Some(fleet)
}

fn run_until_settled<P: Peer>(fleet: &mut FleetSimulation<P>) -> Option<Duration> {
    fleet.run_until(SETTLE_TIMEOUT, POLL_INTERVAL, FleetSimulation::is_settled)
}

/// Runs a scenario in a fleet of this size.
pub fn run_scenario<P: Peer>(scenario: Scenario, size: usize, seed: u64) -> Outcome {
    match scenario {
        Scenario::Start => run_start::<P>(size, vec![0], seed),
        // No node of the fleet has the index `size`, so that the second seed does not answer.
        Scenario::SeedDown => run_start::<P>(size, vec![0, size], seed),
        _ => run_fault::<P>(scenario, size, seed),
    }
}

fn run_start<P: Peer>(size: usize, seeds: Vec<NodeId>, seed: u64) -> Outcome {
    let mut fleet: FleetSimulation<P> = FleetSimulation::new(size, seeds, Network::default(), seed);
    fleet.start_all();
    measure_settlement(&mut fleet)
}

fn run_fault<P: Peer>(scenario: Scenario, size: usize, seed: u64) -> Outcome {
    let Some(mut fleet) = settled_fleet::<P>(size, Network::default(), seed) else {
        return Outcome {
            settled_after: None,
            false_death_count: 0,
        };
    };
    inject_fault(&mut fleet, scenario, size);
    if scenario.is_network_fault() {
        fleet.run(FAULT_DURATION);
        fleet.heal();
        fleet.network = Network::default();
    }
    if scenario == Scenario::Paused {
        fleet.run(PAUSE_DURATION);
    }
    measure_settlement(&mut fleet)
}

fn measure_settlement<P: Peer>(fleet: &mut FleetSimulation<P>) -> Outcome {
    Outcome {
        settled_after: run_until_settled(fleet),
        false_death_count: fleet.false_deaths.len(),
    }
}

fn inject_fault<P: Peer>(fleet: &mut FleetSimulation<P>, scenario: Scenario, size: usize) {
    let target = fleet.random_index(size);
    match scenario {
        Scenario::Start | Scenario::SeedDown => {}
        Scenario::ThirdKilled => {
            for id in (2..size).step_by(3) {
                fleet.kill(id);
            }
        }
        Scenario::Halves => fleet.partition(|id| (id % 2) as u8),
        Scenario::TwoToOne => fleet.partition(|id| u8::from(id % 3 == 0)),
        Scenario::InThree => fleet.partition(|id| (id % 3) as u8),
        Scenario::OneIsolated => fleet.partition(|id| u8::from(id == target)),
        Scenario::OneDeaf => fleet.drop_inbound(target),
        Scenario::OneMute => fleet.drop_outbound(target),
        Scenario::RestartsWhileDivided => {
            fleet.partition(|id| (id % 2) as u8);
            fleet.run(FAULT_DURATION / 2);
            for id in 2..6 {
                restart(fleet, id, Duration::from_millis(700));
            }
        }
        Scenario::HeavyLoss => {
            fleet.network = Network {
                loss: 0.2,
                duplication: 0.02,
                min_delay: Duration::from_millis(1),
                max_delay: Duration::from_millis(100),
            };
        }
        Scenario::Paused => fleet.pause(target, PAUSE_DURATION),
        Scenario::QuickRestart => restart(fleet, target, Duration::from_millis(800)),
        Scenario::RollingRestart => {
            for id in 0..size {
                restart(fleet, id, Duration::from_millis(300));
                fleet.run(Duration::from_millis(700));
            }
        }
    }
}

/// Kills a node and starts it again after `downtime`.
fn restart<P: Peer>(fleet: &mut FleetSimulation<P>, id: NodeId, downtime: Duration) {
    fleet.kill(id);
    fleet.run(downtime);
    fleet.start(id);
}
