//! Detects a database that has stopped replying, from the calls of this process.

use std::time::{Duration, Instant};

/// The database counts as silent once a call has had no reply for this multiple of the average
/// reply time.
const SILENCE_MULTIPLE: f64 = 8.0;
/// Weight of the latest reply in the moving average of the reply time.
const LATEST_REPLY_WEIGHT: f64 = 0.125;

/// Estimate of whether the database has stopped replying.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Silence {
    /// The database has replied to the latest calls.
    #[default]
    Absent,
    /// No call begun since `since` has had a reply, but no open call has waited long yet: the
    /// database may be silent, or the connections of earlier calls broke for another reason.
    Possible {
        /// Start of the earliest call without a reply.
        since: Instant,
    },
    /// An open call has waited long, and neither it nor any call begun since has had a reply.
    Known {
        /// Start of the earliest call without a reply.
        since: Instant,
    },
}

/// History of the database's replies.
#[derive(Debug, Default)]
pub(super) struct ReplyHistory {
    /// Moving average of the reply time in seconds; `None` before the first reply.
    average_reply_seconds: Option<f64>,
    /// Start of the earliest call that began after every call that has had a reply.
    unanswered_since: Option<Instant>,
}

impl ReplyHistory {
    /// Records the start of a call.
    pub(super) fn record_start(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records the reply to a call that began at `began_at`. Of the calls in progress, the first
    /// that began later did so at `next_began_at`.
    pub(super) fn record_reply(
        &mut self,
        began_at: Instant,
        next_began_at: Option<Instant>,
        now: Instant,
    ) {
        let seconds = now.saturating_duration_since(began_at).as_secs_f64();
        let average = self.average_reply_seconds.get_or_insert(seconds);
        *average += LATEST_REPLY_WEIGHT * (seconds - *average);
        if self.unanswered_since.is_some_and(|at| at <= began_at) {
            self.unanswered_since = next_began_at;
        }
    }

    /// Returns true if a call has been without a reply for much longer than the average reply time,
    /// and no call that began since has had a reply.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| self.is_overdue(since, now))
    }

    /// Estimates whether the database is silent. `earliest_open` is the start of the earliest call
    /// in progress.
    pub(super) fn silence(&self, earliest_open: Option<Instant>, now: Instant) -> Silence {
        match self.unanswered_since {
            None => Silence::Absent,
            Some(since) if earliest_open.is_some_and(|at| self.is_overdue(at, now)) => {
                Silence::Known { since }
            }
            Some(since) => Silence::Possible { since },
        }
    }

    /// Returns the times at which the estimate changes unless the database replies before.
    pub(super) fn silence_change_times(
        &self,
        earliest_open: Option<Instant>,
    ) -> impl Iterator<Item = Instant> + '_ {
        let calls = self.unanswered_since.into_iter().chain(earliest_open);
        calls.filter_map(|began_at| self.overdue_from(began_at))
    }

    fn is_overdue(&self, began_at: Instant, now: Instant) -> bool {
        self.overdue_from(began_at).is_some_and(|from| now >= from)
    }

    /// Returns the time from which the reply to a call that began at `began_at` is overdue.
    fn overdue_from(&self, began_at: Instant) -> Option<Instant> {
        let average = self.average_reply_seconds?;
        Some(began_at + Duration::from_secs_f64(SILENCE_MULTIPLE * average))
    }
}
