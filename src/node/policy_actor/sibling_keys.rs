//! Idempotency keys that another process of the node may have used. That process alone knows them.

use std::time::{Duration, Instant};

/// State of another process of the node that may have run requests under keys unknown to this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SiblingKeys {
    /// No other process has been seen.
    #[default]
    None,
    /// Another process is running.
    Present,
    /// The last other process ended at this time.
    EndedAt(Instant),
}

impl SiblingKeys {
    /// Returns true if another process may have run a request within this window before now.
    pub(super) fn had_keys_within(self, window: Duration) -> bool {
        match self {
            SiblingKeys::None => false,
            SiblingKeys::Present => true,
            SiblingKeys::EndedAt(ended_at) => ended_at.elapsed() <= window,
        }
    }
}
