//! The coordinator's state of one migration, its transitions and the commands that each phase sends.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    merge_keys, CommandKind, Epoch, Incarnation, KnownKeys, MigrationCommand, MigrationId,
    MigrationPhase, MigrationReport, NodeId, Ownership,
};

/// Something that happened to a migration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MigrationEvent {
    /// A node has reported.
    ReportReceived(NodeId, MigrationReport),
    /// A node certainly serves nobody: its process is known to have ended, or its lease has expired since it was last
    /// heard from. The keys it knew are lost, or can't be asked for.
    NodeFenced(NodeId),
    /// An operator, or a timeout, aborts the migration.
    AbortRequested,
}

/// Why a migration can't be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MigrationError {
    /// No node is to serve the tenant afterwards.
    #[error("there is no node to move to")]
    NoTargets,
    /// A node is both source and target: it would have to serve and be frozen at once.
    #[error("node {0} is on both sides of the move")]
    SourceIsTarget(NodeId),
}

/// The state of a migration at the coordinator. Its serialized form is part of the journal's format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// Its number.
    pub id: MigrationId,
    /// How far it is.
    #[serde(rename = "step")]
    pub phase: MigrationPhase,
    /// The epoch that it creates; aborting it creates the one after.
    pub epoch: Epoch,
    /// The nodes that serve the tenant before.
    #[serde(rename = "from")]
    pub sources: BTreeSet<NodeId>,
    /// The nodes that serve the tenant after.
    #[serde(rename = "to")]
    pub targets: BTreeSet<NodeId>,
    /// The incarnation of each node, as last reported.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<NodeId, Incarnation>,
    /// The nodes that have acknowledged the current phase.
    #[serde(rename = "answered")]
    pub acknowledged: BTreeSet<NodeId>,
    /// Nodes that certainly serve nobody and are not waited for.
    pub fenced: BTreeSet<NodeId>,
    /// Targets that restarted after the hand-over and must receive the keys again before they serve.
    #[serde(rename = "anew")]
    pub restarted_targets: BTreeSet<NodeId>,
    /// The keys that the sources know.
    pub keys: KnownKeys,
    /// Whether keys may be missing from `keys`.
    #[serde(rename = "doubtful")]
    pub may_lack_keys: bool,
}

impl Migration {
    /// Creates a migration from the nodes of one cell to those of another. It creates the map's epoch `epoch`.
    ///
    /// # Errors
    /// There is no node to migrate to, or a node is on both sides.
    pub fn new(
        id: MigrationId,
        epoch: Epoch,
        sources: BTreeSet<NodeId>,
        targets: BTreeSet<NodeId>,
    ) -> Result<Migration, MigrationError> {
        if targets.is_empty() {
            return Err(MigrationError::NoTargets);
        }
        if let Some(both) = sources.intersection(&targets).next() {
            return Err(MigrationError::SourceIsTarget(*both));
        }
        Ok(Migration::prepare(id, epoch, sources, targets))
    }

    /// Creates the re-adoption of a tenant by a node that has restarted within the tenant's cell. The node has lost the
    /// keys it knew, so it treats every retry as one that may have run.
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

    /// Whether nothing more is to be done.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, MigrationPhase::Done | MigrationPhase::Aborted)
    }

    /// The commands to send now, and again until they are acknowledged: one for each node that the phase waits for.
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
            // The node may have served in its last incarnation, and the keys it ran then are lost.
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

    /// The epoch of the current phase's commands: aborting makes the one after the migration's own.
    fn phase_epoch(&self) -> Epoch {
        self.epoch + u64::from(self.phase == MigrationPhase::Abort)
    }

    fn known_incarnation(&self, node: NodeId) -> Incarnation {
        self.incarnations.get(&node).copied().unwrap_or(0)
    }

    /// The nodes whose acknowledgement the current phase still needs.
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

    /// Applies an event and enters the phases that it completes. Returns whether the migration has changed, and so must
    /// be written to the journal before anything more is sent.
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
        // The keys that a source knew and did not report are lost: whoever serves next treats retries as ones that may
        // have run. A target that dies receives the keys again when it is back, and a source that has released the
        // tenant is asked nothing.
        if self.sources.contains(&node) && self.phase < MigrationPhase::Release {
            self.may_lack_keys |= self.phase < MigrationPhase::Freeze || self.is_awaited(node);
            self.fenced.insert(node);
        } else if matches!(self.phase, MigrationPhase::Release | MigrationPhase::Abort) {
            self.fenced.insert(node);
        }
    }

    /// Aborts the migration unless it is committed, when a target may serve already, or a source was lost, to which
    /// there is no way back.
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
            // Its acknowledgement was that of a process which has ended.
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
            // It serves already, by a migration that handed over all keys.
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

    /// Whether a report of an awaited node acknowledges the current phase; takes in the keys that it carries.
    fn is_acknowledgement(&mut self, node: NodeId, report: &MigrationReport) -> bool {
        let is_own = report.migration == self.id;
        let is_current = is_own && report.epoch == self.phase_epoch();
        match self.phase {
            MigrationPhase::Prepare => is_current && report.ownership == Ownership::Preparing,
            MigrationPhase::Freeze => is_current && self.collect_frozen_keys(report),
            MigrationPhase::HandOver => {
                is_current
                    && report.ownership == Ownership::Preparing
                    && self.has_all_keys(report, self.may_lack_keys)
            }
            MigrationPhase::Commit => {
                if is_own
                    && report.ownership == Ownership::Preparing
                    && self.has_all_keys(report, true)
                {
                    // A restarted target has received the keys again and may serve now.
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

    /// Both sides must know the epoch after this migration's, so that a late command of it changes nothing. A node that
    /// another migration of this epoch is changing is immune to this one's commands.
    fn acknowledges_abort(&self, node: NodeId, report: &MigrationReport) -> bool {
        let is_own = report.migration == self.id;
        if report.epoch >= self.epoch && !is_own && report.migration != 0 {
            return true;
        }
        if self.targets.contains(&node) {
            return report.epoch >= self.phase_epoch() && report.ownership != Ownership::Preparing;
        }
        is_own && report.epoch == self.phase_epoch() && report.ownership == Ownership::Serving
    }

    /// Takes in the keys of a source; true once the source accepts nothing more.
    fn collect_frozen_keys(&mut self, report: &MigrationReport) -> bool {
        if report.ownership == Ownership::Serving {
            return false;
        }
        // A source that is not frozen has restarted: the keys it ran before are lost.
        self.may_lack_keys |= report.may_lack_keys || report.ownership != Ownership::Frozen;
        merge_keys(&mut self.keys, &report.keys);
        true
    }

    /// Whether a target knows all keys that the sources reported, and whether keys may be missing.
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
