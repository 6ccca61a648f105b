//! Writing to connections, within limits.

use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use connections::ConnectionId;
use slog::debug;

use crate::{ClientHandler, ClientListener, RequestHandle};

impl<H: ClientHandler> ClientListener<H> {
    /// Records that a request is answered, before its answer is enqueued; false if it is not open, and then it gets none.
    /// It counts as open until [`ClientListener::flush_answers`].
    pub fn close_request(&mut self, handle: RequestHandle, now: Instant) -> bool {
        self.connections
            .get_mut(&handle.connection)
            .is_some_and(|connection| connection.state.close_request(handle.id, now))
    }

    /// Records that a request gets no answer, as its client no longer waits for it.
    pub fn abandon_request(&mut self, handle: RequestHandle, now: Instant) {
        if self.close_request(handle, now) {
            self.counters.open_requests.fetch_sub(1, SeqCst);
        }
    }

    /// Writes the answers that were enqueued on these connections, one for each entry.
    pub fn flush_answers(&mut self, answered: &[ConnectionId], now: Instant) {
        for id in answered {
            self.flush_and_update(*id, now);
        }
        // Only now are they written, or counted among what is not.
        self.counters
            .open_requests
            .fetch_sub(answered.len(), SeqCst);
    }

    /// Appends a line to the output of a connection, which is written with the next flush. Past a limit of unsent bytes,
    /// the connection with the most of them is dropped.
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

    /// Drops a connection with too many unsent bytes, or the one with the most if there are too many over all.
    pub(crate) fn enforce_unsent_limits(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if connection.state.unsent().len() > self.limits.max_unsent_bytes {
            self.remove(id);
        } else if self.total_unsent_bytes > self.settings.max_total_unsent_bytes {
            let slowest = self
                .connections
                .iter()
                .max_by_key(|(_, connection)| connection.state.unsent().len())
                .map(|(id, _)| *id);
            if let Some(id) = slowest {
                self.remove(id);
            }
        }
    }

    /// After anything that has happened on a connection: writes what can be written, then decides whether it stays, whether
    /// it is idle, when its next timer expires, and whether it needs a turn.
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
            // What has arrived so far is unread, whatever the poll has reported.
            connection.is_readable = true;
        }
        self.idle_connections
            .update(id, connection.state.idleness());
        self.update_timer(id);
        self.queue_turn(id);
    }

    /// Writes unsent bytes as far as the socket accepts them; false if the connection has failed.
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
            debug!(self.log, "client write"; "error" => %e);
            return false;
        }
        true
    }
}
