//! Cancellations of requests, alone and at the same moment as an answer, the end of a run or a close.

#[path = "common/answers.rs"]
mod answers;
#[path = "common/keyed_node.rs"]
mod keyed_node;

use answers::result_body;
use keyed_node::{start_keyed_node, submit, TOKEN};
use serde_json::json;
use test_doubles::*;

#[test]
fn cancelled_request_gets_no_answer_and_its_run_serves_the_retry() {
    let mut node = start_keyed_node();
    let mut front = node.front();
    // Of an unknown request, and of one that is answered.
    front.cancel(99);
    assert_eq!(
        result_body(&front.ask("statement-read", "serve")),
        "done serve"
    );
    front.cancel(1);
    let cancelled = submit(&mut front, "hang:a", TOKEN);
    until("it runs", || node.executor.runs("hang:a") == 1);
    front.cancel(cancelled);
    assert_eq!(
        result_body(&front.ask("settlement-post", "serve")),
        "done serve"
    );
    let second = submit(&mut front, "hang:a", TOKEN);
    assert_eq!(
        result_body(&front.ask("statement-read", "serve")),
        "done serve"
    );
    node.executor.finish("hang:a");
    let answer = front.answer();
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(second), "late result")
    );
    assert_eq!(
        (node.executor.runs("hang:a"), node.executor.killed()),
        (1, 0)
    );
    // A read that nobody waits for is stopped, and cancelled requests do not delay the shutdown.
    let read = front.send("statement-read", "hang:b");
    until("it runs", || node.executor.runs("hang:b") == 1);
    front.cancel(read);
    until("it is stopped", || node.executor.killed() == 1);
    node.terminate();
    assert_eq!(node.exit().code(), Some(0));
    assert!(
        node.log().contains("shut down, ms: ") && node.log().contains("unanswered: 0"),
        "{}",
        node.log()
    );
}

/// A cancellation right after its request, before the policy has decided on it: nothing runs for nobody, and nothing stays
/// open.
#[test]
fn request_and_its_cancellation_in_one_write() {
    let mut node = start_keyed_node();
    let mut front = node.front();
    for n in 0..20 {
        let token = format!("{n:032x}");
        let (id, line) = front.line(
            "version-submit",
            &format!("hang:{n}"),
            json!({"token": token}),
        );
        let cancel = json!({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}});
        front.raw(&format!("{line}\n{cancel}"));
        // The key is free again, or the run is joined: never two runs, and the second request is answered in any case.
        let id = submit(&mut front, &format!("hang:{n}"), &token);
        assert_eq!(front.alive()["result"]["ready"], true);
        until("it runs", || node.executor.runs(&format!("hang:{n}")) == 1);
        node.executor.finish(&format!("hang:{n}"));
        let answer = front.answer();
        assert_eq!(
            (answer["id"].as_u64(), result_body(&answer).as_str()),
            (Some(id), "late result")
        );
        assert_eq!(node.executor.runs(&format!("hang:{n}")), 1);
    }
    node.terminate();
    assert_eq!(node.exit().code(), Some(0));
}

/// A cancellation crosses the end of the run that it would stop: one answer at most, under its own id, and the run's core
/// is free again.
#[test]
fn cancellation_may_cross_the_end_of_its_run() {
    let mut node = start_keyed_node();
    let mut front = node.front();
    for n in 0..20 {
        let name = format!("hang:{n}");
        let cancelled = front.send("statement-read", &name);
        until("it runs", || node.executor.runs(&name) == 1);
        // Either may reach the node first, and the stop may come after the end.
        front.cancel(cancelled);
        node.executor.finish(&name);
        let id = front.send("settlement-post", "serve");
        let mut answer = front.answer();
        if answer["id"].as_u64() == Some(cancelled) {
            answer = front.answer();
        }
        assert_eq!(
            (answer["id"].as_u64(), result_body(&answer).as_str()),
            (Some(id), "done serve")
        );
    }
    node.terminate();
    assert_eq!(node.exit().code(), Some(0));
    assert!(node.log().contains("unanswered: 0"), "{}", node.log());
}

/// A cancellation and the end of its connection in one write: the run by key goes on, and the retry gets its result on
/// another connection.
#[test]
fn cancellation_may_cross_the_close_of_its_connection() {
    let node = start_keyed_node();
    for n in 0..10 {
        let (name, token) = (format!("hang:{n}"), format!("{n:032x}"));
        let mut cancelling = node.front();
        let id = submit(&mut cancelling, &name, &token);
        until("it runs", || node.executor.runs(&name) == 1);
        cancelling.cancel(id);
        drop(cancelling);
        let mut next = node.front();
        submit(&mut next, &name, &token);
        assert_eq!(next.alive()["result"]["ready"], true);
        node.executor.finish(&name);
        assert_eq!(result_body(&next.answer()), "late result");
        assert_eq!(node.executor.runs(&name), 1);
    }
}
