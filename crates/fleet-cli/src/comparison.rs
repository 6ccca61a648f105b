//! Queries all members of a fleet, and compares their views.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use fleet_runtime::{query_members, QueryError};
use membership::MemberRecord;

use crate::report::{FleetReport, MemberReport, ViewReport};

/// The printed state of a member that is dead, or that a view no longer contains.
const ABSENT_STATE: &str = "gone";

type Views = BTreeMap<String, Option<ViewReport>>;

/// Queries the member at `address`, then concurrently all members that it knows to be present. Each
/// query takes at most `timeout`.
///
/// # Errors
/// The first member did not answer. Other members that do not answer have no view in the report.
pub fn query_all_members(
    address: SocketAddr,
    fleet: &str,
    timeout: Duration,
) -> Result<FleetReport, QueryError> {
    let reply = query_members(address, fleet, timeout)?;
    let present: Vec<&MemberRecord> = reply
        .members
        .iter()
        .filter(|record| record.state.is_present())
        .collect();
    let mut views = query_views(&present, fleet, timeout);
    views
        .entry(reply.responder.name.to_string())
        .or_insert_with(|| Some(ViewReport::from(&reply)));
    Ok(compare_views(views))
}

fn query_views(members: &[&MemberRecord], fleet: &str, timeout: Duration) -> Views {
    let query_view = |address| {
        let reply = query_members(address, fleet, timeout).ok()?;
        Some(ViewReport::from(&reply))
    };
    thread::scope(|scope| {
        let queries: Vec<_> = members
            .iter()
            .map(|record| {
                let address = record.address;
                let query = scope.spawn(move || query_view(address));
                (record.name.to_string(), query)
            })
            .collect();
        queries
            .into_iter()
            .map(|(name, query)| (name, query.join().unwrap_or(None)))
            .collect()
    })
}

fn compare_views(views: Views) -> FleetReport {
    let mut differences: BTreeMap<String, BTreeMap<String, Vec<String>>> = BTreeMap::new();
    let answered: Vec<&ViewReport> = views.values().flatten().collect();
    let names: BTreeSet<&String> = answered
        .iter()
        .flat_map(|view| view.members.keys())
        .collect();
    for name in names {
        for view in &answered {
            differences
                .entry(name.clone())
                .or_default()
                .entry(describe_state(view.members.get(name)))
                .or_default()
                .push(view.observer.clone());
        }
    }
    differences.retain(|_, observers_by_state| observers_by_state.len() > 1);
    let digests: BTreeSet<&String> = answered.iter().map(|view| &view.digest).collect();
    FleetReport {
        is_consistent: digests.len() <= 1,
        differences,
        views,
    }
}

/// Formats a member's state with its incarnation and version. Members that left, are dead or are
/// missing from a view count as equal, as views remove such members at different times.
fn describe_state(member: Option<&MemberReport>) -> String {
    match member {
        None => ABSENT_STATE.into(),
        Some(member) if matches!(member.state, "left" | ABSENT_STATE) => ABSENT_STATE.into(),
        Some(member) => format!(
            "{}, life {}, incarnation {}",
            member.state, member.incarnation, member.version
        ),
    }
}
