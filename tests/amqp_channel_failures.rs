//! Failures of one queue's channel: they cost the other queues of the broker nothing, and the
//! channel is opened again.

#[path = "common/amqp_node.rs"]
mod amqp_node;
mod doubles;

use amqp_node::*;
use doubles::broker::{ChannelFault, FakeBroker, Message, POSTS, READS};
use doubles::*;
use test_doubles::Node;

/// A queue that the inventory names and that the broker does not have at first.
const MISSING: &str = "missing";

/// Returns the number of connections, which is 1 if none has been lost.
fn connection_count(broker: &FakeBroker) -> usize {
    broker.with(|state| state.connections)
}

/// Publishes posts and reads one after the other, and waits until each has been answered.
fn serve_messages(broker: &FakeBroker, count: usize, label: &str) {
    let earlier = reply_count(broker);
    for n in 0..count {
        broker.publish(POSTS, Message::new(&format!("serve:post {label} {n}")));
        broker.publish(READS, Message::new(&format!("serve:read {label} {n}")));
        wait_until("both messages are answered", || {
            reply_count(broker) == earlier + 2 * (n + 1)
        });
    }
}

/// Guards against `review/9`: a queue that does not exist ended the connection again and again, and
/// the messages of all other queues were run without an answer, or told that they may have run.
#[test]
fn queue_that_does_not_exist_costs_other_queues_nothing() {
    let broker = FakeBroker::start();
    broker.with(|state| state.missing_queues.insert(MISSING.into()));
    let mut node = Node::start_with(Some(&broker.inventory_with(MISSING, 4)), |_| {});
    wait_until("the consumer is rejected", || {
        broker.with(|state| state.rejected_consumers) > 0
    });
    serve_messages(&broker, 4, "a");
    broker.with(|state| {
        assert!(state.replies.iter().all(|r| r.text(STATUS) == "served"));
        assert_eq!(state.dead_letters, []);
    });
    assert_eq!(connection_count(&broker), 1);

    // The queue is consumed once it exists.
    broker.publish(MISSING, Message::new("serve:late"));
    broker.with(|state| state.missing_queues.clear());
    wait_until("the message of the new queue is answered", || {
        reply_count(&broker) == 9
    });
    assert_eq!(connection_count(&broker), 1);
    stop_node(&broker, &mut node);
}

/// Guards against a deleted queue that ends the connection: deliveries that were in flight are
/// still settled, and the other queues are not affected.
#[test]
fn cancelled_consumer_settles_its_deliveries_and_subscribes_again() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(READS, Message::new("hang"));
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    broker.with(|state| {
        let fault = ChannelFault::ConsumerCancelled;
        state.channel_faults.push((READS.into(), fault));
    });
    wait_until("the broker has cancelled the consumer", || {
        broker.with(|state| state.channel_faults.is_empty())
    });
    broker.publish(POSTS, Message::new("serve:post"));
    wait_until("the post is answered", || reply_count(&broker) == 1);
    node.executor.finish_run("hang");
    wait_until("the delivery of the cancelled consumer is answered", || {
        reply_count(&broker) == 2
    });
    serve_messages(&broker, 1, "after");
    assert_eq!(node.executor.run_count("hang"), 1);
    assert_eq!(connection_count(&broker), 1);
    broker.with(|state| assert_eq!(state.dead_letters, []));
    stop_node(&broker, &mut node);
}

/// Guards against answers of an earlier channel that settle a delivery with the same tag: a method
/// that is not allowed closes its channel alone, whose deliveries are received again.
#[test]
fn unexpected_method_ends_its_channel_alone() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(READS, Message::new("hang"));
    broker.publish(POSTS, Message::new("hang:post"));
    wait_until("both runs have started", || {
        node.executor.run_count("hang") == 1 && node.executor.run_count("hang:post") == 1
    });
    broker.with(|state| {
        let fault = ChannelFault::UnexpectedMethod;
        state.channel_faults.push((READS.into(), fault));
    });
    wait_until("the read is delivered and run again", || {
        node.executor.run_count("hang") == 2
    });
    // The first of the reads was delivered on the channel that has failed.
    for body in ["hang:post", "hang", "hang"] {
        node.executor.finish_run(body);
    }
    wait_until("both messages are answered", || reply_count(&broker) == 2);
    broker.with(|state| {
        assert!(state.replies.iter().all(|r| r.text(STATUS) == "served"));
        assert_eq!(state.dead_letters, []);
    });
    assert_eq!(node.executor.run_count("hang:post"), 1);
    assert_eq!(connection_count(&broker), 1);
    stop_node(&broker, &mut node);
}
