//! Handling of messages from clients, and the order of the router's work in each step of the loop.

use std::cmp::Reverse;
use std::io;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use client_listener::protocol::INVALID_REQUEST;
use client_listener::{ClientHandler, ClientMessage, RequestHandle};
use clock::{ClockReading, UnixTime};
use mio::event::Event;
use routing::Request;
use slog::debug;

use super::{Clients, OpenRequest, RequestRouter};
use crate::client_message::{parse_line, ClientRequest};
use crate::error_line::{error_line, rejection_line};

impl ClientHandler for RequestRouter {
    type ConnectionData = ();
    type Request = ClientRequest;

    fn parse_line(&self, line: &[u8]) -> ClientMessage<ClientRequest> {
        parse_line(line, &self.classes)
    }

    fn health_answer(&self, id: u64, now: Instant) -> String {
        let is_ready = self.nodes.has_available_node(self.elapsed(now));
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ready\":{is_ready}}}}}\n")
    }

    fn line_too_long_answer(&self) -> String {
        error_line(None, INVALID_REQUEST, "a line is too long")
    }

    fn duplicate_id_answer(&self) -> String {
        error_line(None, INVALID_REQUEST, "a request with this id is open")
    }

    fn too_many_requests_answer(&self, id: u64) -> String {
        let message = "refused: too many requests are open on this connection";
        rejection_line(id, message, None)
    }

    fn handle_request(
        &mut self,
        clients: &mut Clients,
        handle: RequestHandle,
        request: ClientRequest,
        now: Instant,
    ) {
        let time_left = remaining_time(request.class.deadline, request.arrived_at_ms);
        let elapsed = self.elapsed(now);
        let routed = Request {
            tenant: request.tenant,
            subject: request.subject,
            is_idempotent: request.class.is_idempotent,
            deadline: elapsed + time_left,
        };
        let open = OpenRequest {
            client: handle,
            method: request.method,
            params: request.params,
            is_idempotent: request.class.is_idempotent,
            deadline: now + time_left,
            upstream: None,
        };
        let nodes = &self.nodes;
        let availability = |node: &str| nodes.availability(node, elapsed);
        let (ticket, route) = self
            .router
            .route_request(routed, &self.map, availability, elapsed);
        self.deadlines.push(Reverse((open.deadline, ticket)));
        self.open_requests.insert(ticket, open);
        self.counters.open.store(self.open_requests.len(), SeqCst);
        self.apply_route(clients, ticket, route, now);
    }

    fn next_wakeup(&self) -> Option<Instant> {
        let deadline = self.deadlines.peek().map(|Reverse((at, _))| *at);
        Some(deadline.map_or(self.next_periodic_work_at, |at| {
            at.min(self.next_periodic_work_at)
        }))
    }

    fn begin_step(&mut self, now: Instant) {
        self.nodes.refresh(self.elapsed(now));
    }

    fn handle_event(&mut self, clients: &mut Clients, event: &Event, now: Instant) -> bool {
        let is_upstream = self.upstreams.contains(event.token());
        if is_upstream {
            self.handle_upstream_event(clients, event, now);
        }
        is_upstream
    }

    fn after_turns(&mut self, clients: &mut Clients, now: Instant) {
        self.run_periodic_work(clients, now);
        self.expire_requests(clients, now);
        self.route_queued_requests(clients, now);
    }

    fn connection_rejected(&self, error: &io::Error) {
        debug!(self.log, "client connection rejected"; "error" => %error);
    }
}

/// Returns the time left to answer a request that arrived at this Unix time.
fn remaining_time(deadline: Duration, arrived_at_ms: f64) -> Duration {
    let age = ClockReading::now().age_of(UnixTime::from_ms(arrived_at_ms));
    deadline.saturating_sub(age)
}
