//! Runs a node and its test doubles on loopback, with a class whose requests are idempotent by key.
//! Sends a request, its repeat on another connection, and the same key with another body. Build the
//! program first: `cargo build && cargo run --example repeat`.

use serde_json::{json, Value};
use test_doubles::{decode_base64, Node};

/// The idempotency key of all three requests.
const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn main() {
    let node = Node::start_with(None, |config| {
        let settings = &mut config["settings"];
        settings["lanes"][1]["name"] = json!("version-submit");
        settings["lanes"][1]["effect"] = json!("by_key");
        settings["lanes"][1]["window"] = json!(30_000.0);
        // Memory that is reserved per key, in kB: small enough for many keys.
        settings["specifics"]["keyKb"] = json!(1.0);
    });
    println!("a node listens at {}", node.address);
    for (label, body) in [
        ("first attempt", "serve:scan 7"),
        ("repeat", "serve:scan 7"),
        ("other body", "serve:scan 8"),
    ] {
        let mut client = node.connect();
        client.send_with_fields("version-submit", body, &json!({"token": IDEMPOTENCY_KEY}));
        println!("{label}: {}", describe(&client.read_answer()));
    }
    println!("the executor ran {} of them", node.executor.total_runs());
}

/// Describes an answer in a line.
fn describe(answer: &Value) -> String {
    match answer["result"]["body"].as_str() {
        Some(body) => format!("served, {:?}", decode_base64(body)),
        None => format!(
            "error {}, {}",
            answer["error"]["code"], answer["error"]["message"]
        ),
    }
}
