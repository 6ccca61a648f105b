//! Tables of a shared budget: how often its total is exceeded under faults, and how quickly quotas
//! follow the demand.

use std::time::Duration;

use fleet_simulation::budgets::{BudgetReport, BudgetScenario, BudgetSimulation, SharingStrategy};

use crate::parallel::run_seeds;
use crate::statistics::mean;

/// Maximum number of runs of a scenario without random faults, which needs fewer runs.
const MAX_RUNS_WITHOUT_FAULTS: u64 = 20;

fn run(scenario: &BudgetScenario, strategy: SharingStrategy, runs: u64) -> Vec<BudgetReport> {
    run_seeds(runs, |seed| {
        BudgetSimulation::new(scenario.clone(), strategy, seed).run()
    })
}

/// Prints how often the total was exceeded under faults, for each strategy.
pub(crate) fn print_strategies(nodes: usize, runs: u64) {
    let scenario = BudgetScenario {
        node_count: nodes,
        ..BudgetScenario::default()
    };
    println!(
        "| strategy | runs | checks | total exceeded | max excess | limits exceed total | utilization, mean |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for strategy in [
        SharingStrategy::Leases,
        SharingStrategy::Static,
        SharingStrategy::Estimates,
    ] {
        let reports = run(&scenario, strategy, runs);
        let sum = |value: fn(&BudgetReport) -> u64| reports.iter().map(value).sum::<u64>();
        let max_excess = reports.iter().map(|r| r.max_excess).max().unwrap_or(0);
        let utilization = reports.iter().map(|r| mean(&r.utilization)).sum::<f64>() / runs as f64;
        println!(
            "| {strategy:?} | {runs} | {} | {} | {max_excess} | {} | {utilization:.2} |",
            sum(|report| report.checks),
            sum(|report| report.exceeded),
            sum(|report| report.limits_exceeded)
        );
    }
}

/// Returns a demand of 20 calls on each node for 20 s. After that, one node demands most of the
/// total.
fn skewed_demand(node: usize, now: Duration) -> u64 {
    if now < Duration::from_secs(20) {
        20
    } else if node == 4 {
        96
    } else {
        5
    }
}

/// Prints how quickly the quotas follow when one node demands most of the total.
pub(crate) fn print_skewed_demand(nodes: usize, runs: u64) {
    let scenario = BudgetScenario {
        node_count: nodes,
        guaranteed: 0,
        loss: 0.0,
        has_faults: false,
        duration: Duration::from_secs(40),
        demand: skewed_demand,
        ..BudgetScenario::default()
    };
    println!("\n| one of {nodes} wants 80% from 20 s on | utilization at 1 s | 2 s | 3 s | mean of 5 s to 15 s |");
    println!("| --- | --- | --- | --- | --- |");
    for strategy in [SharingStrategy::Leases, SharingStrategy::Static] {
        let reports = run(&scenario, strategy, runs.min(MAX_RUNS_WITHOUT_FAULTS));
        // Samples are 100 ms apart.
        let mean_utilization = |first_sample: usize, end: usize| {
            reports
                .iter()
                .map(|report| mean(&report.utilization[first_sample..end]))
                .sum::<f64>()
                / reports.len() as f64
        };
        println!(
            "| {strategy:?} | {:.2} | {:.2} | {:.2} | {:.2} |",
            mean_utilization(209, 211),
            mean_utilization(219, 221),
            mean_utilization(229, 231),
            mean_utilization(250, 350)
        );
    }
}

/// Prints how often the total is exceeded after it is halved under full use.
pub(crate) fn print_halved_total(nodes: usize, runs: u64) {
    let scenario = BudgetScenario {
        node_count: nodes,
        has_faults: false,
        loss: 0.05,
        total_halved_at: Some(Duration::from_secs(30)),
        ..BudgetScenario::default()
    };
    let runs = runs.min(MAX_RUNS_WITHOUT_FAULTS);
    let reports = run(&scenario, SharingStrategy::Leases, runs);
    let exceeded: u64 = reports.iter().map(|report| report.exceeded).sum();
    println!(
        "\ntotal halved under full use, {} runs: exceeded at {exceeded} checks once 8 s had passed",
        reports.len()
    );
}
