//! The coordinator of moves: [`Coordinator`] decides, without I/O, clock or threads; [`Journal`] keeps what it decided
//! on disk, written before anything that follows from it is sent.

mod decide;
mod journal;

pub use decide::{Act, Coordinator, Kept, Patience, Record, Refused, Work};
pub use journal::{Journal, JournalError};
