//! A migration in progress at the coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::migration::NodeId;
use cells::{AssignedCells, Migration, MigrationPhase, Name};
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::timeouts::Timeouts;

/// A migration in progress. Its serialized form is the journal's format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationEntry {
    /// The tenant.
    pub tenant: Name,
    /// The cells that are to serve it.
    pub to: AssignedCells,
    /// Whether an operator asked for the migration.
    #[serde(rename = "by_hand")]
    pub is_manual: bool,
    /// Whether nothing moves: a node that has restarted adopts the tenant of its cell again.
    #[serde(rename = "adopts")]
    pub is_adoption: bool,
    /// The state of the protocol.
    #[serde(rename = "state")]
    pub migration: Migration,
    /// The names of the nodes by their numbers in the migration.
    pub nodes: BTreeMap<NodeId, Name>,
}

impl MigrationEntry {
    /// The number of a node in the migration; none where it takes no part.
    pub(crate) fn node_id(&self, node: &str) -> Option<NodeId> {
        self.nodes
            .iter()
            .find(|(_, name)| &***name == node)
            .map(|(id, _)| *id)
    }

    /// The commands to send now, to all nodes that have not acknowledged the present phase.
    pub(crate) fn send_effects(&self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (id, command) in self.migration.commands() {
            if let Some(node) = self.nodes.get(&id) {
                effects.push(Effect::SendCommand {
                    node: node.clone(),
                    tenant: self.tenant.clone(),
                    command,
                });
            }
        }
        effects
    }
}

/// A migration in progress with its timers.
pub(crate) struct RunningMigration {
    pub(crate) entry: MigrationEntry,
    started_at: Duration,
    /// When commands are sent again.
    pub(crate) resend_at: Duration,
    /// The time between the last sending and `resend_at`.
    resend_interval: Duration,
}

impl RunningMigration {
    /// A migration that starts now; its commands have just been sent.
    pub(crate) fn start(
        entry: MigrationEntry,
        timeouts: &Timeouts,
        now: Duration,
    ) -> RunningMigration {
        RunningMigration {
            entry,
            started_at: now,
            resend_at: now + timeouts.resend_interval,
            resend_interval: timeouts.resend_interval,
        }
    }

    /// A migration from the journal; its commands are due at once.
    pub(crate) fn recover(
        entry: MigrationEntry,
        timeouts: &Timeouts,
        now: Duration,
    ) -> RunningMigration {
        RunningMigration {
            resend_at: now,
            ..RunningMigration::start(entry, timeouts, now)
        }
    }

    /// Starts the resend timer anew, for the commands of a new phase.
    pub(crate) fn reset_resend_timer(&mut self, timeouts: &Timeouts, now: Duration) {
        self.resend_interval = timeouts.resend_interval;
        self.resend_at = now + timeouts.resend_interval;
    }

    /// Doubles the time to the next sending.
    pub(crate) fn back_off(&mut self, timeouts: &Timeouts, now: Duration) {
        self.resend_interval = (self.resend_interval * 2).min(timeouts.max_resend_interval);
        self.resend_at = now + self.resend_interval;
    }

    /// Whether the migration should be aborted because it was not committed in time.
    pub(crate) fn has_timed_out(&self, timeouts: &Timeouts, now: Duration) -> bool {
        !self.entry.is_adoption
            && self.entry.migration.phase < MigrationPhase::Commit
            && now >= self.started_at + timeouts.commit_timeout
    }
}
