//! One key in the table.

use crate::{BodyDigest, Micros, RequestId, RunResult};

/// Bytes of an entry without its result: key, owner, places in both maps and in the order of expiry.
pub(crate) const ENTRY_BYTES: usize = 256;

/// How far the owner of a key has got.
#[derive(Debug)]
pub(crate) enum KeyState<R> {
    /// It has not been sent to run.
    Reserved,
    /// It was sent to run and is not finished.
    Running,
    /// It finished with this result.
    Finished(RunResult<R>),
}

/// A key with the request that owns it.
#[derive(Debug)]
pub(crate) struct KeyEntry<R> {
    /// The first request with this key.
    pub(crate) owner: RequestId,
    /// The digest of the owner's body.
    pub(crate) body: BodyDigest,
    pub(crate) state: KeyState<R>,
    /// The last arrival that is a duplicate once the run is finished.
    pub(crate) window_ends_at: Micros,
    /// The same of a run before it: attempts may be read in another order than they arrived.
    pub(crate) previous_window_ends_at: Micros,
    /// Attempts that joined the owner and wait for its result.
    pub(crate) waiting: Vec<RequestId>,
    /// What the entry counts for in the table's memory limit.
    pub(crate) bytes: usize,
}

impl<R> KeyEntry<R> {
    /// An entry without waiting attempts. `result_bytes` are set aside for the result of a run that is not finished.
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

    /// Whether the run is finished.
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.state, KeyState::Finished(_))
    }

    /// Whether the run has begun and is not finished.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, KeyState::Running)
    }
}
