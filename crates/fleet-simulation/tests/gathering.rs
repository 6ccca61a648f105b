//! Counts and judgements in drawn fleets: a fixed small set. `fleet-simulation gather` plays more, and other sizes.

use std::time::Duration;

use fleet_simulation::gathering::{Broken, Play, Report, World};

fn play(faults: bool, broken: Broken) -> Play {
    let loss = if faults { 0.2 } else { 0.0 };
    Play {
        nodes: 12,
        long: Duration::from_secs(30),
        loss,
        faults,
        ageless: false,
        broken,
    }
}
fn run(play: &Play, seed: u64) -> Report {
    World::new(play.clone(), seed).run()
}

/// Guards the stated age: under kills with restarts, cuts, loss, doubles, messages up to a second late and clocks that drift,
/// no estimate is lower than what the nodes in it had at the least since then; without faults it is hardly ever missing and
/// half a second old at the most.
#[test]
fn estimates_are_never_lower_than_what_was_in_flight_since_their_age() {
    for seed in 1..=8 {
        let report = run(&play(true, Broken::Nothing), seed);
        assert_eq!(report.too_low, 0, "seed {seed}");
        assert!(report.looks > 2000, "seed {seed}: {} looks", report.looks);
        let mut calm = run(&play(false, Broken::Nothing), seed);
        calm.ages.sort_unstable();
        assert_eq!(calm.too_low, 0, "seed {seed}");
        assert!(
            calm.stale * 50 < calm.looks,
            "seed {seed}: {} of {}",
            calm.stale,
            calm.looks
        );
        assert!(calm.ages[calm.ages.len() * 99 / 100] < 600, "seed {seed}");
    }
}

/// Guards the check: taken for what holds now, the same estimates are found to be too low.
#[test]
fn estimates_without_their_age_are_found_too_low() {
    let ageless = Play {
        ageless: true,
        ..play(false, Broken::Nothing)
    };
    assert!((1..=2).map(|seed| run(&ageless, seed).too_low).sum::<u64>() > 0);
}

/// Guards the judgements: a node's own path, a site's, or the ledger itself is each taken for what it is, with and without
/// other faults; those that it concerns hold back within three seconds and go on within three.
#[test]
fn what_is_broken_is_told_rightly() {
    let most = Duration::from_secs(3);
    for broken in [Broken::Path, Broken::Site, Broken::Ledger] {
        for seed in 1..=4 {
            assert_eq!(
                run(&play(true, broken), seed).wrong,
                0,
                "{broken:?}, seed {seed}"
            );
            let calm = run(&play(false, broken), seed);
            assert_eq!(calm.wrong, 0, "{broken:?}, seed {seed}");
            assert!(
                calm.held_back.is_some_and(|(_, all)| all < most),
                "{broken:?}, seed {seed}: {calm:?}"
            );
            assert!(
                calm.went_on.is_some_and(|on| on < most),
                "{broken:?}, seed {seed}"
            );
        }
    }
    assert_eq!(run(&play(true, Broken::Nothing), 5).held_back, None);
}
