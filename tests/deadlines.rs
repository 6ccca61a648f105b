//! Deadlines: when they start, the caller's own budget, and the work that is skipped or dropped
//! when time runs out.

#[path = "common/answers.rs"]
mod answers;
#[path = "common/keyed_node.rs"]
mod keyed_node;

use answers::{assert_failed, error_code, result_body, REJECTED};
use keyed_node::{add_keyed_class, start_keyed_node, ANSWER_SLACK_MS};
use serde_json::{json, Value};
use test_doubles::*;

const READ_CLASS: &str = "statement-read";
const POST_CLASS: &str = "settlement-post";

#[test]
fn hanging_run_fails_at_its_deadline_and_is_stopped() {
    let node = Node::start();
    let started_at = unix_ms();
    let answer = node.connect().request(POST_CLASS, "hang");
    let took_ms = unix_ms() - started_at;
    assert_failed(&answer);
    assert!(
        took_ms >= 1300,
        "due after 1500 ms, answered after {took_ms}"
    );
    wait_until("the run is stopped", || node.executor.kill_count() == 1);
}

/// A deadline counts from the arrival of the request at the machine, not from the time it was read.
#[test]
fn deadline_counts_from_t0() {
    let node = Node::start();
    let started_at = unix_ms();
    let mut client = node.connect();
    client.send_received_at(POST_CLASS, "hang", started_at - 1200);
    let answer = client.read_message();
    assert!(error_code(&answer) != 0, "{answer}");
    assert!(
        unix_ms() - started_at < 1300,
        "answered {} ms after it was sent",
        unix_ms() - started_at
    );
}

/// Guards the policy's estimate of its own queue: an age of days, from a wrong clock or a false
/// time in the request, used to count as time in the queue, and the node withdrew from the endpoint
/// list as overloaded.
#[test]
fn request_of_implausible_age_is_rejected_and_ignored_in_estimates() {
    let node = Node::start();
    let mut client = node.connect();
    client.send_received_at(READ_CLASS, "serve:old", 1);
    assert_eq!(error_code(&client.read_message()), REJECTED);
    assert_eq!(
        result_body(&client.request(READ_CLASS, "serve")),
        "done serve"
    );
    assert_eq!(client.query_alive()["result"]["ready"], true);
    assert_eq!(node.executor.run_count("serve:old"), 0);
}

/// Where callers send a budget, it is the deadline. A request with a budget that is not a valid
/// duration is invalid.
#[test]
fn budget_of_the_caller_is_the_deadline() {
    let node = Node::start_with(None, |config| {
        add_keyed_class(config);
        config["settings"]["specifics"]["passesDeadline"] = json!(true);
    });
    for budget in [json!(null), json!(0), json!(-5), json!(1e12), json!("100")] {
        let mut client = node.connect();
        client.send_with_fields("statement-read", "serve", &json!({"budget": budget}));
        assert_eq!(error_code(&client.read_message()), -32602, "{budget}");
        assert_eq!(client.read_message(), Value::Null);
    }
    let mut client = node.connect();
    let t0 = unix_ms();
    client.send_with_fields("statement-read", "hang", &json!({"budget": 500, "t0": t0}));
    let answer = client.read_answer();
    assert!(error_code(&answer) != 0, "{answer}");
    assert!(
        unix_ms() - t0 < 500 + ANSWER_SLACK_MS,
        "{} ms",
        unix_ms() - t0
    );
    // The budget was spent before the request was read: no run is started.
    client.send_with_fields(
        "statement-read",
        "serve",
        &json!({"budget": 5, "t0": unix_ms() - 300}),
    );
    assert_eq!(error_code(&client.read_answer()), REJECTED);
    assert_eq!(node.executor.run_count("serve"), 0);
    client.send_with_fields("statement-read", "serve", &json!({"budget": 1000}));
    assert_eq!(result_body(&client.read_answer()), "done serve");
}

/// A call that would end too late is skipped if an answer without it is worth more than a late
/// complete one.
#[test]
fn call_that_would_end_too_late_is_skipped() {
    let node = start_keyed_node();
    let mut client = node.connect();
    assert_eq!(
        result_body(&client.request("statement-read", "call:hold#400")),
        "rows for hold#400"
    );
    client.send_with_fields(
        "statement-read",
        "call:hold#401",
        &json!({"t0": unix_ms() - 700}),
    );
    assert_eq!(result_body(&client.read_answer()), "without the call");
    assert_eq!(node.database.call_count("hold#401"), 0);
}

/// A reply to a call that comes after its request has been answered is dropped, and the next call
/// works.
#[test]
fn reply_after_the_deadline_of_its_request_is_dropped() {
    let node = Node::start();
    let mut client = node.connect();
    client.send("statement-read", "call:hold#1700");
    wait_until("the call is made", || {
        node.database.read_delayed_calls().in_flight == 1
    });
    // The deadline of 1.5 s passes before the reply.
    assert!(error_code(&client.read_answer()) != 0);
    wait_until("the reply is sent", || {
        node.database.read_delayed_calls().in_flight == 0
    });
    assert_eq!(
        result_body(&client.request("statement-read", "call:ok")),
        "rows for ok"
    );
}
