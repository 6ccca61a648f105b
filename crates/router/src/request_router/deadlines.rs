//! Requests past their deadline, and requests that wait for a place at a node.

use std::cmp::Reverse;
use std::time::Instant;

use routing::{Rejection, RouteDecision};

use super::{Clients, RequestRouter};

impl RequestRouter {
    /// Answers requests past their deadline. A node's later answer frees their place there and is discarded.
    pub(super) fn expire_requests(&mut self, clients: &mut Clients, now: Instant) {
        while let Some(Reverse((deadline, ticket))) = self.deadlines.peek().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop();
            let Some(open) = self.open_requests.get(&ticket) else {
                continue;
            };
            let was_sent = open.upstream.is_some();
            let message = if open.is_idempotent {
                "no answer in time"
            } else {
                "may have run"
            };
            // A waiting request was never sent, and those before it in the queue may have later deadlines.
            if self.router.remove_queued(ticket) {
                let route = RouteDecision::Reject(Rejection::DeadlinePassed);
                self.apply_route(clients, ticket, route, now);
            } else if was_sent {
                self.fail(clients, ticket, message, now);
            }
        }
    }

    /// Sends waiting requests, as far as there are places at nodes, or rejects them.
    pub(super) fn route_waiting_requests(&mut self, clients: &mut Clients, now: Instant) {
        let elapsed = self.elapsed(now);
        loop {
            let nodes = &self.nodes;
            let availability = |node: &str| nodes.availability(node, elapsed);
            let Some((ticket, route)) =
                self.router
                    .route_next_queued(&self.map, availability, elapsed)
            else {
                return;
            };
            self.apply_route(clients, ticket, route, now);
        }
    }
}
