//! The coordinator of tenant migrations. [`Coordinator`] decides, without I/O, clock or threads; [`Journal`] stores its
//! decisions on disk before anything that follows from them is sent.

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
