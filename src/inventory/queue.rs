//! A broker queue as described by the inventory.

use std::fmt;

use crate::ClassId;

/// A queue of a broker, with the settings for consuming from it.
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
    /// True if a request from the queue may run more than once.
    pub is_idempotent: bool,
    /// The tenant of all requests from the queue.
    pub tenant: Option<String>,
    /// Maximum number of unsettled messages.
    pub prefetch: u16,
    /// Memory reserved for a message while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// The user's name at the broker.
    pub username: String,
    /// The user's password.
    pub password: String,
}

/// The fields that identify a queue among those of all brokers.
#[derive(PartialEq, Eq, Hash)]
pub(super) struct QueueIdentity {
    host: String,
    port: u16,
    vhost: String,
    name: String,
}

impl BrokerQueue {
    /// Returns the queue's identity.
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
    /// Writes the address, the name and the prefetch. Credentials are left out of logs and test
    /// output.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}{} {} ({})",
            self.host, self.port, self.vhost, self.name, self.prefetch
        )
    }
}
