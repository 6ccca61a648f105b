//! Runs a script against the program: its peers are sockets of the test, and its texts are compared
//! byte for byte. `tests/golden_wire.rs` describes the steps of a script.

mod peer;
mod text;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded as channel, Receiver, Select, Sender, TryRecvError};
use serde_json::{json, Value};

use peer::{is_gauge_request, listen, GaugeRequest, Peer};
use text::{normalized, to_bytes};

const PROGRAM: &str = env!("CARGO_BIN_EXE_protocol-gateway");
/// Text of the log that precedes the address on which the program listens.
const LISTENING_LOG_TEXT: &str = "listening, at: ";
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of one wait for a report to the list, after which requests for gauges are answered.
const LIST_READ_TIMEOUT: Duration = Duration::from_millis(20);

fn golden_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/wire")
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
            "poll" => self.poll(peer, text),
            "close" => {
                let peer = self.peers.remove(peer).expect("a peer");
                peer.stream.shutdown(Shutdown::Both).expect("open");
            }
            "closed" => self.wait_for_close(peer),
            "move" => self.move_executor(),
            // Simulates the time that the database takes for a call; it is not a wait for a
            // condition.
            "takes" => thread::sleep(Duration::from_millis(peer.parse().expect("a number"))),
            "signal" => self.signal(peer),
            "exit" => self.wait_for_exit(peer),
            other => panic!("no such step: {other}"),
        }
    }

    /// Repeats a request until its answer is the wanted one.
    fn poll(&mut self, peer: &str, text: &str) {
        let (request, want) = text.split_once(" => ").expect("an answer");
        let end = Instant::now() + MESSAGE_TIMEOUT;
        loop {
            self.send(peer, request);
            let answer = self.next(peer, want);
            if answer == want {
                return;
            }
            assert!(Instant::now() < end, "{peer}: {answer}");
        }
    }

    fn wait_for_close(&mut self, peer: &str) {
        let peer = self.peers.remove(peer).expect("a peer");
        while let Some(message) = self.wait_for_message(&peer.messages) {
            assert!(is_gauge_request(&message), "instead of the end: {message}");
        }
    }

    fn move_executor(&mut self) {
        let (address, links) = listen();
        self.executor = links;
        self.config["executor"] = json!(address);
        std::fs::write(self.folder.join("config.json"), self.config.to_string()).expect("a file");
        self.signal("HUP");
    }

    /// Waits until the program has exited, and checks its exit code.
    fn wait_for_exit(&mut self, code: &str) {
        let addresses = self.addresses.clone();
        while self.wait_for(&addresses).is_some() {}
        let process = self.process.as_mut().expect("started");
        let status = process.wait().expect("a child");
        assert_eq!(
            status.code().map(|code| code.to_string()).as_deref(),
            Some(code)
        );
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

/// Runs the script with this file name.
pub(crate) fn run_script(name: &str) {
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
