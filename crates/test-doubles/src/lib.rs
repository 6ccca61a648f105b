//! Stand-ins for all that a node talks to, on loopback, and the node itself as a process. What a run does is told
//! by the request's body: `serve`, `fail`, `bad`, `hang`, or `call:BODY` to make a call with that body first.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::{json, Value};

/// The longest that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds, and fails the test if it never does.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

pub fn base64(text: &str) -> String {
    STANDARD.encode(text)
}
pub fn unbase64(text: &str) -> String {
    String::from_utf8(STANDARD.decode(text).expect("base64")).expect("utf-8")
}
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock")
        .as_millis() as u64
}

/// The settings of a small site. The deadlines are short, so that what is late shows soon.
pub fn settings() -> Value {
    let lane = |name: &str, effect: &str, worth: f64| {
        json!({"name": name, "promise": 1000.0, "deadline": 1500.0, "effect": effect, "lateWorth": 0.2,
               "window": 5000.0, "worth": worth})
    };
    json!({
        "round": 4.0, "servers": 2, "worthBy": "request", "overShareWorth": 0.1,
        "lanes": [lane("statement-read", "repeatable", 1.0), lane("settlement-post", "once", 3.0)],
        "tenants": [{"name": "alpenergia", "allowancePerS": 50.0}],
        "policyLimits": {"maxRetryAfter": 1000.0},
        "invariants": {"answerSlack": 100.0, "startCapacity": 0.22, "warmUp": 18000.0, "drainGrace": 500.0,
                       "fallMultiple": 8.0, "fall": 3000.0},
        "specifics": {"upstreams": 3, "callerIdle": 30000.0, "callsOut": 5.0, "classCalls": [true, true],
                      "classSkipWorth": [0.0, 0.0], "cold": false, "cores": 6, "dependsOn": "one_for_all",
                      "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "halt": "discard",
                      "heardFor": 1000.0, "registryFollows": false, "heapKb": 26622.0, "keyKb": 133.24,
                      "linger": 200.0, "runFactor": 8.0, "say": "weight", "shareFor": 0.0, "shareSpan": 5000.0},
    })
}

/// A lock that only a panic of another thread of the test can spoil.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("a stand-in failed")
}

/// A server on loopback: `each` gets every connection, on a thread of its own.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("loopback");
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            stream.set_nodelay(true).expect("an option");
            thread::spawn(move || each(stream));
        }
    });
    address
}

/// What reads the links at one place of the executor.
fn serve_links(shared: Arc<Mutex<Runs>>) -> SocketAddr {
    serve(move |stream| {
        for line in BufReader::new(stream.try_clone().expect("a link"))
            .lines()
            .map_while(Result::ok)
        {
            let command: Value = serde_json::from_str(&line).expect("a command");
            let mut state = lock(&shared);
            if command["action"] == "JOIN" {
                let from = command["pos"].as_u64().expect("a number");
                state.joins.push(from);
                state.link = Some(stream.try_clone().expect("a link"));
                state.write("{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":5}\n");
                let missed: String = state.notices.iter().skip(from as usize).cloned().collect();
                state.write(&missed);
            } else {
                state.command(&command);
            }
        }
    })
}

#[derive(Default)]
struct Runs {
    /// How often each body was run.
    runs: HashMap<String, usize>,
    /// Bodies of what runs now, by id, and whether it waits for a call.
    running: HashMap<String, (String, bool)>,
    killed: usize,
    joins: Vec<u64>,
    /// All notices so far; the first has the number 1.
    notices: Vec<String>,
    link: Option<TcpStream>,
    /// The next command to run is lost with its link.
    lose: bool,
}

impl Runs {
    fn tell(&mut self, mut notice: Value) {
        notice["pos"] = json!(self.notices.len() + 1);
        let line = format!("{notice}\n");
        self.write(&line);
        self.notices.push(line);
    }
    fn write(&self, line: &str) {
        if let Some(mut link) = self.link.as_ref() {
            let _ = link.write_all(line.as_bytes());
        }
    }
    fn exit(&mut self, uid: &str, code: &str, content: Option<&str>) {
        if self.running.remove(uid).is_some() {
            let content = content.map(base64);
            self.tell(
                json!({"action": "EXIT", "uid": uid, "code": code, "wall_ms": 1.0, "content": content}),
            );
        }
    }
    fn break_link(&mut self) {
        if let Some(link) = self.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }
    fn command(&mut self, command: &Value) {
        let uid = command["uid"].as_str().unwrap_or("").to_string();
        match command["action"].as_str() {
            Some("EXEC") if std::mem::take(&mut self.lose) => self.break_link(),
            Some("EXEC") if !self.running.contains_key(&uid) => {
                let body = unbase64(command["content"].as_str().expect("a body"));
                *self.runs.entry(body.clone()).or_default() += 1;
                self.running.insert(uid.clone(), (body.clone(), false));
                let (verb, rest) = body.split_once(':').unwrap_or((&body, ""));
                match verb {
                    "serve" => self.exit(&uid, "OK", Some(&format!("done {body}"))),
                    "fail" => self.exit(&uid, "ERROR", None),
                    "bad" => {
                        self.running.remove(&uid);
                        // What a node does not know must not end its link.
                        self.write("{\"action\":\"NEWS\",\"pos\":0}\nnot JSON\n");
                        let bad = json!({"action": "BAD", "code": "EXEC", "uid": uid});
                        self.write(&format!("{bad}\n"));
                    }
                    "call" => {
                        self.running.insert(uid.clone(), (body.clone(), true));
                        self.tell(
                            json!({"action": "CALLOUT", "uid": uid, "content": base64(rest)}),
                        );
                    }
                    _ => {}
                }
            }
            Some("RETURN") if self.running.get(&uid).is_some_and(|(_, waits)| *waits) => {
                let reply = unbase64(command["content"].as_str().expect("a reply"));
                self.exit(&uid, "OK", Some(&reply));
            }
            Some("BYPASS") if self.running.get(&uid).is_some_and(|(_, waits)| *waits) => {
                let asked = self
                    .notices
                    .get(command["pos"].as_u64().unwrap_or(0) as usize - 1);
                let asked =
                    asked.is_some_and(|notice| notice.contains("CALLOUT") && notice.contains(&uid));
                self.exit(&uid, "OK", asked.then_some("without the call"));
            }
            Some("KILL") => {
                self.killed += 1;
                self.exit(&uid, "STOPPED", None);
            }
            Some("METER") => {
                let meters = json!({"action": "METERS", "echo": command["echo"], "meters": [0.1, 1, 0.1, 5]});
                self.write(&format!("{meters}\n"));
            }
            _ => {}
        }
    }
}

/// The executor.
#[derive(Clone)]
pub struct Executor {
    pub address: SocketAddr,
    state: Arc<Mutex<Runs>>,
}

impl Executor {
    pub fn start() -> Executor {
        let state = Arc::new(Mutex::new(Runs::default()));
        let address = serve_links(state.clone());
        Executor { address, state }
    }
    /// A second place of the same executor: its runs and notice numbers carry on.
    pub fn elsewhere(&self) -> SocketAddr {
        serve_links(self.state.clone())
    }
    /// How often a request with this body was run.
    pub fn runs(&self, body: &str) -> usize {
        lock(&self.state).runs.get(body).copied().unwrap_or(0)
    }
    /// How many requests were run.
    pub fn all_runs(&self) -> usize {
        lock(&self.state).runs.values().sum()
    }
    /// The positions that links joined at.
    pub fn joins(&self) -> Vec<u64> {
        lock(&self.state).joins.clone()
    }
    pub fn killed(&self) -> usize {
        lock(&self.state).killed
    }
    /// Ends a run that hangs, well.
    pub fn finish(&self, body: &str) {
        let mut state = lock(&self.state);
        let uid = state
            .running
            .iter()
            .find(|(_, (b, _))| b == body)
            .map(|(uid, _)| uid.clone());
        state.exit(&uid.expect("it runs"), "OK", Some("late result"));
    }
    /// Breaks the link; what is told until the next one is kept for it.
    pub fn break_link(&self) {
        lock(&self.state).break_link();
    }
    /// The next command to run is lost, and the link with it.
    pub fn lose_next(&self) {
        lock(&self.state).lose = true;
    }
}

/// The database. What a call does is told by its body: `ok`, `busy`, `gone`, `wrong`, `break`, `raw#REPLY`, `forever` (a
/// head that does not end), `hold#MS`, which is answered after so long and counted while it is in hand, or `silent`. What
/// is held is in hand until its time is over, whether anybody still waits for it or not.
#[derive(Clone)]
pub struct Database {
    pub address: SocketAddr,
    calls: Arc<Mutex<HashMap<String, usize>>>,
    /// Connections so far, and those open.
    connections: Arc<Mutex<(usize, usize)>>,
    /// Silent calls in hand, and the most there were.
    silent: Arc<Mutex<(usize, usize)>>,
    held: Arc<Mutex<Held>>,
}

/// Calls that are held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    /// In hand now.
    pub now: usize,
    /// The most that were in hand at once since this was last taken.
    pub most: usize,
    /// All so far.
    pub all: usize,
}

impl Database {
    pub fn start() -> Database {
        let calls = Arc::new(Mutex::new(HashMap::new()));
        let connections = Arc::new(Mutex::new((0, 0)));
        let silent = Arc::new(Mutex::new((0, 0)));
        let held = Arc::new(Mutex::new(Held::default()));
        let (shared, count, hand, holds) = (
            calls.clone(),
            connections.clone(),
            silent.clone(),
            held.clone(),
        );
        let address = serve(move |stream| {
            lock(&count).0 += 1;
            lock(&count).1 += 1;
            let mut from = BufReader::new(stream.try_clone().expect("a connection"));
            while let Some(body) = read_call(&mut from) {
                *lock(&shared).entry(body.clone()).or_default() += 1;
                let reply = |status: &str, extra: &str, body: &str| {
                    let text = format!(
                        "HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    let _ = (&stream).write_all(text.as_bytes());
                };
                match body.split('#').next().unwrap_or("") {
                    "ok" => reply("200 OK", "", &format!("rows for {body}")),
                    "hold" => {
                        {
                            let mut held = lock(&holds);
                            (held.now, held.all) = (held.now + 1, held.all + 1);
                            held.most = held.most.max(held.now);
                        }
                        let ms = body
                            .split('#')
                            .nth(1)
                            .and_then(|ms| ms.parse().ok())
                            .unwrap_or(0);
                        thread::sleep(Duration::from_millis(ms));
                        // Counted down first: who has the answer may begin the next at once.
                        lock(&holds).now -= 1;
                        reply("200 OK", "", &format!("rows for {body}"));
                    }
                    "busy" => reply("503 Busy", "Never-Started: 1\r\n", ""),
                    "gone" => reply("409 Conflict", "Never-Started: 1\r\n", ""),
                    "wrong" => reply("500 Wrong", "", ""),
                    "break" => break,
                    // Written as it stands; then the connection stays open.
                    "raw" => {
                        let text = body.split_once('#').map_or("", |(_, text)| text);
                        let _ = (&stream).write_all(text.as_bytes());
                    }
                    "forever" => {
                        let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\n");
                        while (&stream).write_all(b"X-More: and more\r\n").is_ok() {}
                        break;
                    }
                    _ => {
                        // Until the node gives it up, which closes the connection.
                        {
                            let mut hand = lock(&hand);
                            hand.0 += 1;
                            hand.1 = hand.1.max(hand.0);
                        }
                        assert!(
                            read_call(&mut from).is_none(),
                            "one call at a time on a connection"
                        );
                        lock(&hand).0 -= 1;
                        break;
                    }
                }
            }
            lock(&count).1 -= 1;
        });
        Database {
            address,
            calls,
            connections,
            silent,
            held,
        }
    }
    /// What is held; the most begins anew.
    pub fn held(&self) -> Held {
        let mut held = lock(&self.held);
        let was = *held;
        held.most = held.now;
        was
    }
    /// The most silent calls in hand at once.
    pub fn most_silent(&self) -> usize {
        lock(&self.silent).1
    }
    pub fn connections(&self) -> usize {
        lock(&self.connections).0
    }
    pub fn open(&self) -> usize {
        lock(&self.connections).1
    }
    /// How often a call with this body came.
    pub fn calls(&self, body: &str) -> usize {
        lock(&self.calls).get(body).copied().unwrap_or(0)
    }
}

fn read_call(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut length = 0;
    let mut reference = false;
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        reference |= line.starts_with("request-ref: ") && line.len() == 13 + 16;
        if let Some(text) = line.strip_prefix("content-length: ") {
            length = text.parse().expect("a length");
        }
    }
    assert!(reference, "a call names its request");
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// The membership service: keeps the reports.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    reports: Arc<Mutex<Vec<String>>>,
}

impl List {
    pub fn start() -> List {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
        let address = socket.local_addr().expect("loopback");
        let reports = Arc::new(Mutex::new(Vec::new()));
        let shared = reports.clone();
        thread::spawn(move || {
            let mut datagram = [0; 256];
            while let Ok(n) = socket.recv(&mut datagram) {
                lock(&shared).push(String::from_utf8_lossy(&datagram[..n]).into_owned());
            }
        });
        List { address, reports }
    }
    pub fn heard(&self, report: &str) -> bool {
        lock(&self.reports).iter().any(|r| r == report)
    }
}

/// A node as a process, with its stand-ins.
pub struct Node {
    pub executor: Executor,
    pub database: Database,
    pub list: List,
    pub address: SocketAddr,
    pub process: Child,
    log: Arc<Mutex<String>>,
    config: Scratch,
}

/// What a process takes.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub threads: u64,
    pub descriptors: u64,
    pub resident_kb: u64,
    pub anonymous_kb: u64,
    /// Processor time since its start, in steps of 10 ms.
    pub processor_ms: u64,
}

/// The configuration of a node with these peers.
pub fn config(executor: SocketAddr, database: SocketAddr, list: SocketAddr) -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "executor": executor, "members": list, "db": database,
           "seed": "8c1f30d27a5be964", "stop_ms": 8000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "settings": settings()})
}

/// A file of this test's own that goes with the value.
pub struct Scratch(pub std::path::PathBuf);

impl Scratch {
    pub fn new(name: &str, text: &str) -> Scratch {
        let own = format!(
            "protocol-gateway-{}-{:?}",
            std::process::id(),
            thread::current().id()
        );
        let dir = std::env::temp_dir().join(own.replace(['(', ')'], ""));
        std::fs::create_dir_all(&dir).expect("a folder");
        let path = dir.join(name);
        std::fs::write(&path, text).expect("a file");
        Scratch(path)
    }
}
impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
        if let Some(dir) = self.0.parent() {
            let others = std::fs::read_dir(dir).into_iter().flatten().flatten();
            // What the nodes themselves leave there goes with the last file of the test's.
            if others
                .into_iter()
                .all(|entry| entry.file_name().to_string_lossy().contains(".seat"))
            {
                let _ = std::fs::remove_dir_all(dir);
            }
        }
    }
}

/// The program: this process itself where it is the program, else the one that was built beside the test. Measurements may
/// name an earlier build, to compare with.
pub fn program() -> std::path::PathBuf {
    if let Ok(program) = std::env::var("GATEWAY_PROGRAM") {
        return program.into();
    }
    let own = std::env::current_exe().expect("this process has a program");
    if own
        .file_name()
        .is_some_and(|name| name == "protocol-gateway")
    {
        return own;
    }
    // Tests stand in target/PROFILE/deps, the program in target/PROFILE.
    own.ancestors()
        .nth(2)
        .expect("a folder above")
        .join("protocol-gateway")
}

/// The program's command line under this configuration.
pub fn command(config: &Scratch) -> Command {
    let mut command = Command::new(program());
    // What the deploy file's command sets for the program.
    let deploy = include_str!("../../../deploy/balancer.toml");
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .expect("a command");
    let words = run
        .trim_matches('"')
        .split(' ')
        .take_while(|word| *word != "exec");
    command.envs(words.filter_map(|word| word.split_once('=')));
    // The platform's scratch folder: the test's own, which its nodes share.
    command.env("TMPDIR", config.0.parent().expect("a folder"));
    command
        .env("PROXY_CONFIG", &config.0)
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .stdin(Stdio::null());
    command
}

impl Node {
    /// A node that is up and serving.
    pub fn start() -> Node {
        Node::start_with(None, |_| {})
    }

    /// The same with an inventory, and a configuration that differs.
    pub fn start_with(inventory: Option<&Scratch>, change: impl FnOnce(&mut Value)) -> Node {
        Node::start_as(inventory, None, change)
    }

    /// The same with a file of cells beside.
    pub fn start_as(
        inventory: Option<&Scratch>,
        cells: Option<&Scratch>,
        change: impl FnOnce(&mut Value),
    ) -> Node {
        let (executor, database, list) = (Executor::start(), Database::start(), List::start());
        let mut config = config(executor.address, database.address, list.address);
        change(&mut config);
        let file = Scratch::new("config.json", &config.to_string());
        let mut command = command(&file);
        if let Some(inventory) = inventory {
            command
                .arg("--inventory")
                .arg(&inventory.0)
                .env("TEST_AMQP_PASSWORD", "guest");
        }
        if let Some(cells) = cells {
            command.arg("--cells").arg(&cells.0);
        }
        let mut node = Node::run(command, (executor, database, list), file);
        until("the node listens", || node.logged("listening").is_some());
        node.address = node.logged("listening").expect("an address");
        // With another executor, the test itself says what to wait for.
        if config["executor"] == json!(node.executor.address) {
            let mut front = node.front();
            until("the node is ready", || {
                front.alive()["result"]["ready"] == true
            });
        }
        node
    }

    /// A node that is up, in the fleet of this file.
    pub fn start_in(fleet: &Scratch) -> Node {
        let (executor, database, list) = (Executor::start(), Database::start(), List::start());
        let file = Scratch::new(
            "config.json",
            &config(executor.address, database.address, list.address).to_string(),
        );
        let mut command = command(&file);
        command.arg("--fleet").arg(&fleet.0);
        let mut node = Node::run(command, (executor, database, list), file);
        until("the node listens", || node.logged("listening").is_some());
        node.address = node.logged("listening").expect("an address");
        let mut front = node.front();
        until("the node is ready", || {
            front.alive()["result"]["ready"] == true
        });
        node
    }

    /// A node that may not come up, with a configuration that differs.
    pub fn spawn(change: impl FnOnce(&mut Value)) -> Node {
        let (executor, database, list) = (Executor::start(), Database::start(), List::start());
        let mut config = config(executor.address, database.address, list.address);
        change(&mut config);
        let file = Scratch::new("config.json", &config.to_string());
        Node::run(command(&file), (executor, database, list), file)
    }

    /// The process of this command, with these stand-ins and the file that goes with it.
    pub fn run(mut command: Command, peers: (Executor, Database, List), config: Scratch) -> Node {
        let mut process = command.spawn().expect("the program starts");
        let log = Arc::new(Mutex::new(String::new()));
        let (shared, stderr) = (log.clone(), process.stderr.take().expect("a log"));
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lock(&shared).push_str(&(line + "\n"));
            }
        });
        let (executor, database, list) = peers;
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Node {
            executor,
            database,
            list,
            address,
            process,
            log,
            config,
        }
    }

    /// A second process of this node beside it, with an executor and a door of its own.
    pub fn successor(&self) -> Node {
        let executor = Executor::start();
        let peers = (executor, self.database.clone(), self.list.clone());
        let mut config = config(peers.0.address, peers.1.address, peers.2.address);
        config["listen"] = json!(self.address);
        config["admin"] = json!("127.0.0.1:0");
        // Named by its executor, which no other test has.
        let file = Scratch::new(
            &format!("{}.json", peers.0.address.port()),
            &config.to_string(),
        );
        let mut node = Node::run(command(&file), peers, file);
        node.address = self.address;
        node
    }
    /// Ends it at once.
    pub fn kill(&mut self) {
        self.process.kill().expect("a child");
        self.process.wait().expect("a child");
    }

    /// The address that a line of the log tells with these words before it.
    pub fn logged(&self, words: &str) -> Option<SocketAddr> {
        let (log, words) = (lock(&self.log), format!("{words}, at: "));
        log.lines()
            .find_map(|line| line.split(&words).nth(1)?.split(',').next()?.parse().ok())
    }
    /// Where the operators' door is.
    pub fn door(&self) -> SocketAddr {
        self.logged("admin").expect("a door")
    }
    pub fn front(&self) -> Front {
        Front::connect(self.address)
    }
    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }
    /// What the process takes now.
    pub fn usage(&self) -> Usage {
        let process = format!("/proc/{}", self.process.id());
        let status = std::fs::read_to_string(format!("{process}/status")).expect("a status");
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let figure = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
            figure.expect("a figure")
        };
        let stat = std::fs::read_to_string(format!("{process}/stat")).expect("a status");
        let ticks = stat
            .rsplit(") ")
            .next()
            .expect("fields")
            .split(' ')
            .skip(11)
            .take(2);
        Usage {
            threads: figure("Threads:"),
            descriptors: std::fs::read_dir(format!("{process}/fd"))
                .expect("a list")
                .count() as u64,
            resident_kb: figure("VmRSS:"),
            anonymous_kb: figure("RssAnon:"),
            processor_ms: ticks
                .map(|ticks| ticks.parse::<u64>().expect("a figure") * 10)
                .sum(),
        }
    }
    /// The notice to leave.
    pub fn terminate(&self) {
        self.signal("TERM");
    }
    /// Replaces the configuration file and says so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config.0, text).expect("a file");
        self.signal("HUP");
    }
    fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {pid}")])
            .status()
            .expect("kill");
        assert!(sent.success());
    }
    /// Waits for the process to end by itself.
    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the node exits", || {
            status = self.process.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("it has exited")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if thread::panicking() {
            eprintln!("the node's log:\n{}", self.log());
        }
    }
}

/// A front end's connection.
pub struct Front {
    pub stream: TcpStream,
    from: BufReader<TcpStream>,
    next: u64,
}

impl Front {
    pub fn connect(to: SocketAddr) -> Front {
        let stream = TcpStream::connect(to).expect("the node listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        stream.set_nodelay(true).expect("an option");
        let from = BufReader::new(stream.try_clone().expect("a connection"));
        Front {
            stream,
            from,
            next: 0,
        }
    }
    pub fn raw(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("written");
        self.stream.write_all(b"\n").expect("written");
    }
    /// Sends a request and returns its id.
    pub fn send(&mut self, class: &str, body: &str) -> u64 {
        self.send_from(class, body, unix_ms())
    }
    /// The same for one that came to the machine at `t0`.
    pub fn send_from(&mut self, class: &str, body: &str, t0: u64) -> u64 {
        self.send_with(class, body, json!({"t0": t0}))
    }
    /// The same with these fields of its own.
    pub fn send_with(&mut self, class: &str, body: &str, fields: Value) -> u64 {
        let (id, line) = self.line(class, body, fields);
        self.raw(&line);
        id
    }
    /// The line of a request that is not sent yet, and its id.
    pub fn line(&mut self, class: &str, body: &str, fields: Value) -> (u64, String) {
        self.next += 1;
        let rid = format!(
            "{:08x}{:08x}",
            self.stream.local_addr().expect("bound").port(),
            self.next
        );
        let mut params = json!({"rid": rid, "t0": unix_ms(), "peer": 4, "acct": "alpenergia", "mem": 24.5, "prio": 0.5,
                                "body": base64(body)});
        for (name, value) in fields.as_object().into_iter().flatten() {
            params[name] = value.clone();
        }
        let line = json!({"jsonrpc": "2.0", "id": self.next, "method": class, "params": params});
        (self.next, line.to_string())
    }
    /// Says that nobody waits for this request any more.
    pub fn cancel(&mut self, id: u64) {
        self.raw(
            &json!({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}).to_string(),
        );
    }
    /// The next message; null at the end of the connection.
    #[allow(clippy::should_implement_trait)] // It has no end to iterate to: null comes again and again.
    pub fn next(&mut self) -> Value {
        let mut line = String::new();
        match self.from.read_line(&mut line) {
            Ok(0) => Value::Null,
            Ok(_) => serde_json::from_str(&line).expect("JSON"),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => Value::Null,
            Err(e) => panic!("no message: {e}"),
        }
    }
    /// The next answer. A farewell may come before it, and ends nothing that is open.
    pub fn answer(&mut self) -> Value {
        let mut answer = self.next();
        while answer["method"] == "farewell" {
            answer = self.next();
        }
        answer
    }
    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, class: &str, body: &str) -> Value {
        let id = self.send(class, body);
        let answer = self.answer();
        assert_eq!(answer["id"], id);
        answer
    }
    pub fn alive(&mut self) -> Value {
        self.next += 1;
        let id = self.next;
        self.raw(&json!({"jsonrpc": "2.0", "id": id, "method": "alive"}).to_string());
        self.next()
    }
}
