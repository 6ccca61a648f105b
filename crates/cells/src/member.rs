//! Who is there: a failure detector whose false alarms are bounded, and the rule that tells a cell that lost its nodes
//! from an observer that is cut off. Times are measured from any start that the caller keeps to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::map::{Cell, CellMap, Name};

/// How a detector judges.
#[derive(Clone, Debug)]
pub struct Patience {
    /// Between two heartbeats, as they are sent.
    pub beat: Duration,
    /// Silence after which a node is suspected at the earliest, whatever its beats look like.
    pub least: Duration,
    /// How many mean deviations beyond its mean interval a node may be silent.
    pub deviations: f64,
    /// The most that false alarms stretch a node's patience, as a power of two: each false alarm doubles it, so in one
    /// `forgive` a node that does beat within `least` times this is suspected falsely no more often than this.
    pub most_doublings: u32,
    /// Time without a false alarm or a restart after which one doubling is taken back.
    pub forgive: Duration,
    /// A suspected node is gone after this long.
    pub gone: Duration,
    /// What a node that keeps coming and going is kept out the first time; doubled each time, up to `most_doublings`.
    pub probation: Duration,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience {
            beat: Duration::from_millis(200),
            least: Duration::from_millis(1000),
            deviations: 6.0,
            most_doublings: 4,
            forgive: Duration::from_secs(60),
            gone: Duration::from_secs(5),
            probation: Duration::from_millis(500),
        }
    }
}

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Heard, and not yet trusted: it is new, or came back once too often of late.
    Joining,
    /// It beats.
    Up,
    /// It beats and takes nothing new.
    Draining,
    /// Silent for too long.
    Suspected,
    /// Silent for so long that it counts as dead, or it said goodbye.
    Gone,
}

impl Health {
    /// Whether new requests may be sent to it.
    pub fn serves(self) -> bool {
        self == Health::Up
    }
    /// Whether it is there at all.
    pub fn present(self) -> bool {
        matches!(self, Health::Up | Health::Draining | Health::Joining)
    }
}

/// What a node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beat {
    /// Higher with each start of the node's process.
    pub life: u64,
    /// It takes nothing new.
    pub draining: bool,
    /// This is its last word.
    pub last: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    life: u64,
    health: Health,
    heard: Duration,
    /// Mean interval between beats and its mean deviation, in seconds.
    mean: f64,
    deviation: f64,
    /// Doublings of its patience, one for each false alarm that is not forgiven.
    alarms: u32,
    /// Returns that are not forgiven.
    returns: u32,
    /// Since when the last of these two was raised or taken back.
    calm_since: Duration,
    /// When a joining node is trusted.
    trusted: Duration,
}

/// Watches nodes by their heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    patience: Patience,
    peers: BTreeMap<Name, Peer>,
}

impl Detector {
    /// Watches nobody yet.
    pub fn new(patience: Patience) -> Detector {
        Detector { patience, peers: BTreeMap::new() }
    }

    /// How a node stands; one never heard of is gone.
    pub fn health(&self, name: &str) -> Health {
        self.peers.get(name).map_or(Health::Gone, |p| p.health)
    }

    /// How long this node may be silent before it is suspected: what its beats make usual, or what its false alarms
    /// have earned it if that is longer, and never more than all doublings together.
    fn silence(&self, peer: &Peer) -> Duration {
        let usual = Duration::from_secs_f64(peer.mean + self.patience.deviations * peer.deviation);
        let earned = self.patience.least * 2u32.pow(peer.alarms);
        usual.max(earned).min(self.patience.least * 2u32.pow(self.patience.most_doublings))
    }

    /// A beat came. Tells how the node stands from now on where that has changed.
    pub fn heard(&mut self, name: &str, beat: Beat, now: Duration) -> Option<Health> {
        let Detector { patience, peers } = self;
        let new = !peers.contains_key(name);
        let peer = peers.entry(name.into()).or_insert_with(|| Peer {
            life: beat.life,
            health: Health::Gone,
            heard: now,
            mean: patience.beat.as_secs_f64(),
            deviation: patience.beat.as_secs_f64() / 4.0,
            alarms: 0,
            returns: 0,
            calm_since: now,
            trusted: now,
        });
        if beat.life < peer.life {
            // Late news of an earlier life.
            return None;
        }
        let before = peer.health;
        let restarted = beat.life > peer.life;
        let away = !new && !before.present();
        if away && !restarted && before == Health::Suspected {
            // It was there all the while: next time it gets more time.
            peer.alarms = (peer.alarms + 1).min(patience.most_doublings);
            peer.calm_since = now;
        }
        if restarted || away {
            let hold = patience.probation * 2u32.pow(peer.returns);
            // The first return costs nothing: most nodes come back once, and are needed.
            peer.trusted = if peer.returns == 0 { now } else { now + hold };
            peer.returns = (peer.returns + 1).min(patience.most_doublings);
            peer.calm_since = now;
        } else if !new {
            let interval = now.saturating_sub(peer.heard).as_secs_f64();
            peer.deviation += ((interval - peer.mean).abs() - peer.deviation) / 16.0;
            peer.mean += (interval - peer.mean) / 16.0;
        }
        (peer.life, peer.heard) = (beat.life, now);
        peer.health = match () {
            () if beat.last => Health::Gone,
            () if beat.draining => Health::Draining,
            () if now < peer.trusted => Health::Joining,
            () => Health::Up,
        };
        (peer.health != before).then_some(peer.health)
    }

    /// Time has passed: who stands otherwise now.
    pub fn tick(&mut self, now: Duration) -> Vec<(Name, Health)> {
        let mut changes = Vec::new();
        let silences: Vec<Duration> = self.peers.values().map(|p| self.silence(p)).collect();
        for ((name, peer), silence) in self.peers.iter_mut().zip(silences) {
            let silent = now.saturating_sub(peer.heard);
            let health = match peer.health {
                Health::Gone => Health::Gone,
                Health::Suspected if silent >= silence + self.patience.gone => Health::Gone,
                Health::Suspected => Health::Suspected,
                _ if silent >= silence => Health::Suspected,
                Health::Joining if now >= peer.trusted => Health::Up,
                other => other,
            };
            if health.present() && now.saturating_sub(peer.calm_since) >= self.patience.forgive {
                peer.alarms = peer.alarms.saturating_sub(1);
                peer.returns = peer.returns.saturating_sub(1);
                peer.calm_since = now;
            }
            if health != peer.health {
                peer.health = health;
                changes.push((name.clone(), health));
            }
        }
        changes
    }

    /// When time alone changes something at the earliest; none if nobody is watched.
    pub fn next(&self) -> Option<Duration> {
        let due = |p: &Peer| match p.health {
            Health::Gone => None,
            Health::Suspected => Some(p.heard + self.silence(p) + self.patience.gone),
            Health::Joining => Some(p.trusted.min(p.heard + self.silence(p))),
            _ => Some(p.heard + self.silence(p)),
        };
        self.peers.values().filter_map(due).min()
    }

    /// What is left of a cell, as the observer sees it. Less than half of a cell's weight present while more than half
    /// of what lies outside it is: the cell has lost its nodes. Neither: whoever looks is cut off, and must decide
    /// nothing. A fleet of one cell can't tell the two apart and takes the safe one.
    pub fn verdict(&self, map: &CellMap, cell: &str) -> Verdict {
        let part = |cells: &mut dyn Iterator<Item = &Cell>| {
            let (mut all, mut present) = (0.0, 0.0);
            for node in cells.flat_map(|c| &c.nodes) {
                all += node.weight;
                present += if self.health(&node.name).present() { node.weight } else { 0.0 };
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
            () if outside > 0.5 => Verdict::Lost { left: inside },
            () => Verdict::CutOff,
        }
    }
}

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
        SpillPolicy { most: 0.1, back: Duration::from_secs(20) }
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
        Spill { policy, missing: 0.0, whole_since: None }
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
        let bound = if cell > 0.0 { self.policy.most * neighbour / cell } else { 0.0 };
        (self.missing * faded.clamp(0.0, 1.0)).min(bound).clamp(0.0, 1.0)
    }
}
