//! Day-to-day service on real sockets: the operators' door, emptying a node, and replacing its process.

mod doubles;

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use doubles::*;
use serde_json::json;

const READ: &str = "statement-read";
const REFUSED: i64 = -32002;

fn with_door() -> Node {
    Node::start_with(None, |config| config["admin"] = json!("127.0.0.1:0"))
}

/// One call at a door.
fn call(door: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(door).expect("a door");
    stream.write_all(line).expect("written");
    answer(stream)
}
fn answer(stream: TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .expect("a timeout");
    let mut text = String::new();
    BufReader::new(stream)
        .read_line(&mut text)
        .expect("an answer");
    assert!(text.ends_with('\n'), "a whole line: {text:?}");
    text.trim_end().to_string()
}

fn result(answer: &serde_json::Value) -> String {
    decode_base64(
        answer["result"]["body"]
            .as_str()
            .unwrap_or_else(|| panic!("not served: {answer}")),
    )
}

#[test]
fn a_quiesced_node_serves_what_comes_and_a_word_brings_it_back() {
    let node = with_door();
    let door = node.admin_address();
    let mut front = node.connect();
    assert_eq!(call(door, b"health\n"), "ok serving");
    assert_eq!(front.query_alive()["result"]["ready"], true);
    // The answer is true when it is given: not one health check after it is good, old connection or new.
    assert_eq!(call(door, b"quiesce\n"), "ok quiesced");
    assert_eq!(front.query_alive()["result"]["ready"], false);
    assert_eq!(node.connect().query_alive()["result"]["ready"], false);
    wait_until("the list hears of it", || {
        node.endpoint_list.has_report("HB n3 OUT")
    });
    // It is not the notice to leave: what comes after the grace of 500 ms is served all the same.
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(
        result(&front.request(READ, "serve:quiesced")),
        "done serve:quiesced"
    );
    assert_eq!(call(door, b"health\n"), "ok quiesced");
    assert_eq!(call(door, b" quiesce \r\n"), "ok quiesced");
    assert_eq!(call(door, b"resume\n"), "ok serving");
    assert_eq!(front.query_alive()["result"]["ready"], true);
    assert_eq!(call(door, b"resume\n"), "ok serving");
}

/// SIGHUP changes nothing of it; SIGTERM ends it, and then nothing brings the node back.
#[test]
fn a_quiesced_node_stays_so_over_a_reload_and_leaves_when_told_to() {
    let mut node = Node::start_with(None, |config| {
        config["admin"] = json!("127.0.0.1:0");
        config["stop_ms"] = json!(4000);
    });
    let door = node.admin_address();
    let mut front = node.connect();
    assert_eq!(call(door, b"quiesce\n"), "ok quiesced");
    node.reload(
        &node_config(
            node.executor.address,
            node.database.address,
            node.endpoint_list.address,
        )
        .to_string(),
    );
    wait_until("it is read again", || {
        node.log().contains("configuration read again")
    });
    assert_eq!(front.query_alive()["result"]["ready"], false);
    // What hangs keeps the process until all has been asked.
    front.send("settlement-post", "hang");
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    node.terminate();
    assert_eq!(front.read_message()["method"], "farewell");
    assert_eq!(call(door, b"resume\n"), "fail leaving");
    assert_eq!(call(door, b"health\n"), "fail leaving");
    assert_eq!(call(door, b"quiesce\n"), "ok leaving");
    assert_eq!(node.connect().query_alive()["result"]["ready"], false);
    assert!(front.read_message()["error"]["code"]
        .as_i64()
        .is_some_and(|code| code != REFUSED));
    drop(front);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Before its executor is up a process takes no clients where another may serve at its address; a word said meanwhile
/// holds from the first moment on.
#[test]
fn a_process_that_is_not_up_takes_no_clients_and_keeps_what_it_was_told() {
    let executor = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = executor.local_addr().expect("bound");
    let node = Node::spawn(|config| {
        config["admin"] = json!("127.0.0.1:0");
        config["executor"] = json!(at);
    });
    let (mut link, _) = executor.accept().expect("a link");
    wait_until("there is a door", || node.logged_address("admin").is_some());
    let door = node.admin_address();
    assert_eq!(call(door, b"health\n"), "fail starting");
    assert_eq!(call(door, b"quiesce\n"), "ok starting, to be quiesced");
    assert!(
        node.logged_address("listening").is_none(),
        "it takes no clients yet"
    );
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":5}\n")
        .expect("written");
    wait_until("it is up", || call(door, b"health\n") == "ok quiesced");
    // Its log is read by a thread of the test's, which may be behind the door's answer.
    wait_until("the log tells where it listens", || {
        node.logged_address("listening").is_some()
    });
    let address = node.logged_address("listening").expect("it listens");
    assert_eq!(
        TestClient::connect(address).query_alive()["result"]["ready"],
        false
    );
    assert_eq!(call(door, b"resume\n"), "ok serving");
    wait_until("the module has begun", || {
        TestClient::connect(address).query_alive()["result"]["ready"] == true
    });
}

#[test]
fn what_is_no_call_fails_and_changes_nothing() {
    let node = with_door();
    let door = node.admin_address();
    for line in [
        &b"drain\n"[..],
        b"\n",
        b"QUIESCE\n",
        b"quiesce now\n",
        b"\xff\xfe\x00\n",
        b"quiesce\0\n",
    ] {
        assert!(
            call(door, line).starts_with("fail unknown call"),
            "{line:?}"
        );
    }
    assert_eq!(call(door, &[b'q'; 4096]), "fail the line is too long");
    // A line that was cut short is no call, however much it looks like one.
    let mut cut = TcpStream::connect(door).expect("a door");
    cut.write_all(b"quiesce").expect("written");
    cut.shutdown(Shutdown::Write).expect("ended");
    assert_eq!(answer(cut), "fail the line was cut short");
}

/// Guards the second that the door has: a hundred callers that hold a connection without a line, while the front is
/// flooded.
#[test]
fn the_door_answers_within_its_second_whatever_the_others_do() {
    let node = with_door();
    let door = node.admin_address();
    let end = Instant::now() + Duration::from_secs(2);
    let worst = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut front = node.connect();
                while Instant::now() < end {
                    let sent: Vec<u64> = (0..16).map(|_| front.send(READ, "serve")).collect();
                    sent.iter().for_each(|_| drop(front.read_message()));
                }
            });
        }
        let held: Vec<TcpStream> = (0..100)
            .map(|n| {
                let mut stream = TcpStream::connect(door).expect("a door");
                stream
                    .write_all(if n % 2 == 0 { b"heal" } else { b"" })
                    .expect("written");
                stream
            })
            .collect();
        let mut worst = Duration::ZERO;
        while Instant::now() < end {
            let begun = Instant::now();
            assert_eq!(call(door, b"health\n"), "ok serving");
            worst = worst.max(begun.elapsed());
        }
        drop(held);
        worst
    });
    assert!(
        worst > Duration::ZERO && worst < Duration::from_secs(1),
        "the worst after {worst:?}"
    );
}

#[test]
fn a_door_that_can_not_be_had_is_one_line_and_no_start() {
    let unused: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let taken = json!(taken.local_addr().expect("bound"));
    for (admin, variable, says) in [
        (json!("nowhere"), None, "configuration: "),
        (json!(7), None, "configuration: "),
        (taken, None, "door: "),
        (
            json!(null),
            Some("here"),
            "configuration: PROXY_ADMIN is no address",
        ),
    ] {
        let mut config = node_config(unused, unused, unused);
        config["admin"] = admin;
        let file = ScratchFile::new("door.json", &config.to_string());
        let output = node_command(&file)
            .envs(variable.map(|at| ("PROXY_ADMIN", at)))
            .output()
            .expect("it starts");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && said.contains(says) && said.lines().count() == 1,
            "{said}"
        );
    }
}

fn taking(node: &Node) {
    wait_until("there is a door", || node.logged_address("admin").is_some());
    wait_until("it takes clients", || {
        call(node.admin_address(), b"health\n").starts_with("ok")
    });
}

/// A steady load on new and old connections: each request is answered once, whatever process it comes to. Gives the bodies
/// that were served; a request on a connection that ends with nothing read is sent again, as front ends do.
fn load(
    address: SocketAddr,
    name: &str,
    stop: &std::sync::atomic::AtomicBool,
) -> (Vec<String>, usize) {
    let (mut served, mut unheard, mut n) = (Vec::new(), 0, 0);
    let mut kept: Option<TestClient> = None;
    while !stop.load(std::sync::atomic::Ordering::SeqCst) {
        n += 1;
        let body = format!("serve:{name}-{n}");
        let mut front = kept.take().unwrap_or_else(|| TestClient::connect(address));
        let id = front.send("settlement-post", &body);
        let (mut farewell, mut answer) = (false, front.read_message());
        while answer["method"] == "farewell" {
            farewell = true;
            answer = front.read_message();
        }
        if answer.is_null() {
            unheard += 1;
            continue;
        }
        assert_eq!(answer["id"], id);
        assert_eq!(result(&answer), format!("done {body}"));
        served.push(body);
        // Every other connection is kept, unless its node has said farewell.
        kept = Some(front).filter(|_| !farewell && n % 2 == 0);
    }
    (served, unheard)
}

/// Replacement under a steady load, twice in a row: every request is answered once, each runs once, none is sent back
/// unheard, health never turns bad, and the list never hears that the node is out.
#[test]
fn a_process_is_replaced_under_load_and_nobody_notices() {
    let stop = std::sync::atomic::AtomicBool::new(false);
    let mut node = with_door();
    let address = node.address;
    let mut executors = vec![node.executor.clone()];
    let (served, unheard) = std::thread::scope(|scope| {
        let loads: Vec<_> = (0..4)
            .map(|k| {
                let stop = &stop;
                scope.spawn(move || load(address, &format!("client{k}"), stop))
            })
            .collect();
        for _ in 0..2 {
            let next = node.start_replacement();
            taking(&next);
            executors.push(next.executor.clone());
            let mut watcher = node.connect();
            node.terminate();
            wait_until("the old process is told", || {
                node.log().contains("replaced")
            });
            let health = watcher.query_alive();
            assert!(
                health["method"] == "farewell" || health["result"]["ready"] == true,
                "{health}"
            );
            drop(watcher);
            assert_eq!(node.wait_for_exit().code(), Some(0));
            assert!(!node.endpoint_list.has_report("HB n3 OUT"));
            node = next;
        }
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        let ended = loads.into_iter().map(|load| load.join().expect("a client"));
        ended
            .reduce(|all, more| ([all.0, more.0].concat(), all.1 + more.1))
            .expect("clients")
    });
    assert!(served.len() > 20, "{} served", served.len());
    assert_eq!(unheard, 0, "sent back unheard");
    for body in &served {
        assert_eq!(
            executors.iter().map(|e| e.run_count(body)).sum::<usize>(),
            1,
            "{body}"
        );
    }
}

/// Requests written just before and just behind the word, on connections that are open: all are answered, and no health
/// check behind it is good.
#[test]
fn requests_in_the_instant_of_quiesce_are_all_answered() {
    let node = with_door();
    for round in 0..10 {
        let mut fronts: Vec<TestClient> = (0..4).map(|_| node.connect()).collect();
        let mut word = TcpStream::connect(node.admin_address()).expect("a door");
        let before: Vec<u64> = fronts
            .iter_mut()
            .map(|f| f.send("settlement-post", "serve"))
            .collect();
        word.write_all(b"quiesce\n").expect("written");
        let behind: Vec<u64> = fronts.iter_mut().map(|f| f.send(READ, "serve")).collect();
        for ((front, first), second) in fronts.iter_mut().zip(before).zip(behind) {
            let mut answers = [front.read_answer(), front.read_answer()];
            answers.sort_unstable_by_key(|answer| answer["id"].as_u64());
            assert_eq!(
                answers.each_ref().map(|a| a["id"].as_u64()),
                [Some(first), Some(second)]
            );
            assert_eq!(
                answers.each_ref().map(result),
                ["done serve", "done serve"],
                "round {round}"
            );
        }
        assert_eq!(answer(word), "ok quiesced");
        assert_eq!(node.connect().query_alive()["result"]["ready"], false);
        assert_eq!(call(node.admin_address(), b"resume\n"), "ok serving");
    }
}

/// SIGHUP to both processes in mid-replacement: each moves to its own executor's new place, what runs in either carries on, and
/// the replacement goes on as ever.
#[test]
fn a_new_configuration_for_both_processes() {
    let mut first = with_door();
    let mut runs = first.connect();
    let run = runs.send("settlement-post", "hang:first");
    wait_until("it runs", || first.executor.run_count("hang:first") == 1);
    let second = first.start_replacement();
    taking(&second);
    let moved = |node: &Node| {
        let mut moved = node_config(
            node.executor.open_second_address(),
            node.database.address,
            node.endpoint_list.address,
        );
        moved["listen"] = json!(first.address);
        moved.to_string()
    };
    let (one, two) = (moved(&first), moved(&second));
    first.reload(&one);
    second.reload(&two);
    wait_until("both have moved", || {
        [&first, &second]
            .iter()
            .all(|n| n.executor.join_positions().len() == 2)
    });
    first.terminate();
    wait_until("the old process is told", || {
        first.log().contains("replaced")
    });
    // One more while the old one leaves.
    first.reload(&one);
    second.reload(&two);
    first.executor.finish_run("hang:first");
    let answer = runs.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), result(&answer).as_str()),
        (Some(run), "late result")
    );
    drop(runs);
    assert_eq!(first.wait_for_exit().code(), Some(0));
    assert_eq!(
        result(&second.connect().request(READ, "serve:after")),
        "done serve:after"
    );
    assert_eq!(
        (
            first.executor.run_count("hang:first"),
            second.executor.run_count("hang:first")
        ),
        (1, 0)
    );
    assert!(!second.endpoint_list.has_report("HB n3 OUT"));
}

/// Guards the one node's limits: two processes divide what it may have, the earlier one's part falls as the later one starts and
/// serves, and a kill -9 of either gives back at once what it held.
#[test]
fn two_processes_divide_what_the_node_may_have() {
    let said = |node: &Node, held: u32| node.log().contains(&format!("held: {held}"));
    let mut first = with_door();
    wait_until("the first has all", || said(&first, 8));
    let mut second = first.start_replacement();
    taking(&second);
    wait_until("each has a half", || said(&first, 4) && said(&second, 4));
    assert!(!said(&second, 8));
    second.kill();
    wait_until("the first has all again", || {
        first.log().matches("held: 8").count() == 2
    });
    let third = first.start_replacement();
    taking(&third);
    wait_until("each has a half again", || said(&third, 4));
    first.kill();
    wait_until("the one left has all", || said(&third, 8));
    let mut front = third.connect();
    assert_eq!(
        result(&front.request(READ, "serve:whole")),
        "done serve:whole"
    );
}

/// A kill of either in mid-replacement leaves nothing wrong: the other goes on, and the next one finds a seat.
#[test]
fn a_kill_of_either_process_leaves_the_other_whole() {
    let mut first = with_door();
    // One that dies before it is ready was nobody's successor: the first is asked to leave as any node is.
    let mut second = first.start_replacement();
    taking(&second);
    second.kill();
    assert_eq!(first.connect().query_alive()["result"]["ready"], true);
    let mut third = first.start_replacement();
    taking(&third);
    // Two live: another one waits until there is room, and takes clients then.
    let fourth = first.start_replacement();
    wait_until("its executor is up, and there is a door", || {
        fourth.log().contains("executor connected") && fourth.logged_address("admin").is_some()
    });
    assert_eq!(call(fourth.admin_address(), b"health\n"), "fail starting");
    first.kill();
    taking(&fourth);
    third.terminate();
    assert_eq!(third.wait_for_exit().code(), Some(0));
    assert!(third.log().contains("replaced") && !third.endpoint_list.has_report("HB n3 OUT"));
    assert_eq!(
        result(&TestClient::connect(first.address).request(READ, "serve:after")),
        "done serve:after"
    );
}

/// What was left in the scratch folder, or lies there from someone else, is not believed: alone, the node leaves as ever.
#[test]
fn what_lies_in_the_scratch_folder_is_not_believed() {
    let stale =
        [0, 1].map(|n| ScratchFile::new(&format!("mothwinch-n3.seat{n}"), "taking clients \n"));
    let mut node = with_door();
    node.terminate();
    wait_until("it is told", || node.log().contains("shutting down"));
    assert!(!node.log().contains("replaced"));
    wait_until("the list hears of it", || {
        node.endpoint_list.has_report("HB n3 OUT")
    });
    assert_eq!(node.wait_for_exit().code(), Some(0));
    drop(stale);
}

/// Guards those that take 2 s to write a request, among a thousand that say nothing and hold what slots there are: they
/// used to be closed 2 s after they came, with their request half read.
#[test]
fn a_request_in_pieces_is_served_among_a_thousand_silent_ones() {
    let node = Node::start_with(None, |config| {
        config["limits"]["sockets"] = json!(192);
        // The time that it took to write counts into its age here.
        config["settings"]["lanes"][0]["promise"] = json!(9000);
        config["settings"]["lanes"][0]["deadline"] = json!(12000);
    });
    let address = node.address;
    std::thread::scope(|scope| {
        let slow: Vec<_> = (0..8)
            .map(|n| {
                scope.spawn(move || {
                    let mut front = TestClient::connect(address);
                    let params = json!({"rid": format!("{n:016x}"), "t0": unix_ms(), "peer": 4, "acct": "alpenergia",
                                        "mem": 24.5, "prio": 0.5, "body": encode_base64(&format!("serve:slow{n}"))});
                    let line = json!({"jsonrpc": "2.0", "id": 1, "method": READ, "params": params}).to_string() + "\n";
                    for piece in line.as_bytes().chunks(line.len().div_ceil(11)) {
                        front.stream.write_all(piece).expect("it is let write");
                        std::thread::sleep(Duration::from_millis(200));
                    }
                    front.read_answer()
                })
            })
            .collect();
        let silent = (0..1000).map(|_| {
            std::thread::sleep(Duration::from_millis(2));
            TcpStream::connect(address).expect("it listens")
        });
        let _silent: Vec<TcpStream> = silent.collect();
        for (n, slow) in slow.into_iter().enumerate() {
            let answer = slow.join().expect("an answer");
            assert_eq!(result(&answer), format!("done serve:slow{n}"));
        }
    });
}
