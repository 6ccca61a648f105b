//! The link to the executor: breaks, lost commands, repeated notices, and an executor that is not up yet.

#[path = "common/answers.rs"]
mod answers;
#[path = "common/load.rs"]
mod load;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

use answers::{assert_failed, error_code, result_body, REJECTED};
use load::under_load;
use serde_json::json;
use test_doubles::*;

const READ: &str = "statement-read";
const POST: &str = "settlement-post";

/// Guards against a second run: after a break the command may have arrived. The run goes on, its result comes with the
/// notices that were missed, and nothing is run twice.
#[test]
fn broken_link_loses_no_result_and_repeats_no_post() {
    let node = Node::start();
    let mut client = node.connect();
    assert_eq!(result_body(&client.request(READ, "serve")), "done serve");
    client.send(POST, "hang");
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    node.executor.break_link();
    node.executor.finish_run("hang");
    assert_eq!(result_body(&client.read_message()), "late result");
    assert_eq!(node.executor.run_count("hang"), 1);
    // The second link resumed after the last notice that was read.
    assert_eq!(node.executor.join_positions(), [0, 1]);
}

/// Both sides of a lost command: a read is sent again on the next link, a post never, since nobody can know that the
/// command was lost.
#[test]
fn command_lost_with_its_link_is_resent_for_reads_only() {
    let node = Node::start();
    node.executor.lose_next_command();
    assert_eq!(
        result_body(&node.connect().request(READ, "serve:read")),
        "done serve:read"
    );
    node.executor.lose_next_command();
    let answer = node.connect().request(POST, "serve:post");
    assert_failed(&answer);
    assert_eq!(
        (
            node.executor.run_count("serve:read"),
            node.executor.run_count("serve:post")
        ),
        (1, 0)
    );
}

/// Guards both sides of the count of runs: a command lost with its link must not count as a run for good, and a run must not count
/// as over because time has passed. It is over once later runs have ended, which would not go on beside it if it were there.
#[test]
fn lost_run_keeps_its_place_until_later_runs_have_ended() {
    let node = Node::start();
    node.executor.lose_next_command();
    let mut client = node.connect();
    assert_failed(&client.request(POST, "serve:lost"));
    let is_over = || node.log().contains("run in doubt has ended");
    wait_until("it is stopped again and again", || {
        node.executor.kill_count() >= 15
    });
    assert!(!is_over(), "nothing has shown that yet");
    wait_until("reads are served, and it is over", || {
        client.request(READ, "serve")["result"].is_object() && is_over()
    });
}

/// Guards against places that are lost for good: so many commands are lost that runs in doubt take all of the cores. The node
/// still finds out that none of them runs, within what the cores survive, and serves as before.
#[test]
fn lost_runs_on_all_cores_are_found_out() {
    let node = Node::start();
    node.executor.set_loses_commands(true);
    under_load(&node, "serve:lost", || {
        wait_until("many commands are lost", || {
            node.log().matches("run in doubt,").count() >= 30
        });
    });
    node.executor.set_loses_commands(false);
    wait_until("posts are served again, and no run is in doubt", || {
        let is_served = node.connect().request(POST, "serve:after")["result"].is_object();
        let log = node.log();
        is_served && log.rfind("no run is in doubt") > log.rfind("run in doubt,")
    });
}

/// Guards a node against a link that stays open and carries nothing any more, which used to last until the system gave the link
/// up after many minutes. What could not be sent again is rejected meanwhile, as it would be in doubt.
#[test]
fn half_open_link_is_replaced() {
    let node = Node::start();
    let mut client = node.connect();
    node.executor.leave_link_half_open();
    wait_until("posts are rejected", || {
        error_code(&client.request(POST, "serve:post")) == REJECTED
    });
    wait_until("the link is replaced", || {
        node.executor.join_positions().len() == 2
    });
    wait_until("posts are served again", || {
        client.request(POST, "serve:after")["result"].is_object()
    });
}

/// The executor accepts the link long before it is up. Until then the node is not ready and not on the list, runs nothing,
/// and shuts down on SIGTERM, also if the welcome comes after that.
#[test]
fn node_whose_executor_is_not_up_serves_nothing_and_shuts_down() {
    let executor = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let executor_address = executor.local_addr().expect("bound");
    let mut node = Node::start_with(None, |config| config["executor"] = json!(executor_address));
    let (mut link, _) = executor.accept().expect("a link");
    let mut client = node.connect();
    assert_eq!(client.query_alive()["result"]["ready"], false);
    let answer = client.request(READ, "serve");
    assert_eq!(
        (error_code(&answer), &answer["error"]["data"]["backoff"]),
        (REJECTED, &json!(1000)),
        "{answer}"
    );
    node.terminate();
    assert_eq!(client.read_message()["method"], "farewell");
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":5}\n")
        .expect("written");
    assert_eq!(error_code(&client.request(READ, "serve")), REJECTED);
    assert_eq!(client.query_alive()["result"]["ready"], false);
    drop(client);
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
}

/// The executor comes up long after the node: requests before that are rejected and never run, later ones are served.
#[test]
fn requests_are_rejected_until_a_late_executor_is_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let executor_address = listener.local_addr().expect("bound");
    let node = Node::start_with(None, |config| config["executor"] = json!(executor_address));
    let mut client = node.connect();
    assert_eq!(client.query_alive()["result"]["ready"], false);
    assert_eq!(
        error_code(&client.request("settlement-post", "serve")),
        REJECTED
    );
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
    // The link is accepted, and the welcome is delayed until the executor is up.
    let (mut link, _) = listener.accept().expect("the node connects");
    let mut lines = BufReader::new(link.try_clone().expect("a link"));
    let mut join = String::new();
    lines.read_line(&mut join).expect("a line");
    assert!(
        join.contains("\"JOIN\"") && join.contains("\"pos\":0"),
        "{join}"
    );
    assert_eq!(client.query_alive()["result"]["ready"], false);
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"COLD\",\"wall_ms\":1}\n")
        .expect("written");
    wait_until("it is ready", || {
        client.query_alive()["result"]["ready"] == true
    });
    wait_until("the endpoint list has the report", || {
        node.endpoint_list.has_report("HB n3 UP")
    });
}

/// A link that breaks between EXEC and the notice of its end, which is sent again on the next link, twice.
#[test]
fn notice_repeated_after_a_reconnect_gives_one_answer() {
    let node = Node::start();
    let mut client = node.connect();
    let id = client.send("settlement-post", "hang:a");
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    node.executor.break_link();
    node.executor.finish_run("hang:a");
    let answer = client.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(id), "late result")
    );
    // All notices are sent once more on the next link.
    node.executor.break_link();
    wait_until("the link is open again", || {
        node.executor.join_positions().len() == 3
    });
    assert_eq!(
        result_body(&client.request("settlement-post", "serve")),
        "done serve"
    );
    assert_eq!(
        (
            node.executor.run_count("hang:a"),
            node.executor.run_count("serve")
        ),
        (1, 1)
    );
}
