//! Golden transcripts of the node's wire protocols: JSON-RPC with front ends, lines with the
//! executor, HTTP with the database and datagrams to the endpoint list. Each file of
//! `tests/golden/wire/node` is a script that is run against the program. The texts in it are
//! compared byte for byte. The files never change. Steps of a script:
//!
//! - `set POINTER JSON`: changes a field of `config.json`; `cells FILE`: sets the cells file;
//!   `start`: starts the program.
//! - `open PEER`: a front end connects; `send PEER TEXT`; `want PEER TEXT`: the peer's next message
//!   is exactly this text.
//! - `find PEER TEXT`: one of the peer's next messages is this text; `poll PEER TEXT => TEXT`:
//!   repeats the first text until its answer is the second.
//! - `fill PEER TEXT`: sends the text 64 times, with `$ID` replaced by the numbers from 101.
//! - `close PEER`; `closed PEER`: the program closes the connection; `signal NAME`; `exit CODE`.
//! - `move executor`: moves the executor to another address by a new configuration; `takes MS`: the
//!   database takes this long for its call.
//!
//! The peers `executor`, `database` and `list` are sockets of the test. `$NOW` is the time in Unix
//! milliseconds, and `$EARLIER` is 700 ms before it. A number that differs from run to run is
//! written `#`, and CR and LF are written `\r` and `\n`. Requests for gauges are answered only
//! while the script waits for another message, so that the executor's other notices are never
//! written at the same time, and no answer is sent between two steps.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded as channel, Receiver, Select, Sender, TryRecvError};
use serde_json::{json, Value};
use test_doubles::unix_ms;

const PROGRAM: &str = env!("CARGO_BIN_EXE_protocol-gateway");
/// Text of the log that precedes the address on which the program listens.
const LISTENING_LOG_TEXT: &str = "listening, at: ";
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of one wait for a report to the list, after which requests for gauges are answered.
const LIST_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Difference between `$NOW` and `$EARLIER`.
const EARLIER_BY_MS: u64 = 700;
/// Texts that precede a number that differs from run to run.
const VARIABLE_NUMBER_PREFIXES: [&str; 5] = [
    "\"hint\":",
    "\"backoff\":",
    "\"echo\":\"",
    "Statement-Timeout-Ms: ",
    "Host: 127.0.0.1:",
];

fn golden_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/wire")
}

/// Returns the text on one line, with `#` in place of numbers that differ from run to run.
fn normalized(text: &str) -> String {
    let mut text = text.replace('\r', "\\r").replace('\n', "\\n");
    for prefix in VARIABLE_NUMBER_PREFIXES {
        let mut from = 0;
        while let Some(at) = text[from..].find(prefix).map(|at| from + at + prefix.len()) {
            let is_number_char = |c: char| c.is_ascii_digit() || ".e-".contains(c);
            let length = text[at..]
                .find(|c| !is_number_char(c))
                .unwrap_or(text.len() - at);
            if length > 0 {
                text.replace_range(at..at + length, "#");
            }
            from = at;
        }
    }
    text
}

/// Replaces the placeholders and escapes in a text of a script.
fn to_bytes(text: &str) -> Vec<u8> {
    let now = unix_ms();
    let text = text
        .replace("$NOW", &now.to_string())
        .replace("$EARLIER", &(now - EARLIER_BY_MS).to_string());
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}

/// Reads the next line without its line break; `None` at the end of the connection.
fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = from.read_line(&mut line).unwrap_or(0);
    (read > 0).then(|| line.strip_suffix('\n').expect("a whole line").to_string())
}

/// Listens on loopback, and returns the address and the accepted connections.
fn listen() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("loopback");
    let (stream_sender, streams) = channel();
    thread::spawn(move || {
        while listener
            .accept()
            .is_ok_and(|(stream, _)| stream_sender.send(stream).is_ok())
        {}
    });
    (address, streams)
}

struct Peer {
    stream: TcpStream,
    messages: Receiver<String>,
}

impl Peer {
    /// Creates a peer whose messages are read by `read` until it returns `None`.
    fn new(
        stream: TcpStream,
        mut read: impl FnMut(&mut BufReader<TcpStream>) -> Option<String> + Send + 'static,
    ) -> Peer {
        let (message_sender, messages) = channel();
        let mut from = BufReader::new(stream.try_clone().expect("a connection"));
        thread::spawn(move || {
            while read(&mut from).is_some_and(|message| message_sender.send(message).is_ok()) {}
        });
        Peer { stream, messages }
    }
    fn front_end(to: SocketAddr) -> Peer {
        Peer::new(
            TcpStream::connect(to).expect("the program listens"),
            read_line,
        )
    }
    fn executor(stream: TcpStream, gauge_requests: Sender<GaugeRequest>) -> Peer {
        let answer_stream = stream.try_clone().expect("a connection");
        Peer::new(stream, move |from| {
            let text = read_line(from)?;
            let command: Value = serde_json::from_str(&text).expect("a command");
            if is_gauge_request(&text) {
                let stream = answer_stream.try_clone().expect("a connection");
                let _ = gauge_requests.send(GaugeRequest {
                    stream,
                    echo: command["echo"].clone(),
                });
            }
            Some(text)
        })
    }
    /// A database call whose message is its head and body.
    fn call(stream: TcpStream) -> Peer {
        Peer::new(stream, |from| {
            let (mut text, mut length) = (String::new(), 0);
            while !text.ends_with("\r\n\r\n") {
                let start = text.len();
                from.read_line(&mut text).ok().filter(|read| *read > 0)?;
                if let Some(value) = text[start..].strip_prefix("Content-Length: ") {
                    length = value.trim().parse().expect("a length");
                }
            }
            let mut body = vec![0; length];
            from.read_exact(&mut body).ok()?;
            Some(text + std::str::from_utf8(&body).expect("text"))
        })
    }
}

/// A request of the program to the executor for its gauges.
struct GaugeRequest {
    stream: TcpStream,
    echo: Value,
}

impl GaugeRequest {
    fn answer(mut self) {
        let notice =
            json!({"action": "METERS", "echo": self.echo, "meters": [0.1, 1, 0.1, 5]}).to_string();
        let _ = self.stream.write_all((notice + "\n").as_bytes());
    }
}

fn is_gauge_request(text: &str) -> bool {
    text.starts_with("{\"action\":\"METER\"") && !text.contains("quiet")
}

struct ScriptRun {
    config: Value,
    cells: Option<PathBuf>,
    executor: Receiver<TcpStream>,
    database: Receiver<TcpStream>,
    list: UdpSocket,
    peers: HashMap<String, Peer>,
    /// Requests for gauges to the executor.
    gauge_requests: (Sender<GaugeRequest>, Receiver<GaugeRequest>),
    /// The request for gauges that is answered next.
    next_gauge_request: Option<GaugeRequest>,
    folder: PathBuf,
    process: Option<Child>,
    address: Option<SocketAddr>,
    /// Addresses on which the program listens; closed at the end of its log.
    addresses: Receiver<SocketAddr>,
    /// The last report to the list.
    last_report: String,
    log: Arc<Mutex<Vec<String>>>,
}

impl ScriptRun {
    fn new(name: &str) -> ScriptRun {
        let ((executor_at, executor), (database_at, database)) = (listen(), listen());
        let list = UdpSocket::bind("127.0.0.1:0").expect("loopback");
        list.set_read_timeout(Some(LIST_READ_TIMEOUT))
            .expect("an option");
        let text =
            std::fs::read_to_string(golden_folder().join("config.json")).expect("a configuration");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["executor"] = json!(executor_at);
        config["db"] = json!(database_at);
        config["members"] = json!(list.local_addr().expect("bound"));
        let folder =
            std::env::temp_dir().join(format!("golden-wire-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (peers, last_report) = (HashMap::new(), String::new());
        let (cells, process, address) = (None, None, None);
        ScriptRun {
            config,
            cells,
            executor,
            database,
            list,
            peers,
            gauge_requests: channel(),
            next_gauge_request: None,
            folder,
            process,
            address,
            addresses: crossbeam_channel::never(),
            last_report,
            log: Arc::default(),
        }
    }

    fn start(&mut self) {
        let file = self.folder.join("config.json");
        std::fs::write(&file, self.config.to_string()).expect("a file");
        let mut command = Command::new(PROGRAM);
        command
            .env("TMPDIR", &self.folder)
            .env("PROXY_CONFIG", file);
        command.args(
            self.cells
                .iter()
                .flat_map(|cells| ["--cells".as_ref(), cells.as_os_str()]),
        );
        let spawned = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let mut process = spawned.expect("the program starts");
        let (address_sender, addresses) = channel();
        let log = BufReader::new(process.stderr.take().expect("a log"));
        let lines = self.log.clone();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let address = line
                    .split(LISTENING_LOG_TEXT)
                    .nth(1)
                    .and_then(|rest| rest.split(',').next());
                lines.lock().expect("a log").push(line.clone());
                if let Some(Ok(address)) = address.map(|text| text.trim().parse::<SocketAddr>()) {
                    let _ = address_sender.send(address);
                }
            }
        });
        self.process = Some(process);
        self.addresses = addresses;
        let addresses = self.addresses.clone();
        self.address = Some(self.wait_for(&addresses).expect("the program listens"));
    }

    /// Returns the next value; `None` if the channel is closed or `MESSAGE_TIMEOUT` has elapsed.
    /// Requests for gauges that arrive meanwhile are answered, but not before values received ahead
    /// of them have been taken.
    fn wait_for<T>(&mut self, receiver: &Receiver<T>) -> Option<T> {
        let end = Instant::now() + MESSAGE_TIMEOUT;
        loop {
            let next_gauge_request = self.next_gauge_request.take();
            let next_gauge_request =
                next_gauge_request.or_else(|| self.gauge_requests.1.try_recv().ok());
            match receiver.try_recv() {
                Err(TryRecvError::Empty) => {}
                outcome => {
                    self.next_gauge_request = next_gauge_request;
                    return outcome.ok();
                }
            }
            if let Some(request) = next_gauge_request {
                request.answer();
                continue;
            }
            let mut select = Select::new();
            select.recv(receiver);
            select.recv(&self.gauge_requests.1);
            if select.ready_deadline(end).is_err() {
                return None;
            }
        }
    }

    /// Returns the next message of a peer.
    fn wait_for_message(&mut self, messages: &Receiver<String>) -> Option<String> {
        self.wait_for(messages).map(|message| normalized(&message))
    }

    /// Returns the next report to the list.
    fn wait_for_report(&mut self) -> String {
        let end = Instant::now() + MESSAGE_TIMEOUT;
        let mut datagram = [0; 256];
        loop {
            let pending = self.next_gauge_request.take().into_iter();
            pending
                .chain(self.gauge_requests.1.try_iter())
                .for_each(GaugeRequest::answer);
            match self.list.recv(&mut datagram) {
                Ok(length) => return String::from_utf8_lossy(&datagram[..length]).into_owned(),
                Err(e) => assert!(Instant::now() < end, "a report: {e}"),
            }
        }
    }

    fn next(&mut self, peer: &str, want: &str) -> String {
        if peer == "list" {
            loop {
                let report = self.wait_for_report();
                // The node repeats its report while its status stays the same.
                if std::mem::replace(&mut self.last_report, report.clone()) != report {
                    return report;
                }
            }
        }
        if peer == "executor" && !self.peers.contains_key(peer) {
            let links = self.executor.clone();
            let stream = self.wait_for(&links).expect("a link");
            let executor = Peer::executor(stream, self.gauge_requests.0.clone());
            self.peers.insert(peer.into(), executor);
        }
        if peer == "database" {
            let calls = self.database.clone();
            let stream = self.wait_for(&calls).expect("a call");
            self.peers.insert(peer.into(), Peer::call(stream));
        }
        let messages = self.peers[peer].messages.clone();
        loop {
            let message = self
                .wait_for_message(&messages)
                .unwrap_or_else(|| panic!("{peer}: no message"));
            if !(peer == "executor" && is_gauge_request(&message)) || is_gauge_request(want) {
                return message;
            }
        }
    }

    fn send(&mut self, peer: &str, text: &str) {
        let mut bytes = to_bytes(text);
        if peer != "database" {
            bytes.push(b'\n');
        }
        (&self.peers[peer].stream)
            .write_all(&bytes)
            .expect("written");
    }

    fn signal(&self, name: &str) {
        let pid = self.process.as_ref().expect("started").id();
        let kill = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {pid}")])
            .status();
        assert!(kill.expect("a shell").success());
    }

    #[allow(
        clippy::too_many_lines,
        reason = "one arm for each verb of the scripts"
    )]
    fn step(&mut self, verb: &str, peer: &str, text: &str) {
        match verb {
            "set" => {
                let field = self.config.pointer_mut(peer).expect("a field");
                *field = serde_json::from_str(text).expect("JSON");
            }
            "cells" => self.cells = Some(golden_folder().join(peer)),
            "start" => self.start(),
            "open" => {
                let front_end = Peer::front_end(self.address.expect("started"));
                self.peers.insert(peer.into(), front_end);
            }
            "send" => self.send(peer, text),
            "fill" => {
                (101..=164).for_each(|n| self.send(peer, &text.replace("$ID", &n.to_string())));
            }
            "want" => assert_eq!(self.next(peer, text), text),
            "find" => while self.next(peer, text) != text {},
            "poll" => {
                let (request, want) = text.split_once(" => ").expect("an answer");
                let end = Instant::now() + MESSAGE_TIMEOUT;
                loop {
                    self.send(peer, request);
                    let answer = self.next(peer, want);
                    if answer == want {
                        break;
                    }
                    assert!(Instant::now() < end, "{peer}: {answer}");
                }
            }
            "close" => {
                let peer = self.peers.remove(peer).expect("a peer");
                peer.stream.shutdown(Shutdown::Both).expect("open");
            }
            "closed" => {
                let peer = self.peers.remove(peer).expect("a peer");
                while let Some(message) = self.wait_for_message(&peer.messages) {
                    assert!(is_gauge_request(&message), "instead of the end: {message}");
                }
            }
            "move" => {
                let (address, links) = listen();
                self.executor = links;
                self.config["executor"] = json!(address);
                std::fs::write(self.folder.join("config.json"), self.config.to_string())
                    .expect("a file");
                self.signal("HUP");
            }
            // Simulates the time that the database takes for a call; it is not a wait for a
            // condition.
            "takes" => thread::sleep(Duration::from_millis(peer.parse().expect("a number"))),
            "signal" => self.signal(peer),
            "exit" => {
                let addresses = self.addresses.clone();
                while self.wait_for(&addresses).is_some() {}
                let status = self
                    .process
                    .as_mut()
                    .expect("started")
                    .wait()
                    .expect("a child");
                assert_eq!(
                    status.code().map(|code| code.to_string()).as_deref(),
                    Some(peer)
                );
            }
            other => panic!("no such step: {other}"),
        }
    }
}

impl Drop for ScriptRun {
    fn drop(&mut self) {
        if thread::panicking() {
            println!("log:\n{}", self.log.lock().expect("a log").join("\n"));
        }
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn run_script(name: &str) {
    let script =
        std::fs::read_to_string(golden_folder().join("node").join(name)).expect("a script");
    let mut script_run = ScriptRun::new(name);
    for (number, line) in script.lines().enumerate() {
        if line.is_empty() || line.starts_with("# ") {
            continue;
        }
        println!("{name}:{}: {line}", number + 1);
        let mut words = line.splitn(3, ' ');
        let mut word = || words.next().unwrap_or("");
        script_run.step(word(), word(), word());
    }
}

#[test]
fn served_failed_and_rejected_requests_have_their_lines() {
    run_script("outcomes.txt");
}

#[test]
fn malformed_lines_get_their_errors_and_a_close() {
    run_script("malformed.txt");
}

#[test]
fn keyed_requests_and_repeats_have_their_lines() {
    run_script("keyed.txt");
}

#[test]
fn capacity_hint_is_in_health_and_answers() {
    run_script("hint.txt");
}

#[test]
fn cancelled_request_has_its_run_stopped() {
    run_script("cancel.txt");
}

#[test]
fn missing_budgets_and_full_connections_have_their_errors() {
    run_script("bounds.txt");
}

#[test]
fn calls_and_replies_of_the_database_have_their_bytes() {
    run_script("calls.txt");
}

#[test]
fn broken_link_is_resumed_after_the_last_notice() {
    run_script("links.txt");
}

#[test]
fn node_that_shuts_down_sends_a_close_notice_and_is_reported_out() {
    run_script("leaving.txt");
}

#[test]
fn tenant_of_another_cell_is_rejected_with_the_epoch() {
    run_script("cells.txt");
}

#[test]
fn call_that_would_end_too_late_is_skipped() {
    run_script("bypass.txt");
}
