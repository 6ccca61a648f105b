//! Exponential backoff.

use std::time::Duration;

/// Delays between attempts, doubled up to a maximum.
pub struct Backoff {
    next: Duration,
    first: Duration,
    max: Duration,
}

impl Backoff {
    /// Delays from `first` up to `max`.
    pub fn new(first: Duration, max: Duration) -> Backoff {
        Backoff {
            next: first,
            first,
            max,
        }
    }

    /// Returns the delay before the next attempt, and doubles the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// Starts again from the first delay, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
