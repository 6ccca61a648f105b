//! Whether a node is available before anything is sent to it: by the fleet's membership view, or by health checks where
//! there is none.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::{Name, Node};

/// Whether a node is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Nothing is sent to it.
    Unavailable,
    /// Some member got no answer from it: requests are sent to it only while no node of its cell is available.
    Suspect,
    /// Requests are sent to it.
    Available,
}

impl From<bool> for Availability {
    fn from(is_available: bool) -> Availability {
        if is_available {
            Availability::Available
        } else {
            Availability::Unavailable
        }
    }
}

/// The nodes that a request may be sent to: the available ones, or else the suspects.
pub(crate) fn usable_nodes<'a, A: Into<Availability>>(
    nodes: Vec<&'a Node>,
    availability: &impl Fn(&str) -> A,
) -> Vec<&'a Node> {
    let nodes: Vec<(&Node, Availability)> = nodes
        .into_iter()
        .map(|node| (node, availability(&node.name).into()))
        .collect();
    let is_any_available = nodes.iter().any(|(_, a)| *a == Availability::Available);
    let required = if is_any_available {
        Availability::Available
    } else {
        Availability::Suspect
    };
    nodes
        .into_iter()
        .filter(|(_, availability)| *availability == required)
        .map(|(node, _)| node)
        .collect()
}

/// The results of health checks: a node is available while its last good result is recent.
#[derive(Clone, Debug)]
pub struct HealthChecks {
    validity: Duration,
    last_good: BTreeMap<Name, Duration>,
}

impl HealthChecks {
    /// Starts without results; a good one is valid for `validity`.
    pub fn new(validity: Duration) -> HealthChecks {
        HealthChecks {
            validity,
            last_good: BTreeMap::new(),
        }
    }

    /// Records that a node answered a check at `now`.
    pub fn record(&mut self, node: &Name, is_ready: bool, now: Duration) {
        if is_ready {
            self.last_good.insert(node.clone(), now);
        } else {
            self.last_good.remove(node);
        }
    }

    /// Whether a node is available.
    pub fn availability(&self, node: &str, now: Duration) -> Availability {
        self.last_good
            .get(node)
            .is_some_and(|good_at| now.saturating_sub(*good_at) < self.validity)
            .into()
    }
}
