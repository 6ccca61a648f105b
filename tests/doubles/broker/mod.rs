//! A fake AMQP 0-9-1 broker with queues in memory. It counts settlements and protocol violations.

mod channel;
mod connection;
mod message;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use channel::BrokerChannel;
use connection::BrokerConnection;
pub(crate) use message::Message;

use super::{lock, serve_connections, ScratchFile};

/// The queue of reads.
pub(crate) const READS: &str = "reads";
/// The queue of posts.
pub(crate) const POSTS: &str = "posts";

/// A fault of a consumer's channel.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChannelFault {
    /// The broker cancels the consumer.
    ConsumerCancelled,
    /// The broker sends a method that is not allowed in the channel's state.
    UnexpectedMethod,
}

/// The broker's queues, its counters and its configured behaviour. Tests read and change it under
/// the lock.
#[derive(Default)]
pub(crate) struct BrokerState {
    /// Messages waiting for delivery, by queue.
    pub ready: HashMap<String, VecDeque<Message>>,
    /// Messages published to other queues.
    pub replies: Vec<Message>,
    /// Messages rejected without requeueing.
    pub dead_letters: Vec<Message>,
    pub acked: usize,
    pub requeued: usize,
    pub unacked: usize,
    pub most_unacked: usize,
    pub connections: usize,
    pub consumers: usize,
    pub heartbeats: usize,
    /// Settlements of unknown deliveries, and channels closed with unsettled ones.
    pub violations: Vec<String>,
    /// Messages to deliver between a cancel and its reply, with their queues.
    pub push_on_cancel: Vec<(String, Message)>,
    /// True if cancels are not answered, and their consumers still get deliveries.
    pub ignores_cancels: bool,
    /// Number of cancels that were not answered.
    pub ignored_cancels: usize,
    /// Number of copies that were published back to their queue.
    pub copies: usize,
    /// Heartbeat interval offered to consumers, in seconds. The broker itself sends none.
    pub heartbeat: u16,
    /// True if copies that are published back to their queue are returned as unroutable.
    pub unroutable: bool,
    /// True if publishes are never confirmed.
    pub hold_confirms: bool,
    /// Queues that don't exist: the channel of their consumer is closed.
    pub missing_queues: HashSet<String>,
    /// Number of consumers that were rejected because their queue does not exist.
    pub rejected_consumers: usize,
    /// Faults of channels that are still to happen, with the queues of the channels.
    pub channel_faults: Vec<(String, ChannelFault)>,
    links: Vec<TcpStream>,
}

impl BrokerState {
    /// Returns the unsettled messages of a channel to their queue, marked as redelivered.
    fn requeue_unsettled(&mut self, channel: BrokerChannel) {
        self.unacked -= channel.unacked.len();
        let queue = self.ready.entry(channel.queue).or_default();
        for mut message in channel.unacked.into_values().rev() {
            message.redelivered = true;
            queue.push_front(message);
        }
    }
}

/// A broker on loopback.
#[derive(Clone)]
pub(crate) struct FakeBroker {
    pub address: SocketAddr,
    state: Arc<Mutex<BrokerState>>,
}

impl FakeBroker {
    /// Starts a broker with empty queues.
    pub(crate) fn start() -> FakeBroker {
        let state = Arc::new(Mutex::new(BrokerState::default()));
        let shared = state.clone();
        let address =
            serve_connections(move |stream| BrokerConnection::new(stream, shared.clone()).run());
        FakeBroker { address, state }
    }

    /// Creates an inventory with a queue of reads and one of posts at this broker.
    pub(crate) fn inventory(&self, prefetch: u16) -> ScratchFile {
        let text = format!(
            "all:\n  vars: {{host: 127.0.0.1, port: {}, vhost: billing, username: guest, prefetch: {prefetch},\n         \
             password_env: TEST_AMQP_PASSWORD, tenant: alpenergia}}\n  hosts:\n    \
             a: {{queue: {READS}, class: statement-read}}\n    b: {{queue: {POSTS}, class: settlement-post}}\n",
            self.address.port()
        );
        ScratchFile::new("inventory.yaml", &text)
    }

    /// Creates an inventory with the queues of [`FakeBroker::inventory`] and another queue of reads.
    pub(crate) fn inventory_with(&self, queue: &str, prefetch: u16) -> ScratchFile {
        let inventory = self.inventory(prefetch);
        let text = std::fs::read_to_string(inventory.path()).expect("the inventory");
        let host = format!("    c: {{queue: {queue}, class: statement-read}}\n");
        ScratchFile::new("three-queues.yaml", &(text + &host))
    }

    /// Appends a message to a queue.
    pub(crate) fn publish(&self, queue: &str, message: Message) {
        self.with(|state| {
            state
                .ready
                .entry(queue.into())
                .or_default()
                .push_back(message);
        });
    }

    /// Reads or changes the state under its lock.
    pub(crate) fn with<T>(&self, access: impl FnOnce(&mut BrokerState) -> T) -> T {
        access(&mut lock(&self.state))
    }

    /// Breaks all connections.
    pub(crate) fn break_links(&self) {
        self.with(|state| {
            for link in state.links.drain(..) {
                let _ = link.shutdown(Shutdown::Both);
            }
        });
    }
}
