//! A broker queue as the inventory describes it.

use std::fmt;

use crate::ClassId;

/// One queue of a broker, with what is needed to consume from it.
#[derive(Clone, PartialEq)]
pub struct BrokerQueue {
    /// The broker's host name or address.
    pub host: String,
    /// The broker's TCP port.
    pub port: u16,
    /// The virtual host on the broker.
    pub vhost: String,
    /// The queue's name.
    pub name: String,
    /// The class of all requests from the queue.
    pub class: ClassId,
    /// Whether a request from the queue may run more than once.
    pub is_idempotent: bool,
    /// The tenant to which all requests from the queue are accounted.
    pub tenant: Option<String>,
    /// The number of messages that the broker may push before earlier ones are settled.
    pub prefetch: u16,
    /// The memory in kilobytes that is reserved for a message while it is queued.
    pub queued_kb: f64,
    /// The user name at the broker.
    pub username: String,
    /// The user's password.
    pub password: String,
}

/// What tells one queue from another.
#[derive(PartialEq, Eq, Hash)]
pub(super) struct QueueIdentity {
    host: String,
    port: u16,
    vhost: String,
    name: String,
}

impl BrokerQueue {
    /// The queue's identity among the queues of all brokers.
    pub(super) fn identity(&self) -> QueueIdentity {
        QueueIdentity {
            host: self.host.clone(),
            port: self.port,
            vhost: self.vhost.clone(),
            name: self.name.clone(),
        }
    }
}

impl fmt::Debug for BrokerQueue {
    /// Writes the address, the name and the prefetch; credentials stay out of logs and test output.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}{} {} ({})",
            self.host, self.port, self.vhost, self.name, self.prefetch
        )
    }
}
