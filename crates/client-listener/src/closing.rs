//! Closing connections: close notices, graceful closes, protocol violations and removal.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use connections::ConnectionId;

use crate::{ClientHandler, ClientListener};

impl<H: ClientHandler> ClientListener<H> {
    /// Closes a connection once everything that has arrived on it is read. A request that had
    /// arrived but was not read yet is still answered; the connection then stays open and gets a
    /// close notice instead, unless it was sent before.
    pub fn begin_close(&mut self, handler: &mut H, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state.is_lingering() {
            return self.remove(id);
        }
        connection.state.begin_close();
        connection.is_readable = true;
        self.process_turn(handler, id, now);
    }

    /// Calls [`ClientListener::begin_close`] for all connections.
    pub fn begin_close_all(&mut self, handler: &mut H, now: Instant) {
        for id in self.connection_ids() {
            self.begin_close(handler, id, now);
        }
    }

    /// Sends the close notice on a connection, unless it was sent before.
    pub fn send_close_notice(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state.record_close_notice(now) {
            self.append_line(id, self.settings.close_notice_line, now);
            if self.settings.is_close_notice_limited {
                self.enforce_unsent_limits(id);
            }
        }
        self.flush_and_update(id, now);
    }

    /// Sends the close notice on all connections.
    pub fn send_close_notice_to_all(&mut self, now: Instant) {
        for id in self.connection_ids() {
            self.send_close_notice(id, now);
        }
    }

    /// Answers a protocol violation and closes the connection. Further input from the peer can't be
    /// trusted either. Its open requests get no answer, as a client that waits for answers does not
    /// violate the protocol.
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

    /// Removes a connection and closes its socket. Requests that are still open on it can't be
    /// answered any more.
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
        if connection.state.open_request_count() > 0 {
            self.removed.push(connection.data);
        }
    }

    fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }
}
