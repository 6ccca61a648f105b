//! The table of idempotency keys: it decides whether an attempt is the first with its key, a duplicate of a known
//! request, or cannot be classified. It has no clock, threads or I/O; callers pass in arrivals and times.
//!
//! A key is unknown, reserved (its first request waits to run), running, or finished with a result. The window of a key
//! counts from the arrival of the request that ran. A duplicate is recognised by its own arrival, however late it is
//! read, so an entry stays after its window for as long as an attempt may lie unread. While a request runs, every other
//! attempt joins it, whatever the window says: two must not run at once. No entry of a request that ran is removed
//! early; when there is no capacity, new keys are rejected.

mod entry;
mod outcome;
mod table;
mod time;

pub use outcome::{JoinOutcome, Lookup, RunResult};
pub use table::KeyTable;
pub use time::Micros;

/// The digest of an idempotency key, chosen by the caller.
pub type KeyDigest = u128;

/// The digest of a request's body.
pub type BodyDigest = u128;

/// The caller's number of a request.
pub type RequestId = u64;
