//! Selection of the node for an attempt: of two random candidates, the one with the lower load
//! relative to its capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::{Name, Node};

use crate::outlier::{EjectionState, OutlierDetector};
use crate::request::AttemptOutcome;
use crate::settings::RoutingSettings;

/// Smallest capacity hint that is used; a node that reports less is treated as if it reported this.
const MIN_CAPACITY_HINT: f64 = 0.05;
/// Largest capacity hint that is used; a higher one is treated as if it were this.
const MAX_CAPACITY_HINT: f64 = 4.0;
/// Capacity hint that is assumed for a node that has reported none.
const DEFAULT_CAPACITY_HINT: f64 = 1.0;

/// The result of a selection.
pub(crate) enum Selection {
    /// This node was selected.
    Node(Name),
    /// No node could be selected, and at least one is available: each is ejected or has reached its
    /// limit of requests in flight.
    AllBusy,
    /// No node is available.
    NoneAvailable,
}

#[derive(Clone, Debug, Default)]
struct NodeLoad {
    in_flight: usize,
    /// Fraction of the usual traffic that the node asks for, as last reported.
    capacity_hint: Option<f64>,
}

/// A node that may be selected.
struct Candidate<'a> {
    name: &'a Name,
    /// Load relative to the node's capacity if it gets one more request.
    relative_load: f64,
}

/// Selects nodes by their load, leaving out ejected ones.
#[derive(Debug)]
pub(crate) struct NodeSelector {
    max_in_flight_per_node: usize,
    max_ejected_fraction: f64,
    loads: BTreeMap<Name, NodeLoad>,
    outliers: OutlierDetector,
    random_state: u64,
}

impl NodeSelector {
    pub(crate) fn new(settings: &RoutingSettings, seed: u64) -> NodeSelector {
        NodeSelector {
            max_in_flight_per_node: settings.max_in_flight_per_node,
            max_ejected_fraction: settings.outliers.max_ejected_fraction,
            loads: BTreeMap::new(),
            outliers: OutlierDetector::new(settings.outliers.clone()),
            random_state: seed,
        }
    }

    pub(crate) fn in_flight(&self, node: &str) -> usize {
        self.loads.get(node).map_or(0, |load| load.in_flight)
    }

    pub(crate) fn ejection_state(&self, node: &str, now: Duration) -> EjectionState {
        self.outliers.state(node, now)
    }

    /// Records that an attempt was sent to a node.
    pub(crate) fn begin_attempt(&mut self, node: &Name) {
        self.loads.entry(node.clone()).or_default().in_flight += 1;
    }

    /// Records that an attempt at a node has ended, and the capacity hint in the node's answer.
    pub(crate) fn finish_attempt(
        &mut self,
        node: &Name,
        outcome: AttemptOutcome,
        capacity_hint: Option<f64>,
        now: Duration,
    ) {
        let load = self.loads.entry(node.clone()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        let valid_hint = capacity_hint.filter(|hint| hint.is_finite() && *hint >= 0.0);
        load.capacity_hint = valid_hint.or(load.capacity_hint);
        self.outliers
            .record_outcome(node, outcome.is_healthy(), now);
    }

    /// Selects one of the available `nodes`. A node whose ejection has expired is selected for a
    /// probe, which is always an idempotent request.
    pub(crate) fn select(
        &mut self,
        nodes: &[&Node],
        is_idempotent: bool,
        now: Duration,
    ) -> Selection {
        if nodes.is_empty() {
            return Selection::NoneAvailable;
        }
        // If too much of the cell is ejected, the ejected nodes are no outliers: use all nodes.
        let ignores_ejections = self.ejected_fraction_is_exceeded(nodes, now);
        let mut candidates = Vec::with_capacity(nodes.len());
        for node in nodes {
            let fraction = match self.outliers.state(&node.name, now) {
                _ if ignores_ejections => 1.0,
                EjectionState::Admitted { fraction } => fraction,
                EjectionState::Probing if is_idempotent => {
                    self.outliers.record_probe(&node.name, now);
                    return Selection::Node(node.name.clone());
                }
                EjectionState::Probing | EjectionState::Ejected => continue,
            };
            candidates.extend(self.candidate(node, fraction));
        }
        self.select_candidate(&candidates)
    }

    fn ejected_fraction_is_exceeded(&self, nodes: &[&Node], now: Duration) -> bool {
        let total: f64 = nodes.iter().map(|node| node.weight).sum();
        let ejected: f64 = nodes
            .iter()
            .filter(|node| self.outliers.state(&node.name, now).is_ejected())
            .map(|node| node.weight)
            .sum();
        ejected > total * self.max_ejected_fraction
    }

    /// Returns the node as a candidate that gets `fraction` of its usual requests, or `None` if it
    /// has reached its limit of requests in flight.
    fn candidate<'a>(&self, node: &'a Node, fraction: f64) -> Option<Candidate<'a>> {
        let load = self.loads.get(&node.name);
        let in_flight = load.map_or(0, |load| load.in_flight) as f64;
        let capacity_hint = load
            .and_then(|load| load.capacity_hint)
            .unwrap_or(DEFAULT_CAPACITY_HINT)
            .clamp(MIN_CAPACITY_HINT, MAX_CAPACITY_HINT);
        let is_busy = in_flight >= self.max_in_flight_per_node as f64 * node.weight;
        (!is_busy).then(|| Candidate {
            name: &node.name,
            relative_load: (in_flight + 1.0) / (node.weight * capacity_hint * fraction),
        })
    }

    fn select_candidate(&mut self, candidates: &[Candidate]) -> Selection {
        match candidates {
            [] => Selection::AllBusy,
            [only] => Selection::Node(only.name.clone()),
            _ => {
                let count = candidates.len();
                let first = self.random_below(count);
                let second = (first + 1 + self.random_below(count - 1)) % count;
                let (first, second) = (&candidates[first], &candidates[second]);
                let selected = if second.relative_load < first.relative_load {
                    second
                } else {
                    first
                };
                Selection::Node(selected.name.clone())
            }
        }
    }

    /// Returns a number below `bound` from the `splitmix64` sequence of the seed.
    fn random_below(&mut self, bound: usize) -> usize {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % bound.max(1) as u64) as usize
    }
}
