//! Tests of the router between clients and fake nodes on loopback. The body of a request determines
//! how a fake node handles it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use clock::UnixTime;
use router::{Config, ConfigError, RouterHandle, RouterLoop};
use routing::RoutingSettings;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};

fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out: {condition}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A node that records its requests and handles each as the body says: `serve`, `reject`,
/// `reject-final` (with the flag `final`), `fail`, `close` (closes the connection) or `hang` (never
/// answers). With `@NAME` appended, only the node of that name does so and the others serve.
struct FakeNode {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Value>>>,
}

impl FakeNode {
    fn start(name: &str) -> FakeNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback socket is bound");
        let address = listener.local_addr().expect("the socket has an address");
        let requests: Arc<Mutex<Vec<Value>>> = Arc::default();
        let (name, recorded) = (name.to_string(), requests.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_nodelay(true).expect("the socket option is set");
                let (name, recorded) = (name.clone(), recorded.clone());
                thread::spawn(move || FakeNode::serve(&stream, &name, &recorded));
            }
        });
        FakeNode { address, requests }
    }
    fn serve(stream: &TcpStream, name: &str, requests: &Mutex<Vec<Value>>) {
        let mut writer = stream;
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let request: Value = serde_json::from_str(&line).expect("the line is JSON");
            let id = &request["id"];
            if request["method"] == "alive" {
                let answer = json!({"jsonrpc": "2.0", "id": id, "result": {"ready": true}});
                let _ = writer.write_all(format!("{answer}\n").as_bytes());
                continue;
            }
            requests.lock().expect("not poisoned").push(request.clone());
            let body = request["params"]["body"]
                .as_str()
                .expect("the body is a string");
            let (action, node) = body.split_once('@').unwrap_or((body, name));
            let error = |code: i64, data: Value| json!({"code": code, "message": "test error", "data": data});
            let mut answer = match action {
                _ if node != name => json!({"result": {"body": name, "hint": 0.5}}),
                "reject" => json!({"error": error(-32002, json!({"backoff": 70}))}),
                "reject-final" => {
                    json!({"error": error(-32002, json!({"backoff": 250, "final": 1, "hint": 0.25}))})
                }
                "fail" => json!({"error": error(-32000, json!({}))}),
                "close" => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                "hang" => continue,
                _ => json!({"result": {"body": name, "hint": 0.5}}),
            };
            (answer["jsonrpc"], answer["id"]) = (json!("2.0"), id.clone());
            let _ = writer.write_all(format!("{answer}\n").as_bytes());
        }
    }
    fn received(&self) -> Vec<Value> {
        self.requests.lock().expect("not poisoned").clone()
    }
}

struct TestSetup {
    nodes: BTreeMap<String, FakeNode>,
    router: RouterHandle,
    router_thread: Option<thread::JoinHandle<std::io::Result<()>>>,
    dir: tempfile::TempDir,
}

const TENANTS: &str = "alpenergia: { cell: 'a' }, solpiana: { cell: 'b' }";

impl TestSetup {
    /// Starts two cells with three nodes each, and a router in front of them.
    fn start() -> TestSetup {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let names = ["a0", "a1", "a2", "b0", "b1", "b2"];
        let nodes: BTreeMap<String, FakeNode> = names
            .iter()
            .map(|n| (n.to_string(), FakeNode::start(n)))
            .collect();
        std::fs::write(dir.path().join("cells.json5"), TestSetup::cells(&nodes))
            .expect("the cells file is written");
        let classes = "'statement-read': { once: false, deadline_ms: 3000 }, 'settlement-post': { once: true, deadline_ms: 1000 }";
        let file = format!(
            "{{ version: 1, listen: '127.0.0.1:0', cells: 'cells.json5', classes: {{ {classes} }} }}"
        );
        std::fs::write(dir.path().join("router.json5"), file)
            .expect("the router's file is written");
        let config =
            Config::read(&dir.path().join("router.json5")).expect("the configuration is valid");
        let router = RouterLoop::bind(
            config,
            RoutingSettings::default(),
            7,
            &Logger::root(Discard, o!()),
        )
        .expect("the router starts");
        let handle = router.handle();
        let router_thread = Some(thread::spawn(move || router.run()));
        let setup = TestSetup {
            nodes,
            router: handle,
            router_thread,
            dir,
        };
        // Wait until every node is known to be available, that is, until all nodes of both cells
        // have served a request.
        for tenant in ["alpenergia", "solpiana"] {
            let mut client = setup.client();
            let cell = if tenant == "solpiana" { "b" } else { "a" };
            wait_until("all nodes serve", || {
                client.request(tenant, "statement-read", "serve");
                (0..3).all(|n| !setup.nodes[&format!("{cell}{n}")].received().is_empty())
            });
        }
        setup
    }
    fn cells(nodes: &BTreeMap<String, FakeNode>) -> String {
        let node = |(name, node): (&String, &FakeNode)| {
            format!(
                "{name}: {{ site: 's{}', cell: '{}', address: '{}' }}",
                &name[1..],
                &name[..1],
                node.address
            )
        };
        let nodes: Vec<String> = nodes.iter().map(node).collect();
        format!("{{ version: 1, slack: 1, cells: {{ a: {{}}, b: {{}} }}, nodes: {{ {} }}, tenants: {{ {TENANTS} }} }}", nodes.join(", "))
    }
    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.router.address).expect("the router listens");
        stream.set_nodelay(true).expect("the socket option is set");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("the socket option is set");
        Client {
            reader: BufReader::new(stream.try_clone().expect("the stream is cloned")),
            stream,
            last_id: 0,
        }
    }
    /// Returns the nodes that requests with this body have reached, one entry for each request.
    fn received(&self, body: &str) -> Vec<String> {
        let entries = |(name, node): (&String, &FakeNode)| {
            let count = node
                .received()
                .iter()
                .filter(|request| request["params"]["body"] == body)
                .count();
            vec![name.clone(); count]
        };
        self.nodes.iter().flat_map(entries).collect()
    }
}
impl Drop for TestSetup {
    fn drop(&mut self) {
        self.router.stop();
        if let Some(router_thread) = self.router_thread.take() {
            let result = router_thread.join();
            if !thread::panicking() {
                result
                    .expect("the router does not panic")
                    .expect("the router ends without an error");
            }
        }
    }
}

struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    last_id: u64,
}
impl Client {
    fn send(&mut self, tenant: &str, class: &str, body: &str) -> u64 {
        self.last_id += 1;
        let t0 = UnixTime::now().whole_ms();
        let params = json!({"rid": format!("{:016x}", self.last_id), "t0": t0, "peer": 4, "acct": tenant, "mem": 24.5,
                            "prio": 0.5, "body": body});
        let line = json!({"jsonrpc": "2.0", "id": self.last_id, "method": class, "params": params});
        self.stream
            .write_all(format!("{line}\n").as_bytes())
            .expect("the request is written");
        self.last_id
    }
    fn receive(&mut self) -> Value {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Value::Null,
            Ok(_) => serde_json::from_str(&line).expect("the line is JSON"),
            Err(e) => panic!("no line received: {e}"),
        }
    }
    fn request(&mut self, tenant: &str, class: &str, body: &str) -> Value {
        let id = self.send(tenant, class, body);
        let answer = self.receive();
        assert_eq!(answer["id"], id);
        answer
    }
}

/// Each tenant's requests reach the nodes of its own cell only, and a node's answer reaches the
/// client unchanged except for its id.
#[test]
fn requests_reach_their_cell_and_answers_come_back_unchanged() {
    let setup = TestSetup::start();
    let mut client = setup.client();
    for n in 0..200 {
        let (tenant, cell) = if n % 2 == 0 {
            ("alpenergia", "a")
        } else {
            ("solpiana", "b")
        };
        let answer = client.request(tenant, "statement-read", "serve");
        assert!(
            answer["result"]["body"]
                .as_str()
                .expect("the body is a string")
                .starts_with(cell),
            "{answer}"
        );
        assert_eq!(answer["result"]["hint"], 0.5);
    }
    for (name, node) in &setup.nodes {
        let tenant = if name.starts_with('a') {
            "alpenergia"
        } else {
            "solpiana"
        };
        assert!(
            node.received()
                .iter()
                .all(|request| request["params"]["acct"] == tenant),
            "{name}"
        );
    }
    let answer = client.request("alpenergia", "settlement-post", "reject-final");
    assert_eq!(
        answer["error"],
        json!({"code": -32002, "message": "test error", "data": {"backoff": 250, "final": 1, "hint": 0.25}})
    );
    assert_eq!(
        setup.received("reject-final").len(),
        1,
        "no other node is tried"
    );
    let answer = client.request("nobody", "statement-read", "serve:nobody");
    assert_eq!(
        (
            answer["error"]["code"].as_i64(),
            setup.received("serve:nobody").len()
        ),
        (Some(-32002), 0)
    );
    let sent_ids: Vec<u64> = (0..32)
        .map(|_| client.send("solpiana", "statement-read", "serve"))
        .collect();
    let mut answered_ids: Vec<u64> = sent_ids
        .iter()
        .map(|_| client.receive()["id"].as_u64().expect("the id is a number"))
        .collect();
    answered_ids.sort_unstable();
    assert_eq!(answered_ids, sent_ids);
}

/// A settlement whose connection broke may have run and is never retried. A read is retried then,
/// and so is a rejected settlement.
#[test]
fn requests_that_may_have_run_are_retried_only_if_idempotent() {
    let setup = TestSetup::start();
    let mut client = setup.client();
    for round in 0..10 {
        let answer = client.request("alpenergia", "settlement-post", "close");
        assert_eq!(
            (
                answer["error"]["code"].as_i64(),
                answer["error"]["message"].as_str()
            ),
            (Some(-32000), Some("may have run"))
        );
        assert_eq!(setup.received("close").len(), round + 1);
        if round == 1 {
            break;
        }
    }
    let answer = client.request("solpiana", "statement-read", "close@b0");
    assert!(answer["result"].is_object(), "{answer}");
    // Repeat until the node that rejects was tried; another node serves the request each time.
    wait_until("the node that rejects is tried", || {
        let answer = client.request("solpiana", "settlement-post", "reject@b1");
        assert!(answer["result"].is_object(), "{answer}");
        setup.received("reject@b1").contains(&"b1".to_string())
    });
    // If all nodes reject, the client gets the answer of the last one.
    let answer = client.request("solpiana", "settlement-post", "reject");
    assert_eq!(answer["error"]["data"]["backoff"], 70);
    // A node's error is returned without a retry.
    let answer = client.request("solpiana", "statement-read", "fail");
    assert_eq!(
        (
            answer["error"]["code"].as_i64(),
            setup.received("fail").len()
        ),
        (Some(-32000), 1)
    );
}

/// A request whose node never answers fails at its deadline and is reported as possibly run.
#[test]
fn a_request_without_an_answer_fails_at_its_deadline() {
    let setup = TestSetup::start();
    let mut client = setup.client();
    let started_at = Instant::now();
    let answer = client.request("alpenergia", "settlement-post", "hang");
    assert_eq!(answer["error"]["message"], "may have run");
    assert!(
        (900..2500).contains(&started_at.elapsed().as_millis()),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(setup.received("hang").len(), 1);
    assert!(client.request("alpenergia", "settlement-post", "serve")["result"].is_object());
}

/// Reloading an invalid cells file changes nothing; reloading a valid one with another tenant does.
#[test]
fn an_invalid_cells_file_leaves_the_previous_layout_in_use() {
    let setup = TestSetup::start();
    let mut client = setup.client();
    let cells = setup.dir.path().join("cells.json5");
    let valid = std::fs::read_to_string(&cells).expect("the cells file is read");
    std::fs::write(&cells, &valid[..valid.len() / 2]).expect("the cells file is written");
    setup.router.reload();
    for tenant in ["alpenergia", "solpiana"] {
        assert!(client.request(tenant, "statement-read", "serve")["result"].is_object());
    }
    assert!(matches!(
        Config::read_layout(&cells),
        Err(ConfigError::File(_))
    ));
    std::fs::write(
        &cells,
        valid.replace(
            "solpiana: { cell: 'b' }",
            "solpiana: { cell: 'b' }, vallesole: { cell: 'a' }",
        ),
    )
    .expect("the cells file is written");
    setup.router.reload();
    wait_until("the new tenant is served", || {
        client.request("vallesole", "statement-read", "serve")["result"].is_object()
    });
}

/// A line that violates the protocol is answered with an error and its connection is closed;
/// nothing of it reaches a node.
#[test]
fn malformed_input_gets_an_error_and_closes_the_connection() {
    let setup = TestSetup::start();
    for (line, code) in [
        ("{", -32600),
        ("{\"id\":1,\"method\":\"alive\"}", -32600),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"nonsense\"}", -32601),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"statement-read\",\"params\":{\"body\":\"malformed\"}}",
            -32602,
        ),
    ] {
        let mut client = setup.client();
        writeln!(client.stream, "{line}").expect("the line is written");
        assert_eq!(client.receive()["error"]["code"], code, "{line}");
        assert_eq!(client.receive(), Value::Null, "closed after {line}");
    }
    assert!(setup.received("malformed").is_empty());
}

/// Measures the latency that the router adds to a request and its throughput, and prints them.
#[test]
#[ignore = "a measurement"]
fn latency_and_throughput_of_the_router() {
    let setup = TestSetup::start();
    let measure = |address: SocketAddr| {
        let stream = TcpStream::connect(address).expect("the address accepts connections");
        stream.set_nodelay(true).expect("the socket option is set");
        let mut client = Client {
            reader: BufReader::new(stream.try_clone().expect("the stream is cloned")),
            stream,
            last_id: 0,
        };
        let mut latencies_us: Vec<u128> = (0..20_000)
            .map(|_| {
                let sent_at = Instant::now();
                client.request("alpenergia", "statement-read", "serve");
                sent_at.elapsed().as_nanos() / 1000
            })
            .collect();
        latencies_us.sort_unstable();
        (
            latencies_us[latencies_us.len() / 2],
            latencies_us[latencies_us.len() * 99 / 100],
        )
    };
    println!("path | µs median | µs 99th");
    for round in 0..3 {
        let (direct, routed) = (
            measure(setup.nodes["a0"].address),
            measure(setup.router.address),
        );
        println!("direct {round} | {} | {}", direct.0, direct.1);
        println!("routed {round} | {} | {}", routed.0, routed.1);
    }
    // Throughput: eight concurrent connections with 16 open requests each.
    let started_at = Instant::now();
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let mut client = setup.client();
            thread::spawn(move || {
                for _ in 0..16 {
                    client.send("solpiana", "statement-read", "serve");
                }
                for _ in 0..20_000 {
                    assert!(client.receive()["result"].is_object());
                    client.send("solpiana", "statement-read", "serve");
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("the client does not panic");
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    println!(
        "{:.0} requests a second over eight connections, with fake nodes and clients in the same process",
        160_000.0 / elapsed_s
    );
}
