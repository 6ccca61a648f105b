//! AMQP messages that are delivered again or handed back: nothing with an effect runs twice, and nothing is lost.

#[path = "common/amqp_node.rs"]
mod amqp_node;
mod doubles;

use amq_protocol::types::{AMQPValue, FieldTable};
use amqp_node::*;
use doubles::broker::{Message, POSTS, READS};
use doubles::*;

/// Guards the single effect within one process: the same key again is dead-lettered, whatever became of the first.
#[test]
fn key_that_ran_never_runs_again() {
    let (broker, mut node) = start_broker_and_node(4);
    for body in ["serve:a", "fail"] {
        broker.publish(POSTS, Message::new(body));
        wait_until("the first is answered", || {
            node.executor.run_count(body) == 1
        });
        broker.publish(POSTS, Message::new(body));
    }
    wait_until("the second ones are dead-lettered", || {
        dead_letter_count(&broker) == 2
    });
    wait_until("all are answered", || reply_count(&broker) == 4);
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

/// The keys of reads don't count: they may run as often as they are sent.
#[test]
fn read_runs_again() {
    let (broker, mut node) = start_broker_and_node(4);
    for again in [false, true] {
        let message = Message::new("serve:a");
        broker.publish(
            READS,
            if again {
                message.redelivered()
            } else {
                message
            },
        );
    }
    wait_until("both are served", || reply_count(&broker) == 2);
    assert_eq!(node.executor.run_count("serve:a"), 2);
    stop_node(&broker, &mut node);
}

/// Guards the single effect across connections: what was in flight when the connection broke is redelivered, marked.
#[test]
fn connection_lost_during_a_run_runs_nothing_twice() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    broker.break_links();
    wait_until("it is dead-lettered", || dead_letter_count(&broker) == 1);
    assert_eq!(
        broker.with(|state| state.replies[0].text(REASON)),
        "may have run"
    );
    // The run goes on to its end, and its result is dropped: the delivery was settled before.
    node.executor.finish_run("hang");
    broker.publish(POSTS, Message::new("serve:next"));
    wait_until("the new connection serves", || {
        node.executor.run_count("serve:next") == 1
    });
    wait_until("and answers", || reply_count(&broker) == 2);
    assert_eq!(node.executor.run_count("hang"), 1);
    stop_node(&broker, &mut node);
}

/// Guards the single effect across processes: the node is killed during a write, its successor gets the message again and
/// can't know how far the write went.
#[test]
fn post_redelivered_after_its_node_was_killed_is_not_run() {
    let (broker, mut first) = start_broker_and_node(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("it runs", || first.executor.run_count("hang") == 1);
    first.process.kill().expect("a child");
    first.wait_for_exit();
    wait_until("the broker has noticed", || {
        broker.with(|state| state.unacked) == 0
    });
    let mut second = start_node(&broker, 4);
    wait_until("it is dead-lettered", || dead_letter_count(&broker) == 1);
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

/// The broker goes on delivering while the node shuts down: all of it goes back without a run, posts as copies that carry
/// no mark of an earlier delivery, so that the next node may run them, once.
#[test]
fn messages_delivered_during_shutdown_are_handed_back_and_run_elsewhere() {
    let (broker, mut node) = start_broker_and_node(8);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("one runs", || node.executor.run_count("hang") == 1);
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
    let mut ran = 0;
    broker.with(|state| {
        assert_eq!(state.requeued, 3, "the reads");
        assert_eq!((state.ready[READS].len(), state.ready[POSTS].len()), (3, 3));
        for copy in &state.ready[POSTS] {
            assert!(!copy.redelivered);
            assert_eq!(copy.header(HANDED_BACK), Some(&AMQPValue::LongLongInt(1)));
            ran += node.executor.run_count(&copy.body);
        }
        // A copy must not lose the mark of an earlier delivery.
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
    assert_eq!(ran, 0, "nothing that was handed back has run");
    let mut next = start_node(&broker, 8);
    wait_until("the next node serves all", || reply_count(&broker) == 2 + 6);
    for n in 0..3 {
        assert_eq!(next.executor.run_count(&format!("serve:post {n}")), 1);
    }
    stop_node(&broker, &mut next);
}

/// Guards a copy from what the broker would act on twice: another user's name closes the channel, and `CC` would send the
/// message to other queues once more.
#[test]
fn handed_back_copy_keeps_only_the_clients_properties() {
    let (broker, mut node) = start_broker_and_node(8);
    wait_until("it consumes", || broker.with(|state| state.consumers) == 2);
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

/// A copy that can't be routed is returned before its confirm; then the original must not be lost.
#[test]
fn unroutable_copy_requeues_the_original() {
    let (broker, mut node) = start_broker_and_node(8);
    wait_until("it consumes", || broker.with(|state| state.consumers) == 2);
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
    wait_until("it is answered", || reply_count(&broker) == 1);
    assert_eq!(broker.with(|state| (state.acked, state.unacked)), (0, 1));
    broker.with(|state| state.hold_confirms = false);
    broker.break_links();
    wait_until("it was redelivered and is dead-lettered", || {
        dead_letter_count(&broker) == 1
    });
    assert_eq!(node.executor.run_count("serve:a"), 1);
    stop_node(&broker, &mut node);
}
