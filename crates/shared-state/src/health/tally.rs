//! Observations of a dependency, counted over nodes and sites.

use serde::{Deserialize, Serialize};

use super::ObservedHealth;

/// How many observers report which health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HealthCounts {
    /// Observers that find it sound.
    pub sound: u32,
    /// Observers that find it slow.
    pub slow: u32,
    /// Observers that find it failing.
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

    /// All observers.
    pub fn total(&self) -> u32 {
        self.sound
            .saturating_add(self.slow)
            .saturating_add(self.failing)
    }

    /// Whether more than half of the observers find it failing.
    pub(super) fn is_mostly_failing(&self) -> bool {
        u64::from(self.failing) * 2 > u64::from(self.total())
    }

    /// Whether more than half of the observers find it slow.
    pub(super) fn is_mostly_slow(&self) -> bool {
        u64::from(self.slow) * 2 > u64::from(self.total())
    }

    /// What most observers find.
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

/// What nodes other than the reader observe of a dependency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// Nodes of the reader's own site, the reader left out.
    pub here: HealthCounts,
    /// Nodes of all other sites.
    pub elsewhere: HealthCounts,
    /// Other sites, each counted by what most of its nodes observe.
    pub sites: HealthCounts,
}

impl Tally {
    /// Counts the observations at the reader's own site and at each other site.
    pub fn new(here: HealthCounts, other_sites: impl Iterator<Item = HealthCounts>) -> Tally {
        let mut tally = Tally {
            here,
            ..Tally::default()
        };
        for site in other_sites.filter(|site| site.total() > 0) {
            tally.elsewhere.sound += site.sound;
            tally.elsewhere.slow += site.slow;
            tally.elsewhere.failing += site.failing;
            tally.sites.add(site.majority());
        }
        tally
    }

    /// The observations of all nodes, the reader's own included if it has one.
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
