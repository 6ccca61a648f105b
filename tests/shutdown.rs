//! Shutdown on SIGTERM: which requests are answered or rejected, and when the process exits.

#[path = "common/answers.rs"]
mod answers;

use std::io::Write;

use answers::{assert_failed, error_code, result_body, REJECTED};
use serde_json::json;
use test_doubles::*;

const READ: &str = "statement-read";
const POST: &str = "settlement-post";

#[test]
fn shutdown_answers_all_starts_no_late_run_and_exits_with_0() {
    let mut node = Node::start_with(None, |config| {
        // A run that hangs keeps the process running until all requests have been sent.
        config["settings"]["lanes"][1]["deadline"] = json!(6000);
        config["stop_ms"] = json!(15000);
    });
    let mut client = node.connect();
    client.send(POST, "hang");
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    let terminated_at = unix_ms();
    node.terminate();
    assert_eq!(client.read_message()["method"], "farewell");
    wait_until("the endpoint list has the report", || {
        node.endpoint_list.has_report("HB n3 OUT")
    });
    // A front end that has not been notified may still connect. It is served within the drain
    // grace, and a health check reports to it that the node is not ready.
    let mut early = node.connect();
    early.send_received_at(READ, "serve:early", terminated_at);
    assert_eq!(result_body(&early.read_message()), "done serve:early");
    assert_eq!(early.query_alive()["result"]["ready"], false);
    wait_until("the drain grace of 500 ms has ended", || {
        unix_ms() > terminated_at + 1000
    });
    let answer = early.request(READ, "serve:late");
    assert_eq!(error_code(&answer), REJECTED);
    assert_eq!(node.executor.run_count("serve:late"), 0);
    let answer = client.read_message();
    assert_failed(&answer);
    drop((client, early));
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Requests that were read are answered before the stop timeout, even if their deadline is later.
#[test]
fn shutdown_answers_before_the_stop_timeout() {
    let mut node = Node::start_with(None, |config| config["stop_ms"] = json!(900));
    let mut client = node.connect();
    client.send(POST, "hang");
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    node.terminate();
    assert_eq!(client.read_message()["method"], "farewell");
    let answer = client.read_message();
    assert_failed(&answer);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Requests sent just before and just after the signal on open connections are all answered.
#[test]
fn requests_sent_around_sigterm_are_all_answered() {
    let mut node = Node::start();
    let mut clients: Vec<TestClient> = (0..8).map(|_| node.connect()).collect();
    let before: Vec<u64> = clients
        .iter_mut()
        .map(|client| client.send("settlement-post", "serve"))
        .collect();
    node.terminate();
    let after: Vec<u64> = clients
        .iter_mut()
        .map(|client| client.send("statement-read", "serve"))
        .collect();
    for ((client, first), second) in clients.iter_mut().zip(before).zip(after) {
        let mut ids = [
            client.read_answer()["id"].as_u64(),
            client.read_answer()["id"].as_u64(),
        ];
        ids.sort_unstable();
        assert_eq!(ids, [Some(first), Some(second)]);
    }
    drop(clients);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// SIGTERM with a run, a call and half a line in progress: all requests that were read are
/// answered.
#[test]
fn sigterm_with_requests_at_every_stage_answers_all() {
    let mut node = Node::start();
    let (mut runs, mut calls, mut half) = (node.connect(), node.connect(), node.connect());
    let run = runs.send("settlement-post", "hang:a");
    let call = calls.send("statement-read", "call:silent");
    wait_until("the run and the call are in progress", || {
        node.executor.run_count("hang:a") == 1 && node.database.call_count("silent") == 1
    });
    let (id, line) = half.format_request("statement-read", "serve", &json!({}));
    let (begin, rest) = line.split_at(line.len() / 2);
    half.stream.write_all(begin.as_bytes()).expect("written");
    node.terminate();
    wait_until("it shuts down", || node.log().contains("shutting down"));
    half.stream.write_all(rest.as_bytes()).expect("written");
    half.stream.write_all(b"\n").expect("written");
    assert_eq!(half.read_answer()["id"].as_u64(), Some(id));
    node.executor.finish_run("hang:a");
    assert_eq!(runs.read_answer()["id"].as_u64(), Some(run));
    assert_eq!(calls.read_answer()["id"].as_u64(), Some(call));
    drop((runs, calls, half));
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A reload during shutdown connects to the peers' new addresses and ends no request early.
#[test]
fn reload_during_shutdown_moves_the_peers_and_ends_no_request() {
    let mut node = Node::start();
    let mut client = node.connect();
    let run = client.send("settlement-post", "hang:a");
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    node.terminate();
    wait_until("it shuts down", || node.log().contains("shutting down"));
    let moved = node_config(
        node.executor.open_second_address(),
        node.database.address,
        node.endpoint_list.address,
    );
    node.reload(&moved.to_string());
    wait_until("it is connected to the new address", || {
        node.executor.join_positions().len() == 2
    });
    // Again, with an invalid file.
    node.reload("{\"name\":");
    wait_until("the invalid configuration is rejected", || {
        node.log()
            .contains("configuration rejected; previous one kept")
    });
    node.executor.finish_run("hang:a");
    let answer = client.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(run), "late result")
    );
    drop(client);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
