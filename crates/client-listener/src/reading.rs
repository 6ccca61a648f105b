//! Reading from connections in turns, and passing their messages to the handler.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use connections::{ConnectionId, ProtocolViolation};
use mio::event::Event;
use slog::debug;

use crate::{ClientHandler, ClientListener, ClientMessage, RequestHandle};

impl<H: ClientHandler> ClientListener<H> {
    pub(crate) fn handle_readiness(&mut self, id: ConnectionId, event: &Event, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if event.is_error() {
            // The connection was reset: none of its open requests can be answered any more.
            return self.remove(id);
        }
        connection.peer_hung_up |= event.is_read_closed();
        connection.is_readable |= event.is_readable() || connection.peer_hung_up;
        let may_write = event.is_writable() && !connection.state.unsent().is_empty();
        if may_write || self.settings.writes_on_every_event {
            self.flush_and_update(id, now);
        } else {
            self.queue_turn(id);
        }
    }

    /// Adds a connection to the turn queue if it has input to process.
    pub(crate) fn queue_turn(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let state = &connection.state;
        let has_input = connection.is_readable || state.may_have_line();
        let may_read = state.may_read(&self.limits) && has_input;
        let may_discard = state.is_lingering() && connection.is_readable;
        if !connection.is_queued && (may_read || may_discard) {
            connection.is_queued = true;
            self.turn_queue.push_back(id);
        }
    }

    /// Processes the turns of all queued connections, in order. A connection that is queued again
    /// meanwhile waits for the next step.
    pub(crate) fn process_turn_queue(&mut self, handler: &mut H, now: Instant) {
        for _ in 0..self.turn_queue.len() {
            if self.live_limits.read_pause().is_some() {
                return;
            }
            let Some(id) = self.turn_queue.pop_front() else {
                return;
            };
            self.process_turn(handler, id, now);
        }
    }

    /// Handles the lines that have arrived, up to the limit of a turn, and reads from the socket at
    /// most once.
    pub(crate) fn process_turn(&mut self, handler: &mut H, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_queued = false;
        if connection.state.is_lingering() {
            return self.discard_input(id, now);
        }
        let mut lines_left = connection.state.lines_per_turn(&self.limits);
        let mut has_read = false;
        while let Some(connection) = self.connections.get_mut(&id) {
            if lines_left == 0 || !connection.state.may_read(&self.limits) {
                break;
            }
            match connection.state.next_line() {
                Ok(Some(line)) => {
                    lines_left -= 1;
                    let message = handler.parse_line(line);
                    self.handle_message(handler, id, message, now);
                }
                Ok(None) if !connection.is_readable => {
                    if connection.state.finish_pending_close() {
                        return self.send_close_notice(id, now);
                    }
                    break;
                }
                Ok(None) if has_read => break,
                Ok(None) => {
                    has_read = true;
                    if let Err(e) = connection.read(&mut self.read_buffer, now) {
                        debug!(self.log, "reading from a client failed"; "error" => %e);
                        return self.remove(id);
                    }
                }
                Err(_) => {
                    self.reject_violation(handler, id, &handler.line_too_long_answer(), now);
                }
            }
        }
        self.flush_and_update(id, now);
    }

    /// Reads once from a connection whose writing side is shut down and discards the bytes. A
    /// request among them crossed with the close: its client sees the close and sends the request
    /// again on another connection. If it were handled, its answer could not be written.
    fn discard_input(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.read_and_discard(&mut self.read_buffer) {
            Ok(true) => self.flush_and_update(id, now),
            Ok(false) | Err(_) => self.remove(id),
        }
    }

    fn handle_message(
        &mut self,
        handler: &mut H,
        connection: ConnectionId,
        message: ClientMessage<H::Request>,
        now: Instant,
    ) {
        match message {
            ClientMessage::HealthCheck(id) => {
                self.answer_health_check(handler, connection, id, now);
            }
            ClientMessage::Request(id, request) => {
                let handle = RequestHandle { connection, id };
                self.open_request(handler, handle, request, now);
            }
            ClientMessage::Cancel(id) => {
                let handle = RequestHandle { connection, id };
                handler.cancel_request(self, handle, now);
            }
            ClientMessage::Notification => {}
            ClientMessage::Malformed(answer) => {
                self.reject_violation(handler, connection, &answer, now);
            }
        }
    }

    fn answer_health_check(&mut self, handler: &H, id: ConnectionId, check_id: u64, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state.record_message(now);
            self.enqueue_line(id, &handler.health_answer(check_id, now), now);
        }
    }

    fn open_request(
        &mut self,
        handler: &mut H,
        handle: RequestHandle,
        request: H::Request,
        now: Instant,
    ) {
        let Some(connection) = self.connections.get_mut(&handle.connection) else {
            return;
        };
        match connection.state.open_request(handle.id, now) {
            Ok(()) => {
                self.counters.open_requests.fetch_add(1, SeqCst);
                handler.handle_request(self, handle, request, now);
            }
            // The client would treat an answer with this id as the answer to the other request.
            Err(ProtocolViolation::DuplicateId) => {
                let answer = handler.duplicate_id_answer();
                self.reject_violation(handler, handle.connection, &answer, now);
            }
            // This is no violation: requests that the client has abandoned are still open here, and
            // it does not count them.
            Err(ProtocolViolation::TooManyRequests) => {
                let answer = handler.too_many_requests_answer(handle.id);
                self.enqueue_line(handle.connection, &answer, now);
            }
            Err(ProtocolViolation::Closed | ProtocolViolation::LineTooLong) => {}
        }
    }
}
