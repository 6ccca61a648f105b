//! Events and replies on the connections to nodes.

use std::time::Instant;

use client_listener::protocol::REJECTED;
use mio::event::Event;
use mio::Token;
use routing::{AttemptOutcome, Ticket};
use slog::debug;

use super::attempts::AttemptResult;
use super::{Clients, RequestRouter};
use crate::node_reply::{NodeReply, ReplyContent};
use crate::upstream_pool::ReadOutcome;
use crate::upstream_state::UpstreamRequest;

impl RequestRouter {
    pub(super) fn handle_upstream_event(
        &mut self,
        clients: &mut Clients,
        event: &Event,
        now: Instant,
    ) {
        let token = event.token();
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        if event.is_error() {
            return self.close_upstream(clients, token, now);
        }
        if !connection.state.is_connected && event.is_writable() && !connection.finish_connecting()
        {
            return self.close_upstream(clients, token, now);
        }
        self.flush_upstream(clients, token, now);
        if event.is_readable() || event.is_read_closed() {
            self.read_upstream(clients, token, now);
        }
    }

    /// Writes unsent bytes as far as the socket accepts them.
    pub(super) fn flush_upstream(&mut self, clients: &mut Clients, token: Token, now: Instant) {
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        if connection.write_unsent().is_err() {
            self.close_upstream(clients, token, now);
        }
    }

    /// Reads and handles all replies that have arrived.
    fn read_upstream(&mut self, clients: &mut Clients, token: Token, now: Instant) {
        loop {
            match self.upstreams.read(token) {
                ReadOutcome::Lines(lines) => {
                    for line in &lines {
                        self.handle_reply(clients, token, line, now);
                    }
                }
                ReadOutcome::Empty => return,
                ReadOutcome::Closed => return self.close_upstream(clients, token, now),
            }
        }
    }

    fn handle_reply(&mut self, clients: &mut Clients, token: Token, line: &[u8], now: Instant) {
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        let Some(reply) = NodeReply::parse(line) else {
            // A line that can't be parsed may be the answer to any of the open requests.
            return self.close_upstream(clients, token, now);
        };
        if reply.is_close_notice() {
            connection.state.has_close_notice = true;
        }
        let Some(request) = reply.id.and_then(|id| connection.state.close_request(id)) else {
            return;
        };
        match request {
            UpstreamRequest::HealthCheck => {
                let node = connection.node.clone();
                let is_ready = reply.content().data.is_ready();
                let elapsed = self.elapsed(now);
                self.nodes.record_health_check(&node, is_ready, elapsed);
            }
            UpstreamRequest::Attempt(ticket) => {
                self.handle_answer(clients, token, ticket, &reply, now);
            }
        }
    }

    /// Handles a node's answer to an attempt.
    fn handle_answer(
        &mut self,
        clients: &mut Clients,
        token: Token,
        ticket: Ticket,
        reply: &NodeReply<'_>,
        now: Instant,
    ) {
        let content = reply.content();
        let open = self.open_requests.get(&ticket);
        let is_open = open.is_some();
        let result = AttemptResult {
            outcome: attempt_outcome(&content),
            capacity_hint: content.data.capacity_hint,
            answer_line: open.map(|open| reply.line_with_id(open.client.id)),
        };
        self.finish_attempt(clients, ticket, result, now);
        if is_open {
            self.close_upstream_after_notice(token);
        }
    }

    /// Closes a connection whose node has sent a close notice, once no request is open on it.
    fn close_upstream_after_notice(&mut self, token: Token) {
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        if connection.state.has_close_notice && connection.state.open_request_count() == 0 {
            debug!(self.log, "node connection closed after its close notice"; "node" => &*connection.node);
            self.upstreams.remove(token);
        }
    }

    /// Closes a connection. Its open attempts end without an answer.
    pub(super) fn close_upstream(&mut self, clients: &mut Clients, token: Token, now: Instant) {
        let Some(mut connection) = self.upstreams.remove(token) else {
            return;
        };
        for interrupted in connection.state.interrupt_requests() {
            if let UpstreamRequest::Attempt(ticket) = interrupted.request {
                let outcome = if interrupted.may_have_arrived {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::NotSent
                };
                let result = AttemptResult::without_answer(outcome);
                self.finish_attempt(clients, ticket, result, now);
            }
        }
    }
}

/// Returns the outcome of an attempt from the node's answer.
fn attempt_outcome(content: &ReplyContent) -> AttemptOutcome {
    match content.error_code {
        None => AttemptOutcome::Served,
        Some(REJECTED) => AttemptOutcome::Rejected {
            is_final: content.data.is_final(),
        },
        Some(_) => AttemptOutcome::Failed,
    }
}
