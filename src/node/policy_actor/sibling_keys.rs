//! Requests that another process of the node may have run: the idempotency keys that it may have
//! used, which it alone knows, and the ids of its runs, which both share.

use std::io;
use std::time::{Duration, Instant};

use policy::RequestId;
use slog::warn;

use super::{max_queue_time, to_duration, PolicyActor};
use crate::node::RequestUid;

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

impl PolicyActor {
    /// Records the id of a request that is about to run, and returns true if another process of the
    /// node has recorded it too. As both record before they look, the request does not run in both.
    pub(super) fn has_run_at_sibling(&mut self, id: RequestId) -> bool {
        let Some(uid) = self.requests.get_mut(id).map(|entry| entry.uid) else {
            return false;
        };
        match self.record_and_look_up(uid) {
            Ok(has_run) => has_run,
            Err(e) => {
                self.rate_limited.run_ids.log(|suppressed| {
                    warn!(self.log, "run id not shared: another process could run the request too";
                        "uid" => %uid, "error" => %e, "suppressed" => suppressed);
                });
                false
            }
        }
    }

    fn record_and_look_up(&mut self, uid: RequestUid) -> io::Result<bool> {
        let Some(run_ids) = &mut self.run_ids else {
            return Ok(false);
        };
        let recorded = run_ids.record(uid);
        let window = to_duration(max_queue_time(&self.site));
        let has_run = self.sibling.had_keys_within(window) && run_ids.sibling_has(uid)?;
        if !has_run {
            recorded?;
        }
        Ok(has_run)
    }
}
