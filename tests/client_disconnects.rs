//! Clients that leave while their requests are queued: what has not begun by then is not run.

use std::time::Duration;

use serde_json::json;
use test_doubles::{wait_until, Node, TestClient};

/// Number of requests that the client which leaves has sent.
const REQUESTS: usize = 12;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leave {
    /// Its connection is reset.
    Reset,
    /// It closes its connection, which looks like a half-close until something is written to it.
    Close,
}

/// Starts a node with a single core, on which runs make no progress, and with time for all requests
/// to wait.
fn start_node_that_stands_still() -> Node {
    let node = Node::start_with(None, |config| {
        config["settings"]["specifics"]["cores"] = json!(1);
        config["settings"]["invariants"]["fallMultiple"] = json!(2.0);
        for class in 0..2 {
            config["settings"]["lanes"][class]["promise"] = json!(9_000.0);
            config["settings"]["lanes"][class]["deadline"] = json!(12_000.0);
        }
    });
    node.executor.stand_still();
    // If the gauges showed an idle core, the node would start further runs.
    node.executor.set_gauges([1.0, 1.0, 0.1, 5.0]);
    node
}

fn body(number: usize) -> String {
    format!("serve:{number}")
}

/// Sends the requests, of which one runs while the others are queued.
fn send_requests(node: &Node, client: &mut TestClient) {
    for number in 0..REQUESTS {
        client.send("settlement-post", &body(number));
    }
    wait_until("a request runs", || node.executor.total_runs() > 0);
    // The answer shows that the node has read what was sent before.
    client.query_alive();
}

fn leave(client: TestClient, how: Leave) {
    if how == Leave::Reset {
        let socket = socket2::SockRef::from(&client.stream);
        socket
            .set_linger(Some(Duration::ZERO))
            .expect("the socket option is set");
    }
    drop(client);
}

/// Returns how many of the client's requests began before it left, and how many later.
fn count_runs(how: Leave) -> (usize, usize) {
    let mut node = start_node_that_stands_still();
    let mut other = node.connect();
    let mut client = node.connect();
    send_requests(&node, &mut client);
    let descriptors = node.usage().descriptors;
    let began_before = node.executor.total_runs();
    leave(client, how);
    if how == Leave::Reset {
        wait_until("the node has closed its side", || {
            node.usage().descriptors < descriptors
        });
    }
    // The policy handles this request after the end of the other connection.
    let id = other.send("statement-read", "serve:other");
    other.query_alive();
    node.executor.resume();
    assert_eq!(other.read_answer()["id"], id);
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    (began_before, node.executor.total_runs() - began_before - 1)
}

/// Guards against settlements that are sent to the executor after their client has left: only what
/// was running by then goes on.
#[test]
fn queued_requests_of_a_client_that_was_reset_are_not_run() {
    let (began_before, began_later) = count_runs(Leave::Reset);
    assert!(began_before < REQUESTS, "all began before the reset");
    assert_eq!(began_later, 0);
}

/// Guards against settlements that are sent after the first answer to a closed connection, by which
/// the node learns that it was no half-close.
#[test]
fn queued_requests_of_a_client_that_has_closed_end_with_its_first_answer() {
    let (began_before, began_later) = count_runs(Leave::Close);
    let not_begun = REQUESTS - began_before;
    assert!(began_later < not_begun, "{began_later} of {not_begun}");
}
