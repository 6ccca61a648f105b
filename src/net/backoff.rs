//! Exponential backoff.

use std::time::Duration;

/// Delays between attempts, doubled up to a maximum.
pub struct Backoff {
    next: Duration,
    first: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays start at `first` and grow up to `max`.
    pub fn new(first: Duration, max: Duration) -> Backoff {
        Backoff {
            next: first,
            first,
            max,
        }
    }

    /// Returns the delay before the next attempt and doubles the one after it, up to the maximum.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// Resets to the first delay, after a successful attempt.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
