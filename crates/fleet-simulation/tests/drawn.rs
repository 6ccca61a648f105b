//! The hard cases on drawn fleets of the shipped view: a fixed small set. `fleet-simulation hard` plays more of them, beside
//! the baselines.

use std::time::Duration;

use fleet_simulation::plays::{play, sized, whole, wrongly, CASES};
use fleet_simulation::{Fleet, Network, PlainSwim, ViewPeer};

#[test]
fn views_settle_after_every_hard_case_and_give_nobody_up_wrongly() {
    for case in CASES {
        for seed in 1..=2 {
            let outcome = play::<ViewPeer>(case, 24, seed);
            let settled = outcome
                .settled
                .unwrap_or_else(|| panic!("{case:?} with seed {seed} never settles"));
            assert!(
                settled < Duration::from_secs(20),
                "{case:?} with seed {seed}: {settled:?}"
            );
            assert_eq!(outcome.wrongly, 0, "{case:?} with seed {seed}");
        }
    }
}

/// Guards the plays themselves: without what the view adds, sides that gave each other up never meet again.
#[test]
fn plain_swim_does_not_heal() {
    let outcome = play::<PlainSwim>(fleet_simulation::plays::Case::Halves, 12, 1);
    assert_eq!(outcome.settled, None);
}

#[test]
fn equal_seeds_make_equal_plays() {
    let run = |seed| {
        let mut fleet: Fleet<ViewPeer> = whole(
            16,
            Network {
                loss: 0.1,
                ..Network::default()
            },
            seed,
        )
        .expect("it settles");
        fleet.run(Duration::from_secs(20));
        (0..16)
            .map(|id| fleet.traffic(id).bytes)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn traffic_does_not_grow_with_the_fleet_and_loss_alone_gives_nobody_up() {
    let (small, large) = (
        sized::<ViewPeer>(16, 1).expect("it settles"),
        sized::<ViewPeer>(96, 1).expect("it settles"),
    );
    assert!(large.bytes < small.bytes * 1.3, "{small:?} {large:?}");
    assert!(
        large
            .detected
            .is_some_and(|(_, all)| all < Duration::from_secs(12)),
        "{large:?}"
    );
    assert_eq!(
        wrongly::<ViewPeer>(64, 0.2, Duration::ZERO, Duration::from_secs(120), 1),
        Some(0)
    );
    assert_eq!(
        wrongly::<ViewPeer>(
            24,
            0.0,
            Duration::from_millis(900),
            Duration::from_secs(120),
            1
        ),
        Some(0)
    );
}
