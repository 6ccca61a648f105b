//! Golden properties of AMQP messages: what a node publishes for each outcome and what it hands
//! back, as text, compared with the files of `tests/golden/wire/amqp`, which never change. Numbers
//! that differ from run to run are replaced by `#`.

mod doubles;

use std::path::Path;

use amq_protocol::types::AMQPValue;
use doubles::broker::{FakeBroker, Message, POSTS, READS};
use doubles::*;

/// Headers whose numbers differ from run to run.
const VARIABLE_HEADERS: [&str; 2] = ["x-mothwinch-hint", "x-mothwinch-retry-after-ms"];

fn start_broker_and_node() -> (FakeBroker, Node) {
    let broker = FakeBroker::start();
    let node = Node::start_with(Some(&broker.inventory(8)), |config| {
        config["settings"]["specifics"]["say"] = "off".into();
    });
    wait_until("it consumes", || broker.with(|state| state.consumers) == 2);
    (broker, node)
}

/// Shuts the node down and compares the messages that the broker then holds with a golden file.
fn check_messages(broker: &FakeBroker, node: &mut Node, name: &str) {
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/wire/amqp")
        .join(name);
    let want = std::fs::read_to_string(path).expect("a golden file");
    let got = broker.with(|state| {
        assert_eq!(state.violations, Vec::<String>::new());
        let ready = |queue: &str| {
            state
                .ready
                .get(queue)
                .into_iter()
                .flatten()
                .cloned()
                .collect::<Vec<_>>()
        };
        let destinations = [
            ("reply", state.replies.clone()),
            ("dead", state.dead_letters.clone()),
            (READS, ready(READS)),
            (POSTS, ready(POSTS)),
        ];
        let lines = destinations.iter().flat_map(|(destination, messages)| {
            messages
                .iter()
                .map(move |message| format!("{destination}: {}\n", format_message(message)))
        });
        let mut lines: Vec<String> = lines.collect();
        lines.sort();
        lines.concat() + &format!("acked: {}\n", state.acked)
    });
    assert_eq!(got, want, "got:\n{got}");
}

/// Formats a message on one line, with its headers sorted by name.
fn format_message(message: &Message) -> String {
    let properties = &message.properties;
    let headers = properties
        .headers()
        .iter()
        .flat_map(|headers| headers.inner().iter());
    let mut headers: Vec<String> = headers
        .map(|(name, value)| match value {
            AMQPValue::LongLongInt(_) | AMQPValue::Double(_)
                if VARIABLE_HEADERS.contains(&name.as_str()) =>
            {
                format!("{name}={:?}:#", value.get_type())
            }
            AMQPValue::LongString(text) => format!("{name}={text}"),
            other => format!("{name}={other:?}"),
        })
        .collect();
    headers.sort();
    let field = |value: &Option<_>| value.as_ref().map_or(String::new(), ToString::to_string);
    format!(
        "{:.40} type={} correlation={:.40} message={:.40} reply-to={} [{}]",
        message.body,
        field(properties.kind()),
        field(properties.correlation_id()),
        field(properties.message_id()),
        field(properties.reply_to()),
        headers.join(" ")
    )
}

#[test]
fn answers_carry_their_status_reason_and_retry_headers() {
    let (broker, mut node) = start_broker_and_node();
    let wait_until_answered = |count: usize| {
        wait_until("all are answered", || {
            broker.with(|state| state.acked + state.dead_letters.len()) == count
        });
    };
    for (queue, name) in [(READS, "read"), (POSTS, "post")] {
        broker.publish(queue, Message::new(&format!("serve:{name}")));
        broker.publish(queue, Message::new(&format!("bad:{name}")));
        broker.publish(queue, Message::new(&format!("fail:{name}")));
    }
    wait_until_answered(6);
    broker.publish(POSTS, Message::new("hang:given up"));
    broker.publish(POSTS, Message::new("serve:delivered before").redelivered());
    broker.publish(POSTS, Message::new("serve:post"));
    wait_until_answered(9);
    check_messages(&broker, &mut node, "answers.txt");
}

#[test]
fn rejected_messages_get_a_retry_after() {
    let broker = FakeBroker::start();
    // A tenant of another cell is rejected regardless of load.
    let cells = ScratchFile::new(
        "cells.json5",
        "{ version: 1, slack: 2, cells: { a: {}, b: {} }, tenants: { alpenergia: { cell: 'b' } },
           nodes: { n3: { site: 'x', cell: 'a' }, n4: { site: 'y', cell: 'b' } } }",
    );
    let inventory = broker.inventory(8);
    let mut node = Node::start_with_cells(Some(&inventory), Some(&cells), |_| {});
    let mut front_end = node.connect();
    wait_until("there is a free value", || {
        front_end.query_alive()["result"]["hint"].is_number()
    });
    broker.publish(READS, Message::new("serve:read"));
    broker.publish(POSTS, Message::new("serve:post"));
    wait_until("both are answered", || {
        broker.with(|state| state.acked) == 2
    });
    check_messages(&broker, &mut node, "refused.txt");
}

#[test]
fn malformed_messages_and_failures_without_a_reply_queue_are_rejected() {
    let (broker, mut node) = start_broker_and_node();
    broker.publish(
        POSTS,
        Message {
            body: "serve:keyless".into(),
            ..Message::default()
        },
    );
    broker.publish(
        READS,
        Message {
            body: "x".repeat(9000),
            ..Message::new("serve:long")
        },
    );
    broker.publish(READS, Message::without_reply("fail"));
    broker.publish(READS, Message::without_reply("serve"));
    wait_until("all are settled", || {
        broker.with(|state| state.acked + state.dead_letters.len()) == 4
    });
    check_messages(&broker, &mut node, "rejected.txt");
}

#[test]
fn messages_during_shutdown_are_handed_back_with_their_headers() {
    let (broker, mut node) = start_broker_and_node();
    broker.with(|state| {
        let mut handed_back = Message::new("serve:again");
        let mut headers = amq_protocol::types::FieldTable::default();
        headers.insert("x-mothwinch-handed-back".into(), AMQPValue::LongLongInt(4));
        headers.insert("x-mothwinch-copy".into(), AMQPValue::LongLongInt(9));
        headers.insert("trace".into(), AMQPValue::LongLongInt(7));
        handed_back.properties = handed_back.properties.with_headers(headers);
        state
            .push_on_cancel
            .push((POSTS.into(), Message::new("serve:post")));
        state.push_on_cancel.push((POSTS.into(), handed_back));
        state
            .push_on_cancel
            .push((READS.into(), Message::new("serve:read")));
    });
    check_messages(&broker, &mut node, "handed_back.txt");
}
