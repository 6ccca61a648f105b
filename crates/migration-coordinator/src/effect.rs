//! What the coordinator asks its caller to do.

use cells::migration::{Epoch, MigrationCommand};
use cells::{AssignedCells, Name};

use crate::entry::MigrationEntry;

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalRecord {
    /// The state of a migration.
    Migration {
        /// The migration.
        entry: Box<MigrationEntry>,
        /// The last epoch that was given to any migration.
        last_epoch: Epoch,
    },
    /// A migrated tenant's assignment.
    Assignment(AssignmentRecord),
    /// The migration of this tenant is finished, and its state is removed.
    Finished(Name),
}

/// The assignment of a tenant that has migrated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentRecord {
    /// The tenant.
    pub tenant: Name,
    /// The cells that serve it.
    pub cells: AssignedCells,
    /// The epoch since which they do.
    pub since: Epoch,
    /// Whether an operator asked for the migration.
    pub is_manual: bool,
}

/// Something for the caller to do. Effects are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write these records to the journal, all or none, before any later effect is carried out.
    WriteJournal(Vec<JournalRecord>),
    /// Send a command to a node.
    SendCommand {
        /// The node.
        node: Name,
        /// The tenant that the command is about.
        tenant: Name,
        /// The command.
        command: MigrationCommand,
    },
    /// Distribute the map, which has this epoch, to routers and nodes.
    PublishMap(Epoch),
    /// Report that a migration is finished.
    MigrationFinished {
        /// The tenant.
        tenant: Name,
        /// Whether the tenant has migrated; otherwise its assignment has not changed.
        is_committed: bool,
    },
}
