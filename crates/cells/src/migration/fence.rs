//! The fence of a tenant at one node: it decides whether the node may run a request, and obeys the coordinator's
//! migration commands.

use serde::{Deserialize, Serialize};

use super::{
    merge_keys, CommandKind, Epoch, Incarnation, KeyHash, KeyStatus, KnownKeys, MigrationCommand,
    MigrationId, MigrationReport,
};

/// A node's ownership of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ownership {
    /// The node does not serve the tenant.
    NotOwner,
    /// The node is to serve the tenant next and stores the keys it is sent.
    Preparing,
    /// The node serves the tenant.
    Serving,
    /// The node served the tenant and accepts nothing new; requests in flight run to their end.
    Frozen,
}

/// A tenant's fence at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence {
    /// The incarnation of the node; commands for an earlier one are ignored.
    pub incarnation: Incarnation,
    /// The node's ownership of the tenant.
    pub ownership: Ownership,
    /// The newest epoch that the node knows.
    pub epoch: Epoch,
    /// The migration that last changed the ownership.
    pub migration: MigrationId,
    /// Whether the node's lease is valid; without one it runs nothing.
    pub has_lease: bool,
    /// The keys that the node ran, has in flight, or was sent.
    pub keys: KnownKeys,
    /// Whether keys may be missing from `keys`: any retry may have run, in an earlier incarnation of this node or at a
    /// source that died.
    pub may_lack_keys: bool,
}

/// The fence's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// The node may run it.
    Admit,
    /// It never ran here and won't: as of this epoch another cell owns the tenant.
    WrongCell(Epoch),
    /// It never ran here: the tenant is being migrated as of this epoch, and a retry may succeed shortly.
    Migrating(Epoch),
    /// An earlier attempt of it may have run.
    MayHaveRun,
    /// An earlier attempt of it ran and was answered.
    Ran,
}

impl Fence {
    /// The fence of a node that has served the tenant since `epoch`.
    pub fn serving(incarnation: Incarnation, epoch: Epoch) -> Fence {
        Fence {
            ownership: Ownership::Serving,
            epoch,
            has_lease: true,
            ..Fence::started(incarnation)
        }
    }

    /// The fence of a node that has just started: it knows nothing and serves nobody until a command has it serve.
    pub fn started(incarnation: Incarnation) -> Fence {
        Fence {
            incarnation,
            ownership: Ownership::NotOwner,
            epoch: 0,
            migration: 0,
            has_lease: false,
            keys: KnownKeys::new(),
            may_lack_keys: false,
        }
    }

    /// Decides on a request of the tenant. `key` is its idempotency key, `is_retry` whether an earlier attempt may
    /// have been sent, `epoch` is the one that the sender knows. The key of an admitted request is recorded as sent.
    pub fn admit(&mut self, key: Option<KeyHash>, is_retry: bool, epoch: Epoch) -> FenceDecision {
        if let Some(known) = key.and_then(|key| self.keys.get(&key)) {
            return match known {
                KeyStatus::MayHaveRun => FenceDecision::MayHaveRun,
                KeyStatus::Ran => FenceDecision::Ran,
            };
        }
        match self.ownership {
            Ownership::Serving if self.has_lease && epoch <= self.epoch => {}
            // The sender may know a newer epoch than this node: the tenant may have been migrated since.
            Ownership::Serving | Ownership::Frozen | Ownership::Preparing => {
                return FenceDecision::Migrating(self.epoch)
            }
            Ownership::NotOwner => return FenceDecision::WrongCell(self.epoch),
        }
        if let Some(key) = key {
            if self.may_lack_keys && is_retry {
                return FenceDecision::MayHaveRun;
            }
            self.keys.insert(key, KeyStatus::MayHaveRun);
        }
        FenceDecision::Admit
    }

    /// Frees the key of an admitted request that was rejected before it was sent to run.
    pub fn record_never_ran(&mut self, key: KeyHash) {
        if self.keys.get(&key) == Some(&KeyStatus::MayHaveRun) {
            self.keys.remove(&key);
        }
    }

    /// Records that an admitted request ran and was answered.
    pub fn record_ran(&mut self, key: KeyHash) {
        self.keys.insert(key, KeyStatus::Ran);
    }

    /// Ends the lease: the coordinator has not been heard from for the lease's duration.
    pub fn expire_lease(&mut self) {
        self.has_lease = false;
    }

    /// Renews the lease, from the time at which the node sent the request that the coordinator has answered now. A node
    /// that learns only now of a newer epoch stops serving.
    pub fn renew_lease(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.has_lease = true;
        } else if epoch > self.epoch && self.ownership == Ownership::Serving {
            self.ownership = Ownership::NotOwner;
            self.epoch = epoch;
        }
    }

    /// Obeys a command of the coordinator and returns the report for it. A command that is older than the known epoch,
    /// meant for another incarnation, or part of another migration than the one in progress changes nothing and is
    /// answered with the current state.
    pub fn handle_command(&mut self, command: &MigrationCommand) -> MigrationReport {
        if command.incarnation == self.incarnation && command.epoch >= self.epoch {
            if let Some(next) = self.next_ownership(command) {
                self.accept(command, next);
            }
        }
        self.report()
    }

    /// The ownership that a current command leads to; none where the command does not apply.
    fn next_ownership(&self, command: &MigrationCommand) -> Option<Ownership> {
        let is_same_migration = self.migration == command.migration;
        let is_newer_epoch = command.epoch > self.epoch;
        let may_change = match (&command.kind, self.ownership) {
            // To freeze without owning the tenant means that the node has restarted: it has lost the keys it ran, and its
            // report must show that.
            (
                CommandKind::Prepare { .. } | CommandKind::Freeze | CommandKind::Release,
                Ownership::NotOwner,
            ) => true,
            (CommandKind::Resume, Ownership::NotOwner) => is_same_migration || self.migration == 0,
            (CommandKind::Prepare { .. } | CommandKind::Serve, Ownership::Preparing)
            | (CommandKind::Release, Ownership::Preparing | Ownership::Frozen)
            | (CommandKind::Resume, Ownership::Frozen) => is_same_migration,
            (CommandKind::Freeze | CommandKind::Resume, Ownership::Serving) => is_newer_epoch,
            _ => false,
        };
        if !may_change {
            return None;
        }
        Some(match &command.kind {
            CommandKind::Prepare { .. } => Ownership::Preparing,
            CommandKind::Freeze if self.ownership == Ownership::Serving => Ownership::Frozen,
            CommandKind::Freeze | CommandKind::Release => Ownership::NotOwner,
            CommandKind::Serve | CommandKind::Resume => Ownership::Serving,
        })
    }

    /// Applies a command that leads to the ownership `next`.
    fn accept(&mut self, command: &MigrationCommand, next: Ownership) {
        match &command.kind {
            CommandKind::Prepare {
                keys,
                may_lack_keys,
            } => {
                merge_keys(&mut self.keys, keys);
                self.may_lack_keys |= *may_lack_keys;
            }
            // A node that was released or has restarted does not know what ran meanwhile.
            CommandKind::Resume if self.ownership == Ownership::NotOwner => {
                self.may_lack_keys = true;
            }
            _ => {}
        }
        // A lease begins when the node starts to serve; a command that may be late does not revive it.
        self.has_lease |= next == Ownership::Serving && self.ownership != Ownership::Serving;
        self.ownership = next;
        self.epoch = command.epoch;
        self.migration = command.migration;
    }

    /// The node's state, as it is reported to the coordinator.
    fn report(&self) -> MigrationReport {
        MigrationReport {
            incarnation: self.incarnation,
            epoch: self.epoch,
            migration: self.migration,
            ownership: self.ownership,
            keys: self.keys.clone(),
            may_lack_keys: self.may_lack_keys,
        }
    }
}
