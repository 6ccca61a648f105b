//! Case: a node that consumes keyed requests from a queue is replaced by a new process, and clients
//! that had stopped waiting repeat their requests within the window.

mod broker;
mod common;
use broker::Broker;
use common::*;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const REQUESTS: u64 = 12;
/// The client of one request of this many is hasty, and repeats it once.
const REPEAT_EVERY: u64 = 3;
const WORK_MS: u64 = 300;
/// Time after which a hasty client stops waiting for its first try.
const PATIENCE_MS: u64 = 200;
/// Window of the class in the settings.
const WINDOW_MS: u64 = 30126;
/// The new process has to say yes within this time.
const READY_MS: u64 = 6000;
/// Time from SIGTERM to SIGKILL of the old process: 3 s, as the longest deadline is longer, and 0.7 s.
const OLD_PROCESS_MS: u64 = 3700;
/// Deadline of the class.
const DEADLINE_MS: u64 = 10_000;

fn main() {
    std::process::exit(run());
}

/// One process of the node, with its own second address and executor.
struct NodeProcess {
    executor: Executor,
    admin: SocketAddr,
    process: Program,
}

struct NodeFiles<'a> {
    root: &'a Path,
    scratch: &'a Scratch,
    record: &'a Record,
    listen: SocketAddr,
    database: SocketAddr,
    members: SocketAddr,
    inventory: PathBuf,
}

impl NodeFiles<'_> {
    fn start(&self, number: u32) -> NodeProcess {
        let name = format!("executor of process {number}");
        let executor = Executor::start_for_queues(&name, WORK_MS, self.record);
        let admin = free_address();
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"executor\":\"{}\",\"members\":\"{}\",\"db\":\"{}\",\"admin\":\"{admin}\",\
             \"seed\":\"8c1f30d27a5be96{number}\",\"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"settings\":{}}}",
            self.listen, executor.address, self.members, self.database, render_settings()
        );
        let file = self.scratch.write(&format!("n1-{number}.json"), &config);
        let environment = [
            ("PROXY_CONFIG", file.display().to_string()),
            ("PROXY_NAME", "n1".to_string()),
            ("PROXY_LISTEN", self.listen.to_string()),
            ("PROXY_ADMIN", admin.to_string()),
            ("TMPDIR", self.scratch.0.join("shared").display().to_string()),
            ("REVIEW_AMQP_PASSWORD", "guest".to_string()),
        ];
        let log = self.scratch.0.join(format!("n1-{number}.log"));
        let arguments = format!("--inventory {}", self.inventory.display());
        let process = start_program(self.root, &arguments, &environment, &log);
        self.record.line(&format!("process {number} of the node started"));
        NodeProcess { executor, admin, process }
    }
}

/// Sends a command to the second address; returns the answer.
fn command(admin: SocketAddr, text: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(format!("{text}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

fn wait_until_it_says_yes(node: &NodeProcess) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(READY_MS) {
        if command(node.admin, "health").starts_with("ok") {
            return true;
        }
        sleep_ms(20);
    }
    false
}

fn wait_for_replies(broker: &Broker, correlations: &[String]) -> bool {
    let until_ms = unix_ms() + DEADLINE_MS;
    while unix_ms() < until_ms {
        if correlations.iter().all(|c| !broker.replies(c).is_empty()) {
            return true;
        }
        sleep_ms(10);
    }
    false
}

fn run() -> i32 {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the repository's root"));
    let folder = PathBuf::from(arguments.next().expect("the case's folder"));
    let record = Record::create(&folder.join("record.txt"));
    let scratch = Scratch::new();
    fs::create_dir_all(scratch.0.join("shared")).expect("a folder");
    let broker = Broker::start(&record);
    let inventory = format!(
        "all:\n  vars:\n    host: 127.0.0.1\n    port: {}\n    vhost: render\n    username: guest\n    \
         password_env: REVIEW_AMQP_PASSWORD\n  children:\n    submissions:\n      vars:\n        class: version-submit\n        \
         prefetch: 4\n      hosts:\n        landesgalerie-submissions:\n          queue: {}\n          tenant: landesgalerie-nord\n",
        broker.address.port(), broker::QUEUE
    );
    let files = NodeFiles {
        root: &root,
        scratch: &scratch,
        record: &record,
        listen: free_address(),
        database: start_database(),
        members: start_members(),
        inventory: scratch.write("inventory.yaml", &inventory),
    };
    let mut first = files.start(1);
    if !wait_until_it_says_yes(&first) {
        record.line("the node did not become ready");
        return NOT_RUN;
    }
    let key = |number: u64| format!("scan-{number}");
    let body = |number: u64| format!("scan {number}").into_bytes();
    let mut correlations = Vec::new();
    let mut hasty = Vec::new();
    let first_sent_at = unix_ms();
    for number in 0..REQUESTS {
        correlations.push(format!("{number}, first try"));
        let sent_at = unix_ms();
        broker.publish(&key(number), correlations.last().unwrap(), &body(number));
        if number % REPEAT_EVERY == 1 {
            hasty.push((number, sent_at));
        }
        sleep_ms(50);
    }
    if !wait_for_replies(&broker, &correlations) {
        record.line("some first tries were not answered");
        return NOT_RUN;
    }
    let mut executors = vec![first.executor.clone()];
    let mut second = None;
    for (number, sent_at) in &hasty {
        let replies = broker.replies(&correlations[*number as usize]);
        let is_late = replies.iter().all(|reply| reply.at_ms > sent_at + PATIENCE_MS);
        if !is_late {
            record.line("a reply came while its hasty client still waited");
            return NOT_RUN;
        }
        record.line(&format!("client: stopped waiting for {} {PATIENCE_MS} ms after sending, before its reply", key(*number)));
    }
    if has_trouble() {
        let node = files.start(2);
        if !wait_until_it_says_yes(&node) {
            record.line("the new process did not say yes");
            return NOT_RUN;
        }
        executors.push(node.executor.clone());
        second = Some(node);
        record.line("SIGTERM to process 1");
        let pid = first.process.0.id().to_string();
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {pid}")).status();
        let began = Instant::now();
        while first.process.0.try_wait().ok().flatten().is_none() {
            if began.elapsed() > Duration::from_millis(OLD_PROCESS_MS) {
                record.line("SIGKILL to process 1");
                let _ = first.process.0.kill();
                break;
            }
            sleep_ms(10);
        }
        record.line("process 1 has ended");
    }
    let mut repeats = Vec::new();
    for (number, _) in hasty {
        repeats.push(format!("{number}, further try"));
        broker.publish(&key(number), repeats.last().unwrap(), &body(number));
        sleep_ms(50);
    }
    let last_sent_at = unix_ms();
    if !wait_for_replies(&broker, &repeats) {
        record.line("some further tries were not answered");
    }
    sleep_ms(2 * WORK_MS);
    drop(second);
    if last_sent_at > first_sent_at + WINDOW_MS {
        record.line("the repeats came too late: the case could not run");
        return NOT_RUN;
    }
    let runs: Vec<Run> = executors.iter().flat_map(Executor::runs).collect();
    let mut twice = 0;
    for number in 0..REQUESTS {
        let body = base64(&body(number));
        let of_key = runs.iter().filter(|run| run.key == body).count();
        if of_key > 1 {
            twice += 1;
            record.line(&format!("RUN TWICE: key {} ran {of_key} times within its window of {WINDOW_MS} ms", key(number)));
        }
    }
    let text = format!(
        "keys {REQUESTS}, repeated {}, runs {}, keys that ran more than once {twice}", repeats.len(), runs.len()
    );
    record.line(&text);
    println!("{text}");
    if runs.len() < REQUESTS as usize {
        return NOT_RUN;
    }
    if twice > 0 { BROKEN } else { HELD }
}
