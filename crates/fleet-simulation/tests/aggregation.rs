//! Aggregated counts and health in simulated fleets: a fixed small set. `fleet-simulation` runs more, and other sizes.

use std::time::Duration;

use fleet_simulation::aggregation::{
    AggregationReport, AggregationScenario, AggregationSimulation, LedgerOutage,
};

fn scenario(has_faults: bool, outage: LedgerOutage) -> AggregationScenario {
    AggregationScenario {
        node_count: 12,
        duration: Duration::from_secs(30),
        loss: if has_faults { 0.2 } else { 0.0 },
        has_faults,
        ignores_age: false,
        outage,
    }
}

fn run(scenario: &AggregationScenario, seed: u64) -> AggregationReport {
    AggregationSimulation::new(scenario.clone(), seed).run()
}

/// Guards the stated age: under kills with restarts, partitions, loss, duplicates, messages up to a second late and clocks
/// that drift, no estimate is lower than what the nodes in it had in flight at least since then. Without faults it is
/// hardly ever missing, and half a second old at most.
#[test]
fn estimates_are_never_lower_than_what_was_in_flight_since_their_age() {
    for seed in 1..=8 {
        let faulty = run(&scenario(true, LedgerOutage::None), seed);
        assert_eq!(faulty.too_low, 0, "seed {seed}");
        let estimates = faulty.estimates;
        assert!(estimates > 2000, "seed {seed}: {estimates} estimates");
        let mut calm = run(&scenario(false, LedgerOutage::None), seed);
        calm.ages_ms.sort_unstable();
        assert_eq!(calm.too_low, 0, "seed {seed}");
        assert!(
            calm.missing * 50 < calm.estimates,
            "seed {seed}: {} missing beside {}",
            calm.missing,
            calm.estimates
        );
        let percentile_99 = calm.ages_ms[calm.ages_ms.len() * 99 / 100];
        assert!(percentile_99 < 600, "seed {seed}: {percentile_99} ms");
    }
}

/// Guards the check: taken as current, the same estimates are found to be too low.
#[test]
fn estimates_without_their_age_are_found_too_low() {
    let scenario = AggregationScenario {
        ignores_age: true,
        ..scenario(false, LedgerOutage::None)
    };
    let too_low: u64 = (1..=2).map(|seed| run(&scenario, seed).too_low).sum();
    assert!(too_low > 0);
}

/// Guards the conclusions: an outage at one node, at one site or everywhere is recognized as what it is, with and without
/// other faults. The nodes that it concerns limit their calls within three seconds, and resume within three.
#[test]
fn the_extent_of_an_outage_is_recognized() {
    let max_reaction = Duration::from_secs(3);
    for outage in [
        LedgerOutage::OneNode,
        LedgerOutage::OneSite,
        LedgerOutage::Everywhere,
    ] {
        for seed in 1..=4 {
            let faulty = run(&scenario(true, outage), seed);
            assert_eq!(faulty.wrong_conclusions, 0, "{outage:?}, seed {seed}");
            let calm = run(&scenario(false, outage), seed);
            assert_eq!(calm.wrong_conclusions, 0, "{outage:?}, seed {seed}");
            assert!(
                calm.limited_after
                    .is_some_and(|after| after.last < max_reaction),
                "{outage:?}, seed {seed}: {calm:?}"
            );
            assert!(
                calm.resumed_after.is_some_and(|after| after < max_reaction),
                "{outage:?}, seed {seed}"
            );
        }
    }
    let without_outage = run(&scenario(true, LedgerOutage::None), 5);
    assert_eq!(without_outage.limited_after, None);
}
