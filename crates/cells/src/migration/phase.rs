//! The phases of a migration and their order.

use serde::{Deserialize, Serialize};

/// How far a migration is. The journal holds it before any command of the phase is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MigrationPhase {
    /// The targets are asked whether they can serve the tenant.
    Prepare,
    /// The sources accept nothing new and report the keys they know.
    Freeze,
    /// The targets receive the keys of the sources.
    HandOver,
    /// The migration is decided: the targets serve.
    Commit,
    /// The sources give up the tenant.
    Release,
    /// The migration is finished.
    Done,
    /// The migration is aborted: all nodes return to their state before it.
    Abort,
    /// The migration was aborted, and all nodes have returned.
    Aborted,
}

impl MigrationPhase {
    /// The phase that follows once every awaited node has acknowledged this one.
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

    /// Whether the sources must acknowledge this phase.
    pub(super) fn awaits_sources(self) -> bool {
        matches!(
            self,
            MigrationPhase::Freeze | MigrationPhase::Release | MigrationPhase::Abort
        )
    }

    /// Whether the targets must acknowledge this phase.
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
