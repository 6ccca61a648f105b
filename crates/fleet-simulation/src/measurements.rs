//! Measurements of a fleet: how it scales, and how often members are declared dead by mistake.

use std::time::Duration;

use crate::scenarios::{settled_fleet, SETTLE_TIMEOUT, TEST_INTERVAL};
use crate::{FleetSimulation, Network, Peer, Traffic};

/// By when the updates that the start left behind have been spread.
const QUIET_TIME: Duration = Duration::from_secs(60);
/// How long traffic is measured, in seconds.
const TRAFFIC_SECONDS: u64 = 10;

/// How long a failure took to be detected.
#[derive(Clone, Copy, Debug)]
pub struct DetectionTimes {
    /// Until the first of the other nodes declared the node dead.
    pub first: Duration,
    /// Until the last of them did.
    pub last: Duration,
}

/// What was measured in a fleet of one size.
#[derive(Clone, Copy, Debug)]
pub struct SizeMeasurement {
    /// How long the others took to detect that a node was killed; none if nobody did.
    pub detection: Option<DetectionTimes>,
    /// How long it took from a node's start until all others considered it present.
    pub join_time: Option<Duration>,
    /// Datagrams that a node sent in a second without any changes.
    pub datagrams_per_second: f64,
    /// Bytes that a node sent in a second without any changes.
    pub bytes_per_second: f64,
}

/// Measures a fleet of this size: its traffic, a node that is killed, and one that is started again.
pub fn measure_size<P: Peer>(size: usize, seed: u64) -> Option<SizeMeasurement> {
    let mut fleet = settled_fleet::<P>(size, Network::default(), seed)?;
    let traffic = measure_traffic(&mut fleet);
    let per_node_second = |count: u64| count as f64 / TRAFFIC_SECONDS as f64 / size as f64;
    // The first two are seeds.
    let killed = 2 + fleet.random_index(size - 2);
    fleet.kill(killed);
    let killed_at = fleet.now();
    fleet.run_until(SETTLE_TIMEOUT, TEST_INTERVAL, |fleet| {
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
    let join_time = fleet.run_until(SETTLE_TIMEOUT, TEST_INTERVAL, FleetSimulation::is_settled);
    Some(SizeMeasurement {
        detection,
        join_time,
        datagrams_per_second: per_node_second(traffic.datagrams),
        bytes_per_second: per_node_second(traffic.bytes),
    })
}

/// What all nodes send in [`TRAFFIC_SECONDS`] without any changes.
fn measure_traffic<P: Peer>(fleet: &mut FleetSimulation<P>) -> Traffic {
    fleet.run(QUIET_TIME);
    let before = fleet.total_traffic();
    fleet.run(Duration::from_secs(TRAFFIC_SECONDS));
    let after = fleet.total_traffic();
    Traffic {
        datagrams: after.datagrams - before.datagrams,
        bytes: after.bytes - before.bytes,
    }
}

/// Under which faults false deaths are counted.
#[derive(Clone, Copy, Debug)]
pub struct FalseDeathConditions {
    /// How many nodes the fleet has.
    pub size: usize,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// One node does everything late by up to this time; zero for none.
    pub max_lateness: Duration,
    /// How long deaths are counted.
    pub duration: Duration,
}

/// Counts how often a member is declared dead by mistake. None if the fleet does not settle first.
pub fn count_false_deaths<P: Peer>(conditions: &FalseDeathConditions, seed: u64) -> Option<usize> {
    let mut fleet = settled_fleet::<P>(conditions.size, Network::default(), seed)?;
    fleet.network.loss = conditions.loss;
    if !conditions.max_lateness.is_zero() {
        fleet.slow_down(conditions.size / 2, conditions.max_lateness);
    }
    fleet.run(conditions.duration);
    Some(fleet.false_deaths.len())
}
