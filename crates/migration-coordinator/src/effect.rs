//! Effects that the coordinator requests from its caller.

use cells::migration::{Epoch, MigrationCommand};
use cells::{AssignedCells, Name};

use crate::entry::MigrationEntry;

/// A record to be written to the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalRecord {
    /// The new state of a migration.
    Migration {
        /// Migration and its state.
        entry: Box<MigrationEntry>,
        /// Last epoch that was reserved for any migration.
        last_epoch: Epoch,
    },
    /// The new assignment of a migrated tenant.
    Assignment(AssignmentRecord),
    /// The migration of this tenant has finished; its state is removed.
    Finished(Name),
}

/// The assignment of a tenant that has migrated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentRecord {
    /// The tenant.
    pub tenant: Name,
    /// Cells that serve the tenant.
    pub cells: AssignedCells,
    /// Epoch at which these cells began to serve the tenant.
    pub since: Epoch,
    /// True if an operator requested the migration.
    pub is_manual: bool,
}

/// An action that the caller must carry out. Effects are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write these records to the journal in one transaction, before any later effect is carried
    /// out.
    WriteJournal(Vec<JournalRecord>),
    /// Send a command to a node.
    SendCommand {
        /// Recipient of the command.
        node: Name,
        /// Tenant that the command is about.
        tenant: Name,
        /// The command.
        command: MigrationCommand,
    },
    /// Distribute the coordinator's map, which has this epoch, to routers and nodes.
    PublishMap(Epoch),
    /// Report that a migration has finished.
    MigrationFinished {
        /// The tenant.
        tenant: Name,
        /// True if the tenant has migrated; false if its assignment has not changed.
        is_committed: bool,
    },
}
