//! The front under crowds: connections that say nothing, and those that send more than anyone can take. The last test
//! measures and runs only when asked.

mod doubles;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use doubles::{encode_base64, unix_ms, wait_until, Node, ProcessUsage, TestClient};
use serde_json::{json, Value};

const READ: &str = "statement-read";

/// A node under the limits of the day on which two threads a connection used up its share of a core.
fn small_node() -> Node {
    Node::start_with(None, |config| {
        config["limits"] = json!({"cores": 0.2, "memory_mb": 48, "sockets": 512});
    })
}

/// A client that sends so many requests at once, and again what is turned away, for a while. Tells after how many
/// milliseconds it first heard anything, be it the end.
fn flood(node: &Node, number: u64, requests: u64) -> thread::JoinHandle<u128> {
    let begun = Instant::now();
    let mut to = TcpStream::connect(node.address).expect("room");
    to.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let line = move |id: u64| {
        let rid = format!("{number:08x}{id:08x}");
        let params = json!({"rid": rid, "t0": unix_ms(), "peer": 9, "acct": "alpenergia", "mem": 24.5, "prio": 0.5,
                            "body": encode_base64("bad")});
        json!({"jsonrpc": "2.0", "id": id, "method": READ, "params": params}).to_string() + "\n"
    };
    thread::spawn(move || {
        let mut from = BufReader::new(to.try_clone().expect("a connection"));
        let all: String = (1..=requests).map(&line).collect();
        // What the node closes meanwhile has been answered by that.
        let _ = to.write_all(all.as_bytes());
        let (mut heard, mut next) = (None, requests);
        let mut answer = String::new();
        while from.read_line(&mut answer).is_ok_and(|n| n > 0) {
            heard.get_or_insert(begun.elapsed().as_millis());
            if begun.elapsed() > Duration::from_millis(1500) {
                break;
            }
            next += 1;
            let _ = to.write_all(line(next).as_bytes());
            answer.clear();
        }
        heard.unwrap_or(begun.elapsed().as_millis())
    })
}

/// Guards a front end that keeps the protocol against 400 connections that say nothing and 100 that send hundreds of
/// requests at once and more as soon as they are turned away: with two threads a connection the node had 900 threads,
/// and on a part of a core did nothing but switch between them.
#[test]
fn the_silent_and_the_flooding_cost_a_front_end_nothing() {
    let node = small_node();
    let mut front = node.connect();
    assert!(front.request(READ, "serve")["result"].is_object());
    let silent: Vec<TcpStream> = (0..400)
        .map(|_| TcpStream::connect(node.address).expect("room"))
        .collect();
    let floods: Vec<_> = (0..100).map(|n| flood(&node, n, 200)).collect();
    let (mut asked, mut worst, mut peak) = (0, 0, node.usage());
    let mut answers: VecDeque<Value> = VecDeque::new();
    while !floods.iter().all(std::thread::JoinHandle::is_finished) || asked < 50 {
        let begun = unix_ms();
        // The one it had, and a new one, as front ends open them.
        for front in [&mut front, &mut node.connect()] {
            answers.push_back(front.request(READ, "serve"));
            asked += 1;
        }
        worst = worst.max(unix_ms() - begun);
        let now = node.usage();
        peak = ProcessUsage {
            threads: peak.threads.max(now.threads),
            descriptors: peak.descriptors.max(now.descriptors),
            ..now
        };
    }
    // Served, or refused and truly so: the flood may fill the hold, but nobody is left without an answer or a place.
    for answer in &answers {
        assert!(
            answer["result"].is_object() || answer["error"]["code"] == -32002,
            "{answer}"
        );
    }
    // One that is older than its deadline by then is no answer in time.
    assert!(worst < 2 * 1600, "two requests took {worst} ms");
    for flood in floods {
        let heard = flood.join().expect("a client");
        assert!(
            heard < 3000,
            "a flooding client heard nothing for {heard} ms"
        );
    }
    assert!(peak.threads < 80, "{peak:?}");
    assert!(peak.descriptors < 512, "{peak:?}");
    wait_until("the flood is over", || {
        front.request(READ, "serve")["result"].is_object()
    });
    // The silent are told to go, and gone.
    for mut stream in silent {
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("an option");
        let mut said = String::new();
        let _ = std::io::Read::read_to_string(&mut stream, &mut said);
        assert!(said.is_empty() || said.contains("farewell"), "{said}");
    }
    wait_until("all slots are free", || node.usage().descriptors < 100);
}

/// Guards a front end's time: what one connection sends without end is read by turns, so another's request is answered
/// long before all of it is read.
#[test]
fn one_that_floods_does_not_hold_up_another() {
    let node = small_node();
    let mut front = node.connect();
    // Health checks cost the module nothing, so that only the reading is in question.
    let line = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n";
    let mut flood = TcpStream::connect(node.address).expect("room");
    let all = line.repeat(200_000);
    let reader = BufReader::new(flood.try_clone().expect("a connection"));
    let writing = thread::spawn(move || flood.write_all(all.as_bytes()).map(|()| flood));
    let reading = thread::spawn(move || reader.lines().map_while(Result::ok).take(200_000).count());
    let mut between = 0;
    while !reading.is_finished() {
        assert!(front.query_alive()["result"]["ready"] == true);
        between += 1;
    }
    assert_eq!(reading.join().expect("a reader"), 200_000);
    writing.join().expect("a writer").expect("all was taken");
    assert!(between > 20, "{between} answers while another flooded");
}

/// Prints a row for each number of idle connections: threads, descriptors, memory, and processor time over two seconds
/// in which every connection asks once, beside one front end that is at work. `docs/front.md` keeps the rows and the
/// command; `GATEWAY_PROGRAM` names an earlier build to compare with.
#[test]
#[ignore = "a measurement"]
fn what_idle_connections_cost() {
    println!(
        "idle | threads | descriptors | resident kB | processor ms in 2 s | a request, µs (median, 99th)"
    );
    for idle in [0, 100, 400] {
        let node = Node::start();
        let used = |_| {
            let mut front = node.connect();
            front.query_alive();
            front
        };
        let open: Vec<TestClient> = (0..idle).map(used).collect();
        let mut front = node.connect();
        let (before, begun) = (node.usage(), Instant::now());
        let mut took = Vec::new();
        while begun.elapsed() < Duration::from_secs(2) {
            let sent = Instant::now();
            let id = front.send(READ, "serve");
            // It may be told to go, once more are unused than are kept.
            while front.read_message()["id"] != id {}
            took.push(sent.elapsed().as_micros());
            thread::sleep(Duration::from_millis(4));
        }
        let spent = node.usage().processor_ms - before.processor_ms;
        drop(open);
        took.sort_unstable();
        let at = |part: f64| took[(took.len() as f64 * part) as usize];
        println!(
            "{idle} | {} | {} | {} | {spent} | {} | {}",
            before.threads,
            before.descriptors,
            before.resident_kb,
            at(0.5),
            at(0.99)
        );
    }
}
