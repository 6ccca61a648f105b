//! Classes that are run by key, callers that tell how long they wait and that they leave, and calls that are left out, with
//! the program among its stand-ins.
use serde_json::{json, Value};
use test_doubles::*;

const REFUSED: i64 = -32002;
const TOKEN: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const OTHER: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";
/// Of the keyed class, in ms, and what the settings allow an answer beside it.
const WINDOW: u64 = 400;
const SLACK: u64 = 100;

fn code(answer: &Value) -> i64 {
    answer["error"]["code"].as_i64().unwrap_or(0)
}
fn body(answer: &Value) -> String {
    decode_base64(
        answer["result"]["body"]
            .as_str()
            .unwrap_or_else(|| panic!("no result: {answer}")),
    )
}

/// A site as the small one, with a class that is run by key, and callers that tell of their leaving.
fn keyed(config: &mut Value) {
    let lanes = config["settings"]["lanes"].as_array_mut().expect("classes");
    lanes.push(
        json!({"name": "version-submit", "promise": 1000.0, "deadline": 1500.0, "effect": "by_key",
                      "lateWorth": 0.2, "window": WINDOW, "worth": 1.0}),
    );
    let specifics = &mut config["settings"]["specifics"];
    specifics["classCalls"] = json!([true, true, true]);
    specifics["classSkipWorth"] = json!([0.5, 0.0, 0.0]);
    specifics["tellsGone"] = json!(true);
    // A key's price in the executor's memory, so that it bounds nothing here.
    specifics["keyKb"] = json!(1.0);
}
fn node() -> Node {
    Node::start_with(None, keyed)
}
fn submit(front: &mut TestClient, body: &str, token: &str) -> u64 {
    front.send_with_fields("version-submit", body, &json!({"token": token}))
}

#[test]
fn a_repeat_gets_the_first_result_and_runs_nothing() {
    let node = node();
    let mut front = node.connect();
    submit(&mut front, "serve", TOKEN);
    assert_eq!(body(&front.read_answer()), "done serve");
    let mut another = node.connect();
    submit(&mut another, "serve", TOKEN);
    assert_eq!(body(&another.read_answer()), "done serve");
    // Another key is another request; one that failed is not run again either.
    submit(&mut front, "serve", OTHER);
    assert_eq!(body(&front.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 2);
    let token = TOKEN.replace('5', "6");
    for _ in 0..2 {
        submit(&mut front, "fail", &token);
        assert!(!matches!(code(&front.read_answer()), 0 | REFUSED));
    }
    assert_eq!(node.executor.run_count("fail"), 1);
}

/// The window counts from the arrival of the try that ran, and a repeat is told by its own: both sides of its edge, with no
/// time going by.
#[test]
fn a_repeat_on_either_side_of_the_window() {
    let node = node();
    let mut front = node.connect();
    let t0 = unix_ms();
    front.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0}),
    );
    assert_eq!(body(&front.read_answer()), "done serve");
    front.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0 + WINDOW}),
    );
    assert_eq!(body(&front.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 1);
    front.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0 + WINDOW + 10 * SLACK}),
    );
    assert_eq!(body(&front.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 2);
    // One that lay unread since before that is a repeat still.
    front.send_with_fields(
        "version-submit",
        "serve",
        &json!({"token": TOKEN, "t0": t0 + WINDOW - 1}),
    );
    let answer = front.read_answer();
    assert_ne!(code(&answer), REFUSED, "{answer}");
    assert_eq!(node.executor.run_count("serve"), 2);
}

#[test]
fn a_repeat_joins_the_run_on_whichever_connection_it_comes() {
    let node = node();
    let (mut first, mut second) = (node.connect(), node.connect());
    submit(&mut first, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    submit(&mut second, "hang:a", TOKEN);
    // Read behind it, so the repeat has been read as well once this is answered.
    assert_eq!(
        body(&second.request("statement-read", "serve")),
        "done serve"
    );
    // The first one's connection is cut; the run goes on, and the repeat gets its result.
    drop(first);
    node.executor.finish_run("hang:a");
    assert_eq!(body(&second.read_answer()), "late result");
    assert_eq!(node.executor.run_count("hang:a"), 1);
}

#[test]
fn one_that_left_is_owed_nothing_and_its_run_is_for_the_next_try() {
    let mut node = node();
    let mut front = node.connect();
    // Of one that is unknown, and of one that is answered.
    front.cancel(99);
    assert_eq!(
        body(&front.request("statement-read", "serve")),
        "done serve"
    );
    front.cancel(1);
    let left = submit(&mut front, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    front.cancel(left);
    assert_eq!(
        body(&front.request("settlement-post", "serve")),
        "done serve"
    );
    let second = submit(&mut front, "hang:a", TOKEN);
    assert_eq!(
        body(&front.request("statement-read", "serve")),
        "done serve"
    );
    node.executor.finish_run("hang:a");
    let answer = front.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), body(&answer).as_str()),
        (Some(second), "late result")
    );
    assert_eq!(
        (
            node.executor.run_count("hang:a"),
            node.executor.kill_count()
        ),
        (1, 0)
    );
    // A read that nobody waits for is stopped, and leaving is not held up by what is owed nothing.
    let read = front.send("statement-read", "hang:b");
    wait_until("it runs", || node.executor.run_count("hang:b") == 1);
    front.cancel(read);
    wait_until("it is stopped", || node.executor.kill_count() == 1);
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert!(
        node.log().contains("shut down, ms: ") && node.log().contains("unanswered: 0"),
        "{}",
        node.log()
    );
}

/// A leave right behind its request, before the module has decided on it: nothing runs for nobody, nothing stays open.
#[test]
fn a_request_and_its_leave_in_one_piece() {
    let mut node = node();
    let mut front = node.connect();
    for n in 0..20 {
        let token = format!("{n:032x}");
        let (id, line) = front.format_request(
            "version-submit",
            &format!("hang:{n}"),
            &json!({"token": token}),
        );
        let cancel = json!({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}});
        front.send_line(&format!("{line}\n{cancel}"));
        // Its key is free again, or its run is joined: never two runs, and an answer for the second in any case.
        let id = submit(&mut front, &format!("hang:{n}"), &token);
        assert_eq!(front.query_alive()["result"]["ready"], true);
        wait_until("it runs", || {
            node.executor.run_count(&format!("hang:{n}")) == 1
        });
        node.executor.finish_run(&format!("hang:{n}"));
        let answer = front.read_answer();
        assert_eq!(
            (answer["id"].as_u64(), body(&answer).as_str()),
            (Some(id), "late result")
        );
        assert_eq!(node.executor.run_count(&format!("hang:{n}")), 1);
    }
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A repeat written in the instant in which the first one's run ends, on another connection: it joins the run or finds its
/// result, and gets the same either way.
#[test]
fn a_repeat_in_the_instant_of_the_first_answer() {
    let node = node();
    let (mut first, mut second) = (node.connect(), node.connect());
    for n in 0..20 {
        let (name, token) = (format!("hang:{n}"), format!("{n:032x}"));
        submit(&mut first, &name, &token);
        wait_until("it runs", || node.executor.run_count(&name) == 1);
        let (_, line) = second.format_request("version-submit", &name, &json!({"token": token}));
        node.executor.finish_run(&name);
        second.send_line(&line);
        assert_eq!(body(&first.read_answer()), "late result");
        assert_eq!(body(&second.read_answer()), "late result");
        assert_eq!(node.executor.run_count(&name), 1);
    }
}

/// A leave crosses the end of the run that it would stop: one answer at the most, under no other number, and the place is free.
#[test]
fn a_leave_that_crosses_the_end_of_its_run() {
    let mut node = node();
    let mut front = node.connect();
    for n in 0..20 {
        let name = format!("hang:{n}");
        let left = front.send("statement-read", &name);
        wait_until("it runs", || node.executor.run_count(&name) == 1);
        // Either may be first at the node, and the stop may come after the end.
        front.cancel(left);
        node.executor.finish_run(&name);
        let id = front.send("settlement-post", "serve");
        let mut answer = front.read_answer();
        if answer["id"].as_u64() == Some(left) {
            answer = front.read_answer();
        }
        assert_eq!(
            (answer["id"].as_u64(), body(&answer).as_str()),
            (Some(id), "done serve")
        );
    }
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert!(node.log().contains("unanswered: 0"), "{}", node.log());
}

/// A leave and the end of its connection in one piece: the run by key goes on, and its next try gets the result elsewhere.
#[test]
fn a_leave_that_crosses_the_close_of_its_connection() {
    let node = node();
    for n in 0..10 {
        let (name, token) = (format!("hang:{n}"), format!("{n:032x}"));
        let mut gone = node.connect();
        let id = submit(&mut gone, &name, &token);
        wait_until("it runs", || node.executor.run_count(&name) == 1);
        gone.cancel(id);
        drop(gone);
        let mut next = node.connect();
        submit(&mut next, &name, &token);
        assert_eq!(next.query_alive()["result"]["ready"], true);
        node.executor.finish_run(&name);
        assert_eq!(body(&next.read_answer()), "late result");
        assert_eq!(node.executor.run_count(&name), 1);
    }
}

#[test]
fn a_command_lost_with_its_link_is_not_sent_twice_and_its_repeat_fails_with_it() {
    let node = node();
    let mut front = node.connect();
    node.executor.lose_next_command();
    let first = submit(&mut front, "serve", TOKEN);
    wait_until("the link is joined again", || {
        node.executor.join_positions().len() == 2
    });
    let second = submit(&mut front, "serve", TOKEN);
    let mut answered: Vec<u64> = Vec::new();
    for _ in 0..2 {
        let answer = front.read_answer();
        assert!(!matches!(code(&answer), 0 | REFUSED), "{answer}");
        answered.push(answer["id"].as_u64().expect("an id"));
    }
    answered.sort_unstable();
    assert_eq!(answered, vec![first, second]);
    assert_eq!(node.executor.run_count("serve"), 0);
}

#[test]
fn an_end_told_only_on_the_next_link_answers_all_that_joined() {
    let node = node();
    let (mut front, mut another) = (node.connect(), node.connect());
    submit(&mut front, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    submit(&mut another, "hang:a", TOKEN);
    assert_eq!(
        body(&another.request("statement-read", "serve")),
        "done serve"
    );
    node.executor.break_link();
    node.executor.finish_run("hang:a");
    assert_eq!(body(&front.read_answer()), "late result");
    assert_eq!(body(&another.read_answer()), "late result");
    assert_eq!(node.executor.run_count("hang:a"), 1);
}

#[test]
fn a_repeat_while_the_node_leaves_gets_the_first_result() {
    let mut node = Node::start_with(None, |config| {
        keyed(config);
        config["settings"]["invariants"]["drainGrace"] = json!(5000.0);
        config["settings"]["lanes"][2]["window"] = json!(8000.0);
    });
    let mut front = node.connect();
    submit(&mut front, "serve", TOKEN);
    assert_eq!(body(&front.read_answer()), "done serve");
    node.terminate();
    wait_until("it leaves", || node.log().contains("shutting down"));
    submit(&mut front, "serve", TOKEN);
    assert_eq!(body(&front.read_answer()), "done serve");
    assert_eq!(node.executor.run_count("serve"), 1);
    drop(front);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn the_same_key_with_another_body_is_an_error_of_its_own() {
    let node = node();
    let mut front = node.connect();
    submit(&mut front, "serve", TOKEN);
    assert_eq!(body(&front.read_answer()), "done serve");
    submit(&mut front, "serve:other", TOKEN);
    let answer = front.read_answer();
    assert!(!matches!(code(&answer), 0 | REFUSED), "{answer}");
    assert!(
        answer["error"]["message"]
            .as_str()
            .is_some_and(|m| m.contains("another body")),
        "{answer}"
    );
    // It costs nothing else on the connection.
    assert_eq!(
        body(&front.request("statement-read", "serve")),
        "done serve"
    );
    assert_eq!(node.executor.run_count("serve:other"), 0);
}

#[test]
fn a_full_table_refuses_what_never_ran_and_forgets_nothing() {
    let node = Node::start_with(None, |config| {
        keyed(config);
        // Room for one run and its key.
        config["limits"]["memory_mb"] = json!(0.05);
        config["settings"]["lanes"][2]["window"] = json!(60_000.0);
    });
    let (mut front, mut another) = (node.connect(), node.connect());
    submit(&mut front, "hang:a", TOKEN);
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    submit(&mut another, "serve", OTHER);
    assert_eq!(code(&another.read_answer()), REFUSED);
    assert_eq!(node.executor.run_count("serve"), 0);
    node.executor.finish_run("hang:a");
    assert_eq!(body(&front.read_answer()), "late result");
    submit(&mut another, "serve", OTHER);
    assert_eq!(body(&another.read_answer()), "done serve");
    submit(&mut front, "hang:a", TOKEN);
    assert_eq!(body(&front.read_answer()), "late result");
    assert_eq!(
        (
            node.executor.run_count("hang:a"),
            node.executor.run_count("serve")
        ),
        (1, 1)
    );
}

#[test]
fn a_keyed_class_wants_a_token() {
    let node = node();
    for token in [
        json!(null),
        json!("5c0f"),
        json!("zc0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    ] {
        let mut front = node.connect();
        front.send_with_fields("version-submit", "serve", &json!({"token": token}));
        assert_eq!(code(&front.read_message()), -32602);
        assert_eq!(front.read_message(), Value::Null);
    }
    assert_eq!(node.executor.total_runs(), 0);
}

/// Where callers tell how long they wait, that is the due time, and a figure that is none is bad input.
#[test]
fn the_callers_budget_is_the_due_time() {
    let node = Node::start_with(None, |config| {
        keyed(config);
        config["settings"]["specifics"]["passesDeadline"] = json!(true);
    });
    for budget in [json!(null), json!(0), json!(-5), json!(1e12), json!("100")] {
        let mut front = node.connect();
        front.send_with_fields("statement-read", "serve", &json!({"budget": budget}));
        assert_eq!(code(&front.read_message()), -32602, "{budget}");
        assert_eq!(front.read_message(), Value::Null);
    }
    let mut front = node.connect();
    let t0 = unix_ms();
    front.send_with_fields("statement-read", "hang", &json!({"budget": 500, "t0": t0}));
    let answer = front.read_answer();
    assert!(code(&answer) != 0, "{answer}");
    assert!(unix_ms() - t0 < 500 + SLACK, "{} ms", unix_ms() - t0);
    // Spent before it was read: nothing is begun for it.
    front.send_with_fields(
        "statement-read",
        "serve",
        &json!({"budget": 5, "t0": unix_ms() - 300}),
    );
    assert_eq!(code(&front.read_answer()), REFUSED);
    assert_eq!(node.executor.run_count("serve"), 0);
    front.send_with_fields("statement-read", "serve", &json!({"budget": 1000}));
    assert_eq!(body(&front.read_answer()), "done serve");
}

/// A call that would not end in time is left out where the answer without it is worth more than the whole one late.
#[test]
fn a_call_that_would_come_too_late_is_left_out() {
    let node = node();
    let mut front = node.connect();
    assert_eq!(
        body(&front.request("statement-read", "call:hold#400")),
        "rows for hold#400"
    );
    front.send_with_fields(
        "statement-read",
        "call:hold#401",
        &json!({"t0": unix_ms() - 700}),
    );
    assert_eq!(body(&front.read_answer()), "without the call");
    assert_eq!(node.database.call_count("hold#401"), 0);
}
