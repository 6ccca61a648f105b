//! Starts a node with an admin server and sends one-line operator commands to it.
#![allow(dead_code)] // Each test program uses a part of it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::json;
use test_doubles::{wait_until, Node};

/// Starts a node with an admin server at a free port.
pub(crate) fn start_node_with_admin() -> Node {
    Node::start_with(None, |config| config["admin"] = json!("127.0.0.1:0"))
}

/// Sends a command over a new connection and returns the reply line.
pub(crate) fn send_command(admin: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(admin).expect("the admin server accepts");
    stream.write_all(line).expect("the write succeeds");
    read_reply(stream)
}

/// Reads the reply line of a command.
pub(crate) fn read_reply(stream: TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .expect("the read timeout is set");
    let mut text = String::new();
    BufReader::new(stream)
        .read_line(&mut text)
        .expect("a reply");
    assert!(
        text.ends_with('\n'),
        "the reply line is incomplete: {text:?}"
    );
    text.trim_end().to_string()
}

/// Waits until the node accepts clients.
pub(crate) fn wait_until_accepting_clients(node: &Node) {
    wait_until("the admin server listens", || {
        node.logged_address("admin").is_some()
    });
    wait_until("the node accepts clients", || {
        send_command(node.admin_address(), b"health\n").starts_with("ok")
    });
}
