//! AMQP messages that are redelivered or handed back: requests that are not idempotent never run
//! twice, and no message is lost.

#[path = "common/amqp_node.rs"]
mod amqp_node;
mod doubles;

use amq_protocol::types::{AMQPValue, FieldTable};
use amqp_node::*;
use doubles::broker::{FakeBroker, Message, POSTS, READS};
use doubles::*;
use test_doubles::Node;

/// Time from SIGTERM to the end of a node, where a test waits for all of it.
const SHORT_STOP_MS: u64 = 1500;

/// Guards against a second run within one process: a message with a key that has run is
/// dead-lettered, whether the first run succeeded or failed.
#[test]
fn key_that_ran_never_runs_again() {
    let (broker, mut node) = start_broker_and_node(4);
    for body in ["serve:a", "fail"] {
        broker.publish(POSTS, Message::new(body));
        wait_until("the first message has run", || {
            node.executor.run_count(body) == 1
        });
        broker.publish(POSTS, Message::new(body));
    }
    wait_until("the repeated messages are dead-lettered", || {
        dead_letter_count(&broker) == 2
    });
    wait_until("all requests are answered", || reply_count(&broker) == 4);
    assert_eq!(
        (
            node.executor.run_count("serve:a"),
            node.executor.run_count("fail")
        ),
        (1, 1)
    );
    assert_eq!(
        broker.with(|state| state
            .replies
            .iter()
            .filter(|r| r.text(REASON) == "may have run")
            .count()),
        2
    );
    stop_node(&broker, &mut node);
}

/// The keys of reads are ignored: a read may run as often as it is sent.
#[test]
fn read_runs_again() {
    let (broker, mut node) = start_broker_and_node(4);
    for is_redelivered in [false, true] {
        let message = Message::new("serve:a");
        broker.publish(
            READS,
            if is_redelivered {
                message.redelivered()
            } else {
                message
            },
        );
    }
    wait_until("both messages are served", || reply_count(&broker) == 2);
    assert_eq!(node.executor.run_count("serve:a"), 2);
    stop_node(&broker, &mut node);
}

/// Guards against a second run across connections: messages that were in flight when the connection
/// broke are redelivered, with the mark of a redelivery.
#[test]
fn connection_lost_during_a_run_runs_nothing_twice() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    broker.break_links();
    wait_until("the message is dead-lettered", || {
        dead_letter_count(&broker) == 1
    });
    assert_eq!(
        broker.with(|state| state.replies[0].text(REASON)),
        "may have run"
    );
    // The run continues to its end and its result is dropped, since the delivery is already
    // settled.
    node.executor.finish_run("hang");
    broker.publish(POSTS, Message::new("serve:next"));
    wait_until("a message of the new connection has run", || {
        node.executor.run_count("serve:next") == 1
    });
    wait_until("the message of the new connection is answered", || {
        reply_count(&broker) == 2
    });
    assert_eq!(node.executor.run_count("hang"), 1);
    stop_node(&broker, &mut node);
}

/// Guards against a second run across processes: the node is killed during a write, and its
/// successor gets the message again without knowing how much of the write was executed.
#[test]
fn post_redelivered_after_its_node_was_killed_is_not_run() {
    let (broker, mut first) = start_broker_and_node(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("the run has started", || {
        first.executor.run_count("hang") == 1
    });
    first.process.kill().expect("the node can be killed");
    first.wait_for_exit();
    wait_until("the broker has noticed the lost connection", || {
        broker.with(|state| state.unacked) == 0
    });
    let mut second = start_node(&broker, 4);
    wait_until("the message is dead-lettered", || {
        dead_letter_count(&broker) == 1
    });
    assert_eq!(
        first.executor.run_count("hang") + second.executor.run_count("hang"),
        1
    );
    assert_eq!(
        broker.with(|state| state.replies[0].text(REASON)),
        "may have run"
    );
    stop_node(&broker, &mut second);
}

/// The broker continues to deliver while the node shuts down. These messages are handed back
/// without a run; those that are not idempotent as copies without the mark of an earlier delivery,
/// so that the next node may run them, once.
#[test]
fn messages_delivered_during_shutdown_are_handed_back_and_run_elsewhere() {
    let (broker, mut node) = start_broker_and_node(8);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    broker.with(|state| {
        for n in 0..3 {
            state
                .push_on_cancel
                .push((POSTS.into(), Message::new(&format!("serve:post {n}"))));
            state
                .push_on_cancel
                .push((READS.into(), Message::new(&format!("serve:read {n}"))));
        }
        state.push_on_cancel.push((
            POSTS.into(),
            Message::new("serve:second time").redelivered(),
        ));
    });
    stop_node(&broker, &mut node);
    let mut copies_run = 0;
    broker.with(|state| {
        assert_eq!(state.requeued, 3, "the reads");
        assert_eq!((state.ready[READS].len(), state.ready[POSTS].len()), (3, 3));
        for copy in &state.ready[POSTS] {
            assert!(!copy.redelivered);
            assert_eq!(copy.header(HANDED_BACK), Some(&AMQPValue::LongLongInt(1)));
            copies_run += node.executor.run_count(&copy.body);
        }
        // A redelivered message is not copied, as the copy would lose the mark of the earlier
        // delivery.
        assert_eq!(
            state
                .dead_letters
                .iter()
                .map(|m| m.body.as_str())
                .collect::<Vec<_>>(),
            ["serve:second time"]
        );
        assert_eq!(
            state
                .replies
                .iter()
                .filter(|r| r.text(STATUS) == "failed")
                .count(),
            2
        );
    });
    assert_eq!(copies_run, 0, "a message that was handed back has run");
    let mut next = start_node(&broker, 8);
    wait_until("the next node has served all messages", || {
        reply_count(&broker) == 2 + 6
    });
    for n in 0..3 {
        assert_eq!(next.executor.run_count(&format!("serve:post {n}")), 1);
    }
    stop_node(&broker, &mut next);
}

/// Guards against `review/10`: a broker that keeps pushing was handed copies of messages whose
/// originals it delivered again as well, so that a message got two contrary answers.
#[test]
fn broker_that_ignores_the_cancel_gets_no_copies_and_each_message_has_one_answer() {
    const MESSAGES: usize = 12;
    let broker = FakeBroker::start();
    let inventory = broker.inventory(4);
    let mut node = Node::start_with(Some(&inventory), |config| {
        config["stop_ms"] = SHORT_STOP_MS.into();
    });
    wait_until("both queues are consumed", || {
        broker.with(|state| state.consumers) == 2
    });
    broker.with(|state| state.ignores_cancels = true);
    node.terminate();
    wait_until("the node cancels both consumers", || {
        broker.with(|state| state.ignored_cancels) == 2
    });
    for n in 0..MESSAGES {
        broker.publish(POSTS, Message::new(&format!("serve:{n}")));
    }
    assert_eq!(node.wait_for_exit().code(), Some(0));
    wait_until("the broker has noticed the end of the connection", || {
        broker.with(|state| state.unacked) == 0
    });
    assert_eq!(broker.with(|state| state.copies), 0);

    broker.with(|state| state.ignores_cancels = false);
    let mut next = start_node(&broker, 4);
    wait_until("each message is answered", || {
        reply_count(&broker) == MESSAGES
    });
    for n in 0..MESSAGES {
        let body = format!("serve:{n}");
        let about = format!("about {body}");
        let is_about = |reply: &Message| reply.correlation() == about;
        let answers = broker.with(|state| state.replies.iter().filter(|r| is_about(r)).count());
        let runs = node.executor.run_count(&body) + next.executor.run_count(&body);
        assert!(answers == 1 && runs <= 1, "{body}: {answers}, {runs}");
    }
    stop_node(&broker, &mut next);
}

/// Guards against a stack overflow, which ends the process for all its senders: the header of a
/// message that is handed back is decoded again, and tables in tables take stack.
#[test]
fn message_with_nested_header_tables_is_handed_back() {
    const DEPTH: usize = 100;
    let (broker, mut node) = start_broker_and_node(8);
    wait_until("both queues are consumed", || {
        broker.with(|state| state.consumers) == 2
    });
    let mut headers = FieldTable::default();
    for _ in 0..DEPTH {
        let mut outer = FieldTable::default();
        outer.insert("x".into(), AMQPValue::FieldTable(headers));
        headers = outer;
    }
    let mut message = Message::new("serve:a");
    message.properties = message.properties.with_headers(headers);
    broker.with(|state| state.push_on_cancel.push((POSTS.into(), message)));
    stop_node(&broker, &mut node);
    assert_eq!(broker.with(|state| state.ready[POSTS].len()), 1);
}

/// Guards against properties of a copy that the broker would act on again: a user id of another
/// user closes the channel, and `CC` would send the message to other queues once more.
#[test]
fn handed_back_copy_keeps_only_the_clients_properties() {
    let (broker, mut node) = start_broker_and_node(8);
    wait_until("both queues are consumed", || {
        broker.with(|state| state.consumers) == 2
    });
    let mut message = Message::new("serve:a");
    let mut headers = FieldTable::default();
    headers.insert("CC".into(), AMQPValue::LongString("elsewhere".into()));
    headers.insert("trace".into(), AMQPValue::LongLongInt(7));
    message.properties = message
        .properties
        .with_headers(headers)
        .with_user_id("partner".into())
        .with_priority(3);
    broker.with(|state| state.push_on_cancel.push((POSTS.into(), message.clone())));
    stop_node(&broker, &mut node);
    let copy = broker.with(|state| state.ready[POSTS][0].clone());
    assert_eq!(
        (copy.header("CC"), copy.header("trace")),
        (None, Some(&AMQPValue::LongLongInt(7)))
    );
    assert_eq!(
        (copy.properties.user_id(), copy.properties.priority()),
        (&None, &Some(3))
    );
    assert_eq!(
        copy.properties.message_id(),
        message.properties.message_id()
    );
    assert_eq!(
        (copy.body, copy.properties.reply_to()),
        (message.body, message.properties.reply_to())
    );
}

/// A copy that can't be routed is returned before its confirm; the original must not be lost then.
#[test]
fn unroutable_copy_requeues_the_original() {
    let (broker, mut node) = start_broker_and_node(8);
    wait_until("both queues are consumed", || {
        broker.with(|state| state.consumers) == 2
    });
    broker.with(|state| {
        state.unroutable = true;
        state
            .push_on_cancel
            .push((POSTS.into(), Message::new("serve:a")));
    });
    stop_node(&broker, &mut node);
    assert_eq!(
        broker.with(|state| (state.requeued, state.ready[POSTS].len(), state.acked)),
        (1, 1, 0)
    );
    assert_eq!(node.executor.run_count("serve:a"), 0);
}

/// A reply counts as published only once the broker has confirmed it.
#[test]
fn message_is_acknowledged_only_after_the_confirm_of_its_answer() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.with(|state| state.hold_confirms = true);
    broker.publish(POSTS, Message::new("serve:a"));
    wait_until("the request is answered", || reply_count(&broker) == 1);
    assert_eq!(broker.with(|state| (state.acked, state.unacked)), (0, 1));
    broker.with(|state| state.hold_confirms = false);
    broker.break_links();
    wait_until("the message was redelivered and is dead-lettered", || {
        dead_letter_count(&broker) == 1
    });
    assert_eq!(node.executor.run_count("serve:a"), 1);
    stop_node(&broker, &mut node);
}
