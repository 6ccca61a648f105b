//! A limit on log lines that a peer can cause as often as it likes.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lets one log line through in each interval and counts the lines that it suppressed.
pub struct RateLimitedLog {
    interval: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    last_written: Option<Instant>,
    suppressed: u64,
}

impl RateLimitedLog {
    /// A log that writes at most one line in each `interval`.
    pub fn new(interval: Duration) -> RateLimitedLog {
        RateLimitedLog {
            interval,
            state: Mutex::default(),
        }
    }

    /// Calls `write` if a line is due, with the number of lines suppressed since the last one.
    pub fn log(&self, write: impl FnOnce(u64)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state
            .last_written
            .is_some_and(|at| at.elapsed() < self.interval)
        {
            state.suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut state.suppressed);
        state.last_written = Some(Instant::now());
        drop(state);
        write(suppressed);
    }
}
