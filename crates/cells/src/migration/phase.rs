//! The phases of a migration and their order.

use serde::{Deserialize, Serialize};

/// The progress of a migration. The journal records each phase before any of its commands is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MigrationPhase {
    /// The targets are asked whether they can serve the tenant.
    Prepare,
    /// The sources accept no new requests and report the keys they know.
    Freeze,
    /// The targets receive the keys of the sources.
    HandOver,
    /// The migration is committed: the targets serve.
    Commit,
    /// The sources release the tenant.
    Release,
    /// The migration is finished.
    Done,
    /// The migration is being aborted: all nodes return to the state they had before it.
    Abort,
    /// The migration was aborted, and all nodes have returned.
    Aborted,
}

impl MigrationPhase {
    /// Returns the phase that follows once every awaited node has acknowledged this one.
    pub(super) fn next(self) -> MigrationPhase {
        match self {
            MigrationPhase::Prepare => MigrationPhase::Freeze,
            MigrationPhase::Freeze => MigrationPhase::HandOver,
            MigrationPhase::HandOver => MigrationPhase::Commit,
            MigrationPhase::Commit => MigrationPhase::Release,
            MigrationPhase::Release | MigrationPhase::Done => MigrationPhase::Done,
            MigrationPhase::Abort | MigrationPhase::Aborted => MigrationPhase::Aborted,
        }
    }

    /// Returns true if the sources must acknowledge this phase.
    pub(super) fn awaits_sources(self) -> bool {
        matches!(
            self,
            MigrationPhase::Freeze | MigrationPhase::Release | MigrationPhase::Abort
        )
    }

    /// Returns true if the targets must acknowledge this phase.
    pub(super) fn awaits_targets(self) -> bool {
        matches!(
            self,
            MigrationPhase::Prepare
                | MigrationPhase::HandOver
                | MigrationPhase::Commit
                | MigrationPhase::Abort
        )
    }
}
