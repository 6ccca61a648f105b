//! The router between clients and stand-in nodes, on loopback. What a node does is told by the request's body.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use router::{Config, ConfigError, RouterHandle, RouterLoop};
use routing::RoutingSettings;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A node that keeps what it was asked and does as the body says: `serve`, `refuse`, `last`, `fail`, `cut`, `hang`, each
/// with `@NAME` where only the node of that name does so and the others serve.
struct Node {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Value>>>,
}

impl Node {
    fn start(name: &str) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address = listener.local_addr().expect("bound");
        let seen: Arc<Mutex<Vec<Value>>> = Arc::default();
        let (name, kept) = (name.to_string(), seen.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_nodelay(true).expect("an option");
                let (name, kept) = (name.clone(), kept.clone());
                thread::spawn(move || Node::serve(&stream, &name, &kept));
            }
        });
        Node { address, seen }
    }
    fn serve(stream: &TcpStream, name: &str, kept: &Mutex<Vec<Value>>) {
        let mut to = stream;
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let call: Value = serde_json::from_str(&line).expect("a message");
            let id = &call["id"];
            if call["method"] == "alive" {
                let answer = json!({"jsonrpc": "2.0", "id": id, "result": {"ready": true}});
                let _ = to.write_all(format!("{answer}\n").as_bytes());
                continue;
            }
            kept.lock().expect("kept").push(call.clone());
            let body = call["params"]["body"].as_str().expect("a body");
            let (what, at) = body.split_once('@').unwrap_or((body, name));
            let error =
                |code: i64, data: Value| json!({"code": code, "message": "told", "data": data});
            let answer = match what {
                _ if at != name => json!({"result": {"body": name, "hint": 0.5}}),
                "refuse" => json!({"error": error(-32002, json!({"backoff": 70}))}),
                "last" => {
                    json!({"error": error(-32002, json!({"backoff": 250, "final": 1, "hint": 0.25}))})
                }
                "fail" => json!({"error": error(-32000, json!({}))}),
                "cut" => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                "hang" => continue,
                _ => json!({"result": {"body": name, "hint": 0.5}}),
            };
            let mut answer = answer;
            (answer["jsonrpc"], answer["id"]) = (json!("2.0"), id.clone());
            let _ = to.write_all(format!("{answer}\n").as_bytes());
        }
    }
    fn seen(&self) -> Vec<Value> {
        self.seen.lock().expect("kept").clone()
    }
}

struct Fleet {
    nodes: BTreeMap<String, Node>,
    router: RouterHandle,
    running: Option<thread::JoinHandle<std::io::Result<()>>>,
    dir: PathBuf,
}

const TENANTS: &str = "alpenergia: { cell: 'a' }, solpiana: { cell: 'b' }";

impl Fleet {
    /// Two cells of three nodes and a router in front.
    fn start(name: &str) -> Fleet {
        let dir = std::env::temp_dir().join(format!(
            "protocol-gateway-router-{}-{name}",
            std::process::id()
        ));
        std::fs::create_dir_all(&dir).expect("a folder");
        let names = ["a0", "a1", "a2", "b0", "b1", "b2"];
        let nodes: BTreeMap<String, Node> = names
            .iter()
            .map(|n| (n.to_string(), Node::start(n)))
            .collect();
        std::fs::write(dir.join("cells.json5"), Fleet::cells(&nodes)).expect("a file");
        let classes = "'statement-read': { once: false, deadline_ms: 3000 }, 'settlement-post': { once: true, deadline_ms: 1000 }";
        let file = format!(
            "{{ version: 1, listen: '127.0.0.1:0', cells: 'cells.json5', classes: {{ {classes} }} }}"
        );
        std::fs::write(dir.join("router.json5"), file).expect("a file");
        let config = Config::read(&dir.join("router.json5")).expect("a configuration");
        let router = RouterLoop::bind(
            config,
            RoutingSettings::default(),
            7,
            &Logger::root(Discard, o!()),
        )
        .expect("a router");
        let handle = router.handle();
        let running = Some(thread::spawn(move || router.run()));
        let fleet = Fleet {
            nodes,
            router: handle,
            running,
            dir,
        };
        // Until every node has been heard: tenants of both cells are served, by all of their nodes.
        for tenant in ["alpenergia", "solpiana"] {
            let mut front = fleet.front();
            let cell = if tenant == "solpiana" { "b" } else { "a" };
            until("all nodes serve", || {
                front.ask(tenant, "statement-read", "serve");
                (0..3).all(|n| !fleet.nodes[&format!("{cell}{n}")].seen().is_empty())
            });
        }
        fleet
    }
    fn cells(nodes: &BTreeMap<String, Node>) -> String {
        let node = |(name, node): (&String, &Node)| {
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
    fn front(&self) -> Front {
        let stream = TcpStream::connect(self.router.address).expect("the router listens");
        stream.set_nodelay(true).expect("an option");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("an option");
        Front {
            from: BufReader::new(stream.try_clone().expect("a connection")),
            stream,
            next: 0,
        }
    }
    /// How often requests with this body reached any node, and which.
    fn seen(&self, body: &str) -> Vec<String> {
        let of = |(name, node): (&String, &Node)| {
            let count = node
                .seen()
                .iter()
                .filter(|call| call["params"]["body"] == body)
                .count();
            vec![name.clone(); count]
        };
        self.nodes.iter().flat_map(of).collect()
    }
}
impl Drop for Fleet {
    fn drop(&mut self) {
        self.router.stop();
        if let Some(running) = self.running.take() {
            let ended = running.join();
            if !thread::panicking() {
                ended.expect("no panic").expect("it ends well");
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

struct Front {
    stream: TcpStream,
    from: BufReader<TcpStream>,
    next: u64,
}
impl Front {
    fn send(&mut self, tenant: &str, class: &str, body: &str) -> u64 {
        self.next += 1;
        let t0 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock")
            .as_millis() as u64;
        let params = json!({"rid": format!("{:016x}", self.next), "t0": t0, "peer": 4, "acct": tenant, "mem": 24.5,
                            "prio": 0.5, "body": body});
        let line = json!({"jsonrpc": "2.0", "id": self.next, "method": class, "params": params});
        self.stream
            .write_all(format!("{line}\n").as_bytes())
            .expect("written");
        self.next
    }
    fn next(&mut self) -> Value {
        let mut line = String::new();
        match self.from.read_line(&mut line) {
            Ok(0) => Value::Null,
            Ok(_) => serde_json::from_str(&line).expect("JSON"),
            Err(e) => panic!("no message: {e}"),
        }
    }
    fn ask(&mut self, tenant: &str, class: &str, body: &str) -> Value {
        let id = self.send(tenant, class, body);
        let answer = self.next();
        assert_eq!(answer["id"], id);
        answer
    }
}

/// Guards the cells: each tenant's requests reach its own cell's nodes, and what a node says goes through unchanged.
#[test]
fn requests_reach_their_cell_and_answers_come_back_unchanged() {
    let fleet = Fleet::start("cells");
    let mut front = fleet.front();
    for n in 0..200 {
        let (tenant, cell) = if n % 2 == 0 {
            ("alpenergia", "a")
        } else {
            ("solpiana", "b")
        };
        let answer = front.ask(tenant, "statement-read", "serve");
        assert!(
            answer["result"]["body"]
                .as_str()
                .expect("a body")
                .starts_with(cell),
            "{answer}"
        );
        assert_eq!(answer["result"]["hint"], 0.5);
    }
    for (name, node) in &fleet.nodes {
        let tenant = if name.starts_with('a') {
            "alpenergia"
        } else {
            "solpiana"
        };
        assert!(
            node.seen()
                .iter()
                .all(|call| call["params"]["acct"] == tenant),
            "{name}"
        );
    }
    let answer = front.ask("alpenergia", "settlement-post", "last");
    assert_eq!(
        answer["error"],
        json!({"code": -32002, "message": "told", "data": {"backoff": 250, "final": 1, "hint": 0.25}})
    );
    assert_eq!(fleet.seen("last").len(), 1, "no other node is tried");
    let answer = front.ask("nobody", "statement-read", "serve:nobody");
    assert_eq!(
        (
            answer["error"]["code"].as_i64(),
            fleet.seen("serve:nobody").len()
        ),
        (Some(-32002), 0)
    );
    let many: Vec<u64> = (0..32)
        .map(|_| front.send("solpiana", "statement-read", "serve"))
        .collect();
    let mut answered: Vec<u64> = many
        .iter()
        .map(|_| front.next()["id"].as_u64().expect("a number"))
        .collect();
    answered.sort_unstable();
    assert_eq!(answered, many);
}

/// Guards the single effect: a settlement whose connection broke may have run and is never sent again; a read is, and a
/// refused settlement too.
#[test]
fn what_may_have_run_is_sent_again_for_reads_only() {
    let fleet = Fleet::start("again");
    let mut front = fleet.front();
    for round in 0..10 {
        let answer = front.ask("alpenergia", "settlement-post", "cut");
        assert_eq!(
            (
                answer["error"]["code"].as_i64(),
                answer["error"]["message"].as_str()
            ),
            (Some(-32000), Some("may have run"))
        );
        assert_eq!(fleet.seen("cut").len(), round + 1);
        if round == 1 {
            break;
        }
    }
    let answer = front.ask("solpiana", "statement-read", "cut@b0");
    assert!(answer["result"].is_object(), "{answer}");
    // Asked until the node that refuses had its turn: another one served it.
    until("the one that refuses is asked", || {
        let answer = front.ask("solpiana", "settlement-post", "refuse@b1");
        assert!(answer["result"].is_object(), "{answer}");
        fleet.seen("refuse@b1").contains(&"b1".to_string())
    });
    // All refuse: the last one's words go through.
    let answer = front.ask("solpiana", "settlement-post", "refuse");
    assert_eq!(answer["error"]["data"]["backoff"], 70);
    // A node's failure is the answer.
    let answer = front.ask("solpiana", "statement-read", "fail");
    assert_eq!(
        (answer["error"]["code"].as_i64(), fleet.seen("fail").len()),
        (Some(-32000), 1)
    );
}

/// Guards the one answer: a request whose node says nothing is answered at its deadline, as what it may be.
#[test]
fn what_hangs_is_answered_at_its_deadline() {
    let fleet = Fleet::start("hangs");
    let mut front = fleet.front();
    let begun = Instant::now();
    let answer = front.ask("alpenergia", "settlement-post", "hang");
    assert_eq!(answer["error"]["message"], "may have run");
    assert!(
        (900..2500).contains(&begun.elapsed().as_millis()),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(fleet.seen("hang").len(), 1);
    assert!(front.ask("alpenergia", "settlement-post", "serve")["result"].is_object());
}

/// Guards the last good map: a broken file at reload changes nothing; a good one that has fewer nodes does.
#[test]
fn a_broken_file_of_cells_leaves_the_last_good_one_in_force() {
    let fleet = Fleet::start("reload");
    let mut front = fleet.front();
    let cells = fleet.dir.join("cells.json5");
    let good = std::fs::read_to_string(&cells).expect("a file");
    std::fs::write(&cells, &good[..good.len() / 2]).expect("a file");
    fleet.router.reload();
    for tenant in ["alpenergia", "solpiana"] {
        assert!(front.ask(tenant, "statement-read", "serve")["result"].is_object());
    }
    assert!(matches!(
        Config::read_layout(&cells),
        Err(ConfigError::File(_))
    ));
    std::fs::write(
        &cells,
        good.replace(
            "solpiana: { cell: 'b' }",
            "solpiana: { cell: 'b' }, vallesole: { cell: 'a' }",
        ),
    )
    .expect("a file");
    fleet.router.reload();
    until("the new tenant is served", || {
        front.ask("vallesole", "statement-read", "serve")["result"].is_object()
    });
}

/// Guards clients: what breaks the protocol is told so and closed, and nothing of it reaches a node.
#[test]
fn malformed_input_gets_an_error_and_a_close() {
    let fleet = Fleet::start("malformed");
    for (line, code) in [
        ("{", -32600),
        ("{\"id\":1,\"method\":\"alive\"}", -32600),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"nonsense\"}", -32601),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"statement-read\",\"params\":{\"body\":\"odd\"}}",
            -32602,
        ),
    ] {
        let mut front = fleet.front();
        writeln!(front.stream, "{line}").expect("written");
        assert_eq!(front.next()["error"]["code"], code, "{line}");
        assert_eq!(front.next(), Value::Null, "closed after {line}");
    }
    assert!(fleet.seen("odd").is_empty());
}

/// What the router adds to a request, and what it does on its thread's processor time. Prints rows.
#[test]
#[ignore = "a measurement"]
fn what_the_router_adds() {
    let fleet = Fleet::start("adds");
    let times = |to: SocketAddr| {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_nodelay(true).expect("an option");
        let mut front = Front {
            from: BufReader::new(stream.try_clone().expect("a connection")),
            stream,
            next: 0,
        };
        let mut took: Vec<u128> = (0..20_000)
            .map(|_| {
                let sent = Instant::now();
                front.ask("alpenergia", "statement-read", "serve");
                sent.elapsed().as_nanos() / 1000
            })
            .collect();
        took.sort_unstable();
        (took[took.len() / 2], took[took.len() * 99 / 100])
    };
    println!("way | µs median | µs 99th");
    for round in 0..3 {
        let (direct, routed) = (
            times(fleet.nodes["a0"].address),
            times(fleet.router.address),
        );
        println!("direct {round} | {} | {}", direct.0, direct.1);
        println!("routed {round} | {} | {}", routed.0, routed.1);
    }
    // All at once, 16 open on each of eight connections.
    let begun = Instant::now();
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let mut front = fleet.front();
            thread::spawn(move || {
                for _ in 0..16 {
                    front.send("solpiana", "statement-read", "serve");
                }
                for _ in 0..20_000 {
                    assert!(front.next()["result"].is_object());
                    front.send("solpiana", "statement-read", "serve");
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client");
    }
    let each = begun.elapsed().as_secs_f64();
    println!(
        "{:.0} requests a second over eight connections, stand-ins and clients beside it",
        160_000.0 / each
    );
}
