//! Counts and dependency health shared by the fleet, with node processes and faults on the links
//! between them.

#[path = "common/testbed.rs"]
mod testbed;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use fault_testbed::Testbed;
use shared_state::{AggregateSnapshot, DependencyHealth};
use testbed::{node_names, plan_nodes, start_settled, ClientLoad, LoadClients, SETTLE_TIMEOUT};

/// Starts nodes that share counts and dependency health, placed at three sites in turn. Each
/// reaches the database over a link of its own.
fn start_fleet(count: usize) -> Testbed {
    let mut testbed = Testbed::new(11).expect("sockets can be opened");
    testbed.proxy_database().expect("sockets can be opened");
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

/// Returns the health of the database as this node evaluates it.
fn database_health(testbed: &Testbed, name: &str) -> DependencyHealth {
    aggregate(testbed, name).map_or(DependencyHealth::Unknown, |snapshot| snapshot.ledger.health)
}

/// Returns whether the node does not limit its database calls. On a busy machine the database may
/// be slow for all nodes, which limits no calls.
fn is_database_usable(testbed: &Testbed, name: &str) -> bool {
    matches!(
        database_health(testbed, name),
        DependencyHealth::Sound | DependencyHealth::Slow
    )
}

/// Returns the state of a member in the membership view of another one.
fn member_state(testbed: &Testbed, observer: &str, member: &str) -> Option<&'static str> {
    let reply = testbed.query_members(observer)?;
    reply
        .members
        .iter()
        .find(|record| *record.name == *member)
        .map(fleet_cli::state_name)
}

/// Starts clients that send the request again 60 ms after each answer. Without the pause, each new
/// connection costs the testbed's proxy a scan of all sockets of the machine.
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
        .wait_for(
            "all nodes find the database usable and are up",
            SETTLE_TIMEOUT,
            |testbed| {
                names.iter().all(|n| is_database_usable(testbed, n))
                    && names
                        .iter()
                        .all(|n| member_state(testbed, "n0", n) == Some("up"))
            },
        )
        .expect("reached before the timeout");
}

/// Breaks the database links of some nodes: they detect that only they are affected and quiesce,
/// while the others continue to call and no node judges the database to be down.
fn check_broken_links_of(testbed: &mut Testbed, all: &[String], broken: &[String]) {
    let others: Vec<&String> = all.iter().filter(|n| !broken.contains(n)).collect();
    testbed.block(broken, &["ledger".to_string()]);
    let was_misjudged = AtomicBool::new(false);
    let broken_nodes_detect_it = |testbed: &Testbed| {
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
            "the affected nodes detect that only they are affected",
            SETTLE_TIMEOUT,
            broken_nodes_detect_it,
        )
        .expect("reached before the timeout");
    testbed
        .wait_for(
            "the affected nodes are quiesced",
            SETTLE_TIMEOUT,
            |testbed| {
                broken
                    .iter()
                    .all(|n| member_state(testbed, "n0", n) == Some("quiesced"))
                    && broken_nodes_detect_it(testbed)
            },
        )
        .expect("reached before the timeout");
    assert!(
        !was_misjudged.load(Relaxed),
        "another node limited its calls, or the database was judged to be down"
    );
    testbed.heal();
    wait_until_all_up(testbed, all);
}

/// First one node can't reach the database, then a whole site: only they are affected. Then no node
/// can reach it: the database is down, and no node quiesces for that. Each time all nodes call the
/// database again once the links work.
#[test]
fn broken_links_are_distinguished_from_a_database_that_is_down() {
    let mut testbed = start_fleet(6);
    let all = node_names(0..6);
    let _clients = start_clients_of_all(&testbed, &all, 3, "call:hold#5");
    let all_find_usable = |testbed: &Testbed| all.iter().all(|n| is_database_usable(testbed, n));
    testbed
        .wait_for(
            "all nodes find the database usable",
            SETTLE_TIMEOUT,
            all_find_usable,
        )
        .expect("reached before the timeout");
    for broken in [node_names([1]), node_names([1, 4])] {
        check_broken_links_of(&mut testbed, &all, &broken);
    }
    testbed.block(&all, &["ledger".to_string()]);
    testbed
        .wait_for(
            "all nodes judge the database to be down",
            SETTLE_TIMEOUT,
            |testbed| {
                all.iter()
                    .all(|n| database_health(testbed, n) == DependencyHealth::Down)
            },
        )
        .expect("reached before the timeout");
    assert!(
        all.iter()
            .all(|n| member_state(&testbed, "n0", n) == Some("up")),
        "a node has quiesced although the database is down for all"
    );
    testbed.heal();
    testbed
        .wait_for(
            "all nodes find the database usable again",
            SETTLE_TIMEOUT,
            all_find_usable,
        )
        .expect("reached before the timeout");
}

/// Guards against a node that limits its calls permanently after `judgements` was removed from its
/// file. The field takes effect on a restart only: when a reload applied it, the evaluation stopped
/// while the node limited its calls.
#[test]
fn reload_without_judgements_leaves_no_node_limiting_its_calls() {
    let mut testbed = start_fleet(3);
    let all = node_names(0..3);
    let _clients = start_clients_of_all(&testbed, &all, 3, "call:hold#5");
    testbed
        .wait_for(
            "the node finds the database usable",
            SETTLE_TIMEOUT,
            |testbed| is_database_usable(testbed, "n1"),
        )
        .expect("reached before the timeout");
    testbed.block(&node_names([1]), &["ledger".to_string()]);
    testbed
        .wait_for(
            "the node detects that only it is affected",
            SETTLE_TIMEOUT,
            |testbed| database_health(testbed, "n1") == DependencyHealth::OnlyHere,
        )
        .expect("reached before the timeout");
    let file = testbed.fleet_file_path("n1");
    let text = std::fs::read_to_string(&file).expect("the fleet file is readable");
    assert!(text.contains("judgements: true,"));
    std::fs::write(&file, text.replace("judgements: true,", "")).expect("the write succeeds");
    testbed.reload("n1");
    testbed
        .wait_for("the node has read the file", SETTLE_TIMEOUT, |testbed| {
            testbed
                .node("n1")
                .log()
                .contains("counts or judgements in the fleet file take effect only after a restart")
        })
        .expect("reached before the timeout");
    testbed.heal();
    testbed
        .wait_for(
            "the node is up and finds the database usable",
            SETTLE_TIMEOUT,
            |testbed| {
                is_database_usable(testbed, "n1") && member_state(testbed, "n0", "n1") == Some("up")
            },
        )
        .expect("reached before the timeout");
}

/// Returns whether the node's aggregate is recent, covers this many nodes, and has a maximum number
/// in flight within the range.
fn counts_in_flight(
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

/// Each node knows how many requests of a tenant all nodes have in flight, also while a fifth of
/// the datagrams is lost. The counts of a killed node expire, each side of a partition counts its
/// own nodes, and all nodes are counted again after the partition heals.
#[test]
fn each_node_knows_what_the_others_have_in_flight() {
    let mut testbed = start_fleet(4);
    let all = node_names(0..4);
    // Each client makes calls of 700 ms, one after the other: the number in flight at each node is
    // mostly its number of clients.
    let mut clients = start_clients_of_all(&testbed, &all, 4, "call:hold#700");
    let all_counted =
        |testbed: &Testbed| all.iter().all(|n| counts_in_flight(testbed, n, 4, 9..=12));
    testbed
        .wait_for("each node counts all nodes", SETTLE_TIMEOUT, all_counted)
        .expect("reached before the timeout");
    testbed.change_all_links(serde_json::json!({"loss": 0.2}), |link| link.loss = 0.2);
    testbed
        .wait_for(
            "each node counts all nodes despite datagram loss",
            SETTLE_TIMEOUT,
            all_counted,
        )
        .expect("reached before the timeout");
    testbed.heal();
    testbed.kill("n3");
    testbed
        .wait_for(
            "the counts of the killed node have expired",
            SETTLE_TIMEOUT,
            |testbed| {
                node_names(0..3)
                    .iter()
                    .all(|n| counts_in_flight(testbed, n, 3, 6..=8))
            },
        )
        .expect("reached before the timeout");
    testbed.partition(&[node_names([0, 1]), node_names([2])]);
    testbed
        .wait_for(
            "each side counts its own nodes",
            SETTLE_TIMEOUT,
            |testbed| {
                node_names([0, 1])
                    .iter()
                    .all(|n| counts_in_flight(testbed, n, 2, 3..=4))
                    && counts_in_flight(testbed, "n2", 1, 0..=0)
            },
        )
        .expect("reached before the timeout");
    testbed.heal();
    testbed.start("n3");
    testbed.wait_until_up(&["n3"]);
    clients.push(start_clients(&testbed, "n3", 4, "call:hold#700"));
    testbed
        .wait_for(
            "each node counts all nodes again",
            SETTLE_TIMEOUT,
            all_counted,
        )
        .expect("reached before the timeout");
    drop(clients);
    testbed
        .wait_for("nothing is in flight", SETTLE_TIMEOUT, |testbed| {
            all.iter().all(|n| counts_in_flight(testbed, n, 4, 0..=0))
        })
        .expect("reached before the timeout");
}
