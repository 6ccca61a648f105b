//! The admin server on real sockets: `health`, `quiesce` and `resume`, and their effect on front
//! ends.

#[path = "common/admin.rs"]
mod admin;
#[path = "common/answers.rs"]
mod answers;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use admin::{read_reply, send_command, start_node_with_admin};
use answers::{result_body, REJECTED};
use serde_json::json;
use test_doubles::*;

const READ_CLASS: &str = "statement-read";

#[test]
fn quiesced_node_serves_requests_and_resumes_on_command() {
    let node = start_node_with_admin();
    let admin = node.admin_address();
    let mut client = node.connect();
    assert_eq!(send_command(admin, b"health\n"), "ok serving");
    assert_eq!(client.query_alive()["result"]["ready"], true);
    // Once the command is answered, health checks fail on existing and new connections.
    assert_eq!(send_command(admin, b"quiesce\n"), "ok quiesced");
    assert_eq!(client.query_alive()["result"]["ready"], false);
    assert_eq!(node.connect().query_alive()["result"]["ready"], false);
    wait_until("the endpoint list has the report", || {
        node.endpoint_list.has_report("HB n3 OUT")
    });
    // Quiescing is not a shutdown: a request after the drain grace of 500 ms is still served.
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(
        result_body(&client.request(READ_CLASS, "serve:quiesced")),
        "done serve:quiesced"
    );
    assert_eq!(send_command(admin, b"health\n"), "ok quiesced");
    assert_eq!(send_command(admin, b" quiesce \r\n"), "ok quiesced");
    assert_eq!(send_command(admin, b"resume\n"), "ok serving");
    assert_eq!(client.query_alive()["result"]["ready"], true);
    assert_eq!(send_command(admin, b"resume\n"), "ok serving");
}

/// SIGHUP does not undo quiesce. After SIGTERM no command brings the node back.
#[test]
fn quiesced_node_stays_quiesced_over_a_reload_and_shuts_down_on_sigterm() {
    let mut node = Node::start_with(None, |config| {
        config["admin"] = json!("127.0.0.1:0");
        config["stop_ms"] = json!(4000);
    });
    let admin = node.admin_address();
    let mut client = node.connect();
    assert_eq!(send_command(admin, b"quiesce\n"), "ok quiesced");
    node.reload(
        &node_config(
            node.executor.address,
            node.database.address,
            node.endpoint_list.address,
        )
        .to_string(),
    );
    wait_until("the configuration is reloaded", || {
        node.log().contains("configuration reloaded")
    });
    assert_eq!(client.query_alive()["result"]["ready"], false);
    // A run that hangs keeps the process alive until all commands are sent.
    client.send("settlement-post", "hang");
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    node.terminate();
    assert_eq!(client.read_message()["method"], "farewell");
    assert_eq!(send_command(admin, b"resume\n"), "fail leaving");
    assert_eq!(send_command(admin, b"health\n"), "fail leaving");
    assert_eq!(send_command(admin, b"quiesce\n"), "ok leaving");
    assert_eq!(node.connect().query_alive()["result"]["ready"], false);
    assert!(client.read_message()["error"]["code"]
        .as_i64()
        .is_some_and(|code| code != REJECTED));
    drop(client);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Before its executor is up a process accepts no clients, since another process may serve at its
/// address. A quiesce command in that time is in effect from the first client on.
#[test]
fn starting_process_accepts_no_clients_and_keeps_a_quiesce_command() {
    let executor = TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds");
    let executor_address = executor.local_addr().expect("the socket is bound");
    let node = Node::spawn(|config| {
        config["admin"] = json!("127.0.0.1:0");
        config["executor"] = json!(executor_address);
    });
    let (mut link, _) = executor.accept().expect("the node connects");
    wait_until("the admin server listens", || {
        node.logged_address("admin").is_some()
    });
    let admin = node.admin_address();
    assert_eq!(send_command(admin, b"health\n"), "fail starting");
    assert_eq!(
        send_command(admin, b"quiesce\n"),
        "ok starting, to be quiesced"
    );
    assert!(
        node.logged_address("listening").is_none(),
        "the starting process accepts clients"
    );
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":5}\n")
        .expect("the write succeeds");
    wait_until("the node is up", || {
        send_command(admin, b"health\n") == "ok quiesced"
    });
    // The log is read on a separate thread, which may lag behind the admin server's reply.
    wait_until("the log names the address", || {
        node.logged_address("listening").is_some()
    });
    let address = node.logged_address("listening").expect("the node listens");
    assert_eq!(
        TestClient::connect(address).query_alive()["result"]["ready"],
        false
    );
    assert_eq!(send_command(admin, b"resume\n"), "ok serving");
    wait_until("the policy has started", || {
        TestClient::connect(address).query_alive()["result"]["ready"] == true
    });
}

#[test]
fn unknown_long_and_truncated_commands_fail() {
    let node = start_node_with_admin();
    let admin = node.admin_address();
    for line in [
        &b"drain\n"[..],
        b"\n",
        b"QUIESCE\n",
        b"quiesce now\n",
        b"\xff\xfe\x00\n",
        b"quiesce\0\n",
    ] {
        assert!(
            send_command(admin, line).starts_with("fail unknown call"),
            "{line:?}"
        );
    }
    assert_eq!(
        send_command(admin, &[b'q'; 4096]),
        "fail the line is too long"
    );
    // A command without its line end is not executed, even if its text is complete.
    let mut truncated = TcpStream::connect(admin).expect("the admin server accepts");
    truncated.write_all(b"quiesce").expect("the write succeeds");
    truncated
        .shutdown(Shutdown::Write)
        .expect("the write side is shut down");
    assert_eq!(read_reply(truncated), "fail the line was cut short");
}

/// A hundred admin clients hold connections without completing a command, while front ends flood
/// the node.
#[test]
fn admin_server_answers_within_a_second_under_load() {
    let node = start_node_with_admin();
    let admin = node.admin_address();
    let end = Instant::now() + Duration::from_secs(2);
    let slowest = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut client = node.connect();
                while Instant::now() < end {
                    let sent: Vec<u64> =
                        (0..16).map(|_| client.send(READ_CLASS, "serve")).collect();
                    for _ in sent {
                        client.read_message();
                    }
                }
            });
        }
        let idle_clients: Vec<TcpStream> = (0..100)
            .map(|n| {
                let mut stream = TcpStream::connect(admin).expect("the admin server accepts");
                stream
                    .write_all(if n % 2 == 0 { b"heal" } else { b"" })
                    .expect("the write succeeds");
                stream
            })
            .collect();
        let mut slowest = Duration::ZERO;
        while Instant::now() < end {
            let started_at = Instant::now();
            assert_eq!(send_command(admin, b"health\n"), "ok serving");
            slowest = slowest.max(started_at.elapsed());
        }
        drop(idle_clients);
        slowest
    });
    assert!(
        slowest > Duration::ZERO && slowest < Duration::from_secs(1),
        "the slowest reply took {slowest:?}"
    );
}

#[test]
fn unusable_admin_address_prints_one_line_and_exits() {
    let unused: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let address_in_use = TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds");
    let address_in_use = json!(address_in_use.local_addr().expect("the socket is bound"));
    for (admin, variable, expected_error) in [
        (json!("nowhere"), None, "configuration: "),
        (json!(7), None, "configuration: "),
        (address_in_use, None, "door: "),
        (
            json!(null),
            Some("here"),
            "configuration: PROXY_ADMIN is not a socket address",
        ),
    ] {
        let mut config = node_config(unused, unused, unused);
        config["admin"] = admin;
        let file = ScratchFile::new("admin.json", &config.to_string());
        let output = node_command(&file)
            .envs(variable.map(|value| ("PROXY_ADMIN", value)))
            .output()
            .expect("the program starts");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success()
                && stderr.contains(expected_error)
                && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}

/// Requests written just before and just after the quiesce command, on open connections, are all
/// answered. Health checks after the command fail.
#[test]
fn requests_sent_around_quiesce_are_all_answered() {
    let node = start_node_with_admin();
    for round in 0..10 {
        let mut clients: Vec<TestClient> = (0..4).map(|_| node.connect()).collect();
        let mut command =
            TcpStream::connect(node.admin_address()).expect("the admin server accepts");
        let before: Vec<u64> = clients
            .iter_mut()
            .map(|c| c.send("settlement-post", "serve"))
            .collect();
        command.write_all(b"quiesce\n").expect("the write succeeds");
        let after: Vec<u64> = clients
            .iter_mut()
            .map(|c| c.send(READ_CLASS, "serve"))
            .collect();
        for ((client, first), second) in clients.iter_mut().zip(before).zip(after) {
            let mut answers = [client.read_answer(), client.read_answer()];
            answers.sort_unstable_by_key(|answer| answer["id"].as_u64());
            assert_eq!(
                answers.each_ref().map(|a| a["id"].as_u64()),
                [Some(first), Some(second)]
            );
            assert_eq!(
                answers.each_ref().map(result_body),
                ["done serve", "done serve"],
                "round {round}"
            );
        }
        assert_eq!(read_reply(command), "ok quiesced");
        assert_eq!(node.connect().query_alive()["result"]["ready"], false);
        assert_eq!(
            send_command(node.admin_address(), b"resume\n"),
            "ok serving"
        );
    }
}
