//! Requests that come again under an id that has run: a request that must not run twice does not.

#[path = "common/admin.rs"]
mod admin;
#[path = "common/answers.rs"]
mod answers;

use admin::{start_node_with_admin, wait_until_accepting_clients};
use answers::{assert_failed, result_body};
use serde_json::{json, Value};
use test_doubles::{wait_until, Node};

/// Returns the parameters of a request with this id.
fn with_uid(number: u64) -> Value {
    json!({"rid": format!("{number:016x}")})
}

/// Guards against a second run of a settlement whose client left before its answer, and which comes
/// again on another connection under the same id.
#[test]
fn settlement_that_comes_again_after_its_client_has_left_is_not_run_again() {
    let node = Node::start();
    for (number, body) in [(1, "serve:a"), (2, "fail"), (3, "call:ok#b")] {
        let mut client = node.connect();
        client.send_with_fields("settlement-post", body, &with_uid(number));
        drop(client);
        wait_until("the request has run", || node.executor.run_count(body) == 1);
        // This request is read after the end of the first run has been.
        let mut client = node.connect();
        client.request("statement-read", &format!("serve:between {number}"));
        client.send_with_fields("settlement-post", body, &with_uid(number));
        assert_failed(&client.read_answer());
        assert_eq!(node.executor.run_count(body), 1, "{body}");
    }
}

/// A read may run as often as it comes.
#[test]
fn read_that_comes_again_under_its_id_runs_again() {
    let node = Node::start();
    let mut client = node.connect();
    for _ in 0..2 {
        client.send_with_fields("statement-read", "serve:a", &with_uid(1));
        assert_eq!(result_body(&client.read_answer()), "done serve:a");
    }
    assert_eq!(node.executor.run_count("serve:a"), 2);
}

/// Guards against a second run of a settlement whose client left the process that is replaced, and
/// which comes again at the new one under the same id.
#[test]
fn settlement_that_comes_again_at_the_other_process_is_not_run_again() {
    let mut first = start_node_with_admin();
    let mut client = first.connect();
    client.send_with_fields("settlement-post", "serve:a", &with_uid(1));
    drop(client);
    wait_until("the request has run", || {
        first.executor.run_count("serve:a") == 1
    });
    let second = first.start_replacement();
    wait_until_accepting_clients(&second);
    first.terminate();
    assert_eq!(first.wait_for_exit().code(), Some(0));
    let mut client = second.connect();
    client.send_with_fields("settlement-post", "serve:a", &with_uid(1));
    let answer = client.read_answer();
    let runs = first.executor.run_count("serve:a") + second.executor.run_count("serve:a");
    assert_eq!(runs, 1, "{answer}");
    assert_failed(&answer);
}
