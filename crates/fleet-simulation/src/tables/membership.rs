//! Tables of membership protocols: recovery from faults, effect of the fleet's size, false deaths.

use fleet_simulation::measurements::{
    count_false_deaths, measure_size, FalseDeathConditions, SizeMeasurement,
};
use fleet_simulation::scenarios::{run_scenario, Scenario};
use fleet_simulation::{FocaPeer, HeartbeatPeer, Peer, PlainSwimPeer, ViewPeer};
use membership::MembershipView;

use crate::parallel::run_seeds;
use crate::statistics::{format_seconds, TimeSummary};

/// The protocols that are measured.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocols {
    /// Only the shipped view.
    ViewOnly,
    /// The shipped view and all baselines except the library foca.
    WithoutFoca,
    /// The shipped view and all baselines.
    All,
}

/// Prints the recovery of each protocol from each scenario.
pub(crate) fn print_scenarios(nodes: usize, runs: u64) {
    println!("| scenario | | settled, median s | worst s | false deaths |");
    println!("| --- | --- | --- | --- | --- |");
    for scenario in Scenario::ALL {
        print_scenario::<ViewPeer>(scenario, nodes, runs);
        print_scenario::<PlainSwimPeer>(scenario, nodes, runs);
        print_scenario::<FocaPeer>(scenario, nodes, runs);
        print_scenario::<HeartbeatPeer>(scenario, nodes, runs);
    }
}

fn print_scenario<P: Peer>(scenario: Scenario, nodes: usize, runs: u64) {
    let outcomes = run_seeds(runs, |seed| run_scenario::<P>(scenario, nodes, seed));
    let times = TimeSummary::new(outcomes.iter().filter_map(|o| o.settled_after));
    let have_all_settled = times.count == outcomes.len();
    let worst = times.max.filter(|_| have_all_settled);
    let false_deaths: usize = outcomes.iter().map(|o| o.false_death_count).sum();
    println!(
        "| {scenario:?} | {} | {} | {} | {false_deaths} |",
        P::NAME,
        format_seconds(times.median),
        format_seconds(worst)
    );
}

/// Prints failure detection, joining and traffic of each protocol in fleets of the given sizes.
pub(crate) fn print_sizes(sizes: &[usize], runs: u64, protocols: Protocols) {
    println!("| nodes | | first detects, s | all, median / worst s | joined, median / worst s | datagrams/s | bytes/s | runs |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for &size in sizes {
        print_size::<ViewPeer>(size, runs);
        if protocols != Protocols::ViewOnly {
            print_size::<PlainSwimPeer>(size, runs);
            print_size::<FocaPeer>(size, runs);
            print_size::<HeartbeatPeer>(size, runs);
        }
    }
    println!(
        "a member takes about {} bytes and its name",
        MembershipView::bytes_per_member()
    );
}

fn print_size<P: Peer>(size: usize, runs: u64) {
    let results: Vec<SizeMeasurement> = run_seeds(runs, |seed| measure_size::<P>(size, seed))
        .into_iter()
        .flatten()
        .collect();
    let detections = || results.iter().filter_map(|result| result.detection);
    let first = TimeSummary::new(detections().map(|times| times.first));
    let last = TimeSummary::new(detections().map(|times| times.last));
    let joined = TimeSummary::new(results.iter().filter_map(|result| result.join_time));
    let mean = |value: fn(&SizeMeasurement) -> f64| {
        results.iter().map(value).sum::<f64>() / results.len().max(1) as f64
    };
    println!(
        "| {size} | {} | {} | {} / {} | {} / {} | {:.1} | {:.0} | {} |",
        P::NAME,
        format_seconds(first.median),
        format_seconds(last.median),
        format_seconds(last.max),
        format_seconds(joined.median),
        format_seconds(joined.max),
        mean(|result| result.datagrams_per_second),
        mean(|result| result.bytes_per_second),
        results.len()
    );
}

/// Prints how often each protocol declared members dead by mistake.
pub(crate) fn print_false_deaths(
    conditions: &FalseDeathConditions,
    runs: u64,
    protocols: Protocols,
) {
    println!("| | false deaths | by run |");
    println!("| --- | --- | --- |");
    print_false_deaths_of::<ViewPeer>(conditions, runs);
    print_false_deaths_of::<PlainSwimPeer>(conditions, runs);
    print_false_deaths_of::<HeartbeatPeer>(conditions, runs);
    if protocols == Protocols::All {
        print_false_deaths_of::<FocaPeer>(conditions, runs);
    }
}

fn print_false_deaths_of<P: Peer>(conditions: &FalseDeathConditions, runs: u64) {
    let counts: Vec<usize> = run_seeds(runs, |seed| count_false_deaths::<P>(conditions, seed))
        .into_iter()
        .flatten()
        .collect();
    let total: usize = counts.iter().sum();
    println!("| {} | {total} | {counts:?} |", P::NAME);
}
