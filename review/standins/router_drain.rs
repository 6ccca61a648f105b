//! Case: the router gets SIGTERM while a front end goes on using its open connections.

mod common;
use common::*;
use std::path::PathBuf;
use std::process::Command;

/// Interval between two requests, in ms: 20 a second, of 600 ms work each.
const INTERVAL_MS: u64 = 50;
const WORK_MS: u64 = 600;
const BUDGET_MS: u64 = 2500;
/// `answerSlack` of the settings and the 50 ms that the rules on sockets add.
const SLACK_MS: u64 = 150;
const BEFORE_MS: u64 = 2000;
/// `drainGrace` of the settings and 50 ms.
const GRACE_MS: u64 = 2050;
/// `stop_ms` of the configuration: the time from SIGTERM to SIGKILL.
const STOP_MS: u64 = 3200;
/// A request that crosses the end of its connection within this time is sent again.
const CROSSING_MS: u64 = 50;

fn main() {
    std::process::exit(run());
}

struct Sent {
    connection: usize,
    id: i64,
    t0: u64,
    key: String,
}

fn run() -> i32 {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the repository's root"));
    let folder = PathBuf::from(arguments.next().expect("the case's folder"));
    let record = Record::create(&folder.join("record.txt"));
    let scratch = Scratch::new();
    let Some(mut routed) = start_routed_nodes(&root, &scratch, &record) else {
        return NOT_RUN;
    };
    let mut connections = Vec::new();
    for number in 1..=2 {
        let name = format!("front end, connection {number}");
        match FrontEnd::connect(&name, routed.address, &record) {
            Ok(connection) => connections.push(connection),
            Err(_) => return NOT_RUN,
        }
    }
    let mut sent: Vec<Sent> = Vec::new();
    let began = unix_ms();
    let mut notice_at = None;
    let mut ended_at = None;
    loop {
        let now = unix_ms();
        if notice_at.is_none() && now >= began + BEFORE_MS {
            notice_at = Some(now);
            if has_trouble() {
                record.line("SIGTERM to the router");
                let pid = routed.router.0.id().to_string();
                let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {pid}")).status();
            }
        }
        if ended_at.is_none() && routed.router.0.try_wait().ok().flatten().is_some() {
            record.line("the router has ended by itself");
            ended_at = Some(unix_ms());
        }
        if ended_at.is_some() || notice_at.is_some_and(|at| now >= at + STOP_MS) {
            break;
        }
        // A sound front end sends nothing on a connection that has a farewell or has ended.
        let number = sent.len() + 1;
        let connection = number % 2;
        let front_end = &connections[connection];
        if !front_end.has_farewell() && !front_end.has_ended() {
            let (rid, t0, id) = (new_rid(), unix_ms(), number as i64);
            let body = base64(format!("image {number}").as_bytes());
            let known = KnownRequest {
                class: "derivative".into(),
                body: body.clone(),
                work_ms: WORK_MS,
                key: rid.clone(),
            };
            for node in &routed.nodes {
                node.machine.register(&rid, known.clone());
            }
            let extra = format!(",\"acct\":\"landesgalerie-nord\",\"budget\":{BUDGET_MS}");
            front_end.write(&request_line(id, "derivative", &rid, t0, &body, &extra));
            sent.push(Sent { connection, id, t0, key: rid });
        }
        sleep_ms(INTERVAL_MS);
    }
    let notice_at = notice_at.unwrap_or(began);
    if has_trouble() && ended_at.is_none() {
        record.line("SIGKILL to the router, stop_ms after SIGTERM");
        let _ = routed.router.0.kill();
        ended_at = Some(unix_ms());
    }
    sleep_ms(WORK_MS + BUDGET_MS + SLACK_MS);
    let (mut lost, mut answered) = (0, 0);
    for request in &sent {
        let answers = connections[request.connection].answers(request.id);
        let is_crossing = ended_at.is_some_and(|at| request.t0 + CROSSING_MS > at);
        match answers.first() {
            Some(answer) if answer.at_ms <= request.t0 + BUDGET_MS + SLACK_MS => answered += 1,
            _ if is_crossing => record.line(&format!("request {} crossed the end; not counted", request.id)),
            _ => {
                lost += 1;
                let age = ended_at.map_or(0, |at| at.saturating_sub(request.t0));
                record.line(&format!("LOST: request {}, written {age} ms before the router's end", request.id));
            }
        }
    }
    let mut late = 0;
    for request in sent.iter().filter(|request| request.t0 > notice_at + GRACE_MS) {
        let runs = routed.nodes.iter().flat_map(|node| node.executor.runs());
        if has_trouble() && runs.into_iter().any(|run| run.key == request.key) {
            late += 1;
        }
    }
    let farewells = connections.iter().filter(|connection| connection.has_farewell()).count();
    let text = format!(
        "requests {}, answered in time {answered}, lost {lost}; begun later than {GRACE_MS} ms after SIGTERM {late}; \
         connections with a farewell {farewells} of 2", sent.len()
    );
    record.line(&text);
    println!("{text}");
    if late > 0 || lost * 1000 > 3 * sent.len() { BROKEN } else { HELD }
}
