//! Tables of aggregated counts and health: accuracy of estimates, conclusions during outages,
//! traffic by fleet size.

use std::time::Duration;

use fleet_simulation::aggregation::{
    AggregationReport, AggregationScenario, AggregationSimulation, LedgerOutage,
};

use crate::parallel::run_seeds;
use crate::statistics::{format_median_and_99th, format_seconds, TimeSummary};

/// Fraction of messages that are lost in scenarios with faults.
const LOSS_FRACTION: f64 = 0.2;
/// The scenarios: true if there are random faults, and the outage of the ledger.
const SCENARIOS: [(bool, LedgerOutage); 8] = [
    (false, LedgerOutage::None),
    (true, LedgerOutage::None),
    (true, LedgerOutage::OneNode),
    (true, LedgerOutage::OneSite),
    (true, LedgerOutage::Everywhere),
    (false, LedgerOutage::OneNode),
    (false, LedgerOutage::OneSite),
    (false, LedgerOutage::Everywhere),
];

/// Prints the accuracy of estimates and conclusions for each scenario.
pub(crate) fn print_scenarios(nodes: usize, runs: u64) {
    println!(
        "| scenario | estimates | too low | missing | excess, fraction | age ms, median / 99th | wrong conclusions |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (has_faults, outage) in SCENARIOS {
        let scenario = AggregationScenario {
            node_count: nodes,
            duration: Duration::from_secs(60),
            loss: if has_faults { LOSS_FRACTION } else { 0.0 },
            has_faults,
            ignores_age: false,
            outage,
        };
        let reports = run_seeds(runs, |seed| {
            AggregationSimulation::new(scenario.clone(), seed).run()
        });
        print_scenario(&scenario, &reports);
        if outage != LedgerOutage::None && !has_faults {
            print_reactions(&reports);
        }
    }
}

fn print_scenario(scenario: &AggregationScenario, reports: &[AggregationReport]) {
    let sum = |value: fn(&AggregationReport) -> u64| reports.iter().map(value).sum::<u64>();
    let ages = reports.iter().flat_map(|r| r.ages_ms.iter().copied());
    let excess = sum(|report| report.excess) as f64;
    let actual_in_flight = sum(|report| report.actual_in_flight).max(1) as f64;
    println!(
        "| {:?}, faults {} | {} | {} | {} | {:.3} | {} | {} of {} |",
        scenario.outage,
        scenario.has_faults,
        sum(|report| report.estimates),
        sum(|report| report.too_low),
        sum(|report| report.missing),
        excess / actual_in_flight,
        format_median_and_99th(ages.collect()),
        sum(|report| report.wrong_conclusions),
        sum(|report| report.conclusions)
    );
}

/// Prints how quickly the nodes reacted to an outage and to its end.
fn print_reactions(reports: &[AggregationReport]) {
    let format = |value: fn(&AggregationReport) -> Option<Duration>| {
        let times = TimeSummary::new(reports.iter().filter_map(value));
        format!(
            "{} / {} in {} runs",
            format_seconds(times.median),
            format_seconds(times.max),
            times.count
        )
    };
    println!(
        "| calls limited after (median / worst s): first {}, all {}; resumed after: {} | | | | | | |",
        format(|report| report.limited_after.map(|after| after.first)),
        format(|report| report.limited_after.map(|after| after.last)),
        format(|report| report.resumed_after)
    );
}

/// Prints the age of estimates, the traffic and the memory in fleets of these sizes.
pub(crate) fn print_sizes(sizes: &[usize]) {
    println!("\n| nodes | age ms, median / 99th | bytes/s, mean | bytes/s, an aggregator | memory of an aggregator, kB |");
    println!("| --- | --- | --- | --- | --- |");
    for &nodes in sizes {
        let duration = Duration::from_secs(30);
        let scenario = AggregationScenario {
            node_count: nodes,
            duration,
            loss: 0.0,
            has_faults: false,
            ignores_age: false,
            outage: LedgerOutage::None,
        };
        let report = AggregationSimulation::new(scenario, 1).run();
        let per_second = |bytes: u64| bytes / duration.as_secs();
        println!(
            "| {nodes} | {} | {} | {} | {} |",
            format_median_and_99th(report.ages_ms),
            per_second(report.total_sent_bytes) / nodes as u64,
            per_second(report.max_sent_bytes),
            report.max_memory_bytes / 1024
        );
    }
}
