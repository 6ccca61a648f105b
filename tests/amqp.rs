//! Requests over AMQP with a fake broker: replies, settlements, prefetch, and the broker
//! connection.

#[path = "common/amqp_node.rs"]
mod amqp_node;
mod doubles;

use amq_protocol::types::AMQPValue;
use amqp_node::*;
use doubles::broker::{FakeBroker, Message, POSTS, READS};
use doubles::*;

#[test]
fn result_is_published_with_its_correlation_id_and_then_acknowledged() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(READS, Message::new("serve:a"));
    broker.publish(POSTS, Message::new("call:ok#b"));
    wait_until("both requests are answered", || reply_count(&broker) == 2);
    wait_until("both messages are acknowledged", || {
        broker.with(|state| state.acked) == 2
    });
    broker.with(|state| {
        let reply = |correlation_id: &str| {
            state
                .replies
                .iter()
                .find(|r| r.correlation() == correlation_id)
                .expect("a reply")
                .clone()
        };
        assert_eq!(reply("about serve:a").body, "done serve:a");
        assert_eq!(reply("about call:ok#b").body, "rows for ok#b");
        assert!(state.replies.iter().all(|r| r.text(STATUS) == "served"));
    });
    assert_eq!(node.executor.run_count("serve:a"), 1);
    stop_node(&broker, &mut node);
}

#[test]
fn result_without_a_reply_queue_is_acknowledged() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(READS, Message::without_reply("serve:a"));
    wait_until("the message is acknowledged", || {
        broker.with(|state| state.acked) == 1
    });
    stop_node(&broker, &mut node);
    assert_eq!((reply_count(&broker), dead_letter_count(&broker)), (0, 0));
}

/// Guards against unbounded memory use when a broker delivers as fast as it can.
#[test]
fn unacknowledged_messages_never_exceed_the_prefetch() {
    let (broker, mut node) = start_broker_and_node(3);
    for n in 0..8 {
        broker.publish(READS, Message::new(&format!("hang:{n}")));
    }
    wait_until("all requests are answered", || reply_count(&broker) == 8);
    assert_eq!(broker.with(|state| state.most_unacked), 3);
    stop_node(&broker, &mut node);
}

/// A request that the policy rejects has not run, is answered at once and gets a retry-after.
#[test]
fn rejected_request_never_ran_and_gets_a_retry_after() {
    let (broker, mut node) = start_broker_and_node(24);
    let bodies: Vec<String> = (0..20).map(|n| format!("hang:{n}")).collect();
    for body in &bodies {
        broker.publish(POSTS, Message::new(body));
    }
    wait_until("all requests are answered", || reply_count(&broker) == 20);
    wait_until("all messages are acknowledged", || {
        broker.with(|state| state.acked) == 20
    });
    let statuses: Vec<(String, String)> = broker.with(|state| {
        state
            .replies
            .iter()
            .map(|r| (r.correlation(), r.text(STATUS)))
            .collect()
    });
    let rejected: Vec<&String> = statuses
        .iter()
        .filter(|(_, s)| s == "refused")
        .map(|(correlation_id, _)| correlation_id)
        .collect();
    assert!(
        !rejected.is_empty() && rejected.len() < 20,
        "six cores admit some of 20 hanging runs, not all: {rejected:?}"
    );
    for correlation_id in &rejected {
        assert_eq!(
            node.executor
                .run_count(correlation_id.trim_start_matches("about ")),
            0,
            "{correlation_id}"
        );
    }
    broker.with(|state| {
        for reply in state.replies.iter().filter(|r| r.text(STATUS) == "refused") {
            assert!(
                matches!(
                    reply.header(RETRY_AFTER),
                    Some(AMQPValue::LongLongInt(0..=1000))
                ),
                "{reply:?}"
            );
            assert_eq!(reply.header(MAY_RETRY), Some(&AMQPValue::Boolean(true)));
        }
    });
    stop_node(&broker, &mut node);
}

/// Deadlines apply as they do to front ends: a run that hangs fails by its deadline, and a request
/// that is not idempotent must not be retried.
#[test]
fn late_request_fails_by_its_deadline() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    wait_until("the request is answered", || reply_count(&broker) == 1);
    broker.with(|state| {
        assert_eq!(state.replies[0].text(STATUS), "failed");
        assert_eq!(state.replies[0].text(REASON), "given up");
        assert_eq!(
            state.replies[0].header(MAY_RETRY),
            Some(&AMQPValue::Boolean(false))
        );
    });
    wait_until("the message is acknowledged", || {
        broker.with(|state| state.acked) == 1
    });
    wait_until("the run is stopped", || node.executor.kill_count() == 1);
    stop_node(&broker, &mut node);
}

#[test]
fn failure_without_a_reply_queue_is_dead_lettered() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(READS, Message::without_reply("fail"));
    wait_until("the message is dead-lettered", || {
        dead_letter_count(&broker) == 1
    });
    stop_node(&broker, &mut node);
}

#[test]
fn invalid_message_is_dead_lettered_without_a_run() {
    let (broker, mut node) = start_broker_and_node(4);
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
    wait_until("both messages are dead-lettered", || {
        dead_letter_count(&broker) == 2
    });
    broker.publish(READS, Message::new("serve:after"));
    wait_until("the next message is served", || reply_count(&broker) == 1);
    assert_eq!(node.executor.run_count("serve:keyless"), 0);
    assert!(node.log().contains("no message_id") && node.log().contains("message too long"));
    stop_node(&broker, &mut node);
}

/// Queues and front ends share one quota of database calls: together they never have more in
/// flight.
#[test]
fn listener_and_queues_share_one_quota_of_database_calls() {
    let (broker, mut node) = start_broker_and_node(8);
    let mut client = node.connect();
    for n in 0..6 {
        client.send("settlement-post", &format!("call:silent#front {n}"));
        broker.publish(POSTS, Message::new(&format!("call:silent#queue {n}")));
    }
    for _ in 0..6 {
        assert!(client.read_message()["error"].is_object());
    }
    wait_until("the requests of the queue are answered", || {
        reply_count(&broker) == 6
    });
    let most = node.database.peak_unanswered();
    assert!(
        (2..=5).contains(&most),
        "at most {most} calls in flight with a quota of 5"
    );
    stop_node(&broker, &mut node);
}

#[test]
fn heartbeats_are_sent_and_a_silent_broker_is_reconnected() {
    let broker = FakeBroker::start();
    broker.with(|state| state.heartbeat = 1);
    let mut node = start_node(&broker, 4);
    wait_until("heartbeats are received", || {
        broker.with(|state| state.heartbeats) >= 2
    });
    wait_until("the silent connection is replaced", || {
        broker.with(|state| state.connections) >= 2
    });
    stop_node(&broker, &mut node);
}

/// The node retries a broker that refuses the login, and meanwhile serves front ends.
#[test]
fn broker_that_refuses_the_login_is_retried_and_front_ends_are_served() {
    let broker = FakeBroker::start();
    let text = std::fs::read_to_string(broker.inventory(4).path())
        .expect("the inventory is readable")
        .replace("username: guest", "username: eve");
    let inventory = ScratchFile::new("other.yaml", &text);
    let mut node = Node::start_with(Some(&inventory), |_| {});
    wait_until("the connection is retried", || {
        broker.with(|state| state.connections) >= 2
    });
    assert_eq!(
        node.connect().request("statement-read", "serve")["error"],
        serde_json::Value::Null
    );
    assert!(node.log().contains("403 ACCESS_REFUSED"));
    stop_node(&broker, &mut node);
}
