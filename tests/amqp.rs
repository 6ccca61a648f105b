//! Requests over AMQP, with a fake broker: replies, settlements, the prefetch, and the connection to the broker.

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
    wait_until("both are answered", || reply_count(&broker) == 2);
    wait_until("both are acknowledged", || {
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
    wait_until("it is acknowledged", || {
        broker.with(|state| state.acked) == 1
    });
    stop_node(&broker, &mut node);
    assert_eq!((reply_count(&broker), dead_letter_count(&broker)), (0, 0));
}

/// Guards the node's memory against a broker that delivers as fast as it can.
#[test]
fn unacknowledged_messages_never_exceed_the_prefetch() {
    let (broker, mut node) = start_broker_and_node(3);
    for n in 0..8 {
        broker.publish(READS, Message::new(&format!("hang:{n}")));
    }
    wait_until("all are answered", || reply_count(&broker) == 8);
    assert_eq!(broker.with(|state| state.most_unacked), 3);
    stop_node(&broker, &mut node);
}

/// A request that the policy rejects never ran, is answered at once and told when to retry.
#[test]
fn rejected_request_never_ran_and_gets_a_retry_after() {
    let (broker, mut node) = start_broker_and_node(24);
    let bodies: Vec<String> = (0..20).map(|n| format!("hang:{n}")).collect();
    for body in &bodies {
        broker.publish(POSTS, Message::new(body));
    }
    wait_until("all are answered", || reply_count(&broker) == 20);
    wait_until("all are acknowledged", || {
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
        .map(|(about, _)| about)
        .collect();
    assert!(
        !rejected.is_empty() && rejected.len() < 20,
        "six cores can't run twenty that hang: {rejected:?}"
    );
    for about in &rejected {
        assert_eq!(
            node.executor.run_count(about.trim_start_matches("about ")),
            0,
            "{about}"
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

/// Deadlines hold as for front ends: a run that hangs fails by then, and a post must not be retried.
#[test]
fn late_request_fails_by_its_deadline() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    wait_until("it is answered", || reply_count(&broker) == 1);
    broker.with(|state| {
        assert_eq!(state.replies[0].text(STATUS), "failed");
        assert_eq!(state.replies[0].text(REASON), "given up");
        assert_eq!(
            state.replies[0].header(MAY_RETRY),
            Some(&AMQPValue::Boolean(false))
        );
    });
    wait_until("it is acknowledged", || {
        broker.with(|state| state.acked) == 1
    });
    wait_until("its run is stopped", || node.executor.kill_count() == 1);
    stop_node(&broker, &mut node);
}

#[test]
fn failure_without_a_reply_queue_is_dead_lettered() {
    let (broker, mut node) = start_broker_and_node(4);
    broker.publish(READS, Message::without_reply("fail"));
    wait_until("it is dead-lettered", || dead_letter_count(&broker) == 1);
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
    wait_until("both are dead-lettered", || dead_letter_count(&broker) == 2);
    broker.publish(READS, Message::new("serve:after"));
    wait_until("the next is served", || reply_count(&broker) == 1);
    assert_eq!(node.executor.run_count("serve:keyless"), 0);
    assert!(node.log().contains("no message_id") && node.log().contains("message too long"));
    stop_node(&broker, &mut node);
}

/// The quota of database calls is one for both: queues and front ends together never have more calls in flight.
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
    wait_until("the queue's requests are answered", || {
        reply_count(&broker) == 6
    });
    let most = node.database.peak_unanswered();
    assert!(
        (2..=5).contains(&most),
        "{most} calls in flight of a quota of 5"
    );
    stop_node(&broker, &mut node);
}

#[test]
fn heartbeats_are_sent_and_a_silent_broker_is_reconnected() {
    let broker = FakeBroker::start();
    broker.with(|state| state.heartbeat = 1);
    let mut node = start_node(&broker, 4);
    wait_until("heartbeats come", || {
        broker.with(|state| state.heartbeats) >= 2
    });
    wait_until("the silent connection is replaced", || {
        broker.with(|state| state.connections) >= 2
    });
    stop_node(&broker, &mut node);
}

/// A broker that refuses the login is retried, and front ends are served meanwhile.
#[test]
fn broker_that_refuses_the_login_is_retried_and_harms_no_one() {
    let broker = FakeBroker::start();
    let text = std::fs::read_to_string(broker.inventory(4).path())
        .expect("a file")
        .replace("username: guest", "username: eve");
    let inventory = ScratchFile::new("other.yaml", &text);
    let mut node = Node::start_with(Some(&inventory), |_| {});
    wait_until("it is retried", || {
        broker.with(|state| state.connections) >= 2
    });
    assert_eq!(
        node.connect().request("statement-read", "serve")["error"],
        serde_json::Value::Null
    );
    assert!(node.log().contains("403 ACCESS_REFUSED"));
    stop_node(&broker, &mut node);
}
