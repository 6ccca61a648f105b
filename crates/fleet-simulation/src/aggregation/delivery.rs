//! Timers and messages of the simulated nodes.

use std::time::Duration;

use membership::Name;
use rand::RngExt;
use shared_state::{
    AggregationMessage, Message, Outgoing, ReportingMember, ServiceObservation, LEDGER,
};

use super::simulation::{node_id, node_name, site_name, AggregationSimulation};
use crate::network::UDP_HEADER_BYTES;

/// Maximum size of a fleet whose estimates are compared with the true counts. In larger fleets the
/// nodes that contributed to a sum are not recorded.
const MAX_CHECKED_NODES: usize = 64;

/// A message that has been sent and not yet delivered.
pub(super) struct InTransitMessage {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl AggregationSimulation {
    /// Returns true if the estimates of this fleet are compared with the true counts.
    pub(super) fn checks_estimates(&self) -> bool {
        self.nodes.len() <= MAX_CHECKED_NODES
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing<AggregationMessage>>) {
        for Outgoing { to, message } in outgoing {
            let Some(to) = node_id(&to) else {
                continue;
            };
            let bytes = Message::Aggregation(message).encode();
            self.nodes[from].sent_bytes += bytes.len() as u64 + UDP_HEADER_BYTES;
            let has_loss = self.scenario.loss > 0.0;
            let is_lost = self.rng.random::<f64>() < self.scenario.loss;
            let duplication = if has_loss { 0.1 } else { 0.0 };
            let is_duplicated = self.rng.random::<f64>() < duplication;
            let copies = u8::from(!is_lost) + u8::from(!is_lost && is_duplicated);
            for _ in 0..copies {
                let is_very_late = has_loss && self.rng.random::<f64>() < 0.05;
                let max_delay_ms = if is_very_late { 1000 } else { 5 };
                let delay = Duration::from_millis(self.rng.random_range(0..max_delay_ms));
                let bytes = bytes.clone();
                self.in_transit
                    .push(self.now + delay, InTransitMessage { from, to, bytes });
            }
        }
    }

    /// Delivers the messages that have arrived by now.
    pub(super) fn deliver_due(&mut self) {
        while let Some(scheduled) = self.in_transit.pop_until(self.now) {
            let InTransitMessage { from, to, bytes } = scheduled.event;
            if self.nodes[from].partition == self.nodes[to].partition {
                self.deliver(from, to, &bytes);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let clock = self.clock(to);
        let Some(aggregation) = self.nodes[to].aggregation.as_mut() else {
            return;
        };
        let Some(Message::Aggregation(message)) = Message::decode(bytes) else {
            return;
        };
        let mut outgoing = Vec::new();
        aggregation.handle_message(&node_name(from), message, clock, &mut outgoing);
        self.record_contributors(to);
        self.send(to, outgoing);
    }

    /// Records the nodes whose counts are included in the current sum of a node.
    fn record_contributors(&mut self, id: usize) {
        let Some(aggregation) = &self.nodes[id].aggregation else {
            return;
        };
        if self.checks_estimates() {
            let version = aggregation.own_sum_version();
            let names = aggregation.nodes_in_own_sum();
            let contributors = names.filter_map(|name| node_id(name)).collect();
            self.sum_contributors.insert(version, contributors);
        }
    }

    /// Applies the membership views and handles the timers of a node that are due.
    pub(super) fn handle_timers(&mut self, id: usize) {
        if self.nodes[id].aggregation.is_none() {
            return;
        }
        self.apply_pending_views(id);
        let clock = self.clock(id);
        let random = self.rng.random::<f64>();
        let node = &mut self.nodes[id];
        let Some(aggregation) = &mut node.aggregation else {
            return;
        };
        if aggregation.next_timeout() > clock {
            return;
        }
        let counters = node.counters.load();
        let observations: Vec<_> = node
            .window
            .observed_health(clock)
            .map(|health| ServiceObservation {
                service: LEDGER,
                health,
            })
            .into_iter()
            .collect();
        let mut outgoing = Vec::new();
        aggregation.handle_timeout(clock, &counters, &observations, random, &mut outgoing);
        self.record_contributors(id);
        self.send(id, outgoing);
    }

    /// Applies the membership views whose delay has elapsed.
    fn apply_pending_views(&mut self, id: usize) {
        let now = self.now;
        let node = &mut self.nodes[id];
        while node
            .pending_views
            .front()
            .is_some_and(|view| view.effective_at <= now)
        {
            let Some(view) = node.pending_views.pop_front() else {
                break;
            };
            let members: Vec<(Name, Name)> = view
                .members
                .iter()
                .map(|member| (node_name(*member), site_name(*member)))
                .collect();
            if let Some(aggregation) = &mut node.aggregation {
                let reporting = members
                    .iter()
                    .map(|(name, site)| ReportingMember { name, site });
                aggregation.set_members(reporting);
            }
        }
    }
}
