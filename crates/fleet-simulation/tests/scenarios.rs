//! Recovery of simulated fleets of the shipped view, for a small fixed set of seeds.
//! `fleet-simulation hard` runs more of them, and compares them with the baselines.

use std::time::Duration;

use fleet_simulation::measurements::{count_false_deaths, measure_size, FalseDeathConditions};
use fleet_simulation::scenarios::{run_scenario, settled_fleet, Scenario};
use fleet_simulation::{FleetSimulation, Network, PlainSwimPeer, ViewPeer};

#[test]
fn views_settle_after_every_scenario_without_false_deaths() {
    for scenario in Scenario::ALL {
        for seed in 1..=2 {
            let outcome = run_scenario::<ViewPeer>(scenario, 24, seed);
            let settled_after = outcome
                .settled_after
                .unwrap_or_else(|| panic!("{scenario:?} with seed {seed} does not settle"));
            assert!(
                settled_after < Duration::from_secs(20),
                "{scenario:?} with seed {seed}: {settled_after:?}"
            );
            assert_eq!(
                outcome.false_death_count, 0,
                "{scenario:?} with seed {seed}"
            );
        }
    }
}

/// Guards against a scenario that tests nothing: without the extensions of the view, the sides of a
/// partition that declared each other dead do not rejoin.
#[test]
fn plain_swim_does_not_recover_from_a_partition() {
    let outcome = run_scenario::<PlainSwimPeer>(Scenario::Halves, 12, 1);
    assert_eq!(outcome.settled_after, None);
}

#[test]
fn equal_seeds_give_equal_simulations() {
    let sent_bytes = |seed| {
        let network = Network {
            loss: 0.1,
            ..Network::default()
        };
        let mut fleet: FleetSimulation<ViewPeer> =
            settled_fleet(16, network, seed).expect("the fleet settles");
        fleet.run(Duration::from_secs(20));
        (0..16)
            .map(|id| fleet.traffic(id).bytes)
            .collect::<Vec<_>>()
    };
    assert_eq!(sent_bytes(3), sent_bytes(3));
    assert_ne!(sent_bytes(3), sent_bytes(4));
}

#[test]
fn traffic_per_node_does_not_grow_with_the_fleet() {
    let small = measure_size::<ViewPeer>(16, 1).expect("the fleet settles");
    let large = measure_size::<ViewPeer>(96, 1).expect("the fleet settles");
    assert!(
        large.bytes_per_second < small.bytes_per_second * 1.3,
        "{small:?} {large:?}"
    );
    let detection = large.detection.expect("the others detect the failure");
    assert!(detection.last < Duration::from_secs(12), "{large:?}");
}

#[test]
fn loss_or_a_slow_node_causes_no_false_deaths() {
    let loss = FalseDeathConditions {
        size: 64,
        loss: 0.2,
        max_lateness: Duration::ZERO,
        duration: Duration::from_secs(120),
    };
    assert_eq!(count_false_deaths::<ViewPeer>(&loss, 1), Some(0));
    let slow_node = FalseDeathConditions {
        size: 24,
        loss: 0.0,
        max_lateness: Duration::from_millis(900),
        duration: Duration::from_secs(120),
    };
    assert_eq!(count_false_deaths::<ViewPeer>(&slow_node, 1), Some(0));
}
