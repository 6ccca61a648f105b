//! Errors in JSON5 configuration files, with the file, the line and the field that they concern.
//!
//! `serde` and `json5` report a position only for text that they can't parse. [`FieldPositions`]
//! and [`line_starting_with`] find the line of a field whose value was parsed and then rejected.

mod error;
mod positions;
mod read;

pub use error::ConfigFileError;
pub use positions::{line_starting_with, DuplicateField, FieldPositions};
pub use read::{read_text, UnreadableFile};
