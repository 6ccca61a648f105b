//! The table entry of one idempotency key.

use crate::{BodyDigest, Micros, RequestId, RunResult};

/// Size of an entry in bytes without its result: key, owner, and the records in both maps and in
/// the expiry index.
pub(crate) const ENTRY_BYTES: usize = 256;

/// The progress of the request that owns a key.
#[derive(Debug)]
pub(crate) enum KeyState<R> {
    /// The request has not been sent to run.
    Reserved,
    /// The request was sent to run and has not finished.
    Running,
    /// The run has finished with this result.
    Finished(RunResult<R>),
}

/// The state of a key and the request that owns it.
#[derive(Debug)]
pub(crate) struct KeyEntry<R> {
    /// The first request with this key.
    pub(crate) owner: RequestId,
    /// Digest of the owner's body.
    pub(crate) body: BodyDigest,
    pub(crate) state: KeyState<R>,
    /// The latest arrival time at which an attempt still is a duplicate of the finished run.
    pub(crate) window_ends_at: Micros,
    /// End of the window of the previous run with this key. It is kept because attempts may be read
    /// in another order than they arrived.
    pub(crate) previous_window_ends_at: Micros,
    /// Attempts that joined the owner and wait for its result.
    pub(crate) waiting: Vec<RequestId>,
    /// Number of bytes that the entry counts toward the table's memory limit.
    pub(crate) bytes: usize,
}

impl<R> KeyEntry<R> {
    /// Creates an entry without waiting attempts. For a run that has not finished, `result_bytes`
    /// are reserved for its result.
    pub(crate) fn new(
        owner: RequestId,
        body: BodyDigest,
        state: KeyState<R>,
        window_ends_at: Micros,
        previous_window_ends_at: Micros,
        result_bytes: usize,
    ) -> KeyEntry<R> {
        let reserved_bytes = match state {
            KeyState::Reserved | KeyState::Running => result_bytes,
            KeyState::Finished(_) => 0,
        };
        KeyEntry {
            owner,
            body,
            state,
            window_ends_at,
            previous_window_ends_at,
            waiting: Vec::new(),
            bytes: ENTRY_BYTES + reserved_bytes,
        }
    }

    /// Returns true if the run has finished.
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.state, KeyState::Finished(_))
    }

    /// Returns true if the run has begun and has not finished.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, KeyState::Running)
    }
}
