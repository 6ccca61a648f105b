//! Clients that keep requests open while a test waits for a condition.
#![allow(dead_code)] // Each test program uses a part of it.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

use serde_json::Value;
use test_doubles::{Node, TestClient};

/// Number of requests that each client keeps open.
const OPEN_REQUESTS_PER_CLIENT: usize = 8;
/// Number of concurrent clients.
const CLIENT_COUNT: usize = 6;
/// Pause of a client before it replaces a request that was not served.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(20);

/// The classes of the small site, which the clients use in turn.
const CLASSES: [&str; 2] = ["statement-read", "settlement-post"];

/// Keeps requests with this body open at a node while `until` runs. A number at the end makes each
/// body unique.
pub(crate) fn under_load(node: &Node, body: &str, until: impl FnOnce()) {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CLIENT_COUNT {
            let (stop, body) = (&stop, format!("{body}#{client}"));
            scope.spawn(move || keep_requests_open(node.connect(), &body, stop));
        }
        let _stop = StopOnDrop(&stop);
        until();
    });
}

/// Stops the clients when it is dropped, so also if the condition of the test panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
    }
}

fn keep_requests_open(mut client: TestClient, body: &str, stop: &AtomicBool) {
    let mut sent = 0;
    while !stop.load(SeqCst) {
        while sent < OPEN_REQUESTS_PER_CLIENT {
            sent += 1;
            client.send(CLASSES[sent % CLASSES.len()], &format!("{body}-{sent}"));
        }
        let answer = client.read_answer();
        if answer == Value::Null {
            return;
        }
        if !answer["result"].is_object() {
            thread::sleep(PAUSE_AFTER_ERROR);
        }
        sent += 1;
        client.send(CLASSES[sent % CLASSES.len()], &format!("{body}-{sent}"));
    }
}
