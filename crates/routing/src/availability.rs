//! Availability of a node before any request is sent to it, taken from the fleet's membership view
//! or, without one, from health checks.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::{Name, Node};

/// Availability of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// No requests are sent to the node.
    Unavailable,
    /// A member of the fleet got no answer from the node. Requests are sent to it only while no
    /// node of its cell is available.
    Suspect,
    /// Requests are sent to the node.
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

/// Returns the nodes that a request may be sent to: the available ones, or the suspect ones if none
/// is available.
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

/// Results of health checks: a node is available while its last good result is recent.
#[derive(Clone, Debug)]
pub struct HealthChecks {
    validity: Duration,
    last_good: BTreeMap<Name, Duration>,
}

impl HealthChecks {
    /// Creates an empty record in which a good result is valid for `validity`.
    pub fn new(validity: Duration) -> HealthChecks {
        HealthChecks {
            validity,
            last_good: BTreeMap::new(),
        }
    }

    /// Records that a node answered a health check at `now`. A bad result revokes the last good
    /// one.
    pub fn record(&mut self, node: &Name, is_ready: bool, now: Duration) {
        if is_ready {
            self.last_good.insert(node.clone(), now);
        } else {
            self.last_good.remove(node);
        }
    }

    /// Returns the availability of a node at `now`.
    pub fn availability(&self, node: &str, now: Duration) -> Availability {
        self.last_good
            .get(node)
            .is_some_and(|good_at| now.saturating_sub(*good_at) < self.validity)
            .into()
    }
}
