//! Fault scenarios of the fleet's membership, for any number of nodes and any protocol period. Each returns how long the
//! fleet took to settle after the last fault.
#![allow(dead_code)] // Each test program uses a part of it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fault_testbed::{ProcessPlan, Testbed};
use membership::{Liveness, MemberRecord};
use serde_json::json;

use crate::testbed::{node_names, start_nodes, SETTLE_TIMEOUT};

/// Starts nodes at once that have not met yet. `is_open` leaves out the testbed's proxy before them.
pub(crate) fn start_unsettled(
    count: usize,
    period_ms: u64,
    seeds: &[&str],
    is_open: bool,
) -> Testbed {
    let mut testbed = Testbed::new(7).expect("sockets");
    for number in 0..count {
        testbed
            .add_process(ProcessPlan {
                fleet_fields: format!("period_ms: {period_ms},"),
                bypasses_proxy: is_open,
                ..ProcessPlan::node(number)
            })
            .expect("sockets");
    }
    testbed.set_seeds(seeds);
    let all = testbed.names();
    start_nodes(&mut testbed, &all);
    testbed
}

/// Starts nodes with two seeds and waits until they agree on who is there.
pub(crate) fn start_fleet(count: usize, period_ms: u64) -> Testbed {
    let testbed = start_unsettled(count, period_ms, &["n0", "n1"], false);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    testbed
}

/// What a member says about the partition that it is in.
pub(crate) fn partition_status(testbed: &Testbed, name: &str) -> String {
    testbed
        .query_members(name)
        .map_or("silent".into(), |reply| {
            reply.summary.partition_status.to_string()
        })
}

/// Whether this member holds the other one as present.
fn holds_as_present(testbed: &Testbed, observer: &str, member: &str) -> Option<bool> {
    let reply = testbed.query_members(observer)?;
    Some(
        reply
            .members
            .iter()
            .any(|record| &*record.name == member && record.state.is_present()),
    )
}

/// Whether all other running members answer and hold none of these as present.
fn are_given_up(testbed: &Testbed, members: &[String]) -> bool {
    testbed
        .names()
        .iter()
        .filter(|name| testbed.is_running(name) && !members.contains(name))
        .all(|observer| {
            members
                .iter()
                .all(|member| holds_as_present(testbed, observer, member) == Some(false))
        })
}

/// The members that any of these observers holds as dead.
fn held_as_dead(testbed: &Testbed, observers: &[String]) -> BTreeSet<String> {
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

/// The members that any running member holds as dead.
fn held_as_dead_by_anyone(testbed: &Testbed) -> BTreeSet<String> {
    held_as_dead(testbed, &testbed.names())
}

/// A fleet starts while one of its two seeds is down.
pub(crate) fn start_with_a_seed_down(count: usize, period_ms: u64) -> Duration {
    start_unsettled(count, period_ms, &["n0", "nobody"], false).wait_until_converged(SETTLE_TIMEOUT)
}

/// A third of the nodes is killed.
pub(crate) fn kill_a_third(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    for name in node_names((0..count).filter(|n| n % 3 == 2)) {
        testbed.kill(&name);
    }
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}

/// The fleet is partitioned until each side has given up the others, then the partition heals.
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
    // An isolated member knows that it is long before it has given up each of the others.
    match sides.iter().find(|side| side.len() == 1) {
        Some(isolated) => {
            testbed
                .wait_for("it is given up", SETTLE_TIMEOUT, |testbed| {
                    are_given_up(testbed, isolated)
                        && partition_status(testbed, &isolated[0]) == "alone"
                })
                .expect("it is given up, and knows");
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

/// One node receives nothing from the others, or they receive nothing from it, then the links heal.
pub(crate) fn silence_one_way(count: usize, period_ms: u64, is_deaf: bool) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    let silenced = node_names([1]);
    let others = node_names((0..count).filter(|n| *n != 1));
    if is_deaf {
        testbed.block(&others, &silenced);
    } else {
        testbed.block(&silenced, &others);
    }
    testbed
        .wait_for("it is given up", SETTLE_TIMEOUT, |testbed| {
            are_given_up(testbed, &silenced)
        })
        .expect("it is given up");
    if is_deaf {
        testbed
            .wait_for("it knows that it is isolated", SETTLE_TIMEOUT, |testbed| {
                partition_status(testbed, "n1") == "alone"
            })
            .expect("it receives nothing");
    }
    assert_eq!(
        held_as_dead(&testbed, &others),
        BTreeSet::from(["n1".to_string()]),
        "nobody else is given up"
    );
    testbed.heal();
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}

/// Nodes on both sides of a partition are replaced before it heals.
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

/// A fifth of the datagrams is lost and the others are delayed for this long; nobody may be given up.
pub(crate) fn lose_a_fifth(count: usize, period_ms: u64, duration: Duration) {
    let mut testbed = start_fleet(count, period_ms);
    testbed.change_all_links(json!("a fifth lost, up to 20 ms"), |link| {
        link.loss = 0.2;
        link.duplication = 0.05;
        link.delay = (Duration::from_millis(1), Duration::from_millis(20));
    });
    let end = Instant::now() + duration;
    while Instant::now() < end {
        assert_eq!(held_as_dead_by_anyone(&testbed), BTreeSet::new());
    }
    testbed.heal();
    testbed.wait_until_converged(SETTLE_TIMEOUT);
}

/// A process is stopped until it is given up, and resumes; it may suspect nobody for what it missed.
pub(crate) fn stop_and_resume(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    testbed.pause("n1");
    testbed
        .wait_for("it is given up", SETTLE_TIMEOUT, |testbed| {
            node_names((0..count).filter(|n| *n != 1))
                .iter()
                .all(|observer| holds_as_present(testbed, observer, "n1") == Some(false))
        })
        .expect("it is given up");
    testbed.unpause("n1");
    let took = testbed.wait_until_converged(SETTLE_TIMEOUT);
    assert_eq!(held_as_dead_by_anyone(&testbed), BTreeSet::new());
    took
}

/// A node is killed and starts again under its name, as a later incarnation.
pub(crate) fn restart_one(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    let reply = testbed.query_members("n1").expect("it answers");
    let incarnation = reply.responder.state.incarnation;
    testbed.kill("n1");
    testbed.start("n1");
    testbed.wait_until_up(&["n1"]);
    let took = testbed.wait_until_converged(SETTLE_TIMEOUT);
    let held = testbed
        .query_members("n0")
        .expect("it answers")
        .members
        .into_iter()
        .find(|record| &*record.name == "n1");
    assert!(held.is_some_and(|record| record.state.incarnation > incarnation));
    took
}

/// All nodes are ended and started again, one after the other.
pub(crate) fn restart_all_in_turn(count: usize, period_ms: u64) -> Duration {
    let mut testbed = start_fleet(count, period_ms);
    for name in testbed.names() {
        testbed.shut_down(&name);
        testbed.start(&name);
        testbed.wait_until_up(&[&name]);
        testbed
            .wait_for("it is back", SETTLE_TIMEOUT, |testbed| {
                testbed
                    .query_members(&name)
                    .is_some_and(|reply| reply.summary.present == count as u32)
            })
            .expect("it is back");
    }
    testbed.wait_until_converged(SETTLE_TIMEOUT)
}
