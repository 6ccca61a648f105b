//! Requests of front ends to the program over real sockets, and the database calls that they make.

#[path = "common/answers.rs"]
mod answers;

use std::io::Write;

use answers::{assert_failed, error_code, result_body, REJECTED};
use serde_json::{json, Value};
use test_doubles::*;

const READ: &str = "statement-read";
const POST: &str = "settlement-post";

/// Guards against an actor that scheduled its first round relative to a time that is never reached.
/// It handled no batch, lost each request, and its thread used a whole core.
#[test]
fn first_request_is_served_with_the_executors_result() {
    let node = Node::start();
    let mut client = node.connect();
    let answer = client.request(READ, "serve:first");
    assert_eq!(result_body(&answer), "done serve:first");
    assert_eq!(node.executor.run_count("serve:first"), 1);
}

#[test]
fn failed_run_is_answered_as_failed_not_rejected() {
    let node = Node::start();
    let answer = node.connect().request(POST, "fail");
    assert_failed(&answer);
}

/// A request whose command the executor rejects fails at once, and notices about unknown runs are
/// ignored.
#[test]
fn command_rejected_by_the_executor_fails_at_once() {
    let node = Node::start();
    let mut client = node.connect();
    let answer = client.request(READ, "bad");
    assert_failed(&answer);
    assert_eq!(result_body(&client.request(READ, "serve")), "done serve");
    assert_eq!(node.executor.join_positions(), [0], "the link stayed open");
}

#[test]
fn database_reply_is_passed_back_unchanged() {
    let node = Node::start();
    let answer = node.connect().request(POST, "call:ok#1");
    assert_eq!(result_body(&answer), "rows for ok#1");
    assert_eq!(node.database.call_count("ok#1"), 1);
}

/// A connection that breaks during a call does not show whether the call has taken effect, so a
/// call of a post is not retried.
#[test]
fn broken_call_is_retried_for_reads_only() {
    let node = Node::start();
    let mut client = node.connect();
    let answer = client.request(POST, "call:break#post");
    assert_failed(&answer);
    assert_eq!(node.database.call_count("break#post"), 1);
    client.send(READ, "call:break#read");
    wait_until("the read's call is retried", || {
        node.database.call_count("break#read") > 1
    });
}

#[test]
fn call_that_never_ran_is_retried_also_for_posts() {
    let node = Node::start();
    for body in ["busy#post", "gone#post"] {
        node.connect().send(POST, &format!("call:{body}"));
        wait_until("the call is retried", || node.database.call_count(body) > 1);
    }
}

/// Returns invalid lines, each with the error code and the id of its answer.
fn malformed_lines() -> Vec<(String, i64, Value)> {
    let valid = json!({"rid": "0123456789abcdef", "t0": unix_ms(), "peer": 1, "mem": 1.0, "prio": 0.1,
                      "acct": "alpenergia", "body": encode_base64("serve:malformed")});
    let with = |key: &str, value: Value| {
        let mut params = valid.clone();
        params[key] = value;
        json!({"jsonrpc": "2.0", "id": 7, "method": READ, "params": params}).to_string()
    };
    vec![
        ("{".to_string(), -32700, Value::Null),
        ("[]".to_string(), -32600, Value::Null),
        (
            json!({"id": 7, "method": READ}).to_string(),
            -32600,
            json!(7),
        ),
        (
            json!({"jsonrpc": "2.0", "id": "x", "method": READ}).to_string(),
            -32600,
            Value::Null,
        ),
        (
            json!({"jsonrpc": "2.0", "id": 7}).to_string(),
            -32600,
            json!(7),
        ),
        (
            json!({"jsonrpc": "2.0", "id": 7, "method": "nonsense"}).to_string(),
            -32601,
            json!(7),
        ),
        (
            json!({"jsonrpc": "2.0", "id": 7, "method": READ}).to_string(),
            -32602,
            json!(7),
        ),
        (with("rid", json!("short")), -32602, json!(7)),
        (with("mem", json!(-1)), -32602, json!(7)),
        (with("mem", json!(1e300)), -32602, json!(7)),
        (with("t0", json!("noon")), -32602, json!(7)),
        (with("t0", json!(-5)), -32602, json!(7)),
        (with("prio", json!(1)), -32602, json!(7)),
        (with("prio", Value::Null), -32602, json!(7)),
        (with("again", json!(2)), -32602, json!(7)),
        (with("acct", json!("nobody")), -32602, json!(7)),
        (with("obj", json!("x")), -32602, json!(7)),
        (with("body", json!("not base64!")), -32602, json!(7)),
        (
            with("body", json!(encode_base64(&"x".repeat(2049)))),
            -32602,
            json!(7),
        ),
    ]
}

/// Guards the executor against invalid requests, and the node against peers that send them
/// endlessly. Each gets the standard error, then its connection closes. Requests with an unknown
/// tenant or a number out of range used to be run.
#[test]
fn malformed_input_gets_a_standard_error_and_a_close() {
    let node = Node::start();
    for (line, expected_code, id) in malformed_lines() {
        let mut client = node.connect();
        client.send_line(&line);
        let answer = client.read_message();
        assert_eq!(
            (error_code(&answer), &answer["id"]),
            (expected_code, &id),
            "{line}"
        );
        assert_eq!(client.read_message(), Value::Null, "closed after {line}");
    }
    assert_eq!(node.executor.run_count("serve:malformed"), 0);
    let mut client = node.connect();
    client.send_line("{\"jsonrpc\":\"2.0\",\"method\":\"statement-read\"}");
    assert_eq!(result_body(&client.request(READ, "serve")), "done serve");
}

/// Guards the node's memory against a line that never ends.
#[test]
fn endless_line_closes_the_connection() {
    let node = Node::start();
    let mut client = node.connect();
    // The node may close the connection during this write.
    let _ = client.stream.write_all(&vec![b'x'; 64 * 1024]);
    let answer = client.read_message();
    assert!(
        answer.is_null() || error_code(&answer) == -32600,
        "{answer}"
    );
    assert!(answer.is_null() || client.read_message().is_null());
    assert_eq!(
        result_body(&node.connect().request(READ, "serve")),
        "done serve"
    );
}

#[test]
fn health_answer_has_the_capacity_hint_and_the_node_is_listed() {
    let node = Node::start();
    let mut client = node.connect();
    client.request(READ, "serve");
    let mut answer = Value::Null;
    wait_until("the answer has a hint", || {
        answer = client.query_alive();
        answer["result"]["hint"].is_number()
    });
    assert_eq!(answer["result"]["ready"], true);
    wait_until("the node is on the endpoint list", || {
        node.endpoint_list.has_report("HB n3 UP")
    });
}

/// The requests of a connection that closes continue: the policy and the executor still count them.
#[test]
fn closed_connection_does_not_end_its_requests() {
    let node = Node::start();
    let mut client = node.connect();
    client.send(POST, "hang");
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    drop(client);
    wait_until("it is stopped at its deadline", || {
        node.executor.kill_count() == 1
    });
    assert_eq!(
        result_body(&node.connect().request(READ, "serve")),
        "done serve"
    );
}

/// Guards against two answers with the same id. The peer gets the error without an id, and its
/// connection closes without further answers.
#[test]
fn id_in_use_closes_the_connection() {
    let node = Node::start();
    let mut client = node.connect();
    for n in 0..2 {
        let params = json!({"rid": format!("{n:016x}"), "t0": unix_ms(), "peer": 1, "mem": 1.0, "prio": 0.1,
                            "body": encode_base64("hang")});
        client.send_line(
            &json!({"jsonrpc": "2.0", "id": 1, "method": POST, "params": params}).to_string(),
        );
    }
    let answer = client.read_message();
    assert_eq!(
        (error_code(&answer), &answer["id"]),
        (-32600, &Value::Null),
        "{answer}"
    );
    assert_eq!(client.read_message(), Value::Null);
}

/// Guards front ends that have abandoned requests without a cancellation. Those requests are still
/// open at the node, in addition to the 32 that the front end counts. Above the connection's limit,
/// only the new request is rejected and the open ones are answered. Closing the connection would
/// lose them all.
#[test]
fn requests_beyond_the_connections_limit_are_rejected_and_it_stays_open() {
    let node = Node::start();
    let mut client = node.connect();
    let ids: Vec<u64> = (0..70).map(|_| client.send(POST, "hang")).collect();
    let answers: Vec<Value> = ids.iter().map(|_| client.read_message()).collect();
    assert!(answers.iter().all(|a| a["error"].is_object()));
    let is_over_limit = |a: &&Value| {
        a["error"]["message"]
            .as_str()
            .is_some_and(|m| m.contains("on this connection"))
    };
    let rejected: Vec<u64> = answers
        .iter()
        .filter(is_over_limit)
        .filter_map(|a| a["id"].as_u64())
        .collect();
    assert_eq!(rejected, ids[64..]);
    wait_until("the connection serves", || {
        client.request(READ, "serve")["result"].is_object()
    });
}

/// A tenant of another cell is rejected before anything runs, with the epoch that the node knows.
/// On a reload, an invalid cells file changes nothing and a valid one is used.
#[test]
fn tenant_of_another_cell_is_rejected_with_the_epoch() {
    let cells_file = |home: &str| {
        format!(
            "{{ version: 1, slack: 2, cells: {{ a: {{}}, b: {{}} }}, tenants: {{ alpenergia: {{ cell: '{home}' }} }},
               nodes: {{ n3: {{ site: 'x', cell: 'a' }}, n4: {{ site: 'y', cell: 'b' }} }} }}"
        )
    };
    let file = ScratchFile::new("cells.json5", &cells_file("b"));
    let node = Node::start_with_cells(None, Some(&file), |_| {});
    let mut client = node.connect();
    let answer = client.request(POST, "serve:elsewhere");
    assert_eq!(
        (error_code(&answer), &answer["error"]["data"]["epoch"]),
        (REJECTED, &json!(1))
    );
    assert_eq!(node.executor.run_count("serve:elsewhere"), 0);
    let config = node_config(
        node.executor.address,
        node.database.address,
        node.endpoint_list.address,
    );
    std::fs::write(file.path(), &cells_file("a")[..60]).expect("a file");
    node.reload(&config.to_string());
    wait_until("the invalid file is rejected", || {
        node.log()
            .contains("cells file rejected; previous layout kept")
    });
    assert_eq!(
        error_code(&client.request(POST, "serve:elsewhere")),
        REJECTED
    );
    // Reading a file migrates no tenant: this one stays in b until a migration is committed.
    std::fs::write(file.path(), cells_file("a")).expect("a file");
    node.reload(&config.to_string());
    wait_until("the valid file is read", || {
        node.log().contains("cells file reloaded")
    });
    assert_eq!(
        error_code(&client.request(POST, "serve:elsewhere")),
        REJECTED
    );
    assert_eq!(node.executor.run_count("serve:elsewhere"), 0);
    // A node started with the new file serves the tenant.
    let node = Node::start_with_cells(None, Some(&file), |_| {});
    assert_eq!(
        result_body(&node.connect().request(POST, "serve")),
        "done serve"
    );
}
