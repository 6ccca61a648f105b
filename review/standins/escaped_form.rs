//! Case: one of a front end's messages to the router writes a character of a string as a JSON
//! escape. The front end's other request on that connection is open.

mod common;
use common::*;
use std::path::PathBuf;

const ROUNDS: i64 = 8;
/// One round of this many has the other form.
const TROUBLE_EVERY: i64 = 4;
const BUDGET_MS: u64 = 2500;
/// `answerSlack` of the settings and the 50 ms that the rules on sockets add.
const SLACK_MS: u64 = 150;

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
    let (mut lost, mut answered) = (0, 0);
    for round in 0..ROUNDS {
        let Ok(front_end) = FrontEnd::connect("front end", routed.address, &record) else {
            return NOT_RUN;
        };
        let send = |id: i64, work_ms: u64, tenant: &str| {
            let (rid, t0) = (new_rid(), unix_ms());
            let body = base64(format!("image {round} {id}").as_bytes());
            let known = KnownRequest {
                class: "derivative".into(),
                body: body.clone(),
                work_ms,
                key: rid.clone(),
            };
            for node in &routed.nodes {
                node.machine.register(&rid, known.clone());
            }
            let extra = format!(",\"acct\":\"{tenant}\",\"budget\":{BUDGET_MS}");
            front_end.write(&request_line(id, "derivative", &rid, t0, &body, &extra));
            t0 + BUDGET_MS + SLACK_MS
        };
        let due_first = send(1, 700, "landesgalerie-nord");
        sleep_ms(150);
        let is_escaped = has_trouble() && round % TROUBLE_EVERY == 1;
        // Both texts are the same JSON string.
        let tenant = if is_escaped { "volkskunde\\u002dhaus" } else { "volkskunde-haus" };
        let due_second = send(2, 200, tenant);
        for (id, due_ms) in [(1, due_first), (2, due_second)] {
            match front_end.wait_for_answer(id, due_ms) {
                Some(_) => answered += 1,
                None => {
                    lost += 1;
                    let ended = if front_end.has_ended() { "ended" } else { "is open" };
                    record.line(&format!("LOST: request {id} has no final answer at its due time; the connection {ended}"));
                }
            }
        }
        front_end.close();
    }
    let text = format!("requests {}, answered in time {answered}, lost {lost}", 2 * ROUNDS);
    record.line(&text);
    println!("{text}");
    if lost > 0 { BROKEN } else { HELD }
}
