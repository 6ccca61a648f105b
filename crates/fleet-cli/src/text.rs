//! The output of commands without `--json`.

use std::fmt::Write as _;

use shared_state::{AggregateSnapshot, BudgetSnapshot, SharedStateSnapshot};

use crate::report::{FleetReport, ViewReport};

/// Appends a line. Writing to a `String` can't fail.
macro_rules! push_line {
    ($text:expr, $($arg:tt)*) => {
        let _ = writeln!($text, $($arg)*);
    };
}

/// Formats a member's view of the fleet.
pub(crate) fn format_view(view: &ViewReport) -> String {
    let mut text = String::new();
    push_line!(
        text,
        "{} sees {} present, {} lost; it concludes: {} for {:.1} s; digest {}, health {}, dropped {}",
        view.observer,
        view.present,
        view.lost,
        view.partition_status,
        seconds(view.for_ms),
        view.digest,
        view.health,
        view.dropped
    );
    push_line!(
        text,
        "{:<16} {:<10} {:<18} {:<22} serves",
        "member",
        "state",
        "site",
        "at"
    );
    for (name, member) in &view.members {
        let client_address = member
            .client_address
            .map_or("nothing".into(), |address| address.to_string());
        push_line!(
            text,
            "{name:<16} {:<10} {:<18} {:<22} {client_address}",
            member.state,
            member.site,
            member.address.to_string()
        );
    }
    text
}

/// Formats the views of all members, and their differences.
pub(crate) fn format_comparison(report: &FleetReport) -> String {
    let mut text = String::new();
    push_line!(
        text,
        "{:<16} {:<8} {:>7} {:>5}  digest",
        "seen by",
        "says",
        "present",
        "lost"
    );
    for (name, view) in &report.views {
        let Some(view) = view else {
            push_line!(text, "{name:<16} no answer");
            continue;
        };
        push_line!(
            text,
            "{name:<16} {:<8} {:>7} {:>5}  {}",
            view.partition_status,
            view.present,
            view.lost,
            view.digest
        );
    }
    if report.is_consistent {
        push_line!(text, "all that answered see the same");
    }
    for (name, observers_by_state) in &report.differences {
        for (state, observers) in observers_by_state {
            push_line!(text, "{name} is {state}: {}", observers.join(" "));
        }
    }
    text
}

/// Formats the shared state that the member called `name` knows.
pub(crate) fn format_shared_state(name: &str, state: &SharedStateSnapshot) -> String {
    let mut text = String::new();
    if !state.budgets.is_empty() {
        let leader = state.leader.as_deref().unwrap_or("nobody");
        push_line!(text, "{name} knows as granter: {leader}");
    }
    for budget in &state.budgets {
        push_budget(&mut text, budget);
    }
    if let Some(aggregate) = &state.aggregate {
        push_counts(&mut text, name, aggregate);
        push_ledger_health(&mut text, aggregate);
    }
    text
}

fn push_budget(text: &mut String, budget: &BudgetSnapshot) {
    let note = if budget.guaranteed.is_available {
        "may be spent"
    } else {
        "not yet, calls of an earlier process may be in hand"
    };
    push_line!(
        text,
        "{}: total {} by this member's file",
        budget.name,
        budget.total
    );
    push_line!(
        text,
        "  its own {} ({note}); leased {} for {} ms more",
        budget.guaranteed.units,
        budget.leased.units,
        budget.leased.remaining_ms
    );
    push_line!(
        text,
        "  uses {}, wants {}",
        budget.usage.in_use,
        budget.usage.demand
    );
    if !budget.holders.is_empty() {
        push_line!(text, "  it grants; counted for all: {}", budget.reserved);
    }
    for holder in &budget.holders {
        push_line!(
            text,
            "    {:<16} counted {:>6}, wants {:>6}",
            holder.name,
            holder.reserved,
            holder.demand
        );
    }
}

fn push_counts(text: &mut String, name: &str, aggregate: &AggregateSnapshot) {
    match &aggregate.aggregator {
        Some(aggregator) => {
            push_line!(
                text,
                "{name} knows what {} of {} nodes count, by {aggregator}, none older than {} ms; no tenant has more than {} in flight at the others",
                aggregate.coverage.covered,
                aggregate.coverage.present,
                aggregate.age_ms,
                aggregate.max_in_flight
            );
        }
        None => {
            push_line!(
                text,
                "{name} goes by its own counts: nothing fresh is known of the others"
            );
        }
    }
    let aggregators: Vec<&str> = aggregate.aggregators.iter().map(|name| &**name).collect();
    push_line!(text, "  reports to: {}", aggregators.join(" "));
}

fn push_ledger_health(text: &mut String, aggregate: &AggregateSnapshot) {
    push_line!(
        text,
        "ledger: {} for {:.1} s; {} own calls of late, {} failed",
        aggregate.ledger.health.name(),
        seconds(aggregate.ledger.for_ms),
        aggregate.calls.total,
        aggregate.calls.failed
    );
    let here = aggregate.others.here;
    let elsewhere = aggregate.others.elsewhere;
    let sites = aggregate.others.sites;
    push_line!(
        text,
        "  others find: at this site {} sound, {} slow, {} failing; elsewhere {}, {}, {}; other sites {}, {}, {}",
        here.sound,
        here.slow,
        here.failing,
        elsewhere.sound,
        elsewhere.slow,
        elsewhere.failing,
        sites.sound,
        sites.slow,
        sites.failing
    );
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1e3
}
