//! The second front: AMQP 0-9-1 as a consumer. An inventory names the broker queues; each broker gets one
//! connection with an actor, each queue a channel and a consumer on it. What is delivered goes through the same
//! core as what comes by JSON-RPC: the same decisions, due times, ledger share and single run.

pub mod codec;
mod connection;
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
pub use consumer::{Consumer, Delivery, Settings, State, Step};

/// What the connections of this front share.
pub(crate) struct Shared {
    pub site: Arc<Site>,
    pub limits: Limits,
    pub node_status: Arc<NodeStatus>,
    pub policy: Sender<PolicyMessage>,
    pub seed: u64,
    /// Told to leave.
    pub leaving: AtomicBool,
    /// Connections that have not finished leaving.
    pub left: AtomicUsize,
    /// Deliveries not settled.
    pub unsettled: AtomicUsize,
}

/// The running front.
pub struct Amqp {
    shared: Arc<Shared>,
    mailboxes: Vec<Sender<connection::ToConnection>>,
}

impl Amqp {
    /// Starts a connection for each broker, virtual host and user that the inventory names.
    pub fn start(
        queues: Vec<BrokerQueue>,
        (site, seed): (Arc<Site>, u64),
        limits: &Limits,
        node_status: &Arc<NodeStatus>,
        policy: &Sender<PolicyMessage>,
        log: &Logger,
    ) -> io::Result<Amqp> {
        let mut groups: BTreeMap<_, Vec<BrokerQueue>> = BTreeMap::new();
        for q in queues {
            let broker = (
                q.host.clone(),
                q.port,
                q.vhost.clone(),
                q.username.clone(),
                q.password.clone(),
            );
            groups.entry(broker).or_default().push(q);
        }
        let shared = Arc::new(Shared {
            site,
            limits: limits.clone(),
            node_status: node_status.clone(),
            policy: policy.clone(),
            seed,
            leaving: AtomicBool::new(false),
            left: AtomicUsize::new(groups.len()),
            unsettled: AtomicUsize::new(0),
        });
        let mut mailboxes = Vec::new();
        for (number, queues) in groups.into_values().enumerate() {
            // Room for the answer of every delivery that the prefetches allow, and for the notice to leave.
            let room: usize = queues.iter().map(|q| usize::from(q.prefetch)).sum();
            let (mailbox, inbox) = bounded(room + 1);
            let log = log.new(o!("broker" => format!("{}:{}", queues[0].host, queues[0].port)));
            let actor = connection::Connection::new(
                number as u64,
                queues,
                shared.clone(),
                (mailbox.clone(), inbox),
                log,
            );
            mailboxes.push(mailbox);
            spawn("amqp", limits.stack_bytes, move || actor.run())?;
        }
        Ok(Amqp { shared, mailboxes })
    }

    /// Stops consuming; what is still pushed is handed back unrun.
    pub fn leave(&self) {
        self.shared.leaving.store(true, SeqCst);
        for mailbox in &self.mailboxes {
            // A full mailbox is no loss: its connection looks at the mark with every message.
            let _ = mailbox.try_send(connection::ToConnection::Leave);
        }
    }

    /// Whether every delivery is settled and every connection closed after [`Amqp::leave`].
    pub fn has_left(&self) -> bool {
        self.shared.left.load(SeqCst) == 0
    }

    /// Deliveries not settled with their broker.
    pub fn unsettled(&self) -> usize {
        self.shared.unsettled.load(SeqCst)
    }
}
