//! Measurements of a fleet: the effect of its size, and how often members are declared dead by
//! mistake.

use std::time::Duration;

use crate::scenarios::{settled_fleet, POLL_INTERVAL, SETTLE_TIMEOUT};
use crate::{FleetSimulation, Network, Peer, Traffic};

/// Time in which the updates from the start of the fleet are disseminated.
const DISSEMINATION_TIME: Duration = Duration::from_secs(60);
/// Duration for which traffic is measured, in seconds.
const TRAFFIC_SECONDS: u64 = 10;

/// Times until a failure was detected.
#[derive(Clone, Copy, Debug)]
pub struct DetectionTimes {
    /// Duration until the first of the other nodes declared the node dead.
    pub first: Duration,
    /// Duration until the last of the other nodes declared the node dead.
    pub last: Duration,
}

/// Measurements of a fleet of one size.
#[derive(Clone, Copy, Debug)]
pub struct SizeMeasurement {
    /// Times until the other nodes detected that a node was killed; `None` if no node did.
    pub detection: Option<DetectionTimes>,
    /// Duration from the restart of the killed node until all views had settled; `None` if they had
    /// not within the time limit.
    pub join_time: Option<Duration>,
    /// Mean number of datagrams that a node sent per second without any changes of the membership.
    pub datagrams_per_second: f64,
    /// Mean number of bytes that a node sent per second without any changes of the membership.
    pub bytes_per_second: f64,
}

/// Measures the traffic of a fleet, the detection of a killed node, and the time until that node
/// has rejoined after a restart. Returns `None` if the fleet does not settle first.
pub fn measure_size<P: Peer>(size: usize, seed: u64) -> Option<SizeMeasurement> {
    let mut fleet = settled_fleet::<P>(size, Network::default(), seed)?;
    let traffic = measure_traffic(&mut fleet);
    let per_node_and_second = |count: u64| count as f64 / TRAFFIC_SECONDS as f64 / size as f64;
    // The first two nodes are seeds.
    let killed = 2 + fleet.random_index(size - 2);
    fleet.kill(killed);
    let killed_at = fleet.now();
    fleet.run_until(SETTLE_TIMEOUT, POLL_INTERVAL, |fleet| {
        fleet.is_absent_everywhere(killed)
    });
    let times: Vec<Duration> = fleet
        .true_deaths
        .iter()
        .filter(|report| report.subject == killed)
        .map(|report| report.at - killed_at)
        .collect();
    let first = times.iter().min().copied();
    let last = times.iter().max().copied();
    let detection = first
        .zip(last)
        .map(|(first, last)| DetectionTimes { first, last });
    fleet.start(killed);
    let join_time = fleet.run_until(SETTLE_TIMEOUT, POLL_INTERVAL, FleetSimulation::is_settled);
    Some(SizeMeasurement {
        detection,
        join_time,
        datagrams_per_second: per_node_and_second(traffic.datagrams),
        bytes_per_second: per_node_and_second(traffic.bytes),
    })
}

/// Returns the traffic of all nodes in [`TRAFFIC_SECONDS`] without any changes of the membership.
fn measure_traffic<P: Peer>(fleet: &mut FleetSimulation<P>) -> Traffic {
    fleet.run(DISSEMINATION_TIME);
    let before = fleet.total_traffic();
    fleet.run(Duration::from_secs(TRAFFIC_SECONDS));
    let after = fleet.total_traffic();
    Traffic {
        datagrams: after.datagrams - before.datagrams,
        bytes: after.bytes - before.bytes,
    }
}

/// Conditions under which false deaths are counted.
#[derive(Clone, Copy, Debug)]
pub struct FalseDeathConditions {
    /// Number of nodes in the fleet.
    pub size: usize,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Maximum delay of all processing of one node; zero for no slow node.
    pub max_lateness: Duration,
    /// Duration for which false deaths are counted.
    pub duration: Duration,
}

/// Counts how often a member is declared dead by mistake. Returns `None` if the fleet does not
/// settle first.
pub fn count_false_deaths<P: Peer>(conditions: &FalseDeathConditions, seed: u64) -> Option<usize> {
    let mut fleet = settled_fleet::<P>(conditions.size, Network::default(), seed)?;
    fleet.network.loss = conditions.loss;
    if !conditions.max_lateness.is_zero() {
        fleet.slow_down(conditions.size / 2, conditions.max_lateness);
    }
    fleet.run(conditions.duration);
    Some(fleet.false_deaths.len())
}
