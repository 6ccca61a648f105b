//! Deadlines and idempotency windows of a node follow elapsed time when its wall clock is stepped.

#[path = "common/faults.rs"]
mod faults;

use std::thread;
use std::time::{Duration, Instant};

use faults::{start_node, Faults};
use serde_json::{json, Value};
use test_doubles::{unix_ms, wait_until, Node, TestClient};

const READ_CLASS: &str = "statement-read";
const POST_CLASS: &str = "settlement-post";
/// The deadline of all classes, and the time by which an answer may exceed it.
const DEADLINE: Duration = Duration::from_millis(1500);
const ANSWER_SLACK: Duration = Duration::from_millis(100);
/// Time before its deadline at which the node may already abandon a request, so that the answer is
/// in time.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(200);
/// Delay that a busy machine may add to this test. All steps are longer.
const SCHEDULING_DELAY: Duration = Duration::from_millis(400);
const KEYED_CLASS: &str = "version-submit";
const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const SECOND_MS: i64 = 1000;
const STEPS_MS: [i64; 6] = [
    SECOND_MS,
    -SECOND_MS,
    30 * SECOND_MS,
    -30 * SECOND_MS,
    3600 * SECOND_MS,
    -3600 * SECOND_MS,
];

/// A node whose wall clock can be stepped.
struct SteppedNode {
    node: Node,
    faults: Faults,
    step_ms: i64,
}

/// The machine whose wall clock gives the arrival time of a request.
#[derive(Clone, Copy, Debug)]
enum ClientClock {
    /// Another machine, whose clock is not stepped.
    Other,
    /// The machine of the node.
    Same,
}

impl SteppedNode {
    fn start() -> SteppedNode {
        let (node, faults) = start_node(add_keyed_class);
        wait_until("the node is ready", || {
            node.connect().query_alive()["result"]["ready"] == json!(true)
        });
        SteppedNode {
            node,
            faults,
            step_ms: 0,
        }
    }

    /// Steps the wall clock of the node, in addition to earlier steps.
    fn step(&mut self, step_ms: i64) {
        self.step_ms += step_ms;
        self.faults.set_clock_step_ms(self.step_ms);
    }

    /// Returns the arrival time that a request carries, in Unix milliseconds.
    fn arrival_time_ms(&self, clock: ClientClock) -> u64 {
        match clock {
            ClientClock::Other => unix_ms(),
            ClientClock::Same => unix_ms().saturating_add_signed(self.step_ms),
        }
    }

    fn request(&self, clock: ClientClock, body: &str) -> Value {
        let mut client = self.node.connect();
        client.send_received_at(READ_CLASS, body, self.arrival_time_ms(clock));
        client.read_answer()
    }
}

/// Adds a class with idempotency keys, whose window is longer than the test and shorter than an
/// hour.
fn add_keyed_class(config: &mut Value) {
    let settings = &mut config["settings"];
    let classes = settings["lanes"].as_array_mut().expect("classes");
    classes.push(
        json!({"name": KEYED_CLASS, "promise": 1000.0, "deadline": 1500.0, "effect": "by_key",
               "lateWorth": 0.2, "window": 600_000.0, "worth": 1.0}),
    );
    settings["specifics"]["classCalls"] = json!([true, true, true]);
    settings["specifics"]["classSkipWorth"] = json!([0.0, 0.0, 0.0]);
}

/// Guards against a fault seen on 92b6dcc, in one run of 12 s with 8 clients for each step: after a
/// step of an hour forward no request was served until the end of the run, and after a step of an
/// hour back answers came after the deadline.
#[test]
fn requests_are_served_after_each_step() {
    let mut node = SteppedNode::start();
    for step_ms in STEPS_MS {
        node.step(step_ms);
        for clock in [ClientClock::Other, ClientClock::Same] {
            let answer = node.request(clock, "serve:after");
            assert!(
                answer["result"].is_object(),
                "{step_ms} {clock:?}: {answer}"
            );
        }
    }
}

#[test]
fn open_requests_are_served_across_a_step() {
    let mut node = SteppedNode::start();
    for (runs, step_ms) in STEPS_MS.into_iter().enumerate() {
        let mut client = node.node.connect();
        client.send(READ_CLASS, "hang");
        wait_until("it runs", || {
            node.node.executor.run_count("hang") == runs + 1
        });
        node.step(step_ms);
        // The node handles another event, for which it reads its clock.
        let other = node.request(ClientClock::Other, "serve:other");
        assert!(other["result"].is_object(), "{step_ms}: {other}");
        node.node.executor.finish_run("hang");
        let answer = client.read_answer();
        assert!(answer["result"].is_object(), "{step_ms}: {answer}");
    }
}

#[test]
fn deadline_follows_elapsed_time_across_a_step() {
    thread::scope(|scope| {
        for step_ms in STEPS_MS {
            scope.spawn(move || check_deadline_across_a_step(step_ms));
        }
    });
}

fn check_deadline_across_a_step(step_ms: i64) {
    let mut node = SteppedNode::start();
    let mut client = node.node.connect();
    let sent_at = Instant::now();
    client.send(POST_CLASS, "hang");
    // The count includes a run that has already been stopped.
    wait_until("it runs", || node.node.executor.run_count("hang") == 1);
    node.step(step_ms);
    let answer = client.read_answer();
    let took = sent_at.elapsed();
    assert!(answer["error"].is_object(), "{step_ms}: {answer}");
    assert!(took + GIVE_UP_MARGIN >= DEADLINE, "{step_ms}: {took:?}");
    let latest = DEADLINE + ANSWER_SLACK + SCHEDULING_DELAY;
    assert!(took <= latest, "{step_ms}: {took:?}");
}

#[test]
fn idempotency_key_is_kept_across_steps_within_its_window() {
    let mut node = SteppedNode::start();
    let mut client = node.node.connect();
    let submit = |client: &mut TestClient, t0: u64| {
        client.send_with_fields(
            KEYED_CLASS,
            "serve:once",
            &json!({"token": IDEMPOTENCY_KEY, "t0": t0}),
        );
        client.read_answer()
    };
    let first = submit(&mut client, unix_ms());
    assert!(first["result"].is_object(), "{first}");
    for step_ms in STEPS_MS {
        node.step(step_ms);
        for clock in [ClientClock::Other, ClientClock::Same] {
            let repeat = submit(&mut client, node.arrival_time_ms(clock));
            assert_eq!(repeat["result"], first["result"], "{step_ms} {clock:?}");
        }
    }
    assert_eq!(node.node.executor.run_count("serve:once"), 1);
}
