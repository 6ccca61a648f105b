//! The nodes' calls, and the check of the number of calls at the ledger.

use std::time::Duration;

use rand::RngExt;
use shared_state::QuotaUsage;

use super::simulation::{BudgetSimulation, Event};
use super::SharingStrategy;

/// Interval at which a node reports its number of calls in flight to the others, for
/// [`SharingStrategy::Estimates`].
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);

impl BudgetSimulation {
    /// Returns the number of calls that a node may have in flight.
    fn limit(&self, id: usize) -> u64 {
        let node = &self.nodes[id];
        let Some(budgets) = &node.budgets else {
            return 0;
        };
        match self.strategy {
            SharingStrategy::Leases => budgets.limit(0, self.clock(id)),
            SharingStrategy::Static => self.total / self.scenario.node_count as u64,
            SharingStrategy::Estimates => {
                let others: u64 = node.others_in_flight.values().sum();
                self.total.saturating_sub(others)
            }
        }
    }

    /// Starts calls on all running nodes, up to their demand and their limits.
    pub(super) fn start_calls(&mut self) {
        for id in 0..self.nodes.len() {
            let node = &self.nodes[id];
            if node.budgets.is_none() || node.paused_until > self.now {
                continue;
            }
            let demand = (self.scenario.demand)(id, self.now);
            self.report_usage(id, demand);
            self.handle_timers(id);
            while self.nodes[id].in_flight < demand.min(self.limit(id)) {
                self.start_call(id);
            }
            if self.strategy == SharingStrategy::Estimates
                && self.now >= self.nodes[id].next_estimate_at
            {
                self.send_estimates(id);
            }
        }
    }

    fn report_usage(&mut self, id: usize, demand: u64) {
        let clock = self.clock(id);
        let node = &mut self.nodes[id];
        let usage = QuotaUsage {
            in_use: node.in_flight,
            demand: demand.max(node.in_flight),
        };
        if let Some(budgets) = node.budgets.as_mut() {
            budgets.set_usage(0, usage, clock);
        }
    }

    fn start_call(&mut self, id: usize) {
        let node = &mut self.nodes[id];
        node.in_flight += 1;
        let start_count = node.start_count;
        self.in_flight += 1;
        // Calls take up to the maximum duration that the lease timings allow for.
        let duration = Duration::from_micros(self.rng.random_range(20_000..1_450_000));
        let end = Event::CallEnds {
            node: id,
            start_count,
        };
        self.schedule(duration, end);
        self.check_ledger();
    }

    pub(super) fn end_call(&mut self, id: usize, start_count: u64) {
        self.in_flight -= 1;
        let node = &mut self.nodes[id];
        if node.start_count == start_count {
            node.in_flight = node.in_flight.saturating_sub(1);
        }
    }

    fn send_estimates(&mut self, from: usize) {
        self.nodes[from].next_estimate_at = self.now + ESTIMATE_INTERVAL;
        let in_flight = self.nodes[from].in_flight;
        for to in 0..self.nodes.len() {
            let is_connected = self.nodes[from].partition == self.nodes[to].partition;
            if to != from && is_connected && self.rng.random::<f64>() >= self.scenario.loss {
                let delay = Duration::from_micros(self.rng.random_range(200..5000));
                let estimate = Event::EstimateArrives {
                    from,
                    to,
                    in_flight,
                };
                self.schedule(delay, estimate);
            }
        }
    }

    /// Compares the number of calls in flight, and the sum of the limits, with the total.
    fn check_ledger(&mut self) {
        let is_in_grace = self
            .halving_grace_ends_at
            .is_some_and(|ends_at| self.now < ends_at);
        let total = if is_in_grace {
            self.scenario.total
        } else {
            self.total
        };
        let limits: u64 = (0..self.nodes.len()).map(|id| self.limit(id)).sum();
        let report = &mut self.report;
        report.checks += 1;
        if self.in_flight > total {
            report.exceeded += 1;
            report.max_excess = report.max_excess.max(self.in_flight - total);
        }
        report.limits_exceeded += u64::from(limits > total);
    }
}
