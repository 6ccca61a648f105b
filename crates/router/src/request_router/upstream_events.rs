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
            return self.drop_upstream(clients, token, now);
        }
        if !connection.state.is_connected && event.is_writable() && !connection.finish_connecting()
        {
            return self.drop_upstream(clients, token, now);
        }
        self.flush_upstream(clients, token, now);
        if event.is_readable() || event.is_read_closed() {
            self.read_upstream(clients, token, now);
        }
    }

    /// Writes what the socket accepts.
    pub(super) fn flush_upstream(&mut self, clients: &mut Clients, token: Token, now: Instant) {
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        if connection.write_unsent().is_err() {
            self.drop_upstream(clients, token, now);
        }
    }

    /// Reads and handles all that has arrived.
    fn read_upstream(&mut self, clients: &mut Clients, token: Token, now: Instant) {
        loop {
            match self.upstreams.read(token) {
                ReadOutcome::Lines(lines) => {
                    for line in &lines {
                        self.handle_reply(clients, token, line, now);
                    }
                }
                ReadOutcome::Empty => return,
                ReadOutcome::Ended => return self.drop_upstream(clients, token, now),
            }
        }
    }

    fn handle_reply(&mut self, clients: &mut Clients, token: Token, line: &[u8], now: Instant) {
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        let Some(reply) = NodeReply::parse(line) else {
            // A line that is not understood may be the answer to any open request.
            return self.drop_upstream(clients, token, now);
        };
        if reply.is_goodbye() {
            connection.state.has_goodbye = true;
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

    /// A node has answered an attempt.
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
            self.drop_finished_upstream(token);
        }
    }

    /// Closes a connection whose node has sent a goodbye, once no request is open on it.
    fn drop_finished_upstream(&mut self, token: Token) {
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        if connection.state.has_goodbye && connection.state.open_request_count() == 0 {
            debug!(self.log, "node connection closed after its goodbye"; "node" => &*connection.node);
            self.upstreams.remove(token);
        }
    }

    /// Drops a connection; its attempts end without an answer.
    pub(super) fn drop_upstream(&mut self, clients: &mut Clients, token: Token, now: Instant) {
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

/// How an attempt ended, by the node's answer.
fn attempt_outcome(content: &ReplyContent) -> AttemptOutcome {
    match content.error_code {
        None => AttemptOutcome::Served,
        Some(REJECTED) => AttemptOutcome::Rejected {
            is_final: content.data.is_final(),
        },
        Some(_) => AttemptOutcome::Failed,
    }
}
