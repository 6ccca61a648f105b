//! Limits on the sizes, counts and times of client connections.

use std::time::Duration;

/// Limits of one connection and of all connections of a listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open requests on one connection. A client has at most
    /// [`Self::protocol_max_open_requests`], but requests that it abandons without a notification
    /// stay open here until their deadline.
    pub max_open_requests: usize,
    /// Number of open requests that the protocol allows on one connection. A connection with more
    /// open requests gets one line per turn.
    pub protocol_max_open_requests: usize,
    /// Number of lines read from one connection per turn.
    pub lines_per_turn: usize,
    /// Maximum length of a line in bytes.
    pub max_line_bytes: usize,
    /// Maximum number of unsent bytes on one connection. While more than half of that is unsent,
    /// nothing is read from the connection.
    pub max_unsent_bytes: usize,
    /// Maximum number of concurrent connections. Each uses one file descriptor.
    pub max_connections: usize,
    /// Number of connection slots that are kept free by closing idle connections.
    pub reserved_slots: usize,
    /// Maximum number of idle connections; the most recently used ones are kept. The remaining
    /// slots are for connections with open requests.
    pub max_idle_connections: usize,
    /// Duration without a valid message after which a connection whose slot is needed is closed
    /// without a close notice.
    pub silence_grace: Duration,
    /// Duration until the close notice for a connection on which no valid message has arrived.
    pub first_message_timeout: Duration,
    /// Maximum duration of a message from its first byte to its last.
    pub message_timeout: Duration,
    /// Maximum duration for which an idle connection stays open after its close notice.
    pub close_notice_timeout: Duration,
    /// Maximum duration for which a connection waits for its peer to close after its writing side
    /// is shut down. A connection that is closed with unread bytes would be reset, and the last
    /// answers could be lost.
    pub linger_timeout: Duration,
    /// Maximum number of bytes that are read and discarded while a connection waits for its peer to
    /// close.
    pub max_linger_bytes: usize,
    /// Duration after which a peer that accepts no output is disconnected.
    pub write_timeout: Duration,
}

impl ConnectionLimits {
    /// Returns the default limits for a listener with at most `max_connections` connections.
    pub fn new(max_connections: usize) -> ConnectionLimits {
        ConnectionLimits {
            max_open_requests: 64,
            protocol_max_open_requests: 32,
            lines_per_turn: 8,
            // Fits a body of 2 KiB in base64 and the other fields, with a margin.
            max_line_bytes: 16 * 1024,
            // Twice the size of the answers to all requests that may be open on one connection.
            max_unsent_bytes: 768 * 1024,
            max_connections,
            reserved_slots: 24,
            max_idle_connections: max_idle_connections_for(max_connections),
            silence_grace: Duration::from_millis(300),
            first_message_timeout: Duration::from_millis(1100),
            // Clients may take 2 s to send a message, and a connection whose message is never
            // completed has to be closed 3 s after the message began.
            message_timeout: Duration::from_millis(2600),
            close_notice_timeout: Duration::from_millis(900),
            linger_timeout: Duration::from_millis(200),
            max_linger_bytes: 64 * 1024,
            write_timeout: Duration::from_secs(10),
        }
    }

    /// Changes the maximum number of connections, and with it the maximum number of idle ones.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
        self.max_idle_connections = max_idle_connections_for(max_connections);
    }
}

/// Returns the maximum number of idle connections for this maximum number of connections.
fn max_idle_connections_for(max_connections: usize) -> usize {
    max_connections / 4 * 3
}
