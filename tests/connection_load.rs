//! The listener under load: many silent connections, slow writers, and clients that send more than
//! the node can handle. The last test is a measurement and is ignored by default.

#[path = "common/answers.rs"]
mod answers;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use answers::{error_code, result_body, REJECTED};
use serde_json::{json, Value};
use test_doubles::{encode_base64, unix_ms, wait_until, Node, ProcessUsage, TestClient};

const READ_CLASS: &str = "statement-read";

/// Starts a node with a fifth of a core. With two threads per connection, switching between them
/// once used up all of that processor time.
fn start_small_node() -> Node {
    Node::start_with(None, |config| {
        config["limits"] = json!({"cores": 0.2, "memory_mb": 48, "sockets": 512});
    })
}

/// Starts a client that sends `requests` at once and one more for each answer, for 1.5 s. The
/// thread returns the milliseconds until the first answer, or until the end of the connection.
fn spawn_flooding_client(node: &Node, number: u64, requests: u64) -> thread::JoinHandle<u128> {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(node.address).expect("the node accepts the connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("the socket option is set");
    let request_line = move |id: u64| {
        let rid = format!("{number:08x}{id:08x}");
        let params = json!({"rid": rid, "t0": unix_ms(), "peer": 9, "acct": "alpenergia", "mem": 24.5, "prio": 0.5,
                            "body": encode_base64("bad")});
        json!({"jsonrpc": "2.0", "id": id, "method": READ_CLASS, "params": params}).to_string()
            + "\n"
    };
    thread::spawn(move || {
        let mut lines = BufReader::new(stream.try_clone().expect("a connection"));
        let all: String = (1..=requests).map(&request_line).collect();
        // The node may close the connection meanwhile, which counts as an answer.
        let _ = stream.write_all(all.as_bytes());
        let mut first_answer_ms = None;
        let mut next = requests;
        let mut answer = String::new();
        while lines.read_line(&mut answer).is_ok_and(|n| n > 0) {
            first_answer_ms.get_or_insert(started_at.elapsed().as_millis());
            if started_at.elapsed() > Duration::from_millis(1500) {
                break;
            }
            next += 1;
            let _ = stream.write_all(request_line(next).as_bytes());
            answer.clear();
        }
        first_answer_ms.unwrap_or(started_at.elapsed().as_millis())
    })
}

/// Answers to a front end that follows the protocol, and the peak numbers of threads and
/// descriptors meanwhile.
struct FrontEndResults {
    answers: Vec<Value>,
    slowest_pair_ms: u64,
    peak: ProcessUsage,
}

/// Sends requests in pairs until all clients have finished, and at least fifty requests.
fn send_until_clients_finish(
    node: &Node,
    client: &mut TestClient,
    clients: &[thread::JoinHandle<u128>],
) -> FrontEndResults {
    let mut slowest_pair_ms = 0;
    let mut peak = node.usage();
    let mut answers = Vec::new();
    while !clients.iter().all(thread::JoinHandle::is_finished) || answers.len() < 50 {
        let started_at = unix_ms();
        // One request on the open connection and one on a new connection, as front ends do.
        for client in [&mut *client, &mut node.connect()] {
            answers.push(client.request(READ_CLASS, "serve"));
        }
        slowest_pair_ms = slowest_pair_ms.max(unix_ms() - started_at);
        let now = node.usage();
        peak = ProcessUsage {
            threads: peak.threads.max(now.threads),
            descriptors: peak.descriptors.max(now.descriptors),
            ..now
        };
    }
    FrontEndResults {
        answers,
        slowest_pair_ms,
        peak,
    }
}

/// A front end that follows the protocol is served next to 400 silent connections and 100 clients
/// that send hundreds of requests at once, and more as soon as they are rejected. Guards against
/// two threads per connection: the node had 900 threads and spent its share of a core on switching
/// between them.
#[test]
fn silent_and_flooding_clients_do_not_delay_a_front_end() {
    let node = start_small_node();
    let mut client = node.connect();
    assert!(client.request(READ_CLASS, "serve")["result"].is_object());
    let silent_connections: Vec<TcpStream> = (0..400)
        .map(|_| TcpStream::connect(node.address).expect("the node accepts the connection"))
        .collect();
    let floods: Vec<_> = (0..100)
        .map(|n| spawn_flooding_client(&node, n, 200))
        .collect();
    let results = send_until_clients_finish(&node, &mut client, &floods);
    // The flood may fill the queue, so requests may be rejected; but each request is answered and
    // each connection accepted.
    for answer in &results.answers {
        assert!(
            answer["result"].is_object() || error_code(answer) == REJECTED,
            "{answer}"
        );
    }
    // Each request has to be answered within its deadline.
    assert!(
        results.slowest_pair_ms < 2 * 1600,
        "two requests took {} ms",
        results.slowest_pair_ms
    );
    for flood in floods {
        let first_answer_ms = flood.join().expect("a client");
        assert!(
            first_answer_ms < 3000,
            "a flooding client had no answer for {first_answer_ms} ms"
        );
    }
    assert!(results.peak.threads < 80, "{:?}", results.peak);
    assert!(results.peak.descriptors < 512, "{:?}", results.peak);
    wait_until("requests are served after the flood", || {
        client.request(READ_CLASS, "serve")["result"].is_object()
    });
    // The silent connections get at most a close notice and are closed.
    for mut stream in silent_connections {
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("the socket option is set");
        let mut received = String::new();
        let _ = std::io::Read::read_to_string(&mut stream, &mut received);
        assert!(
            received.is_empty() || received.contains("farewell"),
            "{received}"
        );
    }
    wait_until("all descriptors are free", || {
        node.usage().descriptors < 100
    });
}

/// The listener reads from the connections in turns: while one sends 200,000 lines without a pause,
/// health checks on another are answered.
#[test]
fn flooding_connection_does_not_delay_another() {
    let node = start_small_node();
    let mut client = node.connect();
    // Health checks do not reach the policy, so only the reading is tested.
    let line = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n";
    let mut flood = TcpStream::connect(node.address).expect("the node accepts the connection");
    let all = line.repeat(200_000);
    let reader = BufReader::new(flood.try_clone().expect("a connection"));
    let writing = thread::spawn(move || flood.write_all(all.as_bytes()).map(|()| flood));
    let reading = thread::spawn(move || reader.lines().map_while(Result::ok).take(200_000).count());
    let mut answered = 0;
    while !reading.is_finished() {
        assert!(client.query_alive()["result"]["ready"] == true);
        answered += 1;
    }
    assert_eq!(reading.join().expect("a reader"), 200_000);
    writing
        .join()
        .expect("a writer")
        .expect("the node reads all lines");
    assert!(
        answered > 20,
        "{answered} answers while another connection flooded the node"
    );
}

/// Writes a request in eleven pieces, 200 ms apart.
fn write_in_pieces(client: &mut TestClient, number: u64) {
    let params = json!({"rid": format!("{number:016x}"), "t0": unix_ms(), "peer": 4, "acct": "alpenergia",
                        "mem": 24.5, "prio": 0.5, "body": encode_base64(&format!("serve:slow{number}"))});
    let request = json!({"jsonrpc": "2.0", "id": 1, "method": READ_CLASS, "params": params});
    let line = request.to_string() + "\n";
    for piece in line.as_bytes().chunks(line.len().div_ceil(11)) {
        client
            .stream
            .write_all(piece)
            .expect("the connection stays open");
        thread::sleep(Duration::from_millis(200));
    }
}

/// Eight clients take 2 s to write a request, among a thousand silent connections that compete for
/// connection slots. Guards against closing a connection 2 s after it was accepted, with its
/// request partly read.
#[test]
fn slowly_written_requests_are_served_among_a_thousand_silent_connections() {
    let node = Node::start_with(None, |config| {
        config["limits"]["sockets"] = json!(192);
        // The time to write the request counts into its age, hence the long deadlines.
        config["settings"]["lanes"][0]["promise"] = json!(9000);
        config["settings"]["lanes"][0]["deadline"] = json!(12000);
    });
    let address = node.address;
    thread::scope(|scope| {
        let slow_clients: Vec<_> = (0..8)
            .map(|n| {
                scope.spawn(move || {
                    let mut client = TestClient::connect(address);
                    write_in_pieces(&mut client, n);
                    client.read_answer()
                })
            })
            .collect();
        let silent_connections = (0..1000).map(|_| {
            thread::sleep(Duration::from_millis(2));
            TcpStream::connect(address).expect("the node accepts the connection")
        });
        let _silent_connections: Vec<TcpStream> = silent_connections.collect();
        for (n, slow_clients) in slow_clients.into_iter().enumerate() {
            let answer = slow_clients.join().expect("an answer");
            assert_eq!(result_body(&answer), format!("done serve:slow{n}"));
        }
    });
}

/// Prints a row for each number of idle connections: threads, descriptors, memory, processor time
/// over two seconds in which one front end sends requests, and the latency of these.
/// `docs/front.md` has the rows and the command; `GATEWAY_PROGRAM` names an earlier build to
/// compare with.
#[test]
#[ignore = "a measurement"]
fn measure_idle_connections() {
    println!(
        "idle | threads | descriptors | resident kB | processor ms in 2 s | a request, µs (median, 99th)"
    );
    for idle in [0, 100, 400] {
        let node = Node::start();
        let connect_and_check = |_| {
            let mut client = node.connect();
            client.query_alive();
            client
        };
        let open: Vec<TestClient> = (0..idle).map(connect_and_check).collect();
        let mut client = node.connect();
        let before = node.usage();
        let started_at = Instant::now();
        let mut latencies_us = Vec::new();
        while started_at.elapsed() < Duration::from_secs(2) {
            let sent = Instant::now();
            let id = client.send(READ_CLASS, "serve");
            // A close notice may come first if more connections are idle than the node keeps.
            while client.read_message()["id"] != id {}
            latencies_us.push(sent.elapsed().as_micros());
            thread::sleep(Duration::from_millis(4));
        }
        let processor_ms = node.usage().processor_ms - before.processor_ms;
        drop(open);
        latencies_us.sort_unstable();
        let percentile =
            |fraction: f64| latencies_us[(latencies_us.len() as f64 * fraction) as usize];
        println!(
            "{idle} | {} | {} | {} | {processor_ms} | {} | {}",
            before.threads,
            before.descriptors,
            before.resident_kb,
            percentile(0.5),
            percentile(0.99)
        );
    }
}
