//! The router as a member of the fleet: it uses the nodes in its membership view, and continues to
//! serve without membership.

#[path = "common/membership_scenarios.rs"]
mod membership_scenarios;
#[path = "common/testbed.rs"]
mod testbed;

use std::cell::Cell;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use fault_testbed::scenario::Scenario;
use fault_testbed::{ProcessPlan, Testbed};
use membership::AdvertisedStatus;
use membership_scenarios::partition_status;
use serde_json::json;
use test_doubles::wait_until;
use testbed::{as_strs, node_names, plan_nodes, SETTLE_TIMEOUT};

/// Starts nodes and a router in front of them, and waits until the router uses all nodes.
fn start_fleet_with_router(count: usize, uses_membership: bool) -> Testbed {
    let mut testbed = Testbed::new(11).expect("sockets");
    plan_nodes(&mut testbed, 0..count, "period_ms: 200,");
    testbed.set_seeds(&["n0"]);
    testbed
        .add_process(ProcessPlan {
            name: "r0".into(),
            site: "milano-lambrate".into(),
            fleet_fields: "period_ms: 200,".into(),
            bypasses_proxy: false,
        })
        .expect("sockets");
    let nodes = node_names(0..count);
    for name in &nodes {
        testbed.start(name);
    }
    testbed.start_router("r0", uses_membership);
    testbed.wait_until_up(&as_strs(&nodes));
    testbed.wait_until_up(&["r0"]);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    let mut client = testbed.connect("r0");
    wait_until("the router uses all nodes", || {
        let body = format!("serve:{:?}", Instant::now());
        client.request("statement-read", &body);
        nodes.iter().all(|n| testbed.executor(n).total_runs() > 0)
    });
    testbed
}

/// A request to the router and its outcome.
struct SentRequest {
    sent_at: Instant,
    took: Duration,
    is_served: bool,
    body: String,
}

/// Sends requests to the router one after the other for this duration.
fn send_requests_for(testbed: &Testbed, duration: Duration) -> Vec<SentRequest> {
    let mut client = testbed.connect("r0");
    let end = Instant::now() + duration;
    let mut requests = Vec::new();
    while Instant::now() < end {
        let sent_at = Instant::now();
        let body = format!("serve:{}", requests.len());
        let answer = client.request("statement-read", &body);
        requests.push(SentRequest {
            sent_at,
            took: sent_at.elapsed(),
            is_served: answer["result"].is_object(),
            body,
        });
        thread::sleep(Duration::from_millis(1));
    }
    requests
}

#[test]
fn router_uses_the_nodes_of_the_membership_view() {
    let mut testbed = start_fleet_with_router(3, true);
    // A quiesced node gets no request once the router has the update.
    assert_eq!(testbed.call_admin("n1", "quiesce"), "ok quiesced");
    let update = testbed.wait_for("the router has the update", SETTLE_TIMEOUT, |testbed| {
        testbed.query_members("r0").is_some_and(|reply| {
            reply
                .members
                .iter()
                .any(|r| &*r.name == "n1" && r.state.status == AdvertisedStatus::Quiesced)
        })
    });
    update.expect("the router has it");
    thread::sleep(Duration::from_millis(50));
    let before = testbed.executor("n1").total_runs();
    assert!(send_requests_for(&testbed, Duration::from_millis(500))
        .iter()
        .all(|request| request.is_served));
    assert_eq!(testbed.executor("n1").total_runs(), before);
    assert_eq!(testbed.call_admin("n1", "resume"), "ok serving");
    wait_until("the resumed node gets requests", || {
        send_requests_for(&testbed, Duration::from_millis(50));
        testbed.executor("n1").total_runs() > before
    });
    // A killed node costs no read: another node serves it.
    testbed.kill("n2");
    let requests = send_requests_for(&testbed, Duration::from_secs(2));
    assert!(
        requests.len() > 20 && requests.iter().all(|request| request.is_served),
        "{} requests",
        requests.len()
    );
}

/// A router that receives nothing from the fleet continues with the nodes that it knew, and detects
/// their state by health checks.
#[test]
fn isolated_router_continues_with_the_nodes_it_knows() {
    let mut testbed = start_fleet_with_router(3, true);
    testbed.change_all_links(json!("all datagrams lost"), |link| link.loss = 1.0);
    let mut served = Vec::new();
    wait_until("the router detects that it is isolated", || {
        served.extend(send_requests_for(&testbed, Duration::from_millis(100)));
        partition_status(&testbed, "r0") == "alone"
    });
    served.extend(send_requests_for(&testbed, Duration::from_secs(1)));
    assert!(
        served.iter().all(|request| request.is_served),
        "of {} not all were served",
        served.len()
    );
    assert_eq!(testbed.call_admin("n1", "quiesce"), "ok quiesced");
    let before = Cell::new(testbed.executor("n1").total_runs());
    wait_until("a health check finds that n1 is quiesced", || {
        send_requests_for(&testbed, Duration::from_millis(100));
        before.replace(testbed.executor("n1").total_runs()) == testbed.executor("n1").total_runs()
    });
    testbed.heal();
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    assert_eq!(partition_status(&testbed, "r0"), "whole");
}

#[test]
#[ignore = "a measurement"]
fn measure_from_quiesce_and_kill_to_the_last_request_routed_there() {
    println!("| router | quiesce to last request routed there, ms: median, worst | kill to last request that failed or took over 50 ms, ms: median, worst |");
    for uses_membership in [true, false] {
        let (mut quiesced, mut killed) = (Vec::new(), Vec::new());
        for _ in 0..10 {
            let mut testbed = start_fleet_with_router(4, uses_membership);
            let from = Instant::now();
            assert_eq!(testbed.call_admin("n1", "quiesce"), "ok quiesced");
            let requests = send_requests_for(&testbed, Duration::from_millis(800));
            let routed_there = requests
                .iter()
                .filter(|request| testbed.executor("n1").run_count(&request.body) > 0);
            quiesced.push(
                routed_there
                    .map(|request| request.sent_at.duration_since(from).as_millis())
                    .max()
                    .unwrap_or(0),
            );
            let from = Instant::now();
            testbed.kill("n2");
            let requests = send_requests_for(&testbed, Duration::from_secs(4));
            let harmed = requests
                .iter()
                .filter(|request| !request.is_served || request.took.as_millis() > 50);
            killed.push(
                harmed
                    .map(|request| request.sent_at.duration_since(from).as_millis())
                    .max()
                    .unwrap_or(0),
            );
        }
        quiesced.sort_unstable();
        killed.sort_unstable();
        let name = if uses_membership {
            "membership view"
        } else {
            "health checks alone"
        };
        println!(
            "| {name} | {}, {} | {}, {} |",
            quiesced[5], quiesced[9], killed[5], killed[9]
        );
    }
}

/// Scenario in the deploy folder that cuts and stalls streams. Cut streams cost no client an
/// answer. A node whose streams stall costs a few answers until the router ejects it, although
/// membership shows it as up all the time.
#[test]
fn scenario_from_a_file_cuts_and_stalls_streams() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/plays/streams.json5");
    let scenario = Scenario::read(&file).expect("a valid scenario");
    let testbed = scenario.run(false).unwrap_or_else(|e| panic!("{e}"));
    let timeline = testbed.timeline();
    for event in ["\"cut\"", "\"stall\"", "\"served\""] {
        assert!(timeline.contains(event), "{event} is missing: {timeline}");
    }
    let text = std::fs::read_to_string(&file)
        .expect("readable")
        .replace("router: true", "router: false");
    let error = Scenario::parse("play", &text).expect_err("no router to send requests to");
    assert!(error.to_string().contains("steps[2]"), "{error}");
}
