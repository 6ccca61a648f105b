//! A node with a class whose requests carry idempotency keys, and whose callers send a cancellation
//! when they stop waiting.
#![allow(dead_code)] // Each test program uses a part of it.

use serde_json::{json, Value};
use test_doubles::{Node, TestClient};

/// An idempotency key.
pub(crate) const TOKEN: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
/// An idempotency key that differs from [`TOKEN`].
pub(crate) const OTHER_TOKEN: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";

/// Deadline of the class, in milliseconds.
pub(crate) const CLASS_DEADLINE_MS: u64 = 1500;
/// Idempotency window of the class, in milliseconds.
pub(crate) const WINDOW_MS: u64 = 400;
/// Time after the deadline within which the settings still allow an answer, in milliseconds.
pub(crate) const ANSWER_SLACK_MS: u64 = 100;

/// Adds the class `version-submit` to the settings, with callers that cancel.
pub(crate) fn add_keyed_class(config: &mut Value) {
    let classes = config["settings"]["lanes"]
        .as_array_mut()
        .expect("the settings list classes");
    classes.push(
        json!({"name": "version-submit", "promise": 1000.0, "deadline": CLASS_DEADLINE_MS, "effect": "by_key",
               "lateWorth": 0.2, "window": WINDOW_MS, "worth": 1.0}),
    );
    let specifics = &mut config["settings"]["specifics"];
    specifics["classCalls"] = json!([true, true, true]);
    specifics["classSkipWorth"] = json!([0.5, 0.0, 0.0]);
    specifics["tellsGone"] = json!(true);
    // Memory of a key in the executor, so small that it limits nothing here.
    specifics["keyKb"] = json!(1.0);
}

/// Starts a node with the class `version-submit`.
pub(crate) fn start_keyed_node() -> Node {
    Node::start_with(None, add_keyed_class)
}

/// Sends a request of the class with an idempotency key and returns its id.
pub(crate) fn submit(client: &mut TestClient, body: &str, token: &str) -> u64 {
    client.send_with_fields("version-submit", body, &json!({"token": token}))
}
