//! A rate limit for log lines that a peer can cause at any rate.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Writes at most one log line per interval and counts the lines that it suppresses.
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
    /// Creates a log that writes at most one line per `interval`.
    pub fn new(interval: Duration) -> RateLimitedLog {
        RateLimitedLog {
            interval,
            state: Mutex::default(),
        }
    }

    /// Calls `write` with the number of lines suppressed since the last line, unless that line was
    /// written less than one interval ago.
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
