//! Fault scenarios of the fleet's membership, for any number of nodes and any protocol period. Most
//! return the time that the fleet took to converge after the last fault.
#![allow(dead_code)] // Each test program uses a part of it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fault_testbed::{ProcessPlan, Testbed};
use membership::{Liveness, MemberRecord};
use serde_json::json;

use crate::testbed::{node_names, start_nodes, SETTLE_TIMEOUT};

/// Starts nodes at the same time, without waiting until their membership views agree. With
/// `bypasses_proxy`, they are reachable without the testbed's proxy.
pub(crate) fn start_unsettled(
    count: usize,
    period_ms: u64,
    seeds: &[&str],
    bypasses_proxy: bool,
) -> Testbed {
    let mut testbed = Testbed::new(7).expect("sockets can be opened");
    for number in 0..count {
        testbed
            .add_process(ProcessPlan {
                fleet_fields: format!("period_ms: {period_ms},"),
                bypasses_proxy,
                ..ProcessPlan::node(number)
            })
            .expect("sockets can be opened");
    }
    testbed.set_seeds(seeds);
    let all = testbed.names();
    start_nodes(&mut testbed, &all);
    testbed
}

/// Starts nodes with two seeds and waits until their membership views agree.
pub(crate) fn start_fleet(count: usize, period_ms: u64) -> Testbed {
    let testbed = start_unsettled(count, period_ms, &["n0", "n1"], false);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    testbed
}

/// Returns the partition status that a member reports, `silent` if it does not answer.
pub(crate) fn partition_status(testbed: &Testbed, name: &str) -> String {
    testbed
        .query_members(name)
        .map_or("silent".into(), |reply| {
            reply.summary.partition_status.to_string()
        })
}

/// Returns whether the observer considers the member present; `None` if it does not answer.
fn considers_present(testbed: &Testbed, observer: &str, member: &str) -> Option<bool> {
    let reply = testbed.query_members(observer)?;
    Some(
        reply
            .members
            .iter()
            .any(|record| &*record.name == member && record.state.is_present()),
    )
}

/// Returns whether all other running members answer and none of them considers these present.
fn are_absent(testbed: &Testbed, members: &[String]) -> bool {
    testbed
        .names()
        .iter()
        .filter(|name| testbed.is_running(name) && !members.contains(name))
        .all(|observer| {
            members
                .iter()
                .all(|member| considers_present(testbed, observer, member) == Some(false))
        })
}

/// Returns the members that are dead in the view of any of these observers.
fn dead_in_views_of(testbed: &Testbed, observers: &[String]) -> BTreeSet<String> {
    let members = |name: &String| {
        testbed
            .query_members(name)
            .map_or(vec![], |reply| reply.members)
    };
    let records: Vec<MemberRecord> = observers
        .iter()
        .filter(|name| testbed.is_running(name))
        .flat_map(members)
        .collect();
    records
        .iter()
        .filter(|record| record.state.liveness == Liveness::Dead)
        .map(|record| record.name.to_string())
        .collect()
}

/// Returns the members that are dead in the view of any running member.
fn dead_in_any_view(testbed: &Testbed) -> BTreeSet<String> {
    dead_in_views_of(testbed, &testbed.names())
}

/// Starts a fleet while one of its two seeds is down.
pub(crate) fn start_with_a_seed_down(count: usize, period_ms: u64) -> Duration {
    start_unsettled(count, period_ms, &["n0", "nobody"], false).wait_until_converged(SETTLE_TIMEOUT)
}

/// Kills a third of the nodes.
pub(crate) fn kill_a_third(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    for name in node_names((0..count).filter(|n| n % 3 == 2)) {
        testbed.kill(&name);
    }
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}

/// Partitions the fleet until each side considers the others absent, then heals the partition.
pub(crate) fn partition_and_heal(
    count: usize,
    period_ms: u64,
    side_of: impl Fn(usize) -> usize,
    side_count: usize,
) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    let sides: Vec<Vec<String>> = (0..side_count)
        .map(|side| node_names((0..count).filter(|n| side_of(*n) == side)))
        .collect();
    testbed.partition(&sides);
    // An isolated member detects its isolation long before it considers all the others absent.
    match sides.iter().find(|side| side.len() == 1) {
        Some(isolated) => {
            testbed
                .wait_for(
                    "the others consider the member absent",
                    SETTLE_TIMEOUT,
                    |testbed| {
                        are_absent(testbed, isolated)
                            && partition_status(testbed, &isolated[0]) == "alone"
                    },
                )
                .expect("reached before the timeout");
        }
        None => {
            testbed.wait_until_converged(SETTLE_TIMEOUT);
        }
    }
    for side in &sides {
        let expected_status = if side.len() == 1 {
            "alone"
        } else if side.len() * 2 > count {
            "whole"
        } else {
            "part"
        };
        assert_eq!(
            partition_status(&testbed, &side[0]),
            expected_status,
            "{side:?}"
        );
    }
    testbed.heal();
    let took = testbed.wait_until_converged(SETTLE_TIMEOUT);
    assert_eq!(partition_status(&testbed, "n0"), "whole");
    took
}

/// Blocks the links to one node (`blocks_inbound`) or those from it until the others consider it
/// absent, then heals them.
pub(crate) fn silence_one_way(count: usize, period_ms: u64, blocks_inbound: bool) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    let silenced = node_names([1]);
    let others = node_names((0..count).filter(|n| *n != 1));
    if blocks_inbound {
        testbed.block(&others, &silenced);
    } else {
        testbed.block(&silenced, &others);
    }
    testbed
        .wait_for(
            "the others consider the member absent",
            SETTLE_TIMEOUT,
            |testbed| are_absent(testbed, &silenced),
        )
        .expect("reached before the timeout");
    if blocks_inbound {
        testbed
            .wait_for(
                "the member detects that it is isolated",
                SETTLE_TIMEOUT,
                |testbed| partition_status(testbed, "n1") == "alone",
            )
            .expect("reached before the timeout");
    }
    assert_eq!(
        dead_in_views_of(&testbed, &others),
        BTreeSet::from(["n1".to_string()]),
        "only the silenced member is considered dead"
    );
    testbed.heal();
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}

/// Replaces nodes on both sides of a partition before it heals.
pub(crate) fn replace_nodes_while_partitioned(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    testbed.partition(&[
        node_names((0..count).filter(|n| n % 2 == 0)),
        node_names((0..count).filter(|n| n % 2 == 1)),
    ]);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    for name in node_names(2..4) {
        testbed.kill(&name);
        testbed.start(&name);
        testbed.wait_until_up(&[&name]);
    }
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    testbed.heal();
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}

/// Loses a fifth of the datagrams and delays the others for this duration; no member may be
/// considered dead.
pub(crate) fn lose_a_fifth(count: usize, period_ms: u64, duration: Duration) {
    let mut testbed = start_fleet(count, period_ms);
    testbed.change_all_links(json!("a fifth lost, up to 20 ms"), |link| {
        link.loss = 0.2;
        link.duplication = 0.05;
        link.delay = (Duration::from_millis(1), Duration::from_millis(20));
    });
    let end = Instant::now() + duration;
    while Instant::now() < end {
        assert_eq!(dead_in_any_view(&testbed), BTreeSet::new());
    }
    testbed.heal();
    testbed.wait_until_converged(SETTLE_TIMEOUT);
}

/// Pauses a process until the others consider it absent, then resumes it. Afterwards no member may
/// be considered dead because of the messages that the process has missed.
pub(crate) fn stop_and_resume(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    testbed.pause("n1");
    testbed
        .wait_for(
            "the others consider the member absent",
            SETTLE_TIMEOUT,
            |testbed| {
                node_names((0..count).filter(|n| *n != 1))
                    .iter()
                    .all(|observer| considers_present(testbed, observer, "n1") == Some(false))
            },
        )
        .expect("reached before the timeout");
    testbed.unpause("n1");
    let took = testbed.wait_until_converged(SETTLE_TIMEOUT);
    assert_eq!(dead_in_any_view(&testbed), BTreeSet::new());
    took
}

/// Kills a node and restarts it under its name, with a later incarnation.
pub(crate) fn restart_one(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    let reply = testbed.query_members("n1").expect("the member answers");
    let incarnation = reply.responder.state.incarnation;
    testbed.kill("n1");
    testbed.start("n1");
    testbed.wait_until_up(&["n1"]);
    let took = testbed.wait_until_converged(SETTLE_TIMEOUT);
    let record_at_n0 = testbed
        .query_members("n0")
        .expect("the member answers")
        .members
        .into_iter()
        .find(|record| &*record.name == "n1");
    assert!(record_at_n0.is_some_and(|record| record.state.incarnation > incarnation));
    took
}

/// Shuts down and restarts all nodes, one after the other.
pub(crate) fn restart_all_in_turn(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    for name in testbed.names() {
        testbed.shut_down(&name);
        testbed.start(&name);
        testbed.wait_until_up(&[&name]);
        testbed
            .wait_for(
                "the restarted node considers all members present",
                SETTLE_TIMEOUT,
                |testbed| {
                    testbed
                        .query_members(&name)
                        .is_some_and(|reply| reply.summary.present == count as u32)
                },
            )
            .expect("reached before the timeout");
    }
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}
