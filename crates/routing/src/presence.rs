//! How a node stands before anything was sent to it: by the fleet's view, or by health checks where there is none.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::map::{Name, Node};

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Nothing goes to it.
    Away,
    /// Somebody got no answer from it: it gets something only where nobody else of its cell is there.
    Doubtful,
    /// It is there.
    There,
}

impl From<bool> for Presence {
    fn from(there: bool) -> Presence {
        if there {
            Presence::There
        } else {
            Presence::Away
        }
    }
}

/// Those that a request may go to: who is there, or else who is in doubt.
pub(crate) fn candidates<'a, P: Into<Presence>>(
    shard: Vec<&'a Node>,
    there: &impl Fn(&str) -> P,
) -> Vec<&'a Node> {
    let all: Vec<(&Node, Presence)> = shard
        .into_iter()
        .map(|n| (n, there(&n.name).into()))
        .collect();
    let best = if all.iter().any(|(_, p)| *p == Presence::There) {
        Presence::There
    } else {
        Presence::Doubtful
    };
    all.into_iter()
        .filter(|(_, p)| *p == best)
        .map(|(n, _)| n)
        .collect()
}

/// What health checks of a static list tell. No detector: a node is there while its last good answer is young.
#[derive(Clone, Debug)]
pub struct Checks {
    patience: Duration,
    good: BTreeMap<Name, Duration>,
}

impl Checks {
    /// Nothing is known. Times are those of checks; a good answer holds for `patience`.
    pub fn new(patience: Duration) -> Checks {
        Checks {
            patience,
            good: BTreeMap::new(),
        }
    }
    /// A check was answered.
    pub fn heard(&mut self, node: &Name, ready: bool, now: Duration) {
        if ready {
            self.good.insert(node.clone(), now);
        } else {
            self.good.remove(node);
        }
    }
    /// How a node stands.
    pub fn presence(&self, node: &str, now: Duration) -> Presence {
        self.good
            .get(node)
            .is_some_and(|at| now.saturating_sub(*at) < self.patience)
            .into()
    }
}
