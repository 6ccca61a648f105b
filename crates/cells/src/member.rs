//! What is left of a cell as the fleet's view shows it, and how one that lost most of its nodes is served.

use std::time::Duration;

use crate::map::{Cell, CellMap};

/// What is left of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Most of it is there: this part by weight.
    Whole {
        /// From 0 to 1.
        left: f64,
    },
    /// It lost most of its nodes, and most of the rest of the fleet is there.
    Lost {
        /// From 0 to 1.
        left: f64,
    },
    /// The observer hears neither: it is the one that is cut off.
    CutOff,
}

impl Verdict {
    /// What is left of a cell, by which members the view holds to be there, and whether the observer concludes that it
    /// sees its fleet. Less than half of a cell's weight there, while more than half of what lies outside it is: the cell
    /// has lost its nodes. Neither, or an observer that sees a part of its fleet only: it is cut off, and must decide
    /// nothing. A fleet of one cell can't tell the two apart and takes the safe one.
    pub fn of(map: &CellMap, cell: &str, whole: bool, there: impl Fn(&str) -> bool) -> Verdict {
        let part = |cells: &mut dyn Iterator<Item = &Cell>| {
            let (mut all, mut present) = (0.0, 0.0);
            for node in cells.flat_map(|c| &c.nodes) {
                all += node.weight;
                present += if there(&node.name) { node.weight } else { 0.0 };
            }
            if all > 0.0 {
                present / all
            } else {
                0.0
            }
        };
        let inside = part(&mut map.cells().filter(|c| &*c.name == cell));
        let outside = part(&mut map.cells().filter(|c| &*c.name != cell));
        match () {
            () if inside > 0.5 => Verdict::Whole { left: inside },
            () if whole && outside > 0.5 => Verdict::Lost { left: inside },
            () => Verdict::CutOff,
        }
    }
}

/// How a cell that lost most of its nodes is served.
#[derive(Clone, Debug)]
pub struct SpillPolicy {
    /// The part of a neighbour's capacity that may be taken by what spills over to it, at most.
    pub most: f64,
    /// Once the cell is whole again, what spills goes back to nothing over this time.
    pub back: Duration,
}

impl Default for SpillPolicy {
    fn default() -> SpillPolicy {
        SpillPolicy {
            most: 0.1,
            back: Duration::from_secs(20),
        }
    }
}

/// Decides how much of a degraded cell's reads its neighbours serve. Settlements never spill: a second node that knows
/// nothing of their keys could run them twice.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    policy: SpillPolicy,
    /// Part of the cell that was missing when it was last degraded, and when it was whole again.
    missing: f64,
    whole_since: Option<Duration>,
}

impl Spill {
    /// A cell that is whole.
    pub fn new(policy: SpillPolicy) -> Spill {
        Spill {
            policy,
            missing: 0.0,
            whole_since: None,
        }
    }
    /// The cell was looked at.
    pub fn look(&mut self, verdict: Verdict, now: Duration) {
        match verdict {
            Verdict::Lost { left } => (self.missing, self.whole_since) = (1.0 - left, None),
            Verdict::Whole { .. } if self.missing > 0.0 => {
                let since = *self.whole_since.get_or_insert(now);
                if now.saturating_sub(since) >= self.policy.back {
                    (self.missing, self.whole_since) = (0.0, None);
                }
            }
            // Cut off, we know nothing new.
            Verdict::Whole { .. } | Verdict::CutOff => {}
        }
    }
    /// The part of the cell's reads that its neighbours may take now, where the cell weighs `cell` and a neighbour
    /// `neighbour`: what is missing, but no more than the neighbour's bound. From 0 to 1.
    pub fn part(&self, cell: f64, neighbour: f64, now: Duration) -> f64 {
        let faded = self.whole_since.map_or(1.0, |since| {
            1.0 - now.saturating_sub(since).as_secs_f64() / self.policy.back.as_secs_f64().max(1e-9)
        });
        let bound = if cell > 0.0 {
            self.policy.most * neighbour / cell
        } else {
            0.0
        };
        (self.missing * faded.clamp(0.0, 1.0))
            .min(bound)
            .clamp(0.0, 1.0)
    }
}
