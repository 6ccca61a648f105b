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
    let mut rig = Testbed::new(11).expect("sockets");
    rig.proxy_database().expect("sockets");
    plan_nodes(
        &mut rig,
        0..count,
        "period_ms: 200, counts: true, judgements: true,",
    );
    start_settled(&mut rig);
    rig
}

fn aggregate(rig: &Testbed, name: &str) -> Option<AggregateSnapshot> {
    rig.query_shared_state(name)?.aggregate
}

/// The health of the database as this node evaluates it.
fn database_health(rig: &Testbed, name: &str) -> DependencyHealth {
    aggregate(rig, name).map_or(DependencyHealth::Unknown, |snapshot| snapshot.ledger.health)
}

/// Whether the node calls the database freely. A busy machine may make it slow for everybody, which limits no calls.
fn is_database_usable(rig: &Testbed, name: &str) -> bool {
    matches!(
        database_health(rig, name),
        DependencyHealth::Sound | DependencyHealth::Slow
    )
}

/// The state of a member as another one sees it.
fn member_state(rig: &Testbed, observer: &str, member: &str) -> Option<&'static str> {
    let reply = rig.query_members(observer)?;
    reply
        .members
        .iter()
        .find(|record| *record.name == *member)
        .map(fleet_cli::state_name)
}

/// Starts clients that send a call of this body again 60 ms after each answer. Without the pause each new connection costs
/// the testbed's proxy a scan of all sockets of the machine.
fn start_clients(rig: &Testbed, name: &str, count: usize, body: &'static str) -> LoadClients {
    let pause = Duration::from_millis(60);
    let load = ClientLoad {
        body,
        pause_after_result: pause,
        pause_after_error: pause,
    };
    LoadClients::start(rig, name, count, load)
}

fn start_clients_of_all(
    rig: &Testbed,
    names: &[String],
    count: usize,
    body: &'static str,
) -> Vec<LoadClients> {
    names
        .iter()
        .map(|name| start_clients(rig, name, count, body))
        .collect()
}

fn wait_until_all_up(rig: &Testbed, names: &[String]) {
    rig.wait_for("all call it and are up", SETTLE_TIMEOUT, |rig| {
        names.iter().all(|n| is_database_usable(rig, n))
            && names
                .iter()
                .all(|n| member_state(rig, "n0", n) == Some("up"))
    })
    .expect("they do");
}

/// Breaks the database links of some nodes: they find that only they are affected and quiesce, while the others go on
/// calling and nobody takes the database for down.
fn check_broken_links_of(rig: &mut Testbed, all: &[String], broken: &[String]) {
    let others: Vec<&String> = all.iter().filter(|n| !broken.contains(n)).collect();
    rig.block(broken, &["ledger".to_string()]);
    let was_misjudged = AtomicBool::new(false);
    let broken_know = |rig: &Testbed| {
        let is_misjudged = others
            .iter()
            .any(|n| database_health(rig, n).should_limit_calls())
            || broken
                .iter()
                .any(|n| database_health(rig, n) == DependencyHealth::Down);
        was_misjudged.fetch_or(is_misjudged, Relaxed);
        broken
            .iter()
            .all(|n| database_health(rig, n) == DependencyHealth::OnlyHere)
    };
    rig.wait_for(
        "those that can't reach it know",
        SETTLE_TIMEOUT,
        broken_know,
    )
    .expect("they do");
    rig.wait_for("they are quiesced", SETTLE_TIMEOUT, |rig| {
        broken
            .iter()
            .all(|n| member_state(rig, "n0", n) == Some("quiesced"))
            && broken_know(rig)
    })
    .expect("they are");
    assert!(
        !was_misjudged.load(Relaxed),
        "another node limited its calls, or the database was taken for down"
    );
    rig.heal();
    wait_until_all_up(rig, all);
}

/// First one node can't reach the database, then a whole site: only they are affected. Then all can't: the database is
/// down, and nobody quiesces for it. Each time all nodes go on once the links work again.
#[test]
fn broken_links_are_distinguished_from_a_database_that_is_down() {
    let mut rig = start_fleet(6);
    let all = node_names(0..6);
    let _clients = start_clients_of_all(&rig, &all, 3, "call:hold#5");
    let all_call = |rig: &Testbed| all.iter().all(|n| is_database_usable(rig, n));
    rig.wait_for("all find it usable", SETTLE_TIMEOUT, all_call)
        .expect("it is");
    for broken in [node_names([1]), node_names([1, 4])] {
        check_broken_links_of(&mut rig, &all, &broken);
    }
    rig.block(&all, &["ledger".to_string()]);
    rig.wait_for("all know that it is down", SETTLE_TIMEOUT, |rig| {
        all.iter()
            .all(|n| database_health(rig, n) == DependencyHealth::Down)
    })
    .expect("they do");
    assert!(
        all.iter()
            .all(|n| member_state(&rig, "n0", n) == Some("up")),
        "nobody quiesces for that"
    );
    rig.heal();
    rig.wait_for("all call it again", SETTLE_TIMEOUT, all_call)
        .expect("they do");
}

/// Guards a node that limits its calls while `judgements` is removed from its file: the field changes with a restart only.
/// When a reload applied it, the evaluation stopped in that state and the node limited its calls for good.
#[test]
fn reload_without_judgements_leaves_no_node_limiting_its_calls() {
    let mut rig = start_fleet(3);
    let all = node_names(0..3);
    let _clients = start_clients_of_all(&rig, &all, 3, "call:hold#5");
    rig.wait_for("it finds the database usable", SETTLE_TIMEOUT, |rig| {
        is_database_usable(rig, "n1")
    })
    .expect("it does");
    rig.block(&node_names([1]), &["ledger".to_string()]);
    rig.wait_for("it knows that only it is affected", SETTLE_TIMEOUT, |rig| {
        database_health(rig, "n1") == DependencyHealth::OnlyHere
    })
    .expect("it does");
    let file = rig.fleet_file_path("n1");
    let text = std::fs::read_to_string(&file).expect("a file");
    assert!(text.contains("judgements: true,"));
    std::fs::write(&file, text.replace("judgements: true,", "")).expect("written");
    rig.reload("n1");
    rig.wait_for("it has read the file", SETTLE_TIMEOUT, |rig| {
        rig.node("n1").log().contains("with a restart only")
    })
    .expect("it has");
    rig.heal();
    rig.wait_for("it goes on", SETTLE_TIMEOUT, |rig| {
        is_database_usable(rig, "n1") && member_state(rig, "n0", "n1") == Some("up")
    })
    .expect("it does");
}

/// Whether the node's aggregate is recent, covers this many nodes, and counts a number in flight in the range.
fn is_counted(
    rig: &Testbed,
    name: &str,
    nodes: u32,
    in_flight: std::ops::RangeInclusive<u32>,
) -> bool {
    aggregate(rig, name).is_some_and(|snapshot| {
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
    let mut rig = start_fleet(4);
    let all = node_names(0..4);
    // Calls of 700 ms, one after the other: mostly as many in flight at each node as it has clients.
    let mut clients = start_clients_of_all(&rig, &all, 4, "call:hold#700");
    let all_counted = |rig: &Testbed| all.iter().all(|n| is_counted(rig, n, 4, 9..=12));
    rig.wait_for("all are counted", SETTLE_TIMEOUT, all_counted)
        .expect("they are");
    rig.change_all_links(serde_json::json!({"loss": 0.2}), |link| link.loss = 0.2);
    rig.wait_for(
        "all are counted though some is lost",
        SETTLE_TIMEOUT,
        all_counted,
    )
    .expect("they are");
    rig.heal();
    rig.kill("n3");
    rig.wait_for("the dead node's counts are gone", SETTLE_TIMEOUT, |rig| {
        node_names(0..3)
            .iter()
            .all(|n| is_counted(rig, n, 3, 6..=8))
    })
    .expect("they go");
    rig.partition(&[node_names([0, 1]), node_names([2])]);
    rig.wait_for("each side counts its own", SETTLE_TIMEOUT, |rig| {
        node_names([0, 1])
            .iter()
            .all(|n| is_counted(rig, n, 2, 3..=4))
            && is_counted(rig, "n2", 1, 0..=0)
    })
    .expect("they do");
    rig.heal();
    rig.start("n3");
    rig.wait_until_up(&["n3"]);
    clients.push(start_clients(&rig, "n3", 4, "call:hold#700"));
    rig.wait_for("all are counted again", SETTLE_TIMEOUT, all_counted)
        .expect("they are");
    drop(clients);
    rig.wait_for("nothing is in flight", SETTLE_TIMEOUT, |rig| {
        all.iter().all(|n| is_counted(rig, n, 4, 0..=0))
    })
    .expect("all were answered");
}
