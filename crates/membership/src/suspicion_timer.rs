//! The timeout of one suspicion. The timeout is long at first, as the only member that reports the
//! suspicion may itself be faulty, and shortens with each further member that confirms it
//! (Lifeguard).

use std::time::Duration;

/// The shortest and the longest timeout of a suspicion, and the number of confirmations that leads
/// from the longest to the shortest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionTimeouts {
    pub min: Duration,
    pub max: Duration,
    /// Number of confirmations after which the shortest timeout applies.
    pub wanted_confirmations: u32,
}

/// The running timeout of one suspicion.
#[derive(Clone, Debug)]
pub(crate) struct SuspicionTimer {
    started_at: Duration,
    timeouts: SuspicionTimeouts,
    /// Hashes of the names of the members that suspect this member. The first one began the
    /// suspicion.
    suspected_by: Vec<u32>,
}

impl SuspicionTimer {
    /// Creates the timer of a suspicion that begins now, reported by one member.
    pub(crate) fn new(now: Duration, timeouts: SuspicionTimeouts, suspected_by: u32) -> Self {
        SuspicionTimer {
            started_at: now,
            timeouts,
            suspected_by: vec![suspected_by],
        }
    }

    /// Counts a confirmation. Returns true if it is new and still shortens the timeout.
    pub(crate) fn confirm(&mut self, suspected_by: u32) -> bool {
        let wanted = self.timeouts.wanted_confirmations as usize;
        let is_new = suspected_by != 0
            && !self.suspected_by.contains(&suspected_by)
            && self.suspected_by.len() <= wanted;
        if is_new {
            self.suspected_by.push(suspected_by);
        }
        is_new
    }

    /// Returns the time at which the member is declared dead.
    pub(crate) fn expires_at(&self) -> Duration {
        let SuspicionTimeouts {
            min,
            max,
            wanted_confirmations,
        } = self.timeouts;
        let confirmations = self
            .suspected_by
            .len()
            .saturating_sub(1)
            .min(wanted_confirmations as usize) as f64;
        let shortened = if wanted_confirmations == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (f64::from(wanted_confirmations) + 1.0).ln()
        };
        let timeout = max - max.saturating_sub(min).mul_f64(shortened.min(1.0));
        self.started_at + timeout.max(min)
    }

    /// Extends the timeout by a time during which this node could not receive a refutation.
    pub(crate) fn extend(&mut self, pause: Duration) {
        self.started_at += pause;
    }

    /// Restarts the timeout.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.started_at = now;
    }
}
