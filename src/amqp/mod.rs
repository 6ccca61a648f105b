//! Requests from queues, by AMQP 0-9-1. An inventory names the queues; each broker has one connection with an actor, and
//! each queue a channel with a consumer on it. Deliveries are processed as requests by JSON-RPC are: with the same
//! decisions, deadlines, ledger quota and idempotency.

mod broker;
pub mod codec;
mod consumer;

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

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

/// What the actors of all brokers share.
struct SharedState {
    site: Arc<Site>,
    limits: Limits,
    node_status: Arc<NodeStatus>,
    policy: Sender<PolicyMessage>,
    seed: u64,
    is_shutting_down: AtomicBool,
    /// Brokers whose connection is not closed for the shutdown.
    open_brokers: AtomicUsize,
    /// Deliveries that are not settled.
    unsettled: AtomicUsize,
}

/// The consumers of all queues.
pub struct AmqpConsumers {
    shared: Arc<SharedState>,
    mailboxes: Vec<Sender<BrokerMessage>>,
}

impl AmqpConsumers {
    /// Starts an actor for each broker, virtual host and user that the inventory names. `seed` is that of the random
    /// request ids and of the jitter.
    ///
    /// # Errors
    /// Where no thread can be started.
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
            is_shutting_down: AtomicBool::new(false),
            open_brokers: AtomicUsize::new(groups.len()),
            unsettled: AtomicUsize::new(0),
        });
        let mut mailboxes = Vec::new();
        for (number, queues) in groups.into_iter().enumerate() {
            // Capacity for the answer to every delivery that the prefetches allow, and for the notice of the shutdown.
            let prefetch: usize = queues.iter().map(|q| usize::from(q.prefetch)).sum();
            let (sender, receiver) = bounded(prefetch + 1);
            mailboxes.push(sender.clone());
            let address = format!("{}:{}", queues[0].host, queues[0].port);
            let log = log.new(o!("broker" => address));
            let mailbox = BrokerMailbox { sender, receiver };
            let actor = BrokerActor::new(number as u64, queues, shared.clone(), mailbox, log);
            spawn("amqp", limits.stack_bytes, move || actor.run())?;
        }
        Ok(AmqpConsumers { shared, mailboxes })
    }

    /// Stops consuming. Messages that are still delivered are handed back without a run.
    pub fn begin_shutdown(&self) {
        self.shared.is_shutting_down.store(true, SeqCst);
        for mailbox in &self.mailboxes {
            // Where the mailbox is full the actor checks the flag with each message in it.
            let _ = mailbox.try_send(BrokerMessage::ShutDown);
        }
    }

    /// Whether every delivery is settled and every connection closed after [`AmqpConsumers::begin_shutdown`].
    pub fn has_shut_down(&self) -> bool {
        self.shared.open_brokers.load(SeqCst) == 0
    }

    /// The number of deliveries that are not settled with their broker.
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
