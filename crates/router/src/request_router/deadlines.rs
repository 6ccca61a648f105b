//! Requests past their deadline, and queued requests that wait for a free slot at a node.

use std::cmp::Reverse;
use std::time::Instant;

use routing::{Rejection, RouteDecision};

use super::{Clients, RequestRouter};

impl RequestRouter {
    /// Answers requests past their deadline. A request that was sent keeps occupying its slot at
    /// the node until the node answers or the connection closes; the node's answer is discarded.
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
            // A queued request was never sent. It may be anywhere in the queue, as requests before
            // it may have later deadlines.
            if self.router.remove_queued(ticket) {
                let route = RouteDecision::Reject(Rejection::DeadlinePassed);
                self.apply_route(clients, ticket, route, now);
            } else if was_sent {
                self.fail(clients, ticket, message, now);
            }
        }
    }

    /// Sends queued requests as long as nodes have free slots, and rejects those that can't be
    /// sent.
    pub(super) fn route_queued_requests(&mut self, clients: &mut Clients, now: Instant) {
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
