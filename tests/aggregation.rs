//! Counts and dependency health that the fleet shares, with processes of the program and faults between them.

#[path = "common/testbed.rs"]
mod testbed;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use fault_testbed::Testbed;
use shared_state::{AggregateSnapshot, DependencyHealth};
use testbed::{node_names, plan_nodes, start_settled, ClientLoad, LoadClients, SETTLE_TIMEOUT};

/// Starts nodes at three sites in turn that share counts and dependency health, and reach the database over links of their
/// own.
fn start_fleet(count: usize) -> Testbed {
    let mut testbed = Testbed::new(11).expect("sockets");
    testbed.proxy_database().expect("sockets");
    plan_nodes(
        &mut testbed,
        0..count,
        "period_ms: 200, counts: true, judgements: true,",
    );
    start_settled(&mut testbed);
    testbed
}

fn aggregate(testbed: &Testbed, name: &str) -> Option<AggregateSnapshot> {
    testbed.query_shared_state(name)?.aggregate
}

/// The health of the database as this node evaluates it.
fn database_health(testbed: &Testbed, name: &str) -> DependencyHealth {
    aggregate(testbed, name).map_or(DependencyHealth::Unknown, |snapshot| snapshot.ledger.health)
}

/// Whether the node calls the database freely. A busy machine may make it slow for everybody, which limits no calls.
fn is_database_usable(testbed: &Testbed, name: &str) -> bool {
    matches!(
        database_health(testbed, name),
        DependencyHealth::Sound | DependencyHealth::Slow
    )
}

/// The state of a member as another one sees it.
fn member_state(testbed: &Testbed, observer: &str, member: &str) -> Option<&'static str> {
    let reply = testbed.query_members(observer)?;
    reply
        .members
        .iter()
        .find(|record| *record.name == *member)
        .map(fleet_cli::state_name)
}

/// Starts clients that send a call of this body again 60 ms after each answer. Without the pause each new connection costs
/// the testbed's proxy a scan of all sockets of the machine.
fn start_clients(testbed: &Testbed, name: &str, count: usize, body: &'static str) -> LoadClients {
    let pause = Duration::from_millis(60);
    let load = ClientLoad {
        body,
        pause_after_result: pause,
        pause_after_error: pause,
    };
    LoadClients::start(testbed, name, count, load)
}

fn start_clients_of_all(
    testbed: &Testbed,
    names: &[String],
    count: usize,
    body: &'static str,
) -> Vec<LoadClients> {
    names
        .iter()
        .map(|name| start_clients(testbed, name, count, body))
        .collect()
}

fn wait_until_all_up(testbed: &Testbed, names: &[String]) {
    testbed
        .wait_for("all call it and are up", SETTLE_TIMEOUT, |testbed| {
            names.iter().all(|n| is_database_usable(testbed, n))
                && names
                    .iter()
                    .all(|n| member_state(testbed, "n0", n) == Some("up"))
        })
        .expect("they do");
}

/// Breaks the database links of some nodes: they find that only they are affected and quiesce, while the others go on
/// calling and nobody takes the database for down.
fn check_broken_links_of(testbed: &mut Testbed, all: &[String], broken: &[String]) {
    let others: Vec<&String> = all.iter().filter(|n| !broken.contains(n)).collect();
    testbed.block(broken, &["ledger".to_string()]);
    let was_misjudged = AtomicBool::new(false);
    let broken_know = |testbed: &Testbed| {
        let is_misjudged = others
            .iter()
            .any(|n| database_health(testbed, n).should_limit_calls())
            || broken
                .iter()
                .any(|n| database_health(testbed, n) == DependencyHealth::Down);
        was_misjudged.fetch_or(is_misjudged, Relaxed);
        broken
            .iter()
            .all(|n| database_health(testbed, n) == DependencyHealth::OnlyHere)
    };
    testbed
        .wait_for(
            "those that can't reach it know",
            SETTLE_TIMEOUT,
            broken_know,
        )
        .expect("they do");
    testbed
        .wait_for("they are quiesced", SETTLE_TIMEOUT, |testbed| {
            broken
                .iter()
                .all(|n| member_state(testbed, "n0", n) == Some("quiesced"))
                && broken_know(testbed)
        })
        .expect("they are");
    assert!(
        !was_misjudged.load(Relaxed),
        "another node limited its calls, or the database was taken for down"
    );
    testbed.heal();
    wait_until_all_up(testbed, all);
}

/// First one node can't reach the database, then a whole site: only they are affected. Then all can't: the database is
/// down, and nobody quiesces for it. Each time all nodes go on once the links work again.
#[test]
fn broken_links_are_distinguished_from_a_database_that_is_down() {
    let mut testbed = start_fleet(6);
    let all = node_names(0..6);
    let _clients = start_clients_of_all(&testbed, &all, 3, "call:hold#5");
    let all_call = |testbed: &Testbed| all.iter().all(|n| is_database_usable(testbed, n));
    testbed
        .wait_for("all find it usable", SETTLE_TIMEOUT, all_call)
        .expect("it is");
    for broken in [node_names([1]), node_names([1, 4])] {
        check_broken_links_of(&mut testbed, &all, &broken);
    }
    testbed.block(&all, &["ledger".to_string()]);
    testbed
        .wait_for("all know that it is down", SETTLE_TIMEOUT, |testbed| {
            all.iter()
                .all(|n| database_health(testbed, n) == DependencyHealth::Down)
        })
        .expect("they do");
    assert!(
        all.iter()
            .all(|n| member_state(&testbed, "n0", n) == Some("up")),
        "nobody quiesces for that"
    );
    testbed.heal();
    testbed
        .wait_for("all call it again", SETTLE_TIMEOUT, all_call)
        .expect("they do");
}

/// Guards a node that limits its calls while `judgements` is removed from its file: the field changes with a restart only.
/// When a reload applied it, the evaluation stopped in that state and the node limited its calls for good.
#[test]
fn reload_without_judgements_leaves_no_node_limiting_its_calls() {
    let mut testbed = start_fleet(3);
    let all = node_names(0..3);
    let _clients = start_clients_of_all(&testbed, &all, 3, "call:hold#5");
    testbed
        .wait_for("it finds the database usable", SETTLE_TIMEOUT, |testbed| {
            is_database_usable(testbed, "n1")
        })
        .expect("it does");
    testbed.block(&node_names([1]), &["ledger".to_string()]);
    testbed
        .wait_for(
            "it knows that only it is affected",
            SETTLE_TIMEOUT,
            |testbed| database_health(testbed, "n1") == DependencyHealth::OnlyHere,
        )
        .expect("it does");
    let file = testbed.fleet_file_path("n1");
    let text = std::fs::read_to_string(&file).expect("a file");
    assert!(text.contains("judgements: true,"));
    std::fs::write(&file, text.replace("judgements: true,", "")).expect("written");
    testbed.reload("n1");
    testbed
        .wait_for("it has read the file", SETTLE_TIMEOUT, |testbed| {
            testbed.node("n1").log().contains("with a restart only")
        })
        .expect("it has");
    testbed.heal();
    testbed
        .wait_for("it goes on", SETTLE_TIMEOUT, |testbed| {
            is_database_usable(testbed, "n1") && member_state(testbed, "n0", "n1") == Some("up")
        })
        .expect("it does");
}

/// Whether the node's aggregate is recent, covers this many nodes, and counts a number in flight in the range.
fn is_counted(
    testbed: &Testbed,
    name: &str,
    nodes: u32,
    in_flight: std::ops::RangeInclusive<u32>,
) -> bool {
    aggregate(testbed, name).is_some_and(|snapshot| {
        snapshot.aggregator.is_some()
            && snapshot.coverage.covered == nodes
            && in_flight.contains(&snapshot.max_in_flight)
            && snapshot.age_ms < 3000
    })
}

/// Each node knows what all have in flight of a tenant, also while a fifth of the datagrams is lost. The counts of a dead
/// node expire, each side of a partition counts its own nodes, and after it heals all are counted again.
#[test]
fn each_node_knows_what_the_others_have_in_flight() {
    let mut testbed = start_fleet(4);
    let all = node_names(0..4);
    // Calls of 700 ms, one after the other: mostly as many in flight at each node as it has clients.
    let mut clients = start_clients_of_all(&testbed, &all, 4, "call:hold#700");
    let all_counted = |testbed: &Testbed| all.iter().all(|n| is_counted(testbed, n, 4, 9..=12));
    testbed
        .wait_for("all are counted", SETTLE_TIMEOUT, all_counted)
        .expect("they are");
    testbed.change_all_links(serde_json::json!({"loss": 0.2}), |link| link.loss = 0.2);
    testbed
        .wait_for(
            "all are counted though some is lost",
            SETTLE_TIMEOUT,
            all_counted,
        )
        .expect("they are");
    testbed.heal();
    testbed.kill("n3");
    testbed
        .wait_for(
            "the dead node's counts are gone",
            SETTLE_TIMEOUT,
            |testbed| {
                node_names(0..3)
                    .iter()
                    .all(|n| is_counted(testbed, n, 3, 6..=8))
            },
        )
        .expect("they go");
    testbed.partition(&[node_names([0, 1]), node_names([2])]);
    testbed
        .wait_for("each side counts its own", SETTLE_TIMEOUT, |testbed| {
            node_names([0, 1])
                .iter()
                .all(|n| is_counted(testbed, n, 2, 3..=4))
                && is_counted(testbed, "n2", 1, 0..=0)
        })
        .expect("they do");
    testbed.heal();
    testbed.start("n3");
    testbed.wait_until_up(&["n3"]);
    clients.push(start_clients(&testbed, "n3", 4, "call:hold#700"));
    testbed
        .wait_for("all are counted again", SETTLE_TIMEOUT, all_counted)
        .expect("they are");
    drop(clients);
    testbed
        .wait_for("nothing is in flight", SETTLE_TIMEOUT, |testbed| {
            all.iter().all(|n| is_counted(testbed, n, 4, 0..=0))
        })
        .expect("all were answered");
}
