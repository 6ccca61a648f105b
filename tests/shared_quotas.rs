//! Quotas that the fleet shares, with real processes, faults on the links between them, and a
//! database that counts its calls.

#[path = "common/testbed.rs"]
mod testbed;

use std::thread;
use std::time::{Duration, Instant};

use fault_testbed::Testbed;
use test_doubles::{wait_until, TestClient};
use testbed::{node_names, plan_nodes, start_settled, ClientLoad, LoadClients, SETTLE_TIMEOUT};

/// Quota of concurrent database calls of the whole fleet.
const TOTAL_QUOTA: usize = 18;

/// Starts nodes that share the quota. The first three are voters, and each node has one guaranteed
/// unit if `has_guaranteed_quota` is set.
fn start_fleet(count: usize, has_guaranteed_quota: bool) -> Testbed {
    let mut testbed = Testbed::new(5).expect("sockets");
    let guaranteed: Vec<String> = node_names(0..count)
        .iter()
        .filter(|_| has_guaranteed_quota)
        .map(|n| format!("{n}: 1"))
        .collect();
    let fleet_fields = format!(
        "period_ms: 200, keepers: ['n0', 'n1', 'n2'], budgets: {{ ledger: {{ total: {TOTAL_QUOTA}, floors: {{ {} }} }} }},",
        guaranteed.join(", ")
    );
    plan_nodes(&mut testbed, 0..count, &fleet_fields);
    start_settled(&mut testbed);
    testbed
}

fn start_clients(testbed: &Testbed, name: &str, count: usize) -> LoadClients {
    LoadClients::start(testbed, name, count, ClientLoad::SHORT_CALLS)
}

fn start_clients_of_all(testbed: &Testbed, count: usize) -> Vec<LoadClients> {
    testbed
        .names()
        .iter()
        .map(|name| start_clients(testbed, name, count))
        .collect()
}

/// Use of the database over a period.
struct DatabaseUse {
    max_in_flight: usize,
    /// Mean fraction of the total quota that was in flight.
    mean_fraction: f64,
}

/// Samples the calls in flight at the database for this duration.
fn watch_database(testbed: &Testbed, duration: Duration) -> DatabaseUse {
    let end = Instant::now() + duration;
    let mut max_in_flight = 0;
    let mut sum = 0;
    let mut samples = 0;
    while Instant::now() < end {
        let calls = testbed.database().read_delayed_calls();
        max_in_flight = calls.peak.max(max_in_flight);
        sum += calls.in_flight;
        samples += 1;
        thread::sleep(Duration::from_millis(5));
    }
    DatabaseUse {
        max_in_flight,
        mean_fraction: sum as f64 / f64::from(samples) / TOTAL_QUOTA as f64,
    }
}

fn max_in_flight_for(testbed: &Testbed, seconds: u64) -> usize {
    watch_database(testbed, Duration::from_secs(seconds)).max_in_flight
}

fn is_mostly_used(testbed: &Testbed) -> bool {
    watch_database(testbed, Duration::from_millis(300)).mean_fraction > 0.7
}

fn leased_units(testbed: &Testbed, name: &str) -> Option<u64> {
    testbed
        .query_shared_state(name)
        .map(|snapshot| snapshot.budgets[0].leased.units)
}

/// With all nodes at full demand, the quota is used and never exceeded: while the leader is killed,
/// a node is paused and resumes, a node restarts under its name, and the fleet is partitioned.
#[test]
fn calls_in_flight_never_exceed_the_total() {
    let mut testbed = start_fleet(5, true);
    let mut clients = start_clients_of_all(&testbed, 12);
    wait_until("calls are made", || {
        testbed.database().read_delayed_calls().total > 50
    });
    testbed
        .wait_for("most of the total is used", SETTLE_TIMEOUT, is_mostly_used)
        .expect("calls in flight");
    let leader = testbed.leader("n4").expect("there is a leader");
    testbed.kill(&leader);
    assert!(max_in_flight_for(&testbed, 5) <= TOTAL_QUOTA);
    testbed.start(&leader);
    testbed.wait_until_up(&[&leader]);
    clients.push(start_clients(&testbed, &leader, 12));
    assert!(max_in_flight_for(&testbed, 2) <= TOTAL_QUOTA);
    testbed.pause("n3");
    assert!(max_in_flight_for(&testbed, 7) <= TOTAL_QUOTA);
    testbed.unpause("n3");
    assert!(max_in_flight_for(&testbed, 3) <= TOTAL_QUOTA);
    // In the partition, two nodes continue with their guaranteed quota once their leases have
    // expired.
    testbed.partition(&[node_names([0, 1, 2]), node_names([3, 4])]);
    assert!(max_in_flight_for(&testbed, 9) <= TOTAL_QUOTA);
    for name in node_names([3, 4]) {
        let snapshot = testbed.query_shared_state(&name).expect("it answers");
        assert_eq!(
            (
                snapshot.budgets[0].leased.units,
                snapshot.budgets[0].guaranteed
            ),
            (0, (1, true).into()),
            "{name}"
        );
    }
    testbed.heal();
    testbed
        .wait_for("the total is used again", SETTLE_TIMEOUT, is_mostly_used)
        .expect("calls in flight");
    assert!(max_in_flight_for(&testbed, 1) <= TOTAL_QUOTA);
}

/// A node with nearly all of the demand gets nearly all of the quota within seconds, and releases
/// it when another node needs it.
#[test]
fn leases_move_to_the_nodes_with_demand() {
    let testbed = start_fleet(3, false);
    let first = start_clients(&testbed, "n2", 24);
    let leased = |testbed: &Testbed, name: &str| leased_units(testbed, name).unwrap_or(0) as usize;
    testbed
        .wait_for(
            "n2 has nearly all of the quota",
            SETTLE_TIMEOUT,
            |testbed| leased(testbed, "n2") * 10 >= TOTAL_QUOTA * 8,
        )
        .expect("leases for n2");
    let used = watch_database(&testbed, Duration::from_secs(1));
    assert!(
        used.max_in_flight <= TOTAL_QUOTA && used.mean_fraction > 0.5,
        "{} at most, {:.2} used",
        used.max_in_flight,
        used.mean_fraction
    );
    let second = start_clients(&testbed, "n1", 24);
    testbed
        .wait_for(
            "both have about half of the quota",
            SETTLE_TIMEOUT,
            |testbed| {
                leased(testbed, "n1") >= TOTAL_QUOTA / 3
                    && leased(testbed, "n2") <= TOTAL_QUOTA * 2 / 3
            },
        )
        .expect("leases for n1");
    assert!(max_in_flight_for(&testbed, 1) <= TOTAL_QUOTA);
    let first_before = first.served();
    let second_before = second.served();
    wait_until("requests of both nodes are served", || {
        first.served() > first_before + 20 && second.served() > second_before + 20
    });
}

fn wait_until_lease_expired(testbed: &Testbed, name: &str) {
    testbed
        .wait_for("the lease has expired", SETTLE_TIMEOUT, |testbed| {
            leased_units(testbed, name) == Some(0)
        })
        .expect("an expired lease");
}

/// A node that no leader answers makes no calls beyond its guaranteed quota, and none if it has no
/// guaranteed quota.
#[test]
fn without_a_leader_a_node_spends_only_its_guaranteed_quota() {
    let mut testbed = start_fleet(3, true);
    testbed.kill("n0");
    testbed.kill("n1");
    let _clients = start_clients(&testbed, "n2", 6);
    wait_until_lease_expired(&testbed, "n2");
    thread::sleep(Duration::from_millis(100));
    testbed.database().read_delayed_calls();
    assert_eq!(max_in_flight_for(&testbed, 2), 1);
    assert_eq!(
        testbed.query_shared_state("n2").expect("it answers").leader,
        None
    );
}

/// Two processes have the same name during a replacement. Only one of them spends the guaranteed
/// quota of the name.
#[test]
fn guaranteed_quota_is_spent_by_one_process_during_a_replacement() {
    let mut testbed = start_fleet(3, true);
    let fleet_address = testbed.node("n2").logged_address("fleet").expect("logged");
    testbed.kill("n0");
    testbed.kill("n1");
    let first_clients = start_clients(&testbed, "n2", 6);
    wait_until_lease_expired(&testbed, "n2");
    wait_until("n2 spends its guaranteed quota", || {
        first_clients.served() > 0
    });
    let second = testbed.start_replacement("n2", fleet_address);
    wait_until("the second process accepts clients", || {
        second.logged_address("listening").is_some()
    });
    let _second_clients = start_clients(&testbed, "n2", 6);
    testbed.database().read_delayed_calls();
    assert_eq!(
        max_in_flight_for(&testbed, 2),
        1,
        "both processes are running"
    );
    let address = testbed.node("n2").address;
    testbed.shut_down("n2");
    let before = testbed.database().read_delayed_calls().total;
    assert!(max_in_flight_for(&testbed, 4) <= 1);
    wait_until("the second process spends the quota", || {
        // While both processes were listening, the operating system may have given all clients to
        // the first. New clients reach the second.
        let client = TestClient::try_connect(address);
        let _ = client.and_then(|mut client| client.try_request("statement-read", "call:hold#60"));
        testbed.database().read_delayed_calls().total > before
    });
    drop(second);
}

/// Prints the calls in flight of a case, and checks that there were never more than `total`.
fn report_case(testbed: &Testbed, case: &str, seconds: u64, total: usize) {
    let used = watch_database(testbed, Duration::from_secs(seconds));
    println!(
        "| {case} | {} of {total} | {:.2} |",
        used.max_in_flight,
        used.mean_fraction * TOTAL_QUOTA as f64 / total as f64
    );
    assert!(
        used.max_in_flight <= total,
        "{case}: {}",
        used.max_in_flight
    );
}

/// Prints how long it takes until nearly the whole total is used.
fn report_time_to_full_use(testbed: &Testbed, case: &str) {
    let took = testbed
        .wait_for(case, SETTLE_TIMEOUT, |testbed| {
            watch_database(testbed, Duration::from_millis(300)).mean_fraction > 0.95
        })
        .expect("nearly full use");
    println!("| {case}: 95% used | | after {:.1} s |", took.as_secs_f64());
}

/// Starts twelve more nodes under load and kills all of them at once.
fn join_and_kill_twelve_nodes(testbed: &mut Testbed, clients: &mut Vec<LoadClients>) {
    let text = std::fs::read_to_string(testbed.fleet_file_path("n0")).expect("a file");
    let from = text.find("period_ms").expect("fields of this test");
    let fleet_fields = text[from..].split(" advertise").next().expect("a part");
    let joining = node_names(12..24);
    for number in 12..24 {
        plan_nodes(testbed, [number], fleet_fields);
        testbed.start(&format!("n{number}"));
    }
    testbed.wait_until_up(&testbed::as_strs(&joining));
    clients.extend(joining.iter().map(|name| start_clients(testbed, name, 4)));
    report_case(testbed, "12 more nodes join under load", 10, TOTAL_QUOTA);
    for name in &joining {
        testbed.kill(name);
    }
    report_case(
        testbed,
        "those 12 nodes are killed at once",
        10,
        TOTAL_QUOTA,
    );
    report_time_to_full_use(testbed, "12 nodes remain");
}

/// Reduces the total by a third in the files of twelve nodes, under full use.
fn reduce_the_total(testbed: &mut Testbed) {
    let new_total = TOTAL_QUOTA * 2 / 3;
    for name in node_names(0..12) {
        let file = testbed.fleet_file_path(&name);
        let text = std::fs::read_to_string(&file).expect("a file");
        let changed = text.replace(
            &format!("total: {TOTAL_QUOTA}"),
            &format!("total: {new_total}"),
        );
        std::fs::write(&file, changed).expect("written");
        testbed.reload(&name);
    }
    report_case(
        testbed,
        "the total is reduced under full use, first 8 s",
        8,
        TOTAL_QUOTA,
    );
    testbed.database().read_delayed_calls();
    report_case(testbed, "the total is reduced, after that", 5, new_total);
}

/// The hard cases with real processes, one after the other, printed as table rows: `cargo test
/// --release --test shared_quotas -- --ignored --nocapture hard_cases`. None exceeds the total.
#[test]
#[ignore = "takes three minutes"]
fn hard_cases() {
    let mut testbed = start_fleet(12, true);
    let mut clients = start_clients_of_all(&testbed, 4);
    println!("| case | peak in flight | mean fraction used |\n| --- | --- | --- |");
    report_time_to_full_use(&testbed, "start");
    testbed.change_all_links(
        serde_json::json!({"loss": 0.2, "double": 1.0, "delay_ms": [0, 300]}),
        |link| {
            link.loss = 0.2;
            link.duplication = 1.0;
            link.delay = (Duration::ZERO, Duration::from_millis(300));
        },
    );
    report_case(
        &testbed,
        "all datagrams duplicated, a fifth lost, reordered by up to 0.3 s",
        20,
        TOTAL_QUOTA,
    );
    testbed.heal();
    report_time_to_full_use(&testbed, "links healed");
    testbed.partition(&[node_names(0..6), node_names(6..12)]);
    report_case(
        &testbed,
        "partition into halves, first 10 s",
        10,
        TOTAL_QUOTA,
    );
    report_case(
        &testbed,
        "partition into halves, the rest of a minute",
        50,
        TOTAL_QUOTA,
    );
    testbed.heal();
    report_time_to_full_use(&testbed, "partition healed");
    join_and_kill_twelve_nodes(&mut testbed, &mut clients);
    reduce_the_total(&mut testbed);
}
