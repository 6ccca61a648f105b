//! Limits on connections: which of them are closed, and the memory and descriptors that the others
//! use.

#[path = "common/answers.rs"]
mod answers;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use answers::result_body;
use serde_json::{json, Value};
use test_doubles::*;

const READ_CLASS: &str = "statement-read";
const POST_CLASS: &str = "settlement-post";

/// A connection that sends nothing, or a partial message, is closed within 3 s; one that waits for
/// an answer is not.
#[test]
fn silent_connections_are_closed_and_waiting_ones_stay() {
    let node = Node::start_with(None, |config| {
        config["settings"]["lanes"][1]["deadline"] = json!(6000);
    });
    let mut waiting = node.connect();
    waiting.send(POST_CLASS, "hang");
    let (mut silent, mut partial) = (node.connect(), node.connect());
    partial
        .stream
        .write_all(b"{\"jsonrpc\":\"2.0\",")
        .expect("the write succeeds");
    let started_at = unix_ms();
    assert_eq!(silent.read_message()["method"], "farewell");
    assert_eq!(silent.read_message(), Value::Null);
    assert_eq!(partial.read_message(), Value::Null);
    assert!(
        unix_ms() - started_at < 3000,
        "closed after {} ms",
        unix_ms() - started_at
    );
    node.executor.finish_run("hang");
    assert_eq!(result_body(&waiting.read_message()), "late result");
}

/// Guards against connections that stay open and keep new front ends out. Idle connections are
/// closed to make room; one with an open request and the most recently used ones are kept. A
/// connection gets a close notice before it is closed, and a request sent meanwhile is served.
#[test]
fn idle_connections_are_closed_to_make_room() {
    let node = Node::start_with(None, |config| {
        config["settings"]["lanes"][1]["deadline"] = json!(15000);
        config["limits"]["sockets"] = json!(512);
    });
    let mut waiting = node.connect();
    waiting.send(POST_CLASS, "hang");
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    let mut idle = Vec::new();
    for _ in 0..380 {
        let mut client = node.connect();
        assert_eq!(
            result_body(&client.request(READ_CLASS, "serve")),
            "done serve"
        );
        idle.push(client);
    }
    let first = &mut idle[0];
    first.send(READ_CLASS, "serve:crossed");
    let received: Vec<Value> = (0..3).map(|_| first.read_message()).collect();
    assert!(
        received.iter().any(|m| m["method"] == "farewell"),
        "{received:?}"
    );
    assert!(
        received.iter().any(|m| m["result"].is_object()),
        "{received:?}"
    );
    assert_eq!(received[2], Value::Null);
    assert_eq!(idle[379].query_alive()["result"]["ready"], true);
    node.executor.finish_run("hang");
    assert_eq!(result_body(&waiting.read_message()), "late result");
}

/// Guards the limits of a node with many connections: 192 MB and 1,024 descriptors, of which each
/// connection uses one.
#[test]
fn four_hundred_connections_fit_the_limits() {
    let node = Node::start();
    let mut open: Vec<TcpStream> = Vec::new();
    for n in 0..400 {
        let mut stream = TcpStream::connect(node.address).expect("the node accepts the connection");
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"alive\"}}\n",
            n + 1
        );
        stream
            .write_all(line.as_bytes())
            .expect("the write succeeds");
        open.push(stream);
    }
    // Some also get a close notice, since more connections are idle than the node keeps.
    for stream in &open {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.contains("\"ready\":true")));
    }
    let ProcessUsage {
        resident_kb: kb,
        descriptors,
        ..
    } = node.usage();
    assert!(kb < 96 * 1024, "{kb} kB of 192 MB");
    assert!(descriptors < 500, "{descriptors} descriptors");
    println!("400 connections: {kb} kB, {descriptors} descriptors");
}

/// Guards against heap growth over a long uptime: with glibc's default of a per-thread cache of
/// freed memory, the heap grows as long as connections are opened and closed. The command in the
/// deploy file changes the default.
#[test]
fn opening_and_closing_connections_does_not_grow_the_heap() {
    let node = Node::start();
    let heap_kb = || node.usage().anonymous_kb;
    // A hundred connections stay open. Each sends one request, with bodies of different lengths.
    let mut open = VecDeque::new();
    let mut open_and_close = |from: usize, to: usize| {
        for n in from..to {
            let mut client = node.connect();
            let text = format!("serve:{}", "x".repeat(n * 37 % 1900));
            assert_eq!(
                result_body(&client.request(READ_CLASS, &text)),
                format!("done {text}")
            );
            open.push_back(client);
            if open.len() > 100 {
                open.pop_front();
            }
        }
    };
    open_and_close(0, 400);
    let before = heap_kb();
    open_and_close(400, 2400);
    let after = heap_kb();
    println!("{before} kB after 400 connections, {after} kB after 2,400");
    assert!(
        after < before + 500,
        "{before} kB after 400 connections, {after} kB after 2,400"
    );
}
