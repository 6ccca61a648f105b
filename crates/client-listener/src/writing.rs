//! Writing to connections within limits.

use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use connections::ConnectionId;
use slog::debug;

use crate::{ClientHandler, ClientListener, RequestHandle};

impl<H: ClientHandler> ClientListener<H> {
    /// Records that a request is answered; must be called before its answer is enqueued. Returns
    /// false if the request is not open: it then gets no answer. The request counts as open until
    /// [`ClientListener::flush_answers`].
    pub fn close_request(&mut self, handle: RequestHandle, now: Instant) -> bool {
        self.connections
            .get_mut(&handle.connection)
            .is_some_and(|connection| connection.state.close_request(handle.id, now))
    }

    /// Closes a request without an answer, as its client no longer waits for it.
    pub fn abandon_request(&mut self, handle: RequestHandle, now: Instant) {
        if self.close_request(handle, now) {
            self.counters.open_requests.fetch_sub(1, SeqCst);
        }
    }

    /// Writes the answers that were enqueued on these connections; each entry stands for one
    /// answer.
    pub fn flush_answers(&mut self, answered: &[ConnectionId], now: Instant) {
        for id in answered {
            self.flush_and_update(*id, now);
        }
        // Only now are the answers written, or counted as unsent bytes.
        self.counters
            .open_requests
            .fetch_sub(answered.len(), SeqCst);
    }

    /// Appends a line to the output of a connection, which the next flush writes. Enforces the
    /// limits of unsent bytes, for which a connection may be dropped.
    pub fn enqueue_line(&mut self, id: ConnectionId, line: &str, now: Instant) {
        self.append_line(id, line, now);
        self.enforce_unsent_limits(id);
    }

    pub(crate) fn append_line(&mut self, id: ConnectionId, line: &str, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let unsent_before = connection.state.unsent().len();
        connection.state.enqueue_line(line.as_bytes(), now);
        let added = connection.state.unsent().len() - unsent_before;
        self.total_unsent_bytes += added;
        let has_new_output = unsent_before == 0 && added > 0;
        self.counters
            .unsent_connections
            .fetch_add(usize::from(has_new_output), SeqCst);
    }

    /// Drops the connection if it has too many unsent bytes, or the one with the most if all
    /// connections together have too many.
    pub(crate) fn enforce_unsent_limits(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if connection.state.unsent().len() > self.limits.max_unsent_bytes {
            self.remove(id);
        } else if self.total_unsent_bytes > self.settings.max_total_unsent_bytes {
            let most_unsent = self
                .connections
                .iter()
                .max_by_key(|(_, connection)| connection.state.unsent().len())
                .map(|(id, _)| *id);
            if let Some(id) = most_unsent {
                self.remove(id);
            }
        }
    }

    /// Writes unsent bytes, then removes the connection if it is finished or has failed. Otherwise
    /// updates its idle state and its timer, and queues a turn if it has input to process. Must be
    /// called after every change to a connection.
    pub(crate) fn flush_and_update(&mut self, id: ConnectionId, now: Instant) {
        if !self.flush(id, now) {
            return self.remove(id);
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state.may_be_dropped(&self.limits) {
            return self.remove(id);
        }
        if connection.state.begin_linger(now) {
            if connection.stream.shutdown(Shutdown::Write).is_err() {
                return self.remove(id);
            }
            // Bytes that have arrived so far may be unread, regardless of the events that the poll
            // has reported.
            connection.is_readable = true;
        }
        self.idle_connections
            .update(id, connection.state.idleness());
        self.update_timer(id);
        self.queue_turn(id);
    }

    /// Writes unsent bytes as far as the socket accepts them. Returns false if the connection has
    /// failed.
    fn flush(&mut self, id: ConnectionId, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        let unsent_before = connection.state.unsent().len();
        let result = connection.write_unsent(now);
        let unsent_after = connection.state.unsent().len();
        self.total_unsent_bytes -= unsent_before - unsent_after;
        if unsent_before > 0 && unsent_after == 0 {
            self.counters.unsent_connections.fetch_sub(1, SeqCst);
        }
        if let Err(e) = result {
            debug!(self.log, "writing to a client failed"; "error" => %e);
            return false;
        }
        true
    }
}
