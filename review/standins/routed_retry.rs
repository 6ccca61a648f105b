//! Case: a front end's connection to the router is reset as the answer to a keyed request comes,
//! and the front end sends the request again, marked as a further try, on a new connection.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;

/// Number of keyed requests, one after the other.
const REQUESTS: u64 = 40;
/// The connection is reset at one request of this many.
const RESET_EVERY: u64 = 3;
const BUDGET_MS: u64 = 6000;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the repository's root"));
    let folder = PathBuf::from(arguments.next().expect("the case's folder"));
    let record = Record::create(&folder.join("record.txt"));
    let scratch = Scratch::new();
    let Some(routed) = start_routed_nodes(&root, &scratch, &record) else {
        return NOT_RUN;
    };
    let (address, nodes) = (routed.address, &routed.nodes);
    for number in 0..REQUESTS {
        let token = format!("{:016x}{number:016x}", unix_ms());
        let body = base64(format!("scan {number}").as_bytes());
        let send_try = |is_further: bool| {
            let (rid, t0) = (new_rid(), unix_ms());
            let known = KnownRequest {
                class: "version-submit".into(),
                body: body.clone(),
                work_ms: 250,
                key: token.clone(),
            };
            for node in nodes {
                node.machine.register(&rid, known.clone());
            }
            let mark = if is_further { ",\"again\":1" } else { "" };
            let extra = format!(
                ",\"acct\":\"landesgalerie-nord\",\"budget\":{BUDGET_MS},\"token\":\"{token}\"{mark}"
            );
            (request_line(1, "version-submit", &rid, t0, &body, &extra), t0)
        };
        let (line, t0) = send_try(false);
        if has_trouble() && number % RESET_EVERY == 1 {
            let Ok(stream) = TcpStream::connect(address) else {
                return NOT_RUN;
            };
            let _ = stream.set_nodelay(true);
            record.line(&format!("front end: sent {}", line.trim_end()));
            let _ = (&stream).write_all(line.as_bytes());
            // The run takes 250 ms. Its answer arrives and is not read: the close of a socket with
            // unread bytes resets the connection.
            sleep_ms(600);
            drop(stream);
            record.line("front end: its connection was reset as the answer came");
            let Ok(front_end) = FrontEnd::connect("front end", address, &record) else {
                return NOT_RUN;
            };
            let (line, t0) = send_try(true);
            front_end.write(&line);
            if front_end.wait_for_answer(1, t0 + BUDGET_MS + 150).is_none() {
                record.line("the further try was not answered");
            }
            front_end.close();
        } else {
            let Ok(front_end) = FrontEnd::connect("front end", address, &record) else {
                return NOT_RUN;
            };
            front_end.write(&line);
            if front_end.wait_for_answer(1, t0 + BUDGET_MS + 150).is_none() {
                record.line("the try was not answered");
                return NOT_RUN;
            }
            front_end.close();
        }
    }
    let mut runs = Vec::new();
    for node in nodes {
        runs.extend(node.executor.runs());
    }
    let mut keys: Vec<String> = runs.iter().map(|run| run.key.clone()).collect();
    keys.sort();
    keys.dedup();
    let mut twice = 0;
    for key in &keys {
        let of_key = runs.iter().filter(|run| run.key == *key).count();
        if of_key > 1 {
            twice += 1;
            record.line(&format!("RUN TWICE: key {key} ran {of_key} times within its window of 30126 ms"));
        }
    }
    let text = format!("keys {}, runs {}, keys that ran more than once {twice}", keys.len(), runs.len());
    record.line(&text);
    println!("{text}");
    if keys.len() < REQUESTS as usize {
        record.line("some requests never ran: the case could not run");
        return NOT_RUN;
    }
    if twice > 0 { BROKEN } else { HELD }
}
