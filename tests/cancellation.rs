//! Cancellations of requests, alone and concurrent with an answer, the end of a run or a close.

#[path = "common/answers.rs"]
mod answers;
#[path = "common/keyed_node.rs"]
mod keyed_node;

use std::io::Write;
use std::time::{Duration, Instant};

use answers::{assert_failed, result_body};
use keyed_node::{start_keyed_node, submit, CLASS_DEADLINE_MS, TOKEN};
use protocol_gateway::node::Limits;
use serde_json::{json, Value};
use test_doubles::*;

#[test]
fn cancelled_request_gets_no_answer_and_its_run_serves_the_retry() {
    let mut node = start_keyed_node();
    let mut client = node.connect();
    // Cancellations of an unknown request and of an answered one have no effect.
    client.cancel(99);
    assert_eq!(
        result_body(&client.request("statement-read", "serve")),
        "done serve"
    );
    client.cancel(1);
    let cancelled = submit(&mut client, "hang:a", TOKEN);
    wait_until("the run has started", || {
        node.executor.run_count("hang:a") == 1
    });
    client.cancel(cancelled);
    assert_eq!(
        result_body(&client.request("settlement-post", "serve")),
        "done serve"
    );
    let second = submit(&mut client, "hang:a", TOKEN);
    assert_eq!(
        result_body(&client.request("statement-read", "serve")),
        "done serve"
    );
    node.executor.finish_run("hang:a");
    let answer = client.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(second), "late result")
    );
    assert_eq!(
        (
            node.executor.run_count("hang:a"),
            node.executor.kill_count()
        ),
        (1, 0)
    );
    // An abandoned read is stopped, and cancelled requests do not delay the shutdown.
    let read = client.send("statement-read", "hang:b");
    wait_until("the run has started", || {
        node.executor.run_count("hang:b") == 1
    });
    client.cancel(read);
    wait_until("the run is stopped", || node.executor.kill_count() == 1);
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert!(
        node.log().contains("shut down, ms: ") && node.log().contains("unanswered: 0"),
        "{}",
        node.log()
    );
}

/// A cancellation right after its request, before the policy has decided on it: the key is not run
/// twice, and no request stays open.
#[test]
fn request_and_its_cancellation_in_one_write() {
    let mut node = start_keyed_node();
    let mut client = node.connect();
    for n in 0..20 {
        let token = format!("{n:032x}");
        let (id, line) = client.format_request(
            "version-submit",
            &format!("hang:{n}"),
            &json!({"token": token}),
        );
        let cancel = json!({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}});
        client.send_line(&format!("{line}\n{cancel}"));
        // The key is free again or the second request joins the run. Either way there is one run,
        // and the second request is answered.
        let id = submit(&mut client, &format!("hang:{n}"), &token);
        assert_eq!(client.query_alive()["result"]["ready"], true);
        wait_until("the run has started", || {
            node.executor.run_count(&format!("hang:{n}")) == 1
        });
        node.executor.finish_run(&format!("hang:{n}"));
        let answer = client.read_answer();
        assert_eq!(
            (answer["id"].as_u64(), result_body(&answer).as_str()),
            (Some(id), "late result")
        );
        assert_eq!(node.executor.run_count(&format!("hang:{n}")), 1);
    }
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A cancellation races with the end of the run that it would stop: the cancelled request gets at
/// most one answer, with its own id, and the run's slot on a core is released.
#[test]
fn cancellation_may_race_with_the_end_of_its_run() {
    let mut node = start_keyed_node();
    let mut client = node.connect();
    for n in 0..20 {
        let name = format!("hang:{n}");
        let cancelled = client.send("statement-read", &name);
        wait_until("the run has started", || {
            node.executor.run_count(&name) == 1
        });
        // Either may reach the node first, and the stop command may arrive after the run has ended.
        client.cancel(cancelled);
        node.executor.finish_run(&name);
        let id = client.send("settlement-post", "serve");
        let mut answer = client.read_answer();
        if answer["id"].as_u64() == Some(cancelled) {
            answer = client.read_answer();
        }
        assert_eq!(
            (answer["id"].as_u64(), result_body(&answer).as_str()),
            (Some(id), "done serve")
        );
    }
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert!(node.log().contains("unanswered: 0"), "{}", node.log());
}

/// A connection is closed right after a cancellation: the run with an idempotency key continues,
/// and the retry gets its result on another connection.
#[test]
fn cancellation_may_race_with_the_close_of_its_connection() {
    let node = start_keyed_node();
    for n in 0..10 {
        let (name, token) = (format!("hang:{n}"), format!("{n:032x}"));
        let mut cancelling = node.connect();
        let id = submit(&mut cancelling, &name, &token);
        wait_until("the run has started", || {
            node.executor.run_count(&name) == 1
        });
        cancelling.cancel(id);
        drop(cancelling);
        let mut next = node.connect();
        submit(&mut next, &name, &token);
        assert_eq!(next.query_alive()["result"]["ready"], true);
        node.executor.finish_run(&name);
        assert_eq!(result_body(&next.read_answer()), "late result");
        assert_eq!(node.executor.run_count(&name), 1);
    }
}

/// Guards against a request left without an answer: a client sent a request with the id of another
/// client's open request and cancelled its own, which cancelled the other's (`review/3`).
#[test]
fn cancellation_of_a_duplicate_id_leaves_the_open_request_of_another_client() {
    let node = start_keyed_node();
    for (class, fields) in [
        ("statement-read", json!({})),
        ("version-submit", json!({"token": TOKEN})),
    ] {
        let name = format!("hang:{class}");
        let (mut owner, mut other) = (node.connect(), node.connect());
        let (id, line) = owner.format_request(class, &name, &fields);
        let uid = request_uid(&line);
        owner.send_line(&line);
        wait_until("the run has started", || {
            node.executor.run_count(&name) == 1
        });
        // The duplicate alone fails, and the open request is not affected.
        let (duplicate, line) =
            other.format_request("statement-read", "serve", &json!({"rid": uid}));
        other.send_line(&line);
        let answer = other.read_answer();
        assert_eq!(answer["id"].as_u64(), Some(duplicate));
        assert_failed(&answer);
        cancel_duplicate(&mut other, &uid);
        // The owner's own connection may send a duplicate as well.
        cancel_duplicate(&mut owner, &uid);
        assert_eq!(node.executor.kill_count(), 0, "{class}");
        node.executor.finish_run(&name);
        let answer = owner.read_answer();
        assert_eq!(
            (answer["id"].as_u64(), result_body(&answer).as_str()),
            (Some(id), "late result")
        );
    }
}

/// Sends a request with this id and its cancellation in one write, so that the node reads both before
/// it can answer the request, and returns once the policy has read both.
fn cancel_duplicate(client: &mut TestClient, uid: &str) {
    let (id, line) = client.format_request("statement-read", "serve", &json!({"rid": uid}));
    let cancel = json!({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}});
    let lines = format!("{line}\n{cancel}\n");
    client
        .stream
        .write_all(lines.as_bytes())
        .expect("the write succeeds");
    let last = client.send("statement-read", "serve");
    let answer = client.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(last), "done serve")
    );
}

/// Returns the id that peers use for the request in this line.
fn request_uid(line: &str) -> String {
    let request: Value = serde_json::from_str(line).expect("the line is JSON");
    request["params"]["rid"]
        .as_str()
        .expect("the request has an id")
        .to_string()
}

/// Guards against a request that fails although the run it has joined could serve it: once the
/// client of the first request had cancelled, the run's database call was never made.
#[test]
fn run_of_a_cancelled_request_makes_its_call_for_a_request_that_has_joined() {
    let node = start_keyed_node();
    let (mut first, mut second) = (node.connect(), node.connect());
    node.executor.stand_still();
    let cancelled = submit(&mut first, "call:ok", TOKEN);
    wait_until("the run has started", || {
        node.executor.run_count("call:ok") == 1
    });
    let joined = submit(&mut second, "call:ok", TOKEN);
    // Answered in the policy's order of reading, so that the repeat has joined the run.
    second.send_with_fields("version-submit", "another body", &json!({"token": TOKEN}));
    assert_failed(&second.read_answer());
    first.cancel(cancelled);
    assert_eq!(first.query_alive()["result"]["ready"], true);
    node.executor.resume();
    let answer = second.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(joined), "rows for ok")
    );
    assert_eq!(node.database.call_count("ok"), 1);
}

/// Guards against the stop of a run that another request has joined: the sweep stopped the run of a
/// cancelled request after its class's deadline, whoever waited for it.
#[test]
fn run_of_a_cancelled_request_is_not_stopped_while_a_joined_request_waits() {
    let deadline = Duration::from_millis(CLASS_DEADLINE_MS);
    let limits = Limits::new(512).policy;
    let stopped_after = deadline + limits.stop_retry_after + limits.sweep_interval;
    let node = start_keyed_node();
    let (mut first, mut second) = (node.connect(), node.connect());
    let cancelled = submit(&mut first, "hang:a", TOKEN);
    wait_until("the run has started", || {
        node.executor.run_count("hang:a") == 1
    });
    first.cancel(cancelled);
    assert_eq!(first.query_alive()["result"]["ready"], true);
    let cancelled_at = Instant::now();
    wait_until("most of the deadline has passed", || {
        cancelled_at.elapsed() >= deadline * 9 / 10
    });
    let joined = submit(&mut second, "hang:a", TOKEN);
    wait_until("the sweep stops abandoned runs", || {
        cancelled_at.elapsed() >= stopped_after
    });
    node.executor.finish_run("hang:a");
    let answer = second.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(joined), "late result")
    );
}
