//! What a node concludes of a dependency's health, and how changes of the conclusion are damped.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ObservedHealth, Tally};

/// How long a worse health has to hold until it is reported.
const WORSE_DELAY: Duration = Duration::from_millis(300);
/// How much newer than this node's first failure the others' observations have to be before this node concludes that it alone
/// fails: when all fail, some notice it sooner than others.
const ONLY_HERE_DELAY: Duration = Duration::from_millis(500);
/// How long a better health has to hold until it is reported, if the health has not turned worse again lately.
const BETTER_DELAY: Duration = Duration::from_secs(1);
/// How often that delay doubles at the most, once for each time that the health turned worse again.
const MAX_DELAY_DOUBLINGS: u32 = 4;
/// Time without a change after which earlier changes no longer lengthen the delay.
const CALM_PERIOD: Duration = Duration::from_secs(60);

/// Health of a dependency, as a node concludes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DependencyHealth {
    /// No node has tried it lately.
    Unknown,
    /// It serves.
    Sound,
    /// It serves slowly, and not for this node alone.
    Slow,
    /// This node fails, and there is too little from the others to tell where the fault is.
    Unsure,
    /// Other nodes reach it: the fault is on the path of this node or of its site.
    OnlyHere,
    /// It fails for most nodes that tried, at two or more sites.
    Down,
}

impl DependencyHealth {
    /// Whether only the few calls that show a recovery should be made.
    pub fn should_limit_calls(self) -> bool {
        matches!(self, DependencyHealth::Down | DependencyHealth::OnlyHere)
    }

    fn is_worse_than(self, other: DependencyHealth) -> bool {
        self.severity() > other.severity()
    }

    fn severity(self) -> u8 {
        match self {
            DependencyHealth::Unknown | DependencyHealth::Sound => 0,
            DependencyHealth::Slow => 1,
            DependencyHealth::Unsure => 2,
            DependencyHealth::OnlyHere | DependencyHealth::Down => 3,
        }
    }

    /// Its name in output for people.
    pub fn name(self) -> &'static str {
        match self {
            DependencyHealth::Unknown => "unknown",
            DependencyHealth::Sound => "sound",
            DependencyHealth::Slow => "slow",
            DependencyHealth::Unsure => "unsure",
            DependencyHealth::OnlyHere => "only here",
            DependencyHealth::Down => "down",
        }
    }
}

/// Concludes the health of a dependency from a node's own observation and those of the others, in a fleet with this many
/// sites.
pub fn evaluate_health(
    own: Option<ObservedHealth>,
    others: &Tally,
    site_count: usize,
) -> DependencyHealth {
    // A dependency that works for this node is not down for it, whatever the others observe.
    if own == Some(ObservedHealth::Sound) {
        return DependencyHealth::Sound;
    }
    let all = others.all_nodes(own);
    if all.is_mostly_failing() && is_confirmed(own, others, site_count) {
        return DependencyHealth::Down;
    }
    match own {
        Some(ObservedHealth::Failing) => {
            let others = others.all_nodes(None);
            if others.total() > 0 && !others.is_mostly_failing() {
                DependencyHealth::OnlyHere
            } else {
                DependencyHealth::Unsure
            }
        }
        Some(ObservedHealth::Slow) => DependencyHealth::Slow,
        _ if all.total() == 0 => DependencyHealth::Unknown,
        // A node that did not try trusts the others that the dependency is slow, but not that it fails.
        _ if all.is_mostly_slow() => DependencyHealth::Slow,
        _ => DependencyHealth::Sound,
    }
}

/// Whether two sites observe that the dependency fails or, in a fleet with a single site, two nodes.
fn is_confirmed(own: Option<ObservedHealth>, others: &Tally, site_count: usize) -> bool {
    if site_count <= 1 {
        return others.all_nodes(own).failing >= 2;
    }
    let mut here = others.here;
    if let Some(own) = own {
        here.add(own);
    }
    others.sites.failing + u32::from(here.is_mostly_failing()) >= 2
}

/// Damps changes of a dependency's health: a worse health is reported soon, a better one after a delay that doubles with each
/// time that the health turned worse again.
#[derive(Clone, Debug)]
pub struct HealthEvaluator {
    health: DependencyHealth,
    changed_at: Duration,
    /// The last conclusion, and since when it has been the same.
    pending: DependencyHealth,
    pending_since: Duration,
    relapses: u32,
}

impl Default for HealthEvaluator {
    fn default() -> HealthEvaluator {
        HealthEvaluator {
            health: DependencyHealth::Unknown,
            changed_at: Duration::ZERO,
            pending: DependencyHealth::Unknown,
            pending_since: Duration::ZERO,
            relapses: 0,
        }
    }
}

impl HealthEvaluator {
    /// Takes in a conclusion from observations of the others that were made at `as_of` or later. Returns the health that is
    /// reported from now on.
    pub fn update(
        &mut self,
        now: Duration,
        concluded: DependencyHealth,
        as_of: Duration,
    ) -> DependencyHealth {
        if concluded != self.pending {
            self.pending = concluded;
            self.pending_since = now;
        }
        let is_calm = now.saturating_sub(self.changed_at) >= CALM_PERIOD;
        if concluded == self.health {
            if is_calm {
                self.relapses = 0;
            }
            return self.health;
        }
        let is_due = now.saturating_sub(self.pending_since) >= self.delay(concluded);
        if is_due && self.has_evidence(concluded, as_of) {
            if concluded.is_worse_than(self.health) && concluded.should_limit_calls() {
                self.relapses = if is_calm { 0 } else { self.relapses + 1 };
            }
            self.health = concluded;
            self.changed_at = now;
        }
        self.health
    }

    /// The health that is reported.
    pub fn health(&self) -> DependencyHealth {
        self.health
    }

    /// When the reported health last changed.
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// How long a conclusion has to hold until it is reported.
    fn delay(&self, concluded: DependencyHealth) -> Duration {
        if concluded.is_worse_than(self.health) {
            return WORSE_DELAY;
        }
        if self.health.is_worse_than(concluded) && self.health.should_limit_calls() {
            let doublings = self.relapses.saturating_sub(1).min(MAX_DELAY_DOUBLINGS);
            return BETTER_DELAY * (1 << doublings);
        }
        // After a health that did not limit calls, a better one is reported at once.
        Duration::ZERO
    }

    /// Whether the others' observations are new enough for a conclusion.
    fn has_evidence(&self, concluded: DependencyHealth, as_of: Duration) -> bool {
        concluded != DependencyHealth::OnlyHere || as_of >= self.pending_since + ONLY_HERE_DELAY
    }
}
