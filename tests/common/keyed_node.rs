//! A node with a class that runs by idempotency key, whose callers send a cancellation when they stop waiting.
#![allow(dead_code)] // Each test program uses a part of it.

use serde_json::{json, Value};
use test_doubles::{Node, TestClient};

/// An idempotency key, and another one.
pub(crate) const TOKEN: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
pub(crate) const OTHER_TOKEN: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";

/// The idempotency window of the class, in ms.
pub(crate) const WINDOW_MS: u64 = 400;
/// What the settings allow an answer beyond its deadline, in ms.
pub(crate) const ANSWER_SLACK_MS: u64 = 100;

/// Adds the class `version-submit` to the settings, and callers that cancel.
pub(crate) fn add_keyed_class(config: &mut Value) {
    let classes = config["settings"]["lanes"].as_array_mut().expect("classes");
    classes.push(
        json!({"name": "version-submit", "promise": 1000.0, "deadline": 1500.0, "effect": "by_key",
               "lateWorth": 0.2, "window": WINDOW_MS, "worth": 1.0}),
    );
    let specifics = &mut config["settings"]["specifics"];
    specifics["classCalls"] = json!([true, true, true]);
    specifics["classSkipWorth"] = json!([0.5, 0.0, 0.0]);
    specifics["tellsGone"] = json!(true);
    // A key's price in the executor's memory, so small that it limits nothing here.
    specifics["keyKb"] = json!(1.0);
}

/// Starts a node with the class.
pub(crate) fn start_keyed_node() -> Node {
    Node::start_with(None, add_keyed_class)
}

/// Sends a request of the class under a key and returns its id.
pub(crate) fn submit(client: &mut TestClient, body: &str, token: &str) -> u64 {
    client.send_with_fields("version-submit", body, &json!({"token": token}))
}
