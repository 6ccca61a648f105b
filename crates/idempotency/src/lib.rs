//! The table of idempotency keys: it decides whether an attempt is the first with its key, a
//! duplicate of a known request, or cannot be classified. It has no clock, threads or I/O; callers
//! pass in arrival times and the current time.
//!
//! A key is unknown, reserved (its first request waits to run), running, or finished with a result.
//! The window of a key begins with the arrival of the request that ran. A duplicate is recognised
//! by its own arrival time, however late it is read. An entry is therefore kept after its window
//! for the maximum time that an attempt may wait to be read. While a request runs, every other
//! attempt joins it regardless of the window, as two attempts must not run at the same time. No
//! entry of a request that ran is removed early; when there is no capacity, new keys are rejected.

mod entry;
mod outcome;
mod table;
mod time;

pub use outcome::{JoinOutcome, Lookup, RunResult};
pub use table::KeyTable;
pub use time::Micros;

/// Digest of an idempotency key, computed by the caller.
pub type KeyDigest = u128;

/// Digest of a request's body.
pub type BodyDigest = u128;

/// Number that the caller assigns to a request.
pub type RequestId = u64;
