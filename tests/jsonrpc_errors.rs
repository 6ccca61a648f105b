//! The exact answers that clients get to lines that violate the protocol.
use crossbeam_channel::bounded;
use protocol_gateway::net::jsonrpc::{NodeContext, ServerLoop};
use protocol_gateway::node::Limits;
use protocol_gateway::wire::Site;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_doubles::*;

/// Returns everything that the server sends on a new connection after this line, up to the close.
fn answer_to(line: &str) -> String {
    let limits = Limits::new(512);
    let (policy, _inbox) = bounded(limits.policy.mailbox);
    let context = NodeContext {
        site: Arc::new(Site::from_json(&small_site_settings()).expect("settings")),
        node_status: Arc::default(),
        policy,
    };
    let mut server =
        ServerLoop::new(context, &limits, &Logger::root(Discard, o!())).expect("a server");
    let socket = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let mut client = TcpStream::connect(socket.local_addr().expect("bound")).expect("connected");
    server.listen(socket, Instant::now()).expect("it listens");
    client
        .write_all(format!("{line}\n").as_bytes())
        .expect("the line is sent");
    client.set_nonblocking(true).expect("an option");
    let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        assert!(Instant::now() < end, "no close after {line}");
        server.step(Some(Duration::from_millis(1))).expect("a step");
        match client.read(&mut buffer) {
            Ok(0) => return String::from_utf8(received).expect("text"),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(_) => {}
        }
    }
}

fn error_line(id: &Value, code: i64, message: &str) -> String {
    let error = json!({"code": code, "message": message});
    json!({"jsonrpc": "2.0", "id": id, "error": error}).to_string() + "\n"
}

#[test]
fn lines_that_are_no_requests_get_their_error_and_a_close() {
    for (line, id, code, message) in [
        ("{", json!(null), -32700, "not JSON"),
        (
            r#"{"id":3,"method":"alive"}"#,
            json!(3),
            -32600,
            "not a JSON-RPC 2.0 request",
        ),
        (r#"{"jsonrpc":"2.0","id":3}"#, json!(3), -32600, "no method"),
        (
            r#"{"jsonrpc":"2.0","id":0,"method":"alive"}"#,
            json!(null),
            -32600,
            "id is not a number from 1 up",
        ),
        (
            r#"{"jsonrpc":"2.0","id":3,"method":"nonsense"}"#,
            json!(3),
            -32601,
            "no such method",
        ),
        (
            r#"{"jsonrpc":"2.0","id":3,"method":"statement-read"}"#,
            json!(3),
            -32602,
            "invalid type: null, expected struct Params",
        ),
        (
            r#"{"jsonrpc":"2.0","id":3,"method":"statement-read","params":["1"]}"#,
            json!(3),
            -32602,
            "invalid length 1, expected struct Params with 11 elements",
        ),
        (
            r#"{"jsonrpc":"2.0","id":3,"method":"statement-read","params":{}}"#,
            json!(3),
            -32602,
            "missing field `rid`",
        ),
    ] {
        assert_eq!(answer_to(line), error_line(&id, code, message), "{line}");
    }
}

#[test]
fn requests_with_a_field_out_of_its_range_get_the_name_of_the_field() {
    let valid = json!({"rid": "00000000000000a1", "t0": 1.7e12, "peer": 4, "acct": null, "mem": 24.5, "prio": 0.5,
                       "body": "AAAA"});
    for (field, value, message) in [
        ("rid", json!("a1"), "rid is not 16 hex digits"),
        ("mem", json!(2000.0), "mem is out of range"),
        ("prio", json!(1.0), "prio is out of range"),
        ("t0", json!(9e15), "t0 is out of range"),
        ("again", json!(2), "again is not 1"),
        ("obj", json!("a1"), "obj is not 16 hex digits"),
        ("token", json!("a1"), "token is not 32 hex digits"),
        ("budget", json!(0.0), "budget is out of range"),
        ("body", json!("?"), "body is not base64"),
        ("body", json!("A".repeat(2736)), "body is too long"),
    ] {
        let mut params = valid.clone();
        params[field] = value;
        let line = json!({"jsonrpc": "2.0", "id": 3, "method": "statement-read", "params": params});
        assert_eq!(
            answer_to(&line.to_string()),
            error_line(&json!(3), -32602, message)
        );
    }
}
