//! The router without file descriptors for further clients.

use std::process::{Command, Stdio};

use test_doubles::{gateway_program, wait_until, FakePeers, Node, ScratchFile, TestClient};

/// Limit on the descriptors of the router's process: enough for itself and for fewer clients than
/// connect.
const DESCRIPTOR_LIMIT: usize = 24;
const CLIENTS: usize = 30;

const CELLS: &str = r#"{
    version: 1, shard: 0, slack: 0.6, strangers: true,
    cells: { adda: {} },
    nodes: { n1: { address: "127.0.0.1:9", site: "milano-lambrate", cell: "adda" } },
    tenants: { alpenergia: { share: 100 } },
}"#;

/// Starts the router with a low limit on descriptors.
fn start_router() -> Node {
    let cells = ScratchFile::new("cells.json5", CELLS);
    let text = format!(
        r#"{{ version: 1, listen: "127.0.0.1:0", cells: "{}", clients: 400, per_node: 8,
            classes: {{ "statement-read": {{ once: false, deadline_ms: 1500 }} }} }}"#,
        cells.path().display()
    );
    let config = ScratchFile::new("router.json5", &text);
    let mut command = Command::new("/bin/sh");
    let program = gateway_program();
    command
        .arg("-c")
        .arg(format!(
            "ulimit -n {DESCRIPTOR_LIMIT} && exec \"$0\" route \"$1\""
        ))
        .args([&program, config.path()])
        .stderr(Stdio::piped());
    let mut router = Node::spawn_command(command, FakePeers::start(), config);
    wait_until("the router listens", || {
        router.logged_address("listening").is_some()
    });
    router.address = router.logged_address("listening").expect("an address");
    router
}

/// Guards clients that wait to be accepted while the router has no free descriptor. It waited for
/// the next event of its socket, which only a further client causes, and left them waiting although
/// descriptors were free again.
#[test]
fn waiting_clients_are_accepted_once_descriptors_are_free() {
    let router = start_router();
    let mut clients: Vec<TestClient> = (0..CLIENTS).map(|_| router.connect()).collect();
    wait_until("the router runs out of descriptors", || {
        router.log().contains("Too many open files")
    });
    let mut waiting = clients.pop().expect("a client that was not accepted");
    // The other clients disconnect, and no further client connects.
    clients.clear();
    let answer = waiting.query_alive();
    assert!(!answer.is_null(), "its connection ended");
}
