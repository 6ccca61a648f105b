//! Periodic work: the quota of retries, health checks, closing connections that are no longer
//! needed, and the timers of client connections.

use std::time::{Duration, Instant};

use cells::Name;
use client_listener::protocol::HEALTH_METHOD;
use fleet_runtime as fleet;
use slog::info;

use super::{Clients, RequestRouter};
use crate::upstream_state::UpstreamRequest;

/// Interval of the periodic work, and so of the health checks of a node.
const PERIODIC_WORK_INTERVAL: Duration = Duration::from_millis(200);
const MS_PER_SECOND: u64 = 1000;
/// Maximum number of unanswered health checks of a node.
const MAX_OPEN_HEALTH_CHECKS: usize = 4;

impl RequestRouter {
    /// Runs the periodic work if it is due.
    pub(super) fn run_periodic_work(&mut self, clients: &mut Clients, now: Instant) {
        if now < self.next_periodic_work_at {
            return;
        }
        self.next_periodic_work_at = now + PERIODIC_WORK_INTERVAL;
        self.update_retry_quota(now);
        if self.nodes.needs_health_checks() {
            self.run_health_checks(clients, now);
        }
        for change in self.nodes.take_changes(self.elapsed(now)) {
            info!(self.log, "node availability changed"; "node" => &*change.node, "availability" => ?change.availability);
        }
        self.close_unneeded_upstreams(clients, now);
        clients.check_all_timers(self, now);
    }

    /// If the fleet has a retry budget, reports how many retries were sent and requested, and sets
    /// how many this router may send from now on.
    fn update_retry_quota(&mut self, now: Instant) {
        let Some(fleet) = self.nodes.fleet() else {
            return;
        };
        let Some(quota) = fleet.quota(fleet::RETRY_BUDGET) else {
            return;
        };
        let usage = self.router.retry_budgets().take_usage();
        // The requested rate decays only by half per round: retries that were requested a moment
        // ago may be requested again sooner than quota that was released could be regained.
        self.requested_retry_rate =
            (per_second(usage.requested) + 1).max(self.requested_retry_rate / 2);
        let limit = quota.limit();
        quota.report_usage(per_second(usage.sent).min(limit), self.requested_retry_rate);
        let elapsed = self.elapsed(now);
        self.router.retry_budgets().set_quota(Some(limit), elapsed);
    }

    /// Sends a health check to each node, on the connection that is reserved for health checks.
    fn run_health_checks(&mut self, clients: &mut Clients, now: Instant) {
        let nodes: Vec<Name> = self.nodes.nodes().cloned().collect();
        for node in nodes {
            self.send_health_check(clients, &node, now);
        }
    }

    fn send_health_check(&mut self, clients: &mut Clients, node: &Name, now: Instant) {
        let address = self.nodes.address(node);
        let upstream = self
            .upstreams
            .connection_for_health_checks(clients, node, address);
        let Some(token) = upstream else {
            return;
        };
        let Some(connection) = self.upstreams.get_mut(token) else {
            return;
        };
        if connection.state.has_close_notice {
            self.upstreams.remove(token);
        } else if connection.state.open_request_count() < MAX_OPEN_HEALTH_CHECKS {
            let id = connection.state.next_id();
            let line =
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{HEALTH_METHOD}\"}}\n");
            connection
                .state
                .enqueue_request(id, UpstreamRequest::HealthCheck, &line);
            self.flush_upstream(clients, token, now);
        }
    }

    fn close_unneeded_upstreams(&mut self, clients: &mut Clients, now: Instant) {
        let nodes = &self.nodes;
        let is_known = |node: &Name| nodes.address(node).is_some();
        let unneeded = self
            .upstreams
            .unneeded(is_known, nodes.needs_health_checks());
        for token in unneeded {
            self.close_upstream(clients, token, now);
        }
    }
}

/// Converts a number of events in one interval of the periodic work to a rate per second.
fn per_second(count: u64) -> u64 {
    count * MS_PER_SECOND / PERIODIC_WORK_INTERVAL.as_millis() as u64
}
