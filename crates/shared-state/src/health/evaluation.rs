//! Evaluation of a dependency's health by a node, with damping of changes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ObservationCounts, ObservedHealth};

/// Duration for which a worse health has to hold until it is reported.
const DEGRADATION_DELAY: Duration = Duration::from_millis(300);
/// Minimum time from this node's first failure to the others' observations for the conclusion that
/// only this node fails. When all nodes fail, some notice it sooner than others.
const ONLY_HERE_DELAY: Duration = Duration::from_millis(500);
/// Duration for which a better health has to hold until it is reported, if the health has not
/// degraded repeatedly in the recent past.
const RECOVERY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of times that [`RECOVERY_DELAY`] is doubled, once for each repeated degradation.
const MAX_RECOVERY_DELAY_DOUBLINGS: u32 = 4;
/// Time without a change after which earlier degradations no longer lengthen the recovery delay.
const STABLE_PERIOD: Duration = Duration::from_secs(60);

/// Health of a dependency, as concluded by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DependencyHealth {
    /// No node has tried the dependency recently.
    Unknown,
    /// The dependency works.
    Sound,
    /// The dependency responds slowly to most nodes that tried it, or to this one.
    Slow,
    /// The dependency fails for this node, and the others' observations do not show where the fault
    /// is.
    Unsure,
    /// The dependency fails for this node but not for most others: the fault is on the path of this
    /// node or of its site.
    OnlyHere,
    /// The dependency fails for most nodes that tried it, at two or more sites.
    Down,
}

impl DependencyHealth {
    /// Returns true if only the few calls that would show a recovery should be made.
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

    /// Returns the name of the health in output for people.
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

/// Concludes the health of a dependency from a node's own observation and those of the other nodes.
/// `site_count` is the number of sites in the fleet.
pub fn evaluate_health(
    own: Option<ObservedHealth>,
    others: &ObservationCounts,
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
        // A node that did not try the dependency relies on the others for the conclusion that it is
        // slow, but not that it fails.
        _ if all.is_mostly_slow() => DependencyHealth::Slow,
        _ => DependencyHealth::Sound,
    }
}

/// Returns true if a failure is observed at two sites or, in a fleet with a single site, by two
/// nodes.
fn is_confirmed(
    own: Option<ObservedHealth>,
    others: &ObservationCounts,
    site_count: usize,
) -> bool {
    if site_count <= 1 {
        return others.all_nodes(own).failing >= 2;
    }
    let mut here = others.here;
    if let Some(own) = own {
        here.add(own);
    }
    others.sites.failing + u32::from(here.is_mostly_failing()) >= 2
}

/// Damps changes of a dependency's health. A worse health is reported after a short delay, a better
/// one after a delay that doubles with each repeated degradation.
#[derive(Clone, Debug)]
pub struct HealthEvaluator {
    health: DependencyHealth,
    changed_at: Duration,
    /// The last conclusion, and the time from which it has been the same.
    pending: DependencyHealth,
    pending_since: Duration,
    degradation_count: u32,
}

impl Default for HealthEvaluator {
    fn default() -> HealthEvaluator {
        HealthEvaluator {
            health: DependencyHealth::Unknown,
            changed_at: Duration::ZERO,
            pending: DependencyHealth::Unknown,
            pending_since: Duration::ZERO,
            degradation_count: 0,
        }
    }
}

impl HealthEvaluator {
    /// Records a conclusion that was drawn from observations of the other nodes made at `as_of` or
    /// later. Returns the health to report from now on.
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
        let is_stable = now.saturating_sub(self.changed_at) >= STABLE_PERIOD;
        if concluded == self.health {
            if is_stable {
                self.degradation_count = 0;
            }
            return self.health;
        }
        let is_due = now.saturating_sub(self.pending_since) >= self.delay(concluded);
        if is_due && self.has_evidence(concluded, as_of) {
            if concluded.is_worse_than(self.health) && concluded.should_limit_calls() {
                self.degradation_count = if is_stable {
                    0
                } else {
                    self.degradation_count + 1
                };
            }
            self.health = concluded;
            self.changed_at = now;
        }
        self.health
    }

    /// Returns the reported health.
    pub fn health(&self) -> DependencyHealth {
        self.health
    }

    /// Returns the time at which the reported health last changed.
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Returns the duration for which a conclusion has to hold until it is reported.
    fn delay(&self, concluded: DependencyHealth) -> Duration {
        if concluded.is_worse_than(self.health) {
            return DEGRADATION_DELAY;
        }
        if self.health.is_worse_than(concluded) && self.health.should_limit_calls() {
            let doublings = self
                .degradation_count
                .saturating_sub(1)
                .min(MAX_RECOVERY_DELAY_DOUBLINGS);
            return RECOVERY_DELAY * (1 << doublings);
        }
        // A better health is reported immediately if the previous one did not limit calls.
        Duration::ZERO
    }

    /// Returns true if the others' observations are new enough for a conclusion.
    fn has_evidence(&self, concluded: DependencyHealth, as_of: Duration) -> bool {
        concluded != DependencyHealth::OnlyHere || as_of >= self.pending_since + ONLY_HERE_DELAY
    }
}
