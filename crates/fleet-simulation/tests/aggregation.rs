//! Aggregated counts and health in simulated fleets, for a small fixed set of seeds. The program
//! `fleet-simulation` runs more of them, and other sizes.

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

/// Guards against estimates that are older than the age they state. Under kills with restarts,
/// partitions, loss, duplicates, messages up to a second late and clocks that drift, no estimate is
/// lower than the sum of the minimum counts that the contributing nodes have had since the stated
/// time. Without faults, estimates are rarely missing, and 99% are less than 600 ms old.
#[test]
fn estimates_are_never_lower_than_what_was_in_flight_since_their_age() {
    for seed in 1..=8 {
        let with_faults = run(&scenario(true, LedgerOutage::None), seed);
        assert_eq!(with_faults.too_low, 0, "seed {seed}");
        let estimates = with_faults.estimates;
        assert!(estimates > 2000, "seed {seed}: {estimates} estimates");
        let mut without_faults = run(&scenario(false, LedgerOutage::None), seed);
        without_faults.ages_ms.sort_unstable();
        assert_eq!(without_faults.too_low, 0, "seed {seed}");
        assert!(
            without_faults.missing * 50 < without_faults.estimates,
            "seed {seed}: {} estimates missing, {} present",
            without_faults.missing,
            without_faults.estimates
        );
        let percentile_99 = without_faults.ages_ms[without_faults.ages_ms.len() * 99 / 100];
        assert!(percentile_99 < 600, "seed {seed}: {percentile_99} ms");
    }
}

/// Guards against a check that finds nothing: if the same estimates are treated as current, some
/// are found to be too low.
#[test]
fn estimates_without_their_age_are_found_too_low() {
    let scenario = AggregationScenario {
        ignores_age: true,
        ..scenario(false, LedgerOutage::None)
    };
    let too_low: u64 = (1..=2).map(|seed| run(&scenario, seed).too_low).sum();
    assert!(too_low > 0);
}

/// Guards against wrong conclusions: the extent of an outage at one node, one site or all nodes is
/// recognized with and without other faults. Without other faults, the affected nodes limit their
/// calls within three seconds of its start and resume within three seconds of its end.
#[test]
fn the_extent_of_an_outage_is_recognized() {
    let max_reaction = Duration::from_secs(3);
    for outage in [
        LedgerOutage::OneNode,
        LedgerOutage::OneSite,
        LedgerOutage::Everywhere,
    ] {
        for seed in 1..=4 {
            let with_faults = run(&scenario(true, outage), seed);
            assert_eq!(with_faults.wrong_conclusions, 0, "{outage:?}, seed {seed}");
            let without_faults = run(&scenario(false, outage), seed);
            assert_eq!(
                without_faults.wrong_conclusions, 0,
                "{outage:?}, seed {seed}"
            );
            assert!(
                without_faults
                    .limited_after
                    .is_some_and(|after| after.last < max_reaction),
                "{outage:?}, seed {seed}: {without_faults:?}"
            );
            assert!(
                without_faults
                    .resumed_after
                    .is_some_and(|after| after < max_reaction),
                "{outage:?}, seed {seed}"
            );
        }
    }
    let without_outage = run(&scenario(true, LedgerOutage::None), 5);
    assert_eq!(without_outage.limited_after, None);
}
