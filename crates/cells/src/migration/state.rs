//! The coordinator's state of one migration, its transitions and the commands that each phase
//! sends.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    merge_keys, CommandKind, Epoch, Incarnation, KnownKeys, MigrationCommand, MigrationId,
    MigrationPhase, MigrationReport, NodeId, Ownership,
};

/// An event that changes the state of a migration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MigrationEvent {
    /// A report of a node was received.
    ReportReceived(NodeId, MigrationReport),
    /// A node certainly serves no requests: its process is known to have exited, or its lease has
    /// expired since the last message from it. The keys it knew are lost or can't be requested.
    NodeFenced(NodeId),
    /// An operator or a timeout aborts the migration.
    AbortRequested,
}

/// The reason why a migration can't be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MigrationError {
    /// There is no node to serve the tenant after the migration.
    #[error("the migration has no target node")]
    NoTargets,
    /// A node is both source and target: it would have to serve and be frozen at the same time.
    #[error("node {0} is both source and target of the migration")]
    SourceIsTarget(NodeId),
}

/// The state of a migration at the coordinator. Its serialized form is part of the journal's
/// format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// Identifier of the migration.
    pub id: MigrationId,
    /// Current phase.
    #[serde(rename = "step")]
    pub phase: MigrationPhase,
    /// Epoch that the migration creates; aborting it creates the one after.
    pub epoch: Epoch,
    /// Nodes that serve the tenant before the migration.
    #[serde(rename = "from")]
    pub sources: BTreeSet<NodeId>,
    /// Nodes that serve the tenant after the migration.
    #[serde(rename = "to")]
    pub targets: BTreeSet<NodeId>,
    /// Last reported incarnation of each node.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<NodeId, Incarnation>,
    /// Nodes that have acknowledged the current phase.
    #[serde(rename = "answered")]
    pub acknowledged: BTreeSet<NodeId>,
    /// Nodes that certainly serve no requests and are not waited for.
    pub fenced: BTreeSet<NodeId>,
    /// Targets that restarted after the hand-over and must receive the keys again before they
    /// serve.
    #[serde(rename = "anew")]
    pub restarted_targets: BTreeSet<NodeId>,
    /// Keys that the sources know.
    pub keys: KnownKeys,
    /// True if keys may be missing from `keys`.
    #[serde(rename = "doubtful")]
    pub may_lack_keys: bool,
}

impl Migration {
    /// Creates a migration from the nodes of one cell to those of another. Its commit creates the
    /// map epoch `epoch`.
    ///
    /// # Errors
    /// Returns an error if there is no target node, or if a node is both source and target.
    pub fn new(
        id: MigrationId,
        epoch: Epoch,
        sources: BTreeSet<NodeId>,
        targets: BTreeSet<NodeId>,
    ) -> Result<Migration, MigrationError> {
        if targets.is_empty() {
            return Err(MigrationError::NoTargets);
        }
        if let Some(node) = sources.intersection(&targets).next() {
            return Err(MigrationError::SourceIsTarget(*node));
        }
        Ok(Migration::prepare(id, epoch, sources, targets))
    }

    /// Creates an adoption of a tenant by a node that has restarted within the tenant's cell. The
    /// node has lost the keys it knew, so it treats every retry as one that may have run.
    pub fn adoption(id: MigrationId, epoch: Epoch, node: NodeId) -> Migration {
        Migration {
            may_lack_keys: true,
            ..Migration::prepare(id, epoch, BTreeSet::new(), BTreeSet::from([node]))
        }
    }

    fn prepare(
        id: MigrationId,
        epoch: Epoch,
        sources: BTreeSet<NodeId>,
        targets: BTreeSet<NodeId>,
    ) -> Migration {
        Migration {
            id,
            phase: MigrationPhase::Prepare,
            epoch,
            sources,
            targets,
            incarnations: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            fenced: BTreeSet::new(),
            restarted_targets: BTreeSet::new(),
            keys: KnownKeys::new(),
            may_lack_keys: false,
        }
    }

    /// Returns true if the migration is done or aborted.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, MigrationPhase::Done | MigrationPhase::Aborted)
    }

    /// Returns the commands to send now and to resend until they are acknowledged: one for each
    /// node that the phase waits for.
    pub fn commands(&self) -> Vec<(NodeId, MigrationCommand)> {
        self.awaited_nodes()
            .map(|node| (node, self.command_for(node)))
            .collect()
    }

    fn command_for(&self, node: NodeId) -> MigrationCommand {
        MigrationCommand {
            migration: self.id,
            incarnation: self.known_incarnation(node),
            epoch: self.phase_epoch(),
            kind: self.command_kind(node),
        }
    }

    fn command_kind(&self, node: NodeId) -> CommandKind {
        match self.phase {
            MigrationPhase::Prepare => CommandKind::Prepare {
                keys: KnownKeys::new(),
                may_lack_keys: false,
            },
            MigrationPhase::Freeze => CommandKind::Freeze,
            MigrationPhase::HandOver => self.hand_over(self.may_lack_keys),
            // The node may have served in its previous incarnation, and the keys it ran then are
            // lost.
            MigrationPhase::Commit if self.restarted_targets.contains(&node) => {
                self.hand_over(true)
            }
            MigrationPhase::Commit => CommandKind::Serve,
            MigrationPhase::Abort if self.sources.contains(&node) => CommandKind::Resume,
            MigrationPhase::Abort
            | MigrationPhase::Release
            | MigrationPhase::Done
            | MigrationPhase::Aborted => CommandKind::Release,
        }
    }

    fn hand_over(&self, may_lack_keys: bool) -> CommandKind {
        CommandKind::Prepare {
            keys: self.keys.clone(),
            may_lack_keys,
        }
    }

    /// Returns the epoch of the current phase's commands: the migration's own epoch, or the one
    /// after it when the migration is aborted.
    fn phase_epoch(&self) -> Epoch {
        self.epoch + u64::from(self.phase == MigrationPhase::Abort)
    }

    fn known_incarnation(&self, node: NodeId) -> Incarnation {
        self.incarnations.get(&node).copied().unwrap_or(0)
    }

    /// Returns the nodes that have yet to acknowledge the current phase.
    pub fn awaited_nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        let awaits_sources = self.phase.awaits_sources();
        let awaits_targets = self.phase.awaits_targets();
        let sources = self.sources.iter().filter(move |_| awaits_sources);
        let targets = self.targets.iter().filter(move |_| awaits_targets);
        sources
            .chain(targets)
            .copied()
            .filter(|node| !self.acknowledged.contains(node) && !self.fenced.contains(node))
    }

    fn is_awaited(&self, node: NodeId) -> bool {
        self.awaited_nodes().any(|awaited| awaited == node)
    }

    /// Applies an event and enters the phases that become due. Returns true if the migration has
    /// changed, in which case it must be written to the journal before anything else is sent.
    pub fn apply(&mut self, event: &MigrationEvent) -> bool {
        let before = self.clone();
        match event {
            MigrationEvent::ReportReceived(node, report) => self.apply_report(*node, report),
            MigrationEvent::NodeFenced(node) => self.apply_fencing(*node),
            MigrationEvent::AbortRequested => self.abort_if_possible(),
        }
        while !self.is_finished() && self.awaited_nodes().next().is_none() {
            self.enter_phase(self.phase.next());
        }
        *self != before
    }

    fn apply_fencing(&mut self, node: NodeId) {
        // Keys that a source knew and did not report are lost: the next owner treats retries as
        // ones that may have run. A target that crashes receives the keys again when it has
        // restarted, and a source that has released the tenant has nothing left to report.
        if self.sources.contains(&node) && self.phase < MigrationPhase::Release {
            self.may_lack_keys |= self.phase < MigrationPhase::Freeze || self.is_awaited(node);
            self.fenced.insert(node);
        } else if matches!(self.phase, MigrationPhase::Release | MigrationPhase::Abort) {
            self.fenced.insert(node);
        }
    }

    /// Aborts the migration if that is still possible. Once it is committed, a target may already
    /// serve, and the tenant can't be returned to a source that was lost.
    fn abort_if_possible(&mut self) {
        if self.phase < MigrationPhase::Commit && self.fenced.is_empty() {
            self.enter_phase(MigrationPhase::Abort);
        }
    }

    fn apply_report(&mut self, node: NodeId, report: &MigrationReport) {
        if !self.sources.contains(&node) && !self.targets.contains(&node) {
            return;
        }
        let known = self.known_incarnation(node);
        if report.incarnation < known {
            return;
        }
        self.incarnations.insert(node, report.incarnation);
        let has_restarted = report.incarnation > known && known != 0;
        if has_restarted && self.targets.contains(&node) {
            // The earlier acknowledgement came from a process that has exited.
            self.acknowledged.remove(&node);
        }
        if !self.is_awaited(node) {
            return;
        }
        let is_adoption = self.sources.is_empty();
        if is_adoption
            && self.phase == MigrationPhase::Prepare
            && report.ownership == Ownership::Serving
        {
            // The node already serves, through a migration that handed over all keys.
            self.enter_phase(MigrationPhase::Done);
            return;
        }
        if has_restarted && self.phase == MigrationPhase::Commit {
            self.restarted_targets.insert(node);
        }
        if self.is_acknowledgement(node, report) {
            self.acknowledged.insert(node);
        }
    }

    /// Returns true if a report of an awaited node acknowledges the current phase. Merges the keys
    /// of the report where the phase needs them.
    fn is_acknowledgement(&mut self, node: NodeId, report: &MigrationReport) -> bool {
        let is_same_migration = report.migration == self.id;
        let is_current = is_same_migration && report.epoch == self.phase_epoch();
        match self.phase {
            MigrationPhase::Prepare => is_current && report.ownership == Ownership::Preparing,
            MigrationPhase::Freeze => is_current && self.collect_frozen_keys(report),
            MigrationPhase::HandOver => {
                is_current
                    && report.ownership == Ownership::Preparing
                    && self.has_all_keys(report, self.may_lack_keys)
            }
            MigrationPhase::Commit => {
                if is_same_migration
                    && report.ownership == Ownership::Preparing
                    && self.has_all_keys(report, true)
                {
                    // The restarted target has received the keys again and may now serve.
                    self.restarted_targets.remove(&node);
                }
                is_current && report.ownership == Ownership::Serving
            }
            MigrationPhase::Release => {
                report.epoch >= self.phase_epoch() && report.ownership == Ownership::NotOwner
            }
            MigrationPhase::Abort => self.acknowledges_abort(node, report),
            MigrationPhase::Done | MigrationPhase::Aborted => false,
        }
    }

    /// Returns true if a report acknowledges the abort. Sources and targets must know the epoch
    /// after this migration's, so that late commands of the migration change nothing. A node that
    /// is part of another migration with this epoch or a later one ignores this migration's
    /// commands.
    fn acknowledges_abort(&self, node: NodeId, report: &MigrationReport) -> bool {
        let is_same_migration = report.migration == self.id;
        if report.epoch >= self.epoch && !is_same_migration && report.migration != 0 {
            return true;
        }
        if self.targets.contains(&node) {
            return report.epoch >= self.phase_epoch() && report.ownership != Ownership::Preparing;
        }
        is_same_migration
            && report.epoch == self.phase_epoch()
            && report.ownership == Ownership::Serving
    }

    /// Merges the keys of a source. Returns true once the source accepts no more requests.
    fn collect_frozen_keys(&mut self, report: &MigrationReport) -> bool {
        if report.ownership == Ownership::Serving {
            return false;
        }
        // A source that is not frozen has restarted: the keys it ran before are lost.
        self.may_lack_keys |= report.may_lack_keys || report.ownership != Ownership::Frozen;
        merge_keys(&mut self.keys, &report.keys);
        true
    }

    /// Returns true if a target knows all keys that the sources reported, and knows that keys may
    /// be missing if `may_lack_keys` is set.
    fn has_all_keys(&self, report: &MigrationReport, may_lack_keys: bool) -> bool {
        report.may_lack_keys >= may_lack_keys
            && self.keys.iter().all(|(key, status)| {
                report
                    .keys
                    .get(key)
                    .is_some_and(|reported| reported >= status)
            })
    }

    fn enter_phase(&mut self, phase: MigrationPhase) {
        self.phase = phase;
        self.acknowledged.clear();
    }
}
