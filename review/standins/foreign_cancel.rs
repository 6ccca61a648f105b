//! Case: a bad client takes back a request that carries the id of another front end's open request.

mod common;
use common::*;
use std::path::PathBuf;

const ROUNDS: i64 = 12;
/// A bad client interferes in one round of this many.
const TROUBLE_EVERY: i64 = 3;
/// Time that a caller waits for its try, in ms. It is the due time of the answer.
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
    let Some(node) = start_node(&root, &scratch, "n1", &render_settings(), &record) else {
        record.line("the node did not become ready");
        return NOT_RUN;
    };
    let (mut lost, mut answered) = (0, 0);
    for round in 0..ROUNDS {
        let Ok(good) = FrontEnd::connect("front end", node.address, &record) else {
            return NOT_RUN;
        };
        // Alternately a read and a submission, which runs once.
        let is_keyed = round % 2 == 1;
        let class = if is_keyed { "version-submit" } else { "derivative" };
        let (rid, t0) = (new_rid(), unix_ms());
        let body = base64(format!("request {round}").as_bytes());
        let mut extra = format!(",\"acct\":\"landesgalerie-nord\",\"budget\":{BUDGET_MS}");
        if is_keyed {
            extra += &format!(",\"token\":\"{t0:016x}{round:016x}\"");
        }
        let known = KnownRequest {
            class: class.into(),
            body: body.clone(),
            work_ms: 600,
            key: rid.clone(),
        };
        node.machine.register(&rid, known);
        good.write(&request_line(1, class, &rid, t0, &body, &extra));
        sleep_ms(150);
        if has_trouble() && round % TROUBLE_EVERY == 1 {
            let Ok(bad) = FrontEnd::connect("bad client", node.address, &record) else {
                return NOT_RUN;
            };
            let other_body = base64(b"another body");
            let extra = format!(",\"acct\":\"volkskunde-haus\",\"budget\":{BUDGET_MS}");
            let request = request_line(1, "derivative", &rid, unix_ms(), &other_body, &extra);
            let taken_back =
                "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{\"id\":1}}\n";
            bad.write(&(request + taken_back));
            sleep_ms(200);
            bad.close();
        }
        let due_ms = t0 + BUDGET_MS + SLACK_MS;
        match good.wait_for_answer(1, due_ms) {
            Some(answer) if answer.at_ms <= due_ms => answered += 1,
            _ => {
                lost += 1;
                record.line(&format!("LOST: rid {rid} has no final answer {} ms after its due time",
                    unix_ms().saturating_sub(t0 + BUDGET_MS)));
            }
        }
        if good.has_ended() {
            record.line("the front end's connection ended");
        }
        good.close();
    }
    record.line(&format!("requests of the front end: {ROUNDS}, answered in time {answered}, lost {lost}"));
    println!("answered {answered}, lost {lost} of {ROUNDS}");
    if lost > 0 { BROKEN } else { HELD }
}
