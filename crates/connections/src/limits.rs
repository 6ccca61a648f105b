//! The sizes, counts and times that client connections are held to.

use std::time::Duration;

/// Limits for one connection and for all connections of a listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Requests that may be open on one connection. A client has [`Self::fair_open_requests`] at most, but requests that
    /// it abandons without a notice stay open here until their deadline.
    pub max_open_requests: usize,
    /// Requests that the protocol allows to be open on one connection. A connection with more open requests gets one line
    /// per turn.
    pub fair_open_requests: usize,
    /// Lines read from one connection per turn.
    pub lines_per_turn: usize,
    /// Bytes of one line.
    pub max_line_bytes: usize,
    /// Bytes that may wait to be written on one connection. While more than half of that waits, nothing is read from it.
    pub max_unsent_bytes: usize,
    /// Connections at the same time. Each is one descriptor.
    pub max_connections: usize,
    /// Connection slots that are kept free by closing idle connections.
    pub reserved_slots: usize,
    /// Idle connections that are kept, the most recently used ones. The remaining slots are for connections with open
    /// requests.
    pub max_idle_connections: usize,
    /// After this long without a valid message, a connection whose slot is needed is closed without a goodbye.
    pub silence_grace: Duration,
    /// Time until the goodbye for a connection on which no valid message has arrived.
    pub first_message_timeout: Duration,
    /// Time that a message may take from its first byte to its last.
    pub message_timeout: Duration,
    /// Time that an idle connection may stay open after its goodbye.
    pub goodbye_timeout: Duration,
    /// Time that a connection waits for its peer to close after its writing side is shut down. A connection that is closed
    /// over unread bytes would be reset, and the last answers could be lost.
    pub linger_timeout: Duration,
    /// Bytes that are read and discarded while a connection waits for its peer to close.
    pub max_linger_bytes: usize,
    /// Time after which a peer that accepts none of what is written is disconnected.
    pub write_timeout: Duration,
}

impl ConnectionLimits {
    /// The default limits for a listener with at most `max_connections` connections.
    pub fn new(max_connections: usize) -> ConnectionLimits {
        ConnectionLimits {
            max_open_requests: 64,
            fair_open_requests: 32,
            lines_per_turn: 8,
            // A body of 2 KiB in base64 and the other fields, with a margin.
            max_line_bytes: 16 * 1024,
            // Twice the answers to all requests that may be open on one connection.
            max_unsent_bytes: 768 * 1024,
            max_connections,
            reserved_slots: 24,
            max_idle_connections: idle_share(max_connections),
            silence_grace: Duration::from_millis(300),
            first_message_timeout: Duration::from_millis(1100),
            // Clients may take 2 s to write a message, and one that never ends has to be closed 3 s after it began.
            message_timeout: Duration::from_millis(2600),
            goodbye_timeout: Duration::from_millis(900),
            linger_timeout: Duration::from_millis(200),
            max_linger_bytes: 64 * 1024,
            write_timeout: Duration::from_secs(10),
        }
    }

    /// Changes the number of connections, and with it how many idle ones are kept.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
        self.max_idle_connections = idle_share(max_connections);
    }
}

/// Idle connections that are kept among so many connections.
fn idle_share(max_connections: usize) -> usize {
    max_connections / 4 * 3
}
