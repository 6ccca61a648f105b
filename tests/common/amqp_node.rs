//! Starts and stops a node that consumes from a fake broker; names of the headers of its replies.
#![allow(dead_code)] // Each test program uses a part of it.

use test_doubles::Node;

use crate::doubles::broker::FakeBroker;

pub(crate) const STATUS: &str = "x-mothwinch-status";
pub(crate) const REASON: &str = "x-mothwinch-reason";
pub(crate) const RETRY_AFTER: &str = "x-mothwinch-retry-after-ms";
pub(crate) const MAY_RETRY: &str = "x-mothwinch-may-retry";
pub(crate) const HANDED_BACK: &str = "x-mothwinch-handed-back";

/// Starts a broker and a node that consumes from it.
pub(crate) fn start_broker_and_node(prefetch: u16) -> (FakeBroker, Node) {
    let broker = FakeBroker::start();
    let node = start_node(&broker, prefetch);
    (broker, node)
}

/// Starts a node that consumes from this broker.
pub(crate) fn start_node(broker: &FakeBroker, prefetch: u16) -> Node {
    Node::start_with(Some(&broker.inventory(prefetch)), |_| {})
}

/// Shuts the node down and checks that no message stays unacknowledged and that the node has not
/// violated the protocol.
pub(crate) fn stop_node(broker: &FakeBroker, node: &mut Node) {
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
    broker.with(|state| {
        assert_eq!(state.unacked, 0, "unacknowledged messages at shutdown");
        assert_eq!(state.violations, Vec::<String>::new());
    });
}

/// Returns the number of replies that were published.
pub(crate) fn reply_count(broker: &FakeBroker) -> usize {
    broker.with(|state| state.replies.len())
}

/// Returns the number of dead-lettered messages.
pub(crate) fn dead_letter_count(broker: &FakeBroker) -> usize {
    broker.with(|state| state.dead_letters.len())
}
