//! Comparison of what the nodes estimate and conclude with what is true.

use std::time::Duration;

use rand::RngExt;
use shared_state::{evaluate_health, Aggregate, DependencyHealth, ObservationCounts, LEDGER};

use super::simulation::{AggregationSimulation, Node, SITE_COUNT, TENANT_COUNT};
use super::LedgerOutage;

/// How long after an outage everywhere begins a node may conclude that it alone can't reach the ledger.
const OUTAGE_RECOGNITION_TIME: Duration = Duration::from_secs(2);

/// The least that a node had in flight for a tenant since then.
fn least_in_flight_since(node: &Node, tenant: usize, since: Duration) -> u32 {
    let current = node.in_flight[tenant];
    node.history[tenant]
        .iter()
        .filter(|past| past.held_until >= since)
        .map(|past| past.count)
        .fold(current, u32::min)
}

impl AggregationSimulation {
    /// Checks the estimate of a random tenant and the conclusion on the ledger of a node.
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
                    // By the simulated time.
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
        let least: u32 = contributors
            .iter()
            .filter(|other| **other != id)
            .map(|other| least_in_flight_since(&self.nodes[*other], tenant, as_of))
            .sum();
        self.report.too_low += u64::from(estimate < least);
        let visible: Vec<usize> = (0..self.nodes.len())
            .filter(|other| self.is_visible(id, *other))
            .collect();
        if contributors.len() == visible.len() {
            let counted: u32 = visible
                .iter()
                .filter(|other| **other != id)
                .map(|other| self.nodes[*other].in_flight[tenant])
                .sum();
            self.report.excess += u64::from(estimate.saturating_sub(counted));
            self.report.counted += u64::from(counted);
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

    /// Whether a conclusion is wrong. One that was right during the outage stays for a while after its end; that is measured
    /// and not counted as wrong.
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
