//! The AMQP front against a stand-in broker: runs per key, settlements, and nothing unacknowledged at stop.

mod doubles;

use amq_protocol::types::{AMQPValue, FieldTable};
use doubles::broker::{Broker, Message, POSTS, READS};
use doubles::*;

const STATUS: &str = "x-mothwinch-status";
const REASON: &str = "x-mothwinch-reason";
const RETRY_AFTER: &str = "x-mothwinch-retry-after-ms";
const MAY_RETRY: &str = "x-mothwinch-may-retry";
const HANDED_BACK: &str = "x-mothwinch-handed-back";

fn start(prefetch: u16) -> (Broker, Node) {
    let broker = Broker::start();
    let node = node_at(&broker, prefetch);
    (broker, node)
}

fn node_at(broker: &Broker, prefetch: u16) -> Node {
    Node::start_with(Some(&broker.inventory(prefetch)), |_| {})
}

/// Leaves, and checks that nothing is left unsettled and no rule of the protocol was broken.
fn stop(broker: &Broker, node: &mut Node) {
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    broker.with(|seen| {
        assert_eq!(seen.unacked, 0, "unacknowledged at stop");
        assert_eq!(seen.violations, Vec::<String>::new());
    });
}

fn replies(broker: &Broker) -> usize {
    broker.with(|seen| seen.replies.len())
}
fn dead(broker: &Broker) -> usize {
    broker.with(|seen| seen.dead.len())
}

#[test]
fn what_is_served_is_published_with_its_correlation_and_then_acknowledged() {
    let (broker, mut node) = start(4);
    broker.publish(READS, Message::new("serve:a"));
    broker.publish(POSTS, Message::new("call:ok#b"));
    wait_until("both are answered", || replies(&broker) == 2);
    wait_until("both are acknowledged", || {
        broker.with(|seen| seen.acked) == 2
    });
    broker.with(|seen| {
        let reply = |about: &str| {
            seen.replies
                .iter()
                .find(|r| r.correlation() == about)
                .expect("a reply")
                .clone()
        };
        assert_eq!(reply("about serve:a").body, "done serve:a");
        assert_eq!(reply("about call:ok#b").body, "rows for ok#b");
        assert!(seen.replies.iter().all(|r| r.text(STATUS) == "served"));
    });
    assert_eq!(node.executor.run_count("serve:a"), 1);
    stop(&broker, &mut node);
}

#[test]
fn a_result_that_nobody_asked_for_is_acknowledged() {
    let (broker, mut node) = start(4);
    broker.publish(READS, Message::without_reply("serve:a"));
    wait_until("it is acknowledged", || broker.with(|seen| seen.acked) == 1);
    stop(&broker, &mut node);
    assert_eq!((replies(&broker), dead(&broker)), (0, 0));
}

/// Guards our memory against a broker that pushes as fast as it can.
#[test]
fn no_more_is_in_hand_than_the_prefetch() {
    let (broker, mut node) = start(3);
    for n in 0..8 {
        broker.publish(READS, Message::new(&format!("hang:{n}")));
    }
    wait_until("all are answered", || replies(&broker) == 8);
    assert_eq!(broker.with(|seen| seen.most_unacked), 3);
    stop(&broker, &mut node);
}

/// A request that the module turns away never ran, is answered at once and told when to come back.
#[test]
fn what_is_refused_never_ran_and_is_told_so() {
    let (broker, mut node) = start(24);
    let bodies: Vec<String> = (0..20).map(|n| format!("hang:{n}")).collect();
    for body in &bodies {
        broker.publish(POSTS, Message::new(body));
    }
    wait_until("all are answered", || replies(&broker) == 20);
    wait_until("all are acknowledged", || {
        broker.with(|seen| seen.acked) == 20
    });
    let statuses: Vec<(String, String)> = broker.with(|seen| {
        seen.replies
            .iter()
            .map(|r| (r.correlation(), r.text(STATUS)))
            .collect()
    });
    let refused: Vec<&String> = statuses
        .iter()
        .filter(|(_, s)| s == "refused")
        .map(|(about, _)| about)
        .collect();
    assert!(
        !refused.is_empty() && refused.len() < 20,
        "six cores can't run twenty that hang: {refused:?}"
    );
    for about in &refused {
        assert_eq!(
            node.executor.run_count(about.trim_start_matches("about ")),
            0,
            "{about}"
        );
    }
    broker.with(|seen| {
        for reply in seen.replies.iter().filter(|r| r.text(STATUS) == "refused") {
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
    stop(&broker, &mut node);
}

/// Due times hold as for front ends: a run that hangs is failed by then, and a post must not be tried again.
#[test]
fn what_is_late_is_failed_by_its_due_time() {
    let (broker, mut node) = start(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    wait_until("it is answered", || replies(&broker) == 1);
    broker.with(|seen| {
        assert_eq!(seen.replies[0].text(STATUS), "failed");
        assert_eq!(seen.replies[0].text(REASON), "given up");
        assert_eq!(
            seen.replies[0].header(MAY_RETRY),
            Some(&AMQPValue::Boolean(false))
        );
    });
    wait_until("it is acknowledged", || broker.with(|seen| seen.acked) == 1);
    wait_until("its run is stopped", || node.executor.kill_count() == 1);
    stop(&broker, &mut node);
}

#[test]
fn an_error_that_nobody_hears_of_goes_to_the_dead_letters() {
    let (broker, mut node) = start(4);
    broker.publish(READS, Message::without_reply("fail"));
    wait_until("it is dead", || dead(&broker) == 1);
    stop(&broker, &mut node);
}

#[test]
fn what_can_not_be_a_request_is_rejected_unrun() {
    let (broker, mut node) = start(4);
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
    wait_until("both are dead", || dead(&broker) == 2);
    broker.publish(READS, Message::new("serve:after"));
    wait_until("the next is served", || replies(&broker) == 1);
    assert_eq!(node.executor.run_count("serve:keyless"), 0);
    assert!(node.log().contains("no message_id") && node.log().contains("message too long"));
    stop(&broker, &mut node);
}

/// Guards the single effect within a life: the same key again is dead-lettered, whatever became of the first.
#[test]
fn a_key_that_ran_never_runs_again() {
    let (broker, mut node) = start(4);
    for body in ["serve:a", "fail"] {
        broker.publish(POSTS, Message::new(body));
        wait_until("the first is answered", || {
            node.executor.run_count(body) == 1
        });
        broker.publish(POSTS, Message::new(body));
    }
    wait_until("the second ones are dead", || dead(&broker) == 2);
    wait_until("all are answered", || replies(&broker) == 4);
    assert_eq!(
        (
            node.executor.run_count("serve:a"),
            node.executor.run_count("fail")
        ),
        (1, 1)
    );
    assert_eq!(
        broker.with(|seen| seen
            .replies
            .iter()
            .filter(|r| r.text(REASON) == "may have run")
            .count()),
        2
    );
    stop(&broker, &mut node);
}

/// The keys of reads don't count: they may run as often as anyone likes.
#[test]
fn a_read_runs_again() {
    let (broker, mut node) = start(4);
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
    wait_until("both are served", || replies(&broker) == 2);
    assert_eq!(node.executor.run_count("serve:a"), 2);
    stop(&broker, &mut node);
}

/// Guards the single effect across links: what was in hand when the link broke comes again, marked.
#[test]
fn a_link_lost_in_the_middle_of_a_run_runs_nothing_twice() {
    let (broker, mut node) = start(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("it runs", || node.executor.run_count("hang") == 1);
    broker.break_links();
    wait_until("it is dead", || dead(&broker) == 1);
    assert_eq!(
        broker.with(|seen| seen.replies[0].text(REASON)),
        "may have run"
    );
    // The run goes on to its end, and its result finds no one: the delivery was settled once already.
    node.executor.finish_run("hang");
    broker.publish(POSTS, Message::new("serve:next"));
    wait_until("the new link serves", || {
        node.executor.run_count("serve:next") == 1
    });
    wait_until("and answers", || replies(&broker) == 2);
    assert_eq!(node.executor.run_count("hang"), 1);
    stop(&broker, &mut node);
}

/// Guards the single effect across lives: the node dies in the middle of a write, its successor gets the message
/// again and can't know how far the write went.
#[test]
fn a_post_redelivered_after_its_node_was_killed_is_not_run() {
    let (broker, mut first) = start(4);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("it runs", || first.executor.run_count("hang") == 1);
    first.process.kill().expect("a child");
    first.wait_for_exit();
    wait_until("the broker has noticed", || {
        broker.with(|seen| seen.unacked) == 0
    });
    let mut second = node_at(&broker, 4);
    wait_until("it is dead", || dead(&broker) == 1);
    assert_eq!(
        first.executor.run_count("hang") + second.executor.run_count("hang"),
        1
    );
    assert_eq!(
        broker.with(|seen| seen.replies[0].text(REASON)),
        "may have run"
    );
    stop(&broker, &mut second);
}

/// The broker keeps pushing while the node leaves: all of it goes back unrun, posts as copies that carry no mark of
/// an earlier delivery, so that the next node may run them; once.
#[test]
fn what_is_pushed_while_leaving_is_handed_back_and_runs_elsewhere() {
    let (broker, mut node) = start(8);
    broker.publish(POSTS, Message::new("hang"));
    wait_until("one runs", || node.executor.run_count("hang") == 1);
    broker.with(|seen| {
        for n in 0..3 {
            seen.push_on_cancel
                .push((POSTS.into(), Message::new(&format!("serve:post {n}"))));
            seen.push_on_cancel
                .push((READS.into(), Message::new(&format!("serve:read {n}"))));
        }
        seen.push_on_cancel.push((
            POSTS.into(),
            Message::new("serve:second time").redelivered(),
        ));
    });
    stop(&broker, &mut node);
    let mut ran = 0;
    broker.with(|seen| {
        assert_eq!(seen.requeued, 3, "the reads");
        assert_eq!((seen.ready[READS].len(), seen.ready[POSTS].len()), (3, 3));
        for copy in &seen.ready[POSTS] {
            assert!(!copy.redelivered);
            assert_eq!(copy.header(HANDED_BACK), Some(&AMQPValue::LongLongInt(1)));
            ran += node.executor.run_count(&copy.body);
        }
        // A mark of an earlier delivery must not be lost by a copy.
        assert_eq!(
            seen.dead
                .iter()
                .map(|m| m.body.as_str())
                .collect::<Vec<_>>(),
            ["serve:second time"]
        );
        assert_eq!(
            seen.replies
                .iter()
                .filter(|r| r.text(STATUS) == "failed")
                .count(),
            2
        );
    });
    assert_eq!(ran, 0, "nothing that was handed back has run");
    let mut next = node_at(&broker, 8);
    wait_until("the next node serves all", || replies(&broker) == 2 + 6);
    for n in 0..3 {
        assert_eq!(next.executor.run_count(&format!("serve:post {n}")), 1);
    }
    stop(&broker, &mut next);
}

/// Guards a copy from what the broker would act on twice: another user's name closes the channel, and `CC` would
/// send the message to other queues once more.
#[test]
fn a_copy_keeps_what_is_the_messages_and_leaves_what_was_the_brokers() {
    let (broker, mut node) = start(8);
    wait_until("it consumes", || broker.with(|seen| seen.consumers) == 2);
    let mut message = Message::new("serve:a");
    let mut headers = FieldTable::default();
    headers.insert("CC".into(), AMQPValue::LongString("elsewhere".into()));
    headers.insert("trace".into(), AMQPValue::LongLongInt(7));
    message.properties = message
        .properties
        .with_headers(headers)
        .with_user_id("partner".into())
        .with_priority(3);
    broker.with(|seen| seen.push_on_cancel.push((POSTS.into(), message.clone())));
    stop(&broker, &mut node);
    let copy = broker.with(|seen| seen.ready[POSTS][0].clone());
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

/// A copy that can't be routed comes back before its confirm; then the original must not be lost.
#[test]
fn a_copy_that_comes_back_requeues_the_original() {
    let (broker, mut node) = start(8);
    wait_until("it consumes", || broker.with(|seen| seen.consumers) == 2);
    broker.with(|seen| {
        seen.unroutable = true;
        seen.push_on_cancel
            .push((POSTS.into(), Message::new("serve:a")));
    });
    stop(&broker, &mut node);
    assert_eq!(
        broker.with(|seen| (seen.requeued, seen.ready[POSTS].len(), seen.acked)),
        (1, 1, 0)
    );
    assert_eq!(node.executor.run_count("serve:a"), 0);
}

/// A reply is not taken for given before the broker says that it has it.
#[test]
fn an_answer_is_acknowledged_only_after_its_confirm() {
    let (broker, mut node) = start(4);
    broker.with(|seen| seen.hold_confirms = true);
    broker.publish(POSTS, Message::new("serve:a"));
    wait_until("it is answered", || replies(&broker) == 1);
    assert_eq!(broker.with(|seen| (seen.acked, seen.unacked)), (0, 1));
    broker.with(|seen| seen.hold_confirms = false);
    broker.break_links();
    wait_until("it came again and is dead", || dead(&broker) == 1);
    assert_eq!(node.executor.run_count("serve:a"), 1);
    stop(&broker, &mut node);
}

/// The share of the ledger is one for both fronts: queues and front ends together never have more calls in hand.
#[test]
fn both_fronts_keep_one_share_of_the_ledger() {
    let (broker, mut node) = start(8);
    let mut front = node.connect();
    for n in 0..6 {
        front.send("settlement-post", &format!("call:silent#front {n}"));
        broker.publish(POSTS, Message::new(&format!("call:silent#queue {n}")));
    }
    for _ in 0..6 {
        assert!(front.read_message()["error"].is_object());
    }
    wait_until("the queue's are answered", || replies(&broker) == 6);
    let most = node.database.peak_unanswered();
    assert!(
        (2..=5).contains(&most),
        "{most} calls in hand of a share of 5"
    );
    stop(&broker, &mut node);
}

#[test]
fn heartbeats_are_sent_and_a_silent_broker_is_left() {
    let broker = Broker::start();
    broker.with(|seen| seen.heartbeat = 1);
    let mut node = node_at(&broker, 4);
    wait_until("heartbeats come", || {
        broker.with(|seen| seen.heartbeats) >= 2
    });
    wait_until("the silent link is given up for a new one", || {
        broker.with(|seen| seen.connections) >= 2
    });
    stop(&broker, &mut node);
}

/// A broker that turns us away is tried again, and does not keep front ends from being served.
#[test]
fn a_broker_that_refuses_us_harms_no_one() {
    let broker = Broker::start();
    let text = std::fs::read_to_string(broker.inventory(4).path())
        .expect("a file")
        .replace("username: guest", "username: eve");
    let inventory = ScratchFile::new("other.yaml", &text);
    let mut node = Node::start_with(Some(&inventory), |_| {});
    wait_until("it is tried again", || {
        broker.with(|seen| seen.connections) >= 2
    });
    assert_eq!(
        node.connect().request("statement-read", "serve")["error"],
        serde_json::Value::Null
    );
    assert!(node.log().contains("403 ACCESS_REFUSED"));
    stop(&broker, &mut node);
}
