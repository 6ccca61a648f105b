//! Comparison of the estimates and the health conclusions of the nodes with the true state.

use std::time::Duration;

use rand::RngExt;
use shared_state::{evaluate_health, Aggregate, DependencyHealth, ObservationCounts, LEDGER};

use super::simulation::{AggregationSimulation, Node, SITE_COUNT, TENANT_COUNT};
use super::LedgerOutage;

/// Duration after the start of an outage at all nodes during which a node may still conclude that
/// it alone can't reach the ledger.
const OUTAGE_RECOGNITION_TIME: Duration = Duration::from_secs(2);

/// Returns the minimum number of requests of a tenant that a node has had in flight since a
/// simulated time.
fn min_in_flight_since(node: &Node, tenant: usize, since: Duration) -> u32 {
    let current = node.in_flight[tenant];
    node.history[tenant]
        .iter()
        .filter(|past| past.replaced_at >= since)
        .map(|past| past.count)
        .fold(current, u32::min)
}

impl AggregationSimulation {
    /// Checks a node's estimate for a random tenant and its conclusion on the ledger's health.
    pub(super) fn check(&mut self, id: usize) {
        let clock = self.clock(id);
        let Some(aggregation) = &self.nodes[id].aggregation else {
            return;
        };
        let aggregate = aggregation.aggregate().clone();
        let tenant = self.rng.random_range(0..TENANT_COUNT);
        match aggregate.estimate(tenant, clock) {
            None => self.report.missing += 1,
            Some(estimate) => {
                let mut age = clock - aggregate.as_of;
                if self.checks_estimates() {
                    // Converts the age from the node's clock to simulated time.
                    age = age.mul_f64(1.0 / self.nodes[id].clock_rate);
                    self.check_estimate(id, tenant as usize, estimate, age, &aggregate);
                }
                self.report.estimates += 1;
                self.report.ages_ms.push(age.as_millis() as u64);
            }
        }
        let counts = aggregate.observation_counts(LEDGER, clock);
        self.check_conclusion(id, clock, &counts, aggregate.as_of);
    }

    fn check_estimate(
        &mut self,
        id: usize,
        tenant: usize,
        estimate: u32,
        age: Duration,
        aggregate: &Aggregate,
    ) {
        let age = if self.scenario.ignores_age {
            Duration::ZERO
        } else {
            age
        };
        let as_of = self.now.saturating_sub(age);
        let contributors = self
            .sum_contributors
            .get(&aggregate.sum_version)
            .map_or(&[][..], Vec::as_slice);
        let min_in_flight: u32 = contributors
            .iter()
            .filter(|other| **other != id)
            .map(|other| min_in_flight_since(&self.nodes[*other], tenant, as_of))
            .sum();
        self.report.too_low += u64::from(estimate < min_in_flight);
        let visible: Vec<usize> = (0..self.nodes.len())
            .filter(|other| self.is_visible(id, *other))
            .collect();
        if contributors.len() == visible.len() {
            let actual_in_flight: u32 = visible
                .iter()
                .filter(|other| **other != id)
                .map(|other| self.nodes[*other].in_flight[tenant])
                .sum();
            self.report.excess += u64::from(estimate.saturating_sub(actual_in_flight));
            self.report.actual_in_flight += u64::from(actual_in_flight);
        }
    }

    fn check_conclusion(
        &mut self,
        id: usize,
        clock: Duration,
        counts: &ObservationCounts,
        as_of: Duration,
    ) {
        let node = &mut self.nodes[id];
        let current = evaluate_health(node.window.observed_health(clock), counts, SITE_COUNT);
        let health = node.evaluator.update(clock, current, as_of);
        self.report.conclusions += 1;
        self.report.wrong_conclusions += u64::from(self.is_wrong_conclusion(id, health));
        let now = self.now;
        let node = &mut self.nodes[id];
        if health.should_limit_calls() {
            node.limited_at.get_or_insert(now);
            node.resumed_at = None;
        } else if node.limited_at.is_some() {
            node.resumed_at.get_or_insert(now);
        }
    }

    /// Returns true if a conclusion is wrong. A conclusion that was right during the outage remains
    /// for a while after its end. That delay is measured and not counted as wrong.
    fn is_wrong_conclusion(&self, id: usize, health: DependencyHealth) -> bool {
        let since_outage_start = self.elapsed().saturating_sub(self.outage_start());
        let has_outage_begun =
            self.scenario.outage != LedgerOutage::None && !since_outage_start.is_zero();
        let has_outage_ended = self.elapsed() >= self.scenario.duration * 2 / 3;
        let can_any_reach = (0..self.nodes.len()).any(|other| self.can_reach_ledger(other));
        match health {
            DependencyHealth::Down => can_any_reach && !has_outage_ended,
            DependencyHealth::OnlyHere => {
                let is_recognizable =
                    !can_any_reach && since_outage_start > OUTAGE_RECOGNITION_TIME;
                let is_false_alarm = self.can_reach_ledger(id) || is_recognizable;
                !has_outage_ended && is_false_alarm || !has_outage_begun
            }
            _ => false,
        }
    }
}
