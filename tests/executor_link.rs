//! The link to the executor: broken links, lost commands, repeated notices, and an executor that is
//! not up yet.

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

const READ_CLASS: &str = "statement-read";
const POST_CLASS: &str = "settlement-post";

/// Guards against a second run after the link broke, since the command may have arrived. The run
/// continues, its result is delivered with the notices that were missed, and nothing is run twice.
#[test]
fn broken_link_loses_no_result_and_repeats_no_post() {
    let node = Node::start();
    let mut client = node.connect();
    assert_eq!(
        result_body(&client.request(READ_CLASS, "serve")),
        "done serve"
    );
    client.send(POST_CLASS, "hang");
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    node.executor.break_link();
    node.executor.finish_run("hang");
    assert_eq!(result_body(&client.read_message()), "late result");
    assert_eq!(node.executor.run_count("hang"), 1);
    // The second link resumed after the last notice that was read on the first.
    assert_eq!(node.executor.join_positions(), [0, 1]);
}

/// A command is lost with its link: a read is sent again on the next link; a request that is not
/// idempotent never is, since the node can't know whether the command was lost.
#[test]
fn command_lost_with_its_link_is_resent_for_reads_only() {
    let node = Node::start();
    node.executor.lose_next_command();
    assert_eq!(
        result_body(&node.connect().request(READ_CLASS, "serve:read")),
        "done serve:read"
    );
    node.executor.lose_next_command();
    let answer = node.connect().request(POST_CLASS, "serve:post");
    assert_failed(&answer);
    assert_eq!(
        (
            node.executor.run_count("serve:read"),
            node.executor.run_count("serve:post")
        ),
        (1, 0)
    );
}

/// Guards the count of runs in both directions: a command lost with its link must not count as a
/// run permanently, and a run must not count as ended merely because time has passed. It has ended
/// once later runs have ended, which could not have run next to it if it were still in progress.
#[test]
fn lost_run_keeps_its_slot_until_later_runs_have_ended() {
    let node = Node::start();
    node.executor.lose_next_command();
    let mut client = node.connect();
    assert_failed(&client.request(POST_CLASS, "serve:lost"));
    let has_ended = || node.log().contains("run in doubt has ended");
    wait_until("the command to stop the run is repeated", || {
        node.executor.kill_count() >= 15
    });
    assert!(!has_ended(), "the run counts as ended without evidence");
    wait_until("reads are served, and the lost run has ended", || {
        client.request(READ_CLASS, "serve")["result"].is_object() && has_ended()
    });
}

/// Guards against slots that are never released: so many commands are lost that runs in doubt
/// occupy all cores. The node still detects that none of them is in progress, without exceeding the
/// concurrency that the cores can sustain, and then serves as before.
#[test]
fn lost_runs_on_all_cores_are_detected() {
    let node = Node::start();
    node.executor.set_loses_commands(true);
    under_load(&node, "serve:lost", || {
        wait_until("many commands are lost", || {
            node.log().matches("run in doubt,").count() >= 30
        });
    });
    node.executor.set_loses_commands(false);
    wait_until("posts are served again, and no run is in doubt", || {
        let is_served = node.connect().request(POST_CLASS, "serve:after")["result"].is_object();
        let log = node.log();
        is_served && log.rfind("no run is in doubt") > log.rfind("run in doubt,")
    });
}

/// Guards against a half-open link, which stays open but no longer carries data. The node used to
/// keep it until the operating system closed it after many minutes. Requests that could not be
/// resent are rejected meanwhile, since their runs would be in doubt.
#[test]
fn half_open_link_is_replaced() {
    let node = Node::start();
    let mut client = node.connect();
    node.executor.leave_link_half_open();
    wait_until("posts are rejected", || {
        error_code(&client.request(POST_CLASS, "serve:post")) == REJECTED
    });
    wait_until("the link is replaced", || {
        node.executor.join_positions().len() == 2
    });
    wait_until("posts are served again", || {
        client.request(POST_CLASS, "serve:after")["result"].is_object()
    });
}

/// The executor accepts the link long before it is up. Until then the node is not ready, not
/// reported to the endpoint list and runs nothing. It shuts down on SIGTERM, even if the WELCOME
/// comes after that.
#[test]
fn node_whose_executor_is_not_up_serves_nothing_and_shuts_down() {
    let executor = TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds");
    let executor_address = executor.local_addr().expect("the socket is bound");
    let mut node = Node::start_with(None, |config| config["executor"] = json!(executor_address));
    let (mut link, _) = executor.accept().expect("the node connects");
    let mut client = node.connect();
    assert_eq!(client.query_alive()["result"]["ready"], false);
    let answer = client.request(READ_CLASS, "serve");
    assert_eq!(
        (error_code(&answer), &answer["error"]["data"]["backoff"]),
        (REJECTED, &json!(1000)),
        "{answer}"
    );
    node.terminate();
    assert_eq!(client.read_message()["method"], "farewell");
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":5}\n")
        .expect("the write succeeds");
    assert_eq!(error_code(&client.request(READ_CLASS, "serve")), REJECTED);
    assert_eq!(client.query_alive()["result"]["ready"], false);
    drop(client);
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
}

/// The executor is up long after the node: earlier requests are rejected and never run, and then
/// the node becomes ready.
#[test]
fn requests_are_rejected_until_a_late_executor_is_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds");
    let executor_address = listener.local_addr().expect("the socket is bound");
    let node = Node::start_with(None, |config| config["executor"] = json!(executor_address));
    let mut client = node.connect();
    assert_eq!(client.query_alive()["result"]["ready"], false);
    assert_eq!(
        error_code(&client.request("settlement-post", "serve")),
        REJECTED
    );
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
    // The link is accepted, and the WELCOME is delayed until the executor is up.
    let (mut link, _) = listener.accept().expect("the node connects");
    let mut lines = BufReader::new(link.try_clone().expect("the socket can be cloned"));
    let mut join = String::new();
    lines.read_line(&mut join).expect("a line");
    assert!(
        join.contains("\"JOIN\"") && join.contains("\"pos\":0"),
        "{join}"
    );
    assert_eq!(client.query_alive()["result"]["ready"], false);
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"COLD\",\"wall_ms\":1}\n")
        .expect("the write succeeds");
    wait_until("the node is ready", || {
        client.query_alive()["result"]["ready"] == true
    });
    wait_until("the endpoint list has the report", || {
        node.endpoint_list.has_report("HB n3 UP")
    });
}

/// The link breaks between EXEC and the notice that the run has ended. The notice is sent on the
/// next link, and again on the one after it.
#[test]
fn notice_repeated_after_a_reconnect_gives_one_answer() {
    let node = Node::start();
    let mut client = node.connect();
    let id = client.send("settlement-post", "hang:a");
    wait_until("the run has started", || {
        node.executor.run_count("hang:a") == 1
    });
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
