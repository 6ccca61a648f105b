//! The ids of requests whose runs have ended, so that a request that must not run twice is not run
//! again under the same id.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use super::request::RequestUid;

/// Remembers ids for a while, and no more than a maximum number of them; the oldest are forgotten
/// first.
pub(super) struct EndedRuns {
    /// The ids in the order in which their runs ended, with the times.
    by_time: VecDeque<(Instant, RequestUid)>,
    uids: HashSet<RequestUid>,
    window: Duration,
    max_uids: usize,
}

impl EndedRuns {
    /// Creates a memory that keeps an id for `window`, and at most `max_uids` ids.
    pub(super) fn new(window: Duration, max_uids: usize) -> EndedRuns {
        EndedRuns {
            by_time: VecDeque::new(),
            uids: HashSet::new(),
            window,
            max_uids,
        }
    }

    /// Records that the run of the request with this id has ended.
    pub(super) fn record(&mut self, uid: RequestUid, now: Instant) {
        self.forget_expired(now);
        if self.uids.insert(uid) {
            self.by_time.push_back((now, uid));
        }
    }

    /// Returns true if a run under this id has ended and is still remembered.
    pub(super) fn contains(&self, uid: RequestUid) -> bool {
        self.uids.contains(&uid)
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some((ended_at, uid)) = self.by_time.front() {
            let is_expired = now.saturating_duration_since(*ended_at) > self.window;
            if !is_expired && self.by_time.len() < self.max_uids {
                return;
            }
            self.uids.remove(uid);
            self.by_time.pop_front();
        }
    }
}
