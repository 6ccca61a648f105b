//! Classes whose requests run by idempotency key: repeated requests, the idempotency window, and a
//! full key table.

#[path = "common/admin.rs"]
mod admin;
#[path = "common/answers.rs"]
mod answers;
#[path = "common/keyed_node.rs"]
mod keyed_node;

use admin::wait_until_accepting_clients;
use answers::{assert_failed, error_code, result_body, REJECTED};
use keyed_node::{
    add_keyed_class, start_keyed_node, submit, ANSWER_SLACK_MS, OTHER_TOKEN, TOKEN, WINDOW_MS,
};
use serde_json::{json, Value};
use test_doubles::*;

#[test]
fn repeat_gets_the_first_result_without_another_run() {
    let node = start_keyed_node();
    let mut client = node.connect();
    submit(&mut client, "serve", TOKEN);
    assert_eq!(result_body(&client.read_answer()), "done serve");
    let mut another = node.connect();
    submit(&mut another, "serve", TOKEN);
    assert_eq!(result_body(&another.read_answer()), "done serve");
    // A different key is a different request. A failed run is not repeated either.
    submit(&mut client, "serve", OTHER_TOKEN);
    assert_eq!(result_body(&client.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 2);
    let token = TOKEN.replace('5', "6");
    for _ in 0..2 {
        submit(&mut client, "fail", &token);
        assert_failed(&client.read_answer());
    }
    assert_eq!(node.executor.run_count("fail"), 1);
}

/// The window is measured from the arrival of the request that ran to the arrival of the repeated
/// request. Both sides of its end are tested, with arrival times set by the client.
#[test]
fn idempotency_window_counts_from_the_arrival_of_the_first_request() {
    let node = start_keyed_node();
    let mut client = node.connect();
    let t0 = unix_ms();
    client.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0}),
    );
    assert_eq!(result_body(&client.read_answer()), "done serve");
    client.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0 + WINDOW_MS}),
    );
    assert_eq!(result_body(&client.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 1);
    client.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0 + WINDOW_MS + 10 * ANSWER_SLACK_MS}),
    );
    assert_eq!(result_body(&client.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 2);
    // A request that arrived within the window is still a repeat, even if it is read late.
    client.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0 + WINDOW_MS - 1}),
    );
    let answer = client.read_answer();
    assert_ne!(error_code(&answer), REJECTED, "{answer}");
    assert_eq!(node.executor.run_count("serve"), 2);
}

#[test]
fn repeat_joins_the_run_from_any_connection() {
    let node = start_keyed_node();
    let (mut first, mut second) = (node.connect(), node.connect());
    submit(&mut first, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    submit(&mut second, "hang:a", TOKEN);
    // This request is read after the repeat: once it is answered, the repeat has been read.
    assert_eq!(
        result_body(&second.request("statement-read", "serve")),
        "done serve"
    );
    // The first connection closes. The run continues, and the repeat gets its result.
    drop(first);
    node.executor.finish_run("hang:a");
    assert_eq!(result_body(&second.read_answer()), "late result");
    assert_eq!(node.executor.run_count("hang:a"), 1);
}

/// Guards against a second run of a request with an idempotency key in the process that takes over.
/// That process has none of the earlier one's keys, and ran repeats of requests that had run there
/// (soak with conditions, seed 1001). Within the window, or while the earlier process is running, a
/// repeat is neither run nor rejected there. A request that is not a repeat runs.
#[test]
fn keyed_request_runs_once_across_a_replacement() {
    let window_ms = 30_000;
    let set_window = |config: &mut Value| {
        add_keyed_class(config);
        config["admin"] = json!("127.0.0.1:0");
        let classes = config["settings"]["lanes"].as_array_mut().expect("classes");
        classes.last_mut().expect("a class")["window"] = json!(window_ms);
    };
    let mut first = Node::start_with(None, set_window);
    submit(&mut first.connect(), "serve:a", TOKEN);
    wait_until("the first request has run", || {
        first.executor.run_count("serve:a") == 1
    });
    let second = first.start_replacement_with(set_window);
    wait_until_accepting_clients(&second);
    first.terminate();
    assert_eq!(first.wait_for_exit().code(), Some(0));
    let repeat = json!({"token": TOKEN, "again": 1});
    let mut client = second.connect();
    client.send_with_fields("version-submit", "serve:a", &repeat);
    let answer = client.read_answer();
    assert!(answer["error"].is_object(), "{answer}");
    assert_ne!(error_code(&answer), REJECTED, "{answer}");
    assert_eq!(second.executor.run_count("serve:a"), 0);
    submit(&mut client, "serve:b", OTHER_TOKEN);
    assert_eq!(result_body(&client.read_answer()), "done serve:b");
}

/// A repeat sent on another connection at the moment the first run ends joins the run or finds its
/// result. It gets the same result either way.
#[test]
fn repeat_at_the_moment_of_the_first_answer_gets_the_same_result() {
    let node = start_keyed_node();
    let (mut first, mut second) = (node.connect(), node.connect());
    for n in 0..20 {
        let (name, token) = (format!("hang:{n}"), format!("{n:032x}"));
        submit(&mut first, &name, &token);
        wait_until("it runs", || node.executor.run_count(&name) == 1);
        let (_, line) = second.format_request("version-submit", &name, &json!({"token": token}));
        node.executor.finish_run(&name);
        second.send_line(&line);
        assert_eq!(result_body(&first.read_answer()), "late result");
        assert_eq!(result_body(&second.read_answer()), "late result");
        assert_eq!(node.executor.run_count(&name), 1);
    }
}

#[test]
fn command_lost_with_its_link_is_not_resent_and_its_repeat_fails_too() {
    let node = start_keyed_node();
    let mut client = node.connect();
    node.executor.lose_next_command();
    let first = submit(&mut client, "serve", TOKEN);
    wait_until("the executor connection is open again", || {
        node.executor.join_positions().len() == 2
    });
    let second = submit(&mut client, "serve", TOKEN);
    let mut answered: Vec<u64> = Vec::new();
    for _ in 0..2 {
        let answer = client.read_answer();
        assert_failed(&answer);
        answered.push(answer["id"].as_u64().expect("an id"));
    }
    answered.sort_unstable();
    assert_eq!(answered, vec![first, second]);
    assert_eq!(node.executor.run_count("serve"), 0);
}

#[test]
fn run_end_reported_after_a_reconnect_answers_all_that_joined() {
    let node = start_keyed_node();
    let (mut client, mut another) = (node.connect(), node.connect());
    submit(&mut client, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    submit(&mut another, "hang:a", TOKEN);
    assert_eq!(
        result_body(&another.request("statement-read", "serve")),
        "done serve"
    );
    node.executor.break_link();
    node.executor.finish_run("hang:a");
    assert_eq!(result_body(&client.read_answer()), "late result");
    assert_eq!(result_body(&another.read_answer()), "late result");
    assert_eq!(node.executor.run_count("hang:a"), 1);
}

#[test]
fn repeat_during_shutdown_gets_the_first_result() {
    let mut node = Node::start_with(None, |config| {
        add_keyed_class(config);
        config["settings"]["invariants"]["drainGrace"] = json!(5000.0);
        config["settings"]["lanes"][2]["window"] = json!(8000.0);
    });
    let mut client = node.connect();
    submit(&mut client, "serve", TOKEN);
    assert_eq!(result_body(&client.read_answer()), "done serve");
    node.terminate();
    wait_until("it shuts down", || node.log().contains("shutting down"));
    submit(&mut client, "serve", TOKEN);
    assert_eq!(result_body(&client.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 1);
    drop(client);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn same_key_with_another_body_is_an_error() {
    let node = start_keyed_node();
    let mut client = node.connect();
    submit(&mut client, "serve", TOKEN);
    assert_eq!(result_body(&client.read_answer()), "done serve");
    submit(&mut client, "serve:other", TOKEN);
    let answer = client.read_answer();
    assert_failed(&answer);
    assert!(
        answer["error"]["message"]
            .as_str()
            .is_some_and(|m| m.contains("another body")),
        "{answer}"
    );
    // The connection stays open.
    assert_eq!(
        result_body(&client.request("statement-read", "serve")),
        "done serve"
    );
    assert_eq!(node.executor.run_count("serve:other"), 0);
}

#[test]
fn full_key_table_rejects_new_keys_and_keeps_its_entries() {
    let node = Node::start_with(None, |config| {
        add_keyed_class(config);
        // Memory for one run and its key.
        config["limits"]["memory_mb"] = json!(0.05);
        config["settings"]["lanes"][2]["window"] = json!(60_000.0);
    });
    let (mut client, mut another) = (node.connect(), node.connect());
    submit(&mut client, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    submit(&mut another, "serve", OTHER_TOKEN);
    assert_eq!(error_code(&another.read_answer()), REJECTED);
    assert_eq!(node.executor.run_count("serve"), 0);
    node.executor.finish_run("hang:a");
    assert_eq!(result_body(&client.read_answer()), "late result");
    submit(&mut another, "serve", OTHER_TOKEN);
    assert_eq!(result_body(&another.read_answer()), "done serve");
    submit(&mut client, "hang:a", TOKEN);
    assert_eq!(result_body(&client.read_answer()), "late result");
    assert_eq!(
        (
            node.executor.run_count("hang:a"),
            node.executor.run_count("serve")
        ),
        (1, 1)
    );
}

#[test]
fn class_by_key_requires_a_token() {
    let node = start_keyed_node();
    for token in [
        json!(null),
        json!("5c0f"),
        json!("zc0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    ] {
        let mut client = node.connect();
        client.send_with_fields("version-submit", "serve", &json!({"token": token}));
        assert_eq!(error_code(&client.read_message()), -32602);
        assert_eq!(client.read_message(), Value::Null);
    }
    assert_eq!(node.executor.total_runs(), 0);
}
