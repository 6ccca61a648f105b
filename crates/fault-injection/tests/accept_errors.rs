//! Clients that connect while `accept4` fails are accepted as soon as it succeeds again, without
//! another client having to connect.

#[path = "common/faults.rs"]
mod faults;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use faults::{start_node, Faults};
use libc::{ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EPROTO};
use serde_json::json;
use test_doubles::wait_until;

/// Errors of `accept4`. With ECONNABORTED and EINTR the next call can succeed at once.
const ERRORS: [i32; 8] = [
    EMFILE,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    EPROTO,
    EPERM,
    ECONNABORTED,
    EINTR,
];
/// Time that a client waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a line on a new connection that can't be accepted at first, and returns the first line of
/// the answer.
fn send_while_accept_fails(address: SocketAddr, line: &str, error: i32, faults: &Faults) -> String {
    let failed_before = faults.failed_accepts();
    faults.set_accept_error(error);
    let mut client = TcpStream::connect(address).expect("the connection enters the backlog");
    client
        .write_all(format!("{line}\n").as_bytes())
        .expect("the line can be written");
    wait_until("accepting fails", || {
        faults.failed_accepts() > failed_before
    });
    faults.set_accept_error(0);
    client
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("the timeout can be set");
    let mut answer = String::new();
    let read = BufReader::new(client).read_line(&mut answer);
    read.unwrap_or_else(|e| panic!("error {error}: {e}"));
    answer
}

/// Guards against a fault where an operator's command waited until another client, such as the
/// platform's check of the node, connected to the admin server.
#[test]
fn admin_server_accepts_a_waiting_client_after_an_error() {
    let (node, faults) = start_node(|config| config["admin"] = json!("127.0.0.1:0"));
    for error in ERRORS {
        let answer = send_while_accept_fails(node.admin_address(), "health", error, &faults);
        assert!(answer.starts_with("ok"), "error {error}: {answer}");
    }
}

#[test]
fn node_accepts_a_waiting_client_after_an_error() {
    let (node, faults) = start_node(|config| config["admin"] = json!("127.0.0.1:0"));
    let alive = json!({"jsonrpc": "2.0", "id": 1, "method": "alive"}).to_string();
    for error in ERRORS {
        let answer = send_while_accept_fails(node.address, &alive, error, &faults);
        assert!(answer.contains("\"result\""), "error {error}: {answer}");
    }
}
