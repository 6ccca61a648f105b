//! Messages between the coordinator and the nodes of a migration.

use serde::{Deserialize, Serialize};

use super::{Epoch, Incarnation, KnownKeys, MigrationId, Ownership};

/// A command from the coordinator to a node, about one tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MigrationCommand {
    /// Migration that the command belongs to.
    pub migration: MigrationId,
    /// Incarnation of the node that the command is meant for.
    pub incarnation: Incarnation,
    /// Epoch that the migration creates; for an aborted migration, the one after it.
    pub epoch: Epoch,
    /// Action requested from the node.
    pub kind: CommandKind,
}

/// The action that a command requests from a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CommandKind {
    /// Prepare to serve the tenant, and store these keys.
    Prepare {
        /// Keys that the sources know.
        keys: KnownKeys,
        /// True if keys may be missing from `keys`.
        may_lack_keys: bool,
    },
    /// Accept no more requests of the tenant, and report the known keys.
    Freeze,
    /// The migration is committed: serve the tenant.
    Serve,
    /// The migration is committed or aborted, and another node owns the tenant.
    Release,
    /// The migration is aborted: serve the tenant again.
    Resume,
}

/// A node's reply to a command: the state of its fence after the command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MigrationReport {
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Newest epoch that the node knows.
    pub epoch: Epoch,
    /// Migration that last changed the node's ownership.
    pub migration: MigrationId,
    /// Node's ownership of the tenant.
    pub ownership: Ownership,
    /// Keys that the node knows.
    pub keys: KnownKeys,
    /// True if keys may be missing from `keys`.
    pub may_lack_keys: bool,
}
