//! A migration in progress, with the data that the coordinator needs to carry it out.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::migration::NodeId;
use cells::{AssignedCells, Migration, MigrationPhase, Name};
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::timeouts::Timeouts;

/// A migration in progress. Its serialized form is part of the journal's format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationEntry {
    /// The tenant.
    pub tenant: Name,
    /// Cells that will serve the tenant.
    pub to: AssignedCells,
    /// True if an operator requested the migration.
    #[serde(rename = "by_hand")]
    pub is_manual: bool,
    /// True if the assignment does not change: a restarted node adopts a tenant of its cell again.
    #[serde(rename = "adopts")]
    pub is_adoption: bool,
    /// State of the migration protocol.
    #[serde(rename = "state")]
    pub migration: Migration,
    /// Names of the nodes by their ids in the migration.
    pub nodes: BTreeMap<NodeId, Name>,
}

impl MigrationEntry {
    /// Returns the id of a node in the migration; none if the node takes no part in it.
    pub(crate) fn node_id(&self, node: &str) -> Option<NodeId> {
        self.nodes
            .iter()
            .find(|(_, name)| &***name == node)
            .map(|(id, _)| *id)
    }

    /// Returns the effects that send the current phase's commands to all nodes that have not
    /// acknowledged it.
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
    /// Time at which commands are resent.
    pub(crate) resend_at: Duration,
    /// Duration between the last sending and `resend_at`.
    resend_interval: Duration,
}

impl RunningMigration {
    /// Creates the timers of a migration that starts now; its commands have just been sent.
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

    /// Creates the timers of a migration from the journal; its commands are due at once.
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

    /// Restarts the resend timer for the commands of a new phase.
    pub(crate) fn reset_resend_timer(&mut self, timeouts: &Timeouts, now: Duration) {
        self.resend_interval = timeouts.resend_interval;
        self.resend_at = now + timeouts.resend_interval;
    }

    /// Doubles the interval until commands are resent.
    pub(crate) fn back_off(&mut self, timeouts: &Timeouts, now: Duration) {
        self.resend_interval = (self.resend_interval * 2).min(timeouts.max_resend_interval);
        self.resend_at = now + self.resend_interval;
    }

    /// Returns true if the migration should be aborted because it was not committed in time.
    pub(crate) fn has_timed_out(&self, timeouts: &Timeouts, now: Duration) -> bool {
        !self.entry.is_adoption
            && self.entry.migration.phase < MigrationPhase::Commit
            && now >= self.started_at + timeouts.commit_timeout
    }
}
