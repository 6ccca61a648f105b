//! Closing connections: goodbyes, orderly closes, protocol violations and removal.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use connections::ConnectionId;

use crate::{ClientHandler, ClientListener};

impl<H: ClientHandler> ClientListener<H> {
    /// Closes a connection once what has arrived on it is read. A request among it, which may only have been read too late,
    /// is still answered, and the connection closes with the last answer.
    pub fn begin_close(&mut self, handler: &mut H, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state.is_lingering() {
            return self.remove(id);
        }
        connection.state.begin_close();
        connection.is_readable = true;
        self.take_turn(handler, id, now);
    }

    /// Closes all connections as [`ClientListener::begin_close`] does.
    pub fn begin_close_all(&mut self, handler: &mut H, now: Instant) {
        for id in self.connection_ids() {
            self.begin_close(handler, id, now);
        }
    }

    /// Sends a connection its goodbye, unless it has had it.
    pub fn send_goodbye(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state.record_goodbye(now) {
            self.append_line(id, self.settings.goodbye_line, now);
            if self.settings.is_goodbye_limited {
                self.enforce_unsent_limits(id);
            }
        }
        self.flush_and_update(id, now);
    }

    /// Sends all connections their goodbye.
    pub fn send_goodbye_to_all(&mut self, now: Instant) {
        for id in self.connection_ids() {
            self.send_goodbye(id, now);
        }
    }

    /// Answers a protocol violation and closes the connection. What its peer sends next can't be trusted either, and its
    /// open requests get no answer: no client that waits for one breaks the protocol.
    pub(crate) fn reject_violation(
        &mut self,
        handler: &H,
        id: ConnectionId,
        answer: &str,
        now: Instant,
    ) {
        self.enqueue_line(id, answer, now);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.state.abort(now);
        handler.protocol_violated(&connection.stream, answer);
    }

    /// Drops a connection and closes its socket.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.idle_connections.update(id, None);
        let unsent_bytes = connection.state.unsent().len();
        self.total_unsent_bytes -= unsent_bytes;
        self.counters
            .open_requests
            .fetch_sub(connection.state.open_request_count(), SeqCst);
        self.counters
            .unsent_connections
            .fetch_sub(usize::from(unsent_bytes > 0), SeqCst);
        self.counters
            .connections
            .store(self.connections.len(), SeqCst);
    }

    fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }
}
