//! The cases of the second review: `review-cases-2 CASE ROOT SCRATCH FOLDER`. It ends with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod broker;
mod cases;
mod client;
mod executor;
mod json;
mod kit;

use std::path::Path;
use std::thread;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, scratch, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases-2 CASE ROOT SCRATCH FOLDER");
        std::process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(105));
        kit::cannot_run("it took too long");
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let kit = kit::Kit::new(
        Path::new(root),
        Path::new(scratch),
        Path::new(folder),
        trouble,
    );
    let broken = match case.as_str() {
        "half-written-inventory" => cases::half_written_inventory(&kit),
        "router-drain" => cases::router_drain(&kit),
        "unreadable-message" => cases::unreadable_message(&kit),
        "nested-headers" => cases::nested_headers(&kit),
        "keeps-pushing" => cases::keeps_pushing(&kit),
        _ => kit::cannot_run("no such case"),
    };
    kit::end_all_processes();
    for line in &broken {
        kit.record.line(&format!("BROKEN: {line}"));
        println!("BROKEN: {line}");
    }
    let verdict = if broken.is_empty() {
        "the rule held"
    } else {
        "the rule was broken"
    };
    kit.record.line(verdict);
    println!("{case}: {verdict}");
    std::process::exit(i32::from(!broken.is_empty()));
}
