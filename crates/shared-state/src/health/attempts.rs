//! A node's own recent attempts at a dependency, and the health that they show.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Duration for which an attempt counts.
pub const ATTEMPT_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of attempts that are kept. Older ones are dropped.
const MAX_ATTEMPTS: usize = 256;
/// Minimum number of attempts from which the health of a dependency is concluded.
const MIN_ATTEMPTS: usize = 3;
/// A dependency is slow if attempts take more than this multiple of the long-run best latency.
const SLOW_FACTOR: f64 = 4.0;
/// Fraction of the difference by which the best latency moves towards that of a slower attempt.
const BEST_LATENCY_DECAY: f64 = 1.0 / 4096.0;
/// Lower bound of the best latency, in seconds. Shorter latencies count as this one.
const MIN_LATENCY_SECONDS: f64 = 1e-6;

/// Health of a dependency as a node's own attempts show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// Most attempts succeed.
    Sound,
    /// Attempts succeed, but take much longer than the long-run best.
    Slow,
    /// Half of the attempts or more fail.
    Failing,
}

/// Number of attempts, and how many of them failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Number of all attempts.
    pub total: usize,
    /// Number of attempts that failed.
    pub failed: usize,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    ended_at: Duration,
    /// Present if the attempt succeeded.
    latency: Option<Duration>,
}

/// A node's recent attempts at one dependency.
#[derive(Clone, Debug, Default)]
pub struct AttemptWindow {
    attempts: VecDeque<Attempt>,
    /// Long-run best latency in seconds; 0 before the first success.
    best_latency_seconds: f64,
}

impl AttemptWindow {
    /// Records an attempt that ended now: its latency if it succeeded, or `None` if it failed.
    pub fn record(&mut self, now: Duration, latency: Option<Duration>) {
        if let Some(latency) = latency {
            self.update_best_latency(latency.as_secs_f64().max(MIN_LATENCY_SECONDS));
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(Attempt {
            ended_at: now,
            latency,
        });
    }

    fn update_best_latency(&mut self, latency_seconds: f64) {
        let increase = (latency_seconds - self.best_latency_seconds) * BEST_LATENCY_DECAY;
        self.best_latency_seconds =
            if self.best_latency_seconds == 0.0 || latency_seconds < self.best_latency_seconds {
                latency_seconds
            } else {
                self.best_latency_seconds + increase
            };
    }

    /// Counts the attempts in the window.
    pub fn counts(&self, now: Duration) -> AttemptCounts {
        AttemptCounts {
            total: self.recent(now).count(),
            failed: self.recent(now).filter(|a| a.latency.is_none()).count(),
        }
    }

    /// Returns the health that the attempts in the window show, or `None` if there are too few.
    pub fn observed_health(&self, now: Duration) -> Option<ObservedHealth> {
        let counts = self.counts(now);
        if counts.total < MIN_ATTEMPTS {
            return None;
        }
        if counts.failed * 2 >= counts.total {
            return Some(ObservedHealth::Failing);
        }
        let total_latency: f64 = self
            .recent(now)
            .filter_map(|attempt| attempt.latency)
            .map(|latency| latency.as_secs_f64())
            .sum();
        let succeeded = (counts.total - counts.failed) as f64;
        let is_slow = total_latency > SLOW_FACTOR * self.best_latency_seconds * succeeded;
        Some(if is_slow {
            ObservedHealth::Slow
        } else {
            ObservedHealth::Sound
        })
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(move |attempt| attempt.ended_at + ATTEMPT_WINDOW >= now)
    }
}
