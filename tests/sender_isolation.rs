//! One sender's behaviour costs other senders nothing, and no process its memory.

#[path = "common/amqp_node.rs"]
mod amqp_node;
mod doubles;

use amq_protocol::types::{AMQPValue, FieldTable};
use amqp_node::stop_node;
use doubles::broker::{FakeBroker, Message, POSTS, READS};
use doubles::*;
use serde_json::json;
use test_doubles::Node;

/// The smallest memory limit that a node is run with, in megabytes.
const MEMORY_MB: u64 = 32;
/// The smaller descriptor limit that a node is run with.
const DESCRIPTORS: u64 = 384;

/// Number of header fields that fill most of a frame.
const HEADER_FIELDS: usize = 1200;
/// Number of messages in flight on each queue.
const PREFETCH: u16 = 256;

/// Starts a node with the smallest limits, which consumes from this broker.
fn start_small_node(broker: &FakeBroker) -> Node {
    Node::start_with(Some(&broker.inventory(PREFETCH)), |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
        for class in 0..2 {
            config["settings"]["lanes"][class]["deadline"] = json!(12_000.0);
        }
    })
}

/// Returns a request whose header has very many short fields.
fn message_with_many_fields(body: &str) -> Message {
    let mut headers = FieldTable::default();
    for field in 0..HEADER_FIELDS {
        let name = format!("{field:x}");
        headers.insert(name.as_str().into(), AMQPValue::Boolean(true));
    }
    let mut message = Message::new(body);
    message.properties = message.properties.with_headers(headers);
    message
}

/// Guards against a process that is killed for its memory: the decoded header fields of each message
/// in flight were kept, some 100 kB of memory for 6 kB on the wire.
#[test]
fn messages_with_very_many_header_fields_fit_into_the_memory() {
    let broker = FakeBroker::start();
    let mut node = start_small_node(&broker);
    for number in 0..PREFETCH {
        for queue in [READS, POSTS] {
            let body = format!("serve:{queue} {number}");
            broker.publish(queue, message_with_many_fields(&body));
        }
    }
    let mut peak_kb = 0;
    wait_until("each message is answered", || {
        peak_kb = peak_kb.max(node.usage().resident_kb);
        amqp_node::reply_count(&broker) == 2 * usize::from(PREFETCH)
    });
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} kB");
    stop_node(&broker, &mut node);
}
