//! Observations of a dependency's health, counted by node and by site.

use serde::{Deserialize, Serialize};

use super::ObservedHealth;

/// Numbers of observers, by the health that they observe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HealthCounts {
    /// Observers for which the dependency works.
    pub sound: u32,
    /// Observers for which the dependency is slow.
    pub slow: u32,
    /// Observers for which the dependency fails.
    pub failing: u32,
}

impl HealthCounts {
    /// Counts one more observer.
    pub fn add(&mut self, health: ObservedHealth) {
        let count = self.count_mut(health);
        *count = count.saturating_add(1);
    }

    /// Counts one observer less.
    pub fn remove(&mut self, health: ObservedHealth) {
        let count = self.count_mut(health);
        *count = count.saturating_sub(1);
    }

    fn count_mut(&mut self, health: ObservedHealth) -> &mut u32 {
        match health {
            ObservedHealth::Sound => &mut self.sound,
            ObservedHealth::Slow => &mut self.slow,
            ObservedHealth::Failing => &mut self.failing,
        }
    }

    /// Returns the number of all observers.
    pub fn total(&self) -> u32 {
        self.sound
            .saturating_add(self.slow)
            .saturating_add(self.failing)
    }

    /// Returns true if the dependency fails for more than half of the observers.
    pub(super) fn is_mostly_failing(&self) -> bool {
        u64::from(self.failing) * 2 > u64::from(self.total())
    }

    /// Returns true if the dependency is slow for more than half of the observers.
    pub(super) fn is_mostly_slow(&self) -> bool {
        u64::from(self.slow) * 2 > u64::from(self.total())
    }

    /// Returns the health that most observers observe.
    fn majority(&self) -> ObservedHealth {
        if self.is_mostly_failing() {
            ObservedHealth::Failing
        } else if self.is_mostly_slow() {
            ObservedHealth::Slow
        } else {
            ObservedHealth::Sound
        }
    }
}

/// Counts of the observations of a dependency by all nodes except the one that evaluates them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(expecting = "struct Tally")]
pub struct ObservationCounts {
    /// Other nodes at the evaluating node's own site.
    pub here: HealthCounts,
    /// Nodes of all other sites.
    pub elsewhere: HealthCounts,
    /// Other sites, each counted once by the health that most of its nodes observe.
    pub sites: HealthCounts,
}

impl ObservationCounts {
    /// Counts the observations at the evaluating node's own site and at each other site.
    pub fn new(
        here: HealthCounts,
        other_sites: impl Iterator<Item = HealthCounts>,
    ) -> ObservationCounts {
        let mut counts = ObservationCounts {
            here,
            ..ObservationCounts::default()
        };
        for site in other_sites.filter(|site| site.total() > 0) {
            counts.elsewhere.sound += site.sound;
            counts.elsewhere.slow += site.slow;
            counts.elsewhere.failing += site.failing;
            counts.sites.add(site.majority());
        }
        counts
    }

    /// Returns the observations of all nodes, including the evaluating node's own if it has one.
    pub(super) fn all_nodes(&self, own: Option<ObservedHealth>) -> HealthCounts {
        let mut all = HealthCounts {
            sound: self.here.sound + self.elsewhere.sound,
            slow: self.here.slow + self.elsewhere.slow,
            failing: self.here.failing + self.elsewhere.failing,
        };
        if let Some(own) = own {
            all.add(own);
        }
        all
    }
}
