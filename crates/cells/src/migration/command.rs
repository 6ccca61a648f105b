//! The messages between the coordinator and the nodes of a migration.

use serde::{Deserialize, Serialize};

use super::{Epoch, Incarnation, KnownKeys, MigrationId, Ownership};

/// A command of the coordinator to a node, about one tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MigrationCommand {
    /// The migration that it belongs to.
    pub migration: MigrationId,
    /// The incarnation of the node that it is meant for.
    pub incarnation: Incarnation,
    /// The epoch that the migration creates, or the one after it where the migration is aborted.
    pub epoch: Epoch,
    /// What the node is to do.
    pub kind: CommandKind,
}

/// What a node is to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CommandKind {
    /// Prepare to serve the tenant; these keys are known.
    Prepare {
        /// The keys that the sources know.
        keys: KnownKeys,
        /// Whether keys may be missing from `keys`.
        may_lack_keys: bool,
    },
    /// Accept no more requests of the tenant and report the known keys.
    Freeze,
    /// The migration is committed: serve the tenant.
    Serve,
    /// The migration is committed or aborted, and another node owns the tenant.
    Release,
    /// The migration is aborted: serve the tenant again.
    Resume,
}

/// A node's answer to a command: its fence after the command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MigrationReport {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The newest epoch that the node knows.
    pub epoch: Epoch,
    /// The migration that last changed the node's ownership.
    pub migration: MigrationId,
    /// The node's ownership of the tenant.
    pub ownership: Ownership,
    /// The keys that the node knows.
    pub keys: KnownKeys,
    /// Whether keys may be missing from `keys`.
    pub may_lack_keys: bool,
}
