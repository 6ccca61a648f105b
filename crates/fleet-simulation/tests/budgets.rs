//! Budgets in drawn fleets: a fixed small set. `fleet-simulation budgets` plays more, beside the baselines.

use std::time::Duration;

use fleet_simulation::budgets::{Play, Way, World};

fn play() -> Play {
    Play::default()
}

/// Guards the total: under kills, stops, partitions, loss, doubles, late messages and clocks that drift, the ledger never
/// has more in hand, and what could be spent never adds up to more.
#[test]
fn the_total_is_never_exceeded() {
    for seed in 1..=12 {
        let report = World::new(play(), Way::Leases, seed).run();
        assert_eq!((report.over, report.limits_over), (0, 0), "seed {seed}");
        assert!(report.looks > 1000, "seed {seed}: {} looks", report.looks);
    }
}

/// Guards the check: clocks whose rates differ by far more than is believed are found.
#[test]
fn clocks_beyond_the_stated_drift_are_found() {
    let wild = Play {
        drift: 1.2,
        ..play()
    };
    let reports: Vec<_> = (1..=12)
        .map(|seed| World::new(wild.clone(), Way::Leases, seed).run())
        .collect();
    assert!(
        reports.iter().any(|r| r.over + r.limits_over > 0),
        "parts are granted again while they are spent"
    );
}

/// Guards the check: estimates exceed the total in the same plays.
#[test]
fn estimates_exceed_it() {
    let over: u64 = (1..=4)
        .map(|seed| World::new(play(), Way::Estimates, seed).run().over)
        .sum();
    assert!(over > 0);
}

#[test]
fn demand_at_one_node_gets_the_total_in_seconds() {
    let skewed = Play {
        loss: 0.0,
        faults: false,
        floor: 0,
        long: Duration::from_secs(40),
        // All alike for 20 s, then one wants nearly all.
        demand: |id, now| {
            if now < Duration::from_secs(20) {
                20
            } else if id == 4 {
                120
            } else {
                5
            }
        },
        ..play()
    };
    let report = World::new(skewed.clone(), Way::Leases, 1).run();
    assert_eq!(report.over, 0);
    let after: Vec<f64> = report.use_of_total[225..].to_vec();
    let mean = after.iter().sum::<f64>() / after.len() as f64;
    assert!(mean > 0.93, "{mean}");
    let fixed = World::new(skewed, Way::Static, 1).run();
    let mean = fixed.use_of_total[225..].iter().sum::<f64>() / after.len() as f64;
    assert!(mean < 0.5, "{mean}");
}

#[test]
fn a_total_cut_by_half_under_full_use_holds_once_what_was_granted_has_ended() {
    let cut = Play {
        faults: false,
        loss: 0.05,
        cut: Some(Duration::from_secs(30)),
        ..play()
    };
    for seed in 1..=4 {
        let report = World::new(cut.clone(), Way::Leases, seed).run();
        assert_eq!((report.over, report.limits_over), (0, 0), "seed {seed}");
        let last = report.use_of_total[report.use_of_total.len() - 100..]
            .iter()
            .sum::<f64>()
            / 100.0;
        assert!(last > 0.85, "{last}");
    }
}
