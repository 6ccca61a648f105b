//! The fence of a tenant at one node. It decides whether the node may run a request, and executes
//! the coordinator's migration commands.

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
    /// The node will serve the tenant next, and stores the keys it receives.
    Preparing,
    /// The node serves the tenant.
    Serving,
    /// The node served the tenant and accepts no new requests; requests in flight run to
    /// completion.
    Frozen,
}

/// A tenant's fence at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence {
    /// Incarnation of the node; commands for an earlier one are ignored.
    pub incarnation: Incarnation,
    /// Node's ownership of the tenant.
    pub ownership: Ownership,
    /// Newest epoch that the node knows.
    pub epoch: Epoch,
    /// Migration that last changed the ownership.
    pub migration: MigrationId,
    /// True if the node's lease is valid. Without a lease the node runs nothing.
    pub has_lease: bool,
    /// Keys of requests that the node has run or has in flight, and keys it has received.
    pub keys: KnownKeys,
    /// True if keys may be missing from `keys`: any retry may have run already, in an earlier
    /// incarnation of this node or at a source that crashed.
    pub may_lack_keys: bool,
}

/// The fence's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// The node may run the request.
    Admit,
    /// The request has not run here and will not: as of this epoch another cell owns the tenant.
    WrongCell(Epoch),
    /// The request has not run here: the tenant is being migrated as of this epoch, and a retry may
    /// succeed shortly.
    Migrating(Epoch),
    /// An earlier attempt of the request may have run.
    MayHaveRun,
    /// An earlier attempt of the request ran and was answered.
    Ran,
}

impl Fence {
    /// Creates the fence of a node that has served the tenant since `epoch`.
    pub fn serving(incarnation: Incarnation, epoch: Epoch) -> Fence {
        Fence {
            ownership: Ownership::Serving,
            epoch,
            has_lease: true,
            ..Fence::started(incarnation)
        }
    }

    /// Creates the fence of a node that has just started. It knows no keys and serves no requests
    /// until a command makes it serve.
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

    /// Decides whether to run a request of the tenant. `key` is its idempotency key, `is_retry` is
    /// true if an earlier attempt may have been sent, and `epoch` is the one that the sender knows.
    /// The key of an admitted request is recorded as possibly run.
    pub fn admit(&mut self, key: Option<KeyHash>, is_retry: bool, epoch: Epoch) -> FenceDecision {
        if let Some(known) = key.and_then(|key| self.keys.get(&key)) {
            return match known {
                KeyStatus::MayHaveRun => FenceDecision::MayHaveRun,
                KeyStatus::Ran => FenceDecision::Ran,
            };
        }
        match self.ownership {
            Ownership::Serving if self.has_lease && epoch <= self.epoch => {}
            // If the sender knows a newer epoch than this node, the tenant may have been migrated
            // since.
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

    /// Removes the key of an admitted request that was rejected before it was sent to run.
    pub fn record_never_ran(&mut self, key: KeyHash) {
        if self.keys.get(&key) == Some(&KeyStatus::MayHaveRun) {
            self.keys.remove(&key);
        }
    }

    /// Records that an admitted request ran and was answered.
    pub fn record_ran(&mut self, key: KeyHash) {
        self.keys.insert(key, KeyStatus::Ran);
    }

    /// Ends the lease, after no message from the coordinator was received for the lease's duration.
    pub fn expire_lease(&mut self) {
        self.has_lease = false;
    }

    /// Renews the lease after a reply from the coordinator; the renewed lease counts from the time
    /// at which the node sent its request. A serving node that learns of a newer epoch this way
    /// stops serving.
    pub fn renew_lease(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.has_lease = true;
        } else if epoch > self.epoch && self.ownership == Ownership::Serving {
            self.ownership = Ownership::NotOwner;
            self.epoch = epoch;
        }
    }

    /// Executes a command of the coordinator and returns the node's report. A command that is older
    /// than the known epoch, meant for another incarnation, or part of another migration than the
    /// one in progress changes nothing; the report then shows the current state.
    pub fn handle_command(&mut self, command: &MigrationCommand) -> MigrationReport {
        if command.incarnation == self.incarnation && command.epoch >= self.epoch {
            if let Some(next) = self.next_ownership(command) {
                self.apply_command(command, next);
            }
        }
        self.report()
    }

    /// Returns the ownership that a current command leads to, or none if the command does not
    /// apply.
    fn next_ownership(&self, command: &MigrationCommand) -> Option<Ownership> {
        let is_same_migration = self.migration == command.migration;
        let is_newer_epoch = command.epoch > self.epoch;
        let may_change = match (&command.kind, self.ownership) {
            // A freeze command to a node that does not own the tenant means that the node has
            // restarted. It has lost the keys it ran, and its report must show that.
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
    fn apply_command(&mut self, command: &MigrationCommand, next: Ownership) {
        match &command.kind {
            CommandKind::Prepare {
                keys,
                may_lack_keys,
            } => {
                merge_keys(&mut self.keys, keys);
                self.may_lack_keys |= *may_lack_keys;
            }
            // A node that was released or has restarted does not know what has run since.
            CommandKind::Resume if self.ownership == Ownership::NotOwner => {
                self.may_lack_keys = true;
            }
            _ => {}
        }
        // A lease begins when the node starts to serve; a command that may be late does not restore
        // an expired lease.
        self.has_lease |= next == Ownership::Serving && self.ownership != Ownership::Serving;
        self.ownership = next;
        self.epoch = command.epoch;
        self.migration = command.migration;
    }

    /// Returns the node's state as a report to the coordinator.
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
