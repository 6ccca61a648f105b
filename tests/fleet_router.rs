//! The router as a member of the fleet: it uses the nodes that membership shows, and goes on without membership.

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
    wait_until("the router has all nodes", || {
        let body = format!("serve:{:?}", Instant::now());
        client.request("statement-read", &body);
        nodes.iter().all(|n| testbed.executor(n).total_runs() > 0)
    });
    testbed
}

/// A request to the router and its end.
struct SentRequest {
    sent_at: Instant,
    took: Duration,
    is_served: bool,
    body: String,
}

/// Sends one request after the other to the router for this long.
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
    update.expect("it has");
    thread::sleep(Duration::from_millis(50));
    let before = testbed.executor("n1").total_runs();
    assert!(send_requests_for(&testbed, Duration::from_millis(500))
        .iter()
        .all(|request| request.is_served));
    assert_eq!(testbed.executor("n1").total_runs(), before);
    assert_eq!(testbed.call_admin("n1", "resume"), "ok serving");
    wait_until("it gets requests again", || {
        send_requests_for(&testbed, Duration::from_millis(50));
        testbed.executor("n1").total_runs() > before
    });
    // A killed node costs no read: another node serves it.
    testbed.kill("n2");
    let asked = send_requests_for(&testbed, Duration::from_secs(2));
    assert!(
        asked.len() > 20 && asked.iter().all(|request| request.is_served),
        "{} asked",
        asked.len()
    );
}

/// A router that receives nothing of the fleet goes on with the nodes that it knew, and finds their state by health checks.
#[test]
fn isolated_router_serves_on_with_the_nodes_it_knows() {
    let mut testbed = start_fleet_with_router(3, true);
    testbed.change_all_links(json!("all datagrams lost"), |link| link.loss = 1.0);
    let mut served = Vec::new();
    wait_until("the router knows that it is isolated", || {
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
    wait_until("a check finds that one is quiesced", || {
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
    println!("| router | quiesce to last there, ms: median, worst | kill to last not served or over 50 ms late, ms: median, worst |");
    for uses_membership in [true, false] {
        let (mut quiesced, mut killed) = (Vec::new(), Vec::new());
        for _ in 0..10 {
            let mut testbed = start_fleet_with_router(4, uses_membership);
            let from = Instant::now();
            assert_eq!(testbed.call_admin("n1", "quiesce"), "ok quiesced");
            let asked = send_requests_for(&testbed, Duration::from_millis(800));
            let routed_there = asked
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
            let asked = send_requests_for(&testbed, Duration::from_secs(4));
            let harmed = asked
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
            "by the view"
        } else {
            "by asking, as before"
        };
        println!(
            "| {name} | {}, {} | {}, {} |",
            quiesced[5], quiesced[9], killed[5], killed[9]
        );
    }
}

/// The scenario in the deploy folder that cuts and stalls streams: cut ones cost nobody an answer, and a node whose streams
/// stall costs a few until the router ejects it, although membership holds it as up all the time.
#[test]
fn scenario_from_a_file_cuts_and_stalls_streams() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/plays/streams.json5");
    let scenario = Scenario::read(&file).expect("it can be used");
    let testbed = scenario.run(false).unwrap_or_else(|e| panic!("{e}"));
    let timeline = testbed.timeline();
    for event in ["\"cut\"", "\"stall\"", "\"served\""] {
        assert!(timeline.contains(event), "{event} is missing: {timeline}");
    }
    let text = std::fs::read_to_string(&file)
        .expect("readable")
        .replace("router: true", "router: false");
    let error = Scenario::parse("play", &text).expect_err("nobody to ask");
    assert!(error.to_string().contains("steps[2]"), "{error}");
}
