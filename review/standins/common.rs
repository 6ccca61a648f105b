//! Stand-ins that the cases share: executor, database, membership service, front end, and the
//! project's programs as child processes. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

// ---- time, record, temporary folder ----

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns true unless the script runs with TROUBLE=0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }
}

/// A private folder that is removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Scratch {
        let path = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Scratch(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("a file in the temporary folder");
        path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

// ---- small parts of JSON and base64 ----

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the string value of a field. The programs write compact JSON without escapes in these
/// fields.
pub fn text_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let length = line[start..].find('"')?;
    Some(&line[start..start + length])
}

/// Returns the number of a field.
pub fn number_field(line: &str, name: &str) -> Option<i64> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = line[start..]
        .chars()
        .take_while(|c| c.is_ascii_digit() || *c == '-')
        .collect();
    digits.parse().ok()
}

/// Returns a new id of 16 hex digits.
pub fn new_rid() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let mixed = (unix_ms() << 16 ^ n).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ n;
    format!("{mixed:016x}")
}

// ---- requests that front ends have sent, as the machine knows them ----

#[derive(Clone)]
pub struct KnownRequest {
    pub class: String,
    pub body: String,
    /// Work of a run.
    pub work_ms: u64,
    /// Key of the request, for the count of runs.
    pub key: String,
}

/// All requests that came to one machine, by id. The executor runs no others.
#[derive(Clone, Default)]
pub struct Machine(pub Arc<Mutex<HashMap<String, KnownRequest>>>);

impl Machine {
    pub fn register(&self, rid: &str, request: KnownRequest) {
        let mut known = self.0.lock().unwrap();
        known.entry(rid.to_string()).or_insert(request);
    }

    fn find(&self, rid: &str) -> Option<KnownRequest> {
        self.0.lock().unwrap().get(rid).cloned()
    }
}

// ---- executor ----

#[derive(Clone, Debug)]
pub struct Run {
    pub rid: String,
    pub key: String,
    pub began_ms: u64,
    pub end: Option<String>,
}

#[derive(Default)]
struct ExecutorState {
    notices: Vec<String>,
    link: Option<TcpStream>,
    link_number: u64,
    runs: Vec<Run>,
    stopped: Vec<String>,
}

/// An executor with idle cores, as PROTOCOL describes it.
#[derive(Clone)]
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<ExecutorState>>,
    machine: Machine,
    /// Work of requests that came from a queue, whose ids are the node's own; `None` if there is no
    /// queue. Their runs have the body as key.
    queue_work_ms: Option<u64>,
    record: Record,
}

impl Executor {
    /// Starts the executor of a node that also consumes from queues.
    pub fn start_for_queues(name: &str, work_ms: u64, record: &Record) -> Executor {
        Executor::start_with(name, Machine::default(), Some(work_ms), record)
    }

    pub fn start(name: &str, machine: Machine, record: &Record) -> Executor {
        Executor::start_with(name, machine, None, record)
    }

    fn start_with(
        name: &str,
        machine: Machine,
        queue_work_ms: Option<u64>,
        record: &Record,
    ) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let executor = Executor {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            machine,
            queue_work_ms,
            record: record.clone(),
        };
        let served = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let executor = served.clone();
                thread::spawn(move || executor.serve(stream));
            }
        });
        executor
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut number = 0;
        let Ok(reader) = stream.try_clone() else { return };
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            let uid = text_field(&line, "uid").unwrap_or("").to_string();
            match text_field(&line, "action") {
                Some("JOIN") => {
                    let position = number_field(&line, "pos").unwrap_or(0) as usize;
                    number = self.join(position, &stream);
                }
                Some("EXEC") => self.begin(&uid, &line),
                Some("KILL") => self.state.lock().unwrap().stopped.push(uid),
                Some("METER") => {
                    let echo = text_field(&line, "echo").unwrap_or("");
                    let runnable = self.runnable();
                    self.send(
                        number,
                        &format!(
                            "{{\"action\":\"METERS\",\"echo\":\"{echo}\",\"meters\":[0.1,{runnable},0.1,5]}}\n"
                        ),
                    );
                }
                _ => {}
            }
        }
    }

    /// Makes a connection the link; a new link replaces the one before.
    fn join(&self, position: usize, stream: &TcpStream) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.link = stream.try_clone().ok();
        state.link_number += 1;
        let mut text =
            String::from("{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":20}\n");
        text.extend(state.notices.iter().skip(position).cloned());
        if let Some(link) = &mut state.link {
            let _ = link.write_all(text.as_bytes());
        }
        state.link_number
    }

    fn send(&self, number: u64, text: &str) {
        let mut state = self.state.lock().unwrap();
        if state.link_number == number {
            if let Some(link) = &mut state.link {
                let _ = link.write_all(text.as_bytes());
            }
        }
    }

    fn runnable(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.runs.iter().filter(|run| run.end.is_none()).count()
    }

    fn begin(&self, uid: &str, line: &str) {
        let known = self.machine.find(uid).filter(|request| {
            text_field(line, "lane") == Some(&request.class)
                && text_field(line, "content") == Some(&request.body)
        });
        let known = known.or_else(|| self.request_of_queue(line));
        let mut state = self.state.lock().unwrap();
        let Some(request) = known else {
            let bad = format!("{{\"action\":\"BAD\",\"code\":\"EXEC\",\"uid\":\"{uid}\"}}\n");
            if let Some(link) = &mut state.link {
                let _ = link.write_all(bad.as_bytes());
            }
            self.record.line(&format!("{}: EXEC {uid} answered BAD", self.name));
            return;
        };
        if state.runs.iter().any(|run| run.rid == uid) {
            return;
        }
        self.record.line(&format!(
            "{}: run begins, rid {uid} class {} key {}",
            self.name, request.class, request.key
        ));
        state.runs.push(Run {
            rid: uid.into(),
            key: request.key.clone(),
            began_ms: unix_ms(),
            end: None,
        });
        drop(state);
        let executor = self.clone();
        let uid = uid.to_string();
        thread::spawn(move || executor.work(&uid, request.work_ms));
    }

    fn request_of_queue(&self, line: &str) -> Option<KnownRequest> {
        let body = text_field(line, "content")?.to_string();
        Some(KnownRequest {
            class: text_field(line, "lane")?.to_string(),
            work_ms: self.queue_work_ms?,
            key: body.clone(),
            body,
        })
    }

    fn work(&self, uid: &str, work_ms: u64) {
        let began = Instant::now();
        let mut code = "OK";
        while began.elapsed() < Duration::from_millis(work_ms) {
            if self.state.lock().unwrap().stopped.iter().any(|u| u == uid) {
                code = "STOPPED";
                break;
            }
            sleep_ms(5);
        }
        let wall_ms = began.elapsed().as_millis();
        let mut state = self.state.lock().unwrap();
        let number = state.notices.len() + 1;
        let content = base64(format!("result of {uid}").as_bytes());
        let content = if code == "OK" {
            format!(",\"content\":\"{content}\"")
        } else {
            String::new()
        };
        let notice = format!(
            "{{\"action\":\"EXIT\",\"pos\":{number},\"uid\":\"{uid}\",\"code\":\"{code}\",\"wall_ms\":{wall_ms}{content}}}\n"
        );
        state.notices.push(notice.clone());
        if let Some(run) = state.runs.iter_mut().find(|run| run.rid == uid) {
            run.end = Some(code.into());
        }
        if let Some(link) = &mut state.link {
            let _ = link.write_all(notice.as_bytes());
        }
        self.record.line(&format!("{}: run ends {code}, rid {uid}", self.name));
    }
}

// ---- database and membership service ----

/// A database that answers each call with 200 at once. The runs of these cases make no calls.
pub fn start_database() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buffer = [0; 8192];
                let _ = stream.read(&mut buffer);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            });
        }
    });
    address
}

/// A membership service, which reads reports and answers nothing.
pub fn start_members() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 512];
        while socket.recv(&mut buffer).is_ok() {}
    });
    address
}

// ---- the project's programs ----

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().unwrap()
}

/// A child process, which is killed when this is dropped.
pub struct Program(pub Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the command `run` of the deploy file.
fn deploy_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let run = text.lines().find_map(|line| line.strip_prefix("run = "));
    run.expect("`run` in the deploy file").trim().trim_matches('"').to_string()
}

/// Starts the program by the deploy file's command and these arguments, from the repository's root.
pub fn start_program(
    root: &Path,
    arguments: &str,
    environment: &[(&str, String)],
    log: &Path,
) -> Program {
    let command = format!("{} {arguments}", deploy_command(root));
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(command)
        .current_dir(root)
        .envs(environment.iter().map(|(name, value)| (*name, value.clone())))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(File::create(log).expect("a log file"))
        .spawn();
    Program(child.expect("the program starts"))
}

/// A node with its own executor.
pub struct Node {
    pub address: SocketAddr,
    pub executor: Executor,
    pub machine: Machine,
    pub process: Program,
    pub log: PathBuf,
}

/// Starts a node with these settings and waits until it is ready.
pub fn start_node(
    root: &Path,
    scratch: &Scratch,
    name: &str,
    settings: &str,
    record: &Record,
) -> Option<Node> {
    let machine = Machine::default();
    let executor = Executor::start(&format!("executor of {name}"), machine.clone(), record);
    let (database, members) = (start_database(), start_members());
    let address = free_address();
    let folder = scratch.0.join(name);
    fs::create_dir_all(&folder).expect("a folder");
    let config = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"executor\":\"{}\",\"members\":\"{members}\",\"db\":\"{database}\",\
         \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"settings\":{settings}}}",
        executor.address
    );
    let file = scratch.write(&format!("{name}.json"), &config);
    let log = scratch.0.join(format!("{name}.log"));
    let environment = [
        ("PROXY_CONFIG", file.display().to_string()),
        ("PROXY_NAME", name.to_string()),
        ("PROXY_LISTEN", address.to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let process = start_program(root, "", &environment, &log);
    record.line(&format!("{name} started at {address}"));
    wait_until_ready(address).then_some(Node {
        address,
        executor,
        machine,
        process,
        log,
    })
}

/// Waits until a health check is good; up to 15 s.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(15) {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n");
            let mut line = String::new();
            let _ = BufReader::new(stream).read_line(&mut line);
            if line.contains("\"ready\":true") {
                return true;
            }
        }
        sleep_ms(50);
    }
    false
}

// ---- front end ----

/// An answer with the time at which it was read.
#[derive(Clone, Debug)]
pub struct Answer {
    pub line: String,
    pub at_ms: u64,
}

#[derive(Default)]
struct Received {
    answers: HashMap<i64, Vec<Answer>>,
    has_ended: bool,
    has_farewell: bool,
}

/// A connection of a front end. Its answers are read by a thread.
pub struct FrontEnd {
    pub name: String,
    stream: TcpStream,
    received: Arc<Mutex<Received>>,
    record: Record,
}

impl FrontEnd {
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> std::io::Result<FrontEnd> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let received: Arc<Mutex<Received>> = Arc::default();
        let front_end = FrontEnd {
            name: name.into(),
            stream: stream.try_clone()?,
            received: received.clone(),
            record: record.clone(),
        };
        let (name, record) = (name.to_string(), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                record.line(&format!("{name}: read {line}"));
                if line.contains("\"farewell\"") {
                    received.lock().unwrap().has_farewell = true;
                }
                if let Some(id) = number_field(&line, "id") {
                    let answer = Answer {
                        line,
                        at_ms: unix_ms(),
                    };
                    let mut received = received.lock().unwrap();
                    received.answers.entry(id).or_default().push(answer);
                }
            }
            record.line(&format!("{name}: the connection has ended"));
            received.lock().unwrap().has_ended = true;
        });
        Ok(front_end)
    }

    /// Writes lines in one write.
    pub fn write(&self, lines: &str) {
        for line in lines.lines() {
            self.record.line(&format!("{}: sent {line}", self.name));
        }
        let _ = (&self.stream).write_all(lines.as_bytes());
    }

    pub fn answers(&self, id: i64) -> Vec<Answer> {
        let received = self.received.lock().unwrap();
        received.answers.get(&id).cloned().unwrap_or_default()
    }

    pub fn has_farewell(&self) -> bool {
        self.received.lock().unwrap().has_farewell
    }

    pub fn has_ended(&self) -> bool {
        self.received.lock().unwrap().has_ended
    }

    /// Waits until a request is answered or this Unix time has passed.
    pub fn wait_for_answer(&self, id: i64, until_ms: u64) -> Option<Answer> {
        loop {
            if let Some(answer) = self.answers(id).first() {
                return Some(answer.clone());
            }
            if unix_ms() > until_ms {
                return None;
            }
            sleep_ms(5);
        }
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Returns the line of a request. `extra` are further parameters, each with a comma before it.
pub fn request_line(id: i64, class: &str, rid: &str, t0: u64, body: &str, extra: &str) -> String {
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{\"rid\":\"{rid}\",\"t0\":{t0},\"peer\":4,\
         \"mem\":24.5,\"prio\":0.6250{extra},\"body\":\"{body}\"}}}}\n"
    )
}

/// Settings of a small deployment of the second operator: keyed submissions, callers that tell how
/// long they wait and when they stop waiting.
pub fn render_settings() -> String {
    let lane = |name: &str, promise: f64, deadline: f64, effect: &str, late: f64, worth: f64| {
        format!(
            "{{\"name\":\"{name}\",\"promise\":{promise},\"deadline\":{deadline},\"effect\":\"{effect}\",\
             \"lateWorth\":{late},\"window\":30126.0,\"worth\":{worth}}}"
        )
    };
    let lanes = [
        lane("derivative", 3300.0, 10000.0, "repeatable", 0.2, 1.0),
        lane("thumbnail", 1000.0, 3300.0, "repeatable", 0.2, 1.0),
        lane("version-submit", 3300.0, 10000.0, "by_key", 0.2, 1.0),
    ]
    .join(",");
    format!(
        "{{\"round\":4.0,\"servers\":2,\"worthBy\":\"request\",\"overShareWorth\":0.05,\"lanes\":[{lanes}],\
         \"tenants\":[{{\"name\":\"landesgalerie-nord\",\"allowancePerS\":60.0,\"share\":0.5}},\
         {{\"name\":\"volkskunde-haus\",\"allowancePerS\":60.0,\"share\":0.5}}],\
         \"policyLimits\":{{\"maxRetryAfter\":1000.0,\"retryAfter\":true,\"cpuUsPerS\":60000,\"cpuUsPerRequest\":0.0}},\
         \"invariants\":{{\"answerSlack\":100.0,\"startCapacity\":0.2,\"warmUp\":17000.0,\"drainGrace\":2000.0,\
         \"fallMultiple\":8.0,\"fall\":1500.0}},\
         \"specifics\":{{\"upstreams\":3,\"callerIdle\":30000.0,\"callsOut\":5.0,\"classCalls\":[true,false,true],\
         \"classSkipWorth\":[0.3,0.0,0.0],\"cold\":false,\"cores\":6,\"dependsOn\":\"one_for_all\",\"deepChecks\":false,\
         \"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"halt\":\"freeze\",\"heardFor\":1000.0,\
         \"registryFollows\":false,\"heapKb\":26622.0,\"keyKb\":20.0,\"linger\":200.0,\"passesDeadline\":true,\
         \"runFactor\":4.0,\"say\":\"off\",\"shareFor\":0.0,\"shareSpan\":5000.0,\"tellsGone\":true}}}}"
    )
}

/// A router in front of the two nodes of one cell.
pub struct RoutedNodes {
    pub address: SocketAddr,
    pub nodes: Vec<Node>,
    pub router: Program,
}

/// Starts two nodes and a router with files as in `deploy/`, and waits until all are ready.
pub fn start_routed_nodes(root: &Path, scratch: &Scratch, record: &Record) -> Option<RoutedNodes> {
    let mut nodes = Vec::new();
    for name in ["n1", "n2"] {
        let node = start_node(root, scratch, name, &render_settings(), record);
        if node.is_none() {
            record.line("a node did not become ready");
        }
        nodes.push(node?);
    }
    let cells = format!(
        "{{ version: 1, cells: {{ donau: {{}} }},\n  nodes: {{\n    \
         n1: {{ address: \"{}\", site: \"wien-nord\", cell: \"donau\" }},\n    \
         n2: {{ address: \"{}\", site: \"wien-sued\", cell: \"donau\" }},\n  }},\n  \
         tenants: {{ \"landesgalerie-nord\": {{ share: 1 }}, \"volkskunde-haus\": {{ share: 1 }} }},\n}}\n",
        nodes[0].address, nodes[1].address
    );
    scratch.write("cells.json5", &cells);
    let address = free_address();
    let router_file = format!(
        "{{ version: 1, listen: \"{address}\", cells: \"cells.json5\",\n  classes: {{\n    \
         derivative: {{ once: false, deadline_ms: 10000 }},\n    \
         thumbnail: {{ once: false, deadline_ms: 3300 }},\n    \
         \"version-submit\": {{ once: true, deadline_ms: 10000 }},\n  }},\n}}\n"
    );
    let file = scratch.write("router.json5", &router_file);
    let log = scratch.0.join("router.log");
    let router = start_program(root, &format!("route {}", file.display()), &[], &log);
    record.line(&format!("router started at {address}"));
    if !wait_until_ready(address) {
        record.line("the router did not become ready");
        return None;
    }
    // The router knows of both nodes once it has checked each of them.
    sleep_ms(1500);
    Some(RoutedNodes {
        address,
        nodes,
        router,
    })
}
