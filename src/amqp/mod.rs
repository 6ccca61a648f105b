//! Consumes requests from queues over AMQP 0-9-1. An inventory lists the queues. Each broker has
//! one connection with an actor, and each queue has a channel with a consumer on it. Deliveries are
//! processed like JSON-RPC requests, with the same decisions, deadlines, database quota and
//! idempotency.

mod broker;
pub mod codec;
mod consumer;

use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Sender};
use slog::{o, Logger};

use crate::inventory::BrokerQueue;
use crate::net::spawn;
use crate::node::{Limits, NodeStatus, PolicyMessage};
use crate::wire::Site;
use broker::{BrokerActor, BrokerMailbox, BrokerMessage};
pub use consumer::{
    ChannelError, ChannelState, Consumer, ConsumerEffect, ConsumerSettings, Delivery,
    InvalidMessage,
};

/// State shared by the actors of all brokers.
struct SharedState {
    site: Arc<Site>,
    limits: Limits,
    node_status: Arc<NodeStatus>,
    policy: Sender<PolicyMessage>,
    seed: u64,
    /// Combined with the random numbers of request uids. It differs between processes that are
    /// started with the same seed, so that two processes of a node never use the same uid.
    uid_salt: u64,
    is_shutting_down: AtomicBool,
    /// Time in a shutdown from which on no delivery is handed back any more.
    hand_backs_end_at: OnceLock<Instant>,
    /// Number of broker actors that have not ended.
    open_brokers: AtomicUsize,
    /// Number of unsettled deliveries of all brokers.
    unsettled: AtomicUsize,
}

/// The consumers of all queues.
pub struct AmqpConsumers {
    shared: Arc<SharedState>,
    mailboxes: Vec<Sender<BrokerMessage>>,
}

impl AmqpConsumers {
    /// Starts an actor for each combination of broker, virtual host and user in `queues`. `seed` is
    /// the seed of the jitter, and of the request uids together with a random number.
    ///
    /// # Errors
    /// A thread can't be started.
    pub fn start(
        queues: Vec<BrokerQueue>,
        site: Arc<Site>,
        seed: u64,
        limits: &Limits,
        node_status: &Arc<NodeStatus>,
        policy: &Sender<PolicyMessage>,
        log: &Logger,
    ) -> io::Result<AmqpConsumers> {
        let groups = group_by_broker(queues);
        let shared = Arc::new(SharedState {
            site,
            limits: limits.clone(),
            node_status: node_status.clone(),
            policy: policy.clone(),
            seed,
            uid_salt: RandomState::new().hash_one(seed),
            is_shutting_down: AtomicBool::new(false),
            hand_backs_end_at: OnceLock::new(),
            open_brokers: AtomicUsize::new(groups.len()),
            unsettled: AtomicUsize::new(0),
        });
        let mut mailboxes = Vec::new();
        for (number, queues) in groups.into_iter().enumerate() {
            // Capacity for the answers to all deliveries that the prefetches allow, and for the
            // message that begins the shutdown.
            let prefetch: usize = queues.iter().map(|q| usize::from(q.prefetch)).sum();
            let (sender, receiver) = bounded(prefetch + 1);
            mailboxes.push(sender.clone());
            let address = format!("{}:{}", queues[0].host, queues[0].port);
            let log = log.new(o!("broker" => address));
            let mailbox = BrokerMailbox { sender, receiver };
            let actor = BrokerActor::new(number as u64, queues, shared.clone(), mailbox, log);
            // Like the reading thread it decodes headers, and drops them: both recurse into tables.
            spawn("amqp", limits.amqp.stack_bytes, move || actor.run())?;
        }
        Ok(AmqpConsumers { shared, mailboxes })
    }

    /// Stops consuming. Messages that are still delivered are handed back without a run, except
    /// shortly before the process ends, which it does after `time_left`.
    pub fn begin_shutdown(&self, time_left: Duration) {
        let hand_back_time = time_left.saturating_sub(self.shared.limits.amqp.hand_back_margin);
        let hand_backs_end_at = Instant::now() + hand_back_time;
        let _ = self.shared.hand_backs_end_at.set(hand_backs_end_at);
        self.shared.is_shutting_down.store(true, SeqCst);
        for mailbox in &self.mailboxes {
            // If the mailbox is full, the actor checks the flag after each message in it.
            let _ = mailbox.try_send(BrokerMessage::ShutDown);
        }
    }

    /// Returns whether every delivery is settled and every connection closed after
    /// [`AmqpConsumers::begin_shutdown`].
    pub fn has_shut_down(&self) -> bool {
        self.shared.open_brokers.load(SeqCst) == 0
    }

    /// Returns the number of deliveries that are not settled with their broker.
    pub fn unsettled_count(&self) -> usize {
        self.shared.unsettled.load(SeqCst)
    }
}

/// Groups queues that can share a connection.
fn group_by_broker(queues: Vec<BrokerQueue>) -> Vec<Vec<BrokerQueue>> {
    let mut groups: BTreeMap<_, Vec<BrokerQueue>> = BTreeMap::new();
    for queue in queues {
        let broker = (
            queue.host.clone(),
            queue.port,
            queue.vhost.clone(),
            queue.username.clone(),
            queue.password.clone(),
        );
        groups.entry(broker).or_default().push(queue);
    }
    groups.into_values().collect()
}
