//! Budgets in simulated fleets, for a small fixed set of seeds. `fleet-simulation budgets` runs
//! more of them, and compares them with the baselines.

use std::time::Duration;

use fleet_simulation::budgets::{BudgetReport, BudgetScenario, BudgetSimulation, SharingStrategy};

fn run(scenario: &BudgetScenario, strategy: SharingStrategy, seed: u64) -> BudgetReport {
    BudgetSimulation::new(scenario.clone(), strategy, seed).run()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Guards against exceeding the total: under kills, pauses, partitions, loss, duplicates, late
/// messages and clocks that drift, neither the number of calls in flight at the ledger nor the sum
/// of the nodes' limits is ever above the total.
#[test]
fn the_total_is_never_exceeded() {
    let scenario = BudgetScenario::default();
    for seed in 1..=12 {
        let report = run(&scenario, SharingStrategy::Leases, seed);
        assert_eq!(
            (report.exceeded, report.limits_exceeded),
            (0, 0),
            "seed {seed}"
        );
        let checks = report.checks;
        assert!(checks > 1000, "seed {seed}: {checks} checks");
    }
}

/// Guards against a check that finds nothing: if the rates of the clocks differ by far more than
/// the lease timings allow for, quotas are granted again while they are in use, and the total is
/// exceeded.
#[test]
fn clocks_beyond_the_stated_drift_exceed_the_total() {
    let scenario = BudgetScenario {
        max_drift: 1.2,
        ..BudgetScenario::default()
    };
    let reports: Vec<BudgetReport> = (1..=12)
        .map(|seed| run(&scenario, SharingStrategy::Leases, seed))
        .collect();
    assert!(
        reports.iter().any(|r| r.exceeded + r.limits_exceeded > 0),
        "no run exceeded the total"
    );
}

/// Guards against a check that finds nothing: estimates exceed the total in the same scenario.
#[test]
fn estimates_exceed_the_total() {
    let scenario = BudgetScenario::default();
    let exceeded: u64 = (1..=4)
        .map(|seed| run(&scenario, SharingStrategy::Estimates, seed).exceeded)
        .sum();
    assert!(exceeded > 0);
}

/// Returns a demand of 20 calls on each node for 20 s. After that, one node demands the whole
/// total.
fn skewed_demand(node: usize, now: Duration) -> u64 {
    if now < Duration::from_secs(20) {
        20
    } else if node == 4 {
        120
    } else {
        5
    }
}

#[test]
fn demand_at_one_node_gets_the_total_in_seconds() {
    let scenario = BudgetScenario {
        loss: 0.0,
        has_faults: false,
        guaranteed: 0,
        duration: Duration::from_secs(40),
        demand: skewed_demand,
        ..BudgetScenario::default()
    };
    let leases = run(&scenario, SharingStrategy::Leases, 1);
    assert_eq!(leases.exceeded, 0);
    let utilization = mean(&leases.utilization[225..]);
    assert!(utilization > 0.93, "{utilization}");
    let fixed = run(&scenario, SharingStrategy::Static, 1);
    let utilization = mean(&fixed.utilization[225..]);
    assert!(utilization < 0.5, "{utilization}");
}

#[test]
fn a_total_halved_under_full_use_holds_once_earlier_grants_have_ended() {
    let scenario = BudgetScenario {
        has_faults: false,
        loss: 0.05,
        total_halved_at: Some(Duration::from_secs(30)),
        ..BudgetScenario::default()
    };
    for seed in 1..=4 {
        let report = run(&scenario, SharingStrategy::Leases, seed);
        assert_eq!(
            (report.exceeded, report.limits_exceeded),
            (0, 0),
            "seed {seed}"
        );
        let last_samples = &report.utilization[report.utilization.len() - 100..];
        let utilization = mean(last_samples);
        assert!(utilization > 0.85, "{utilization}");
    }
}
