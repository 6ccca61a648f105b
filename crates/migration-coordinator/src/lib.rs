//! The coordinator of tenant migrations. [`Coordinator`] makes the decisions, without I/O, clock or
//! threads. [`Journal`] stores them on disk before any message that depends on them is sent.

mod coordinator;
mod effect;
mod entry;
mod journal;
mod planning;
mod timeouts;

pub use coordinator::Coordinator;
pub use effect::{AssignmentRecord, Effect, JournalRecord};
pub use entry::MigrationEntry;
pub use journal::{Journal, JournalError, RecoveredState};
pub use planning::StartError;
pub use timeouts::Timeouts;
