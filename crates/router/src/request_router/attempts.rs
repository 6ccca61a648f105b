//! Attempts of requests: sending them to nodes and handling their outcomes.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use cells::Name;
use client_listener::protocol::FAILED;
use routing::{AttemptOutcome, Rejection, RetryDecision, RouteDecision, Ticket};

use super::{Clients, RequestRouter};
use crate::error_line::{error_line, rejection_line};
use crate::upstream_state::UpstreamRequest;

/// The outcome of an attempt, and what the node replied.
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    pub(super) capacity_hint: Option<f64>,
    /// Line for the client with the node's answer, if there is one.
    pub(super) answer_line: Option<String>,
}

impl AttemptResult {
    /// Creates the result of an attempt that ended without an answer.
    pub(super) fn without_answer(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            capacity_hint: None,
            answer_line: None,
        }
    }
}

impl RequestRouter {
    /// Carries out the routing decision on a request.
    pub(super) fn apply_route(
        &mut self,
        clients: &mut Clients,
        ticket: Ticket,
        route: RouteDecision,
        now: Instant,
    ) {
        match route {
            RouteDecision::Forward(node) => self.send(clients, ticket, &node, now),
            RouteDecision::Queue => {}
            RouteDecision::Reject(reason) => {
                let (message, retry_after) = match reason {
                    Rejection::NoCell => ("refused: no cell serves this tenant", None),
                    Rejection::NoNode { retry_after } => {
                        ("refused: no node of its cell is there", Some(retry_after))
                    }
                    Rejection::QueueFull { retry_after } => {
                        ("refused: too many wait for its cell", Some(retry_after))
                    }
                    Rejection::DeadlinePassed => ("refused: its time is over", None),
                };
                self.reject(clients, ticket, message, retry_after, now);
            }
        }
    }

    /// Answers a request with a rejection.
    fn reject(
        &mut self,
        clients: &mut Clients,
        ticket: Ticket,
        message: &str,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        self.counters.rejected.fetch_add(1, SeqCst);
        if let Some(open) = self.open_requests.get(&ticket) {
            let line = rejection_line(open.client.id, message, retry_after);
            self.answer(clients, ticket, &line, now);
        }
    }

    /// Answers a request with a failure.
    pub(super) fn fail(
        &mut self,
        clients: &mut Clients,
        ticket: Ticket,
        message: &str,
        now: Instant,
    ) {
        if let Some(open) = self.open_requests.get(&ticket) {
            let line = error_line(Some(open.client.id), FAILED, message);
            self.answer(clients, ticket, &line, now);
        }
    }

    /// Writes the answer to a request and closes the request.
    fn answer(&mut self, clients: &mut Clients, ticket: Ticket, line: &str, now: Instant) {
        let Some(open) = self.open_requests.remove(&ticket) else {
            return;
        };
        self.counters.open.store(self.open_requests.len(), SeqCst);
        if clients.close_request(open.client, now) {
            clients.enqueue_line(open.client.connection, line, now);
            clients.flush_answers(&[open.client.connection], now);
        }
    }

    /// Sends a request to a node.
    fn send(&mut self, clients: &mut Clients, ticket: Ticket, node: &Name, now: Instant) {
        let address = self.nodes.address(node);
        let upstream = self
            .upstreams
            .connection_for_request(clients, node, address);
        let Some(token) = upstream else {
            let result = AttemptResult::without_answer(AttemptOutcome::NotSent);
            return self.finish_attempt(clients, ticket, result, now);
        };
        let Some(open) = self.open_requests.get_mut(&ticket) else {
            return;
        };
        open.upstream = Some(token);
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        let id = connection.state.next_id();
        let method = serde_json::to_string(&open.method).unwrap_or_default();
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":{method},\"params\":{}}}\n",
            open.params
        );
        connection
            .state
            .enqueue_request(id, UpstreamRequest::Attempt(ticket), &line);
        self.flush_upstream(clients, token, now);
    }

    /// Retries or answers a request whose attempt has ended. If the request is no longer open
    /// because it was answered at its deadline, only its slot at the node is freed.
    pub(super) fn finish_attempt(
        &mut self,
        clients: &mut Clients,
        ticket: Ticket,
        result: AttemptResult,
        now: Instant,
    ) {
        let elapsed = self.elapsed(now);
        let nodes = &self.nodes;
        let decision = self.router.finish_attempt(
            ticket,
            result.outcome,
            result.capacity_hint,
            &self.map,
            |node| nodes.availability(node, elapsed),
            elapsed,
        );
        if !self.open_requests.contains_key(&ticket) {
            return;
        }
        match decision {
            RetryDecision::Retry(node) => {
                self.counters.retried.fetch_add(1, SeqCst);
                self.send(clients, ticket, &node, now);
            }
            RetryDecision::ReturnAnswer => {
                self.counters.answered.fetch_add(1, SeqCst);
                match result.answer_line {
                    Some(line) => self.answer(clients, ticket, &line, now),
                    None => self.fail(clients, ticket, "failed", now),
                }
            }
            RetryDecision::MayHaveRun => {
                self.counters.may_have_run.fetch_add(1, SeqCst);
                self.fail(clients, ticket, "may have run", now);
            }
            RetryDecision::NeverRan { retry_after } => {
                let message = "refused: no node could be reached";
                self.reject(clients, ticket, message, Some(retry_after), now);
            }
        }
    }
}
