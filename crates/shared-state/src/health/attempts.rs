//! A node's own recent attempts at a dependency, and what they show of its health.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an attempt counts.
pub const ATTEMPT_WINDOW: Duration = Duration::from_secs(2);
/// Most attempts that are kept, the newest.
const MAX_ATTEMPTS: usize = 256;
/// Fewer attempts than this show nothing.
const MIN_ATTEMPTS: usize = 3;
/// A dependency is slow if attempts take this multiple of their long-run best.
const SLOW_FACTOR: f64 = 4.0;
/// How far the best latency moves towards that of a slower attempt.
const BEST_LATENCY_DECAY: f64 = 1.0 / 4096.0;
/// Shorter latencies count as this one, in seconds.
const MIN_LATENCY: f64 = 1e-6;

/// What a node's own attempts show of a dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// Most attempts succeed.
    Sound,
    /// Attempts succeed, but take much longer than they used to.
    Slow,
    /// Half of the attempts or more fail.
    Failing,
}

/// How many attempts there were, and how many of them failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// All attempts.
    pub total: usize,
    /// Attempts that failed.
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
    best_latency: f64,
}

impl AttemptWindow {
    /// Records an attempt that ended now: its latency if it succeeded, `None` if it failed.
    pub fn record(&mut self, now: Duration, latency: Option<Duration>) {
        if let Some(latency) = latency {
            self.update_best_latency(latency.as_secs_f64().max(MIN_LATENCY));
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(Attempt {
            ended_at: now,
            latency,
        });
    }

    fn update_best_latency(&mut self, latency: f64) {
        let increase = (latency - self.best_latency) * BEST_LATENCY_DECAY;
        self.best_latency = if self.best_latency == 0.0 || latency < self.best_latency {
            latency
        } else {
            self.best_latency + increase
        };
    }

    /// Counts the attempts in the window.
    pub fn counts(&self, now: Duration) -> AttemptCounts {
        AttemptCounts {
            total: self.recent(now).count(),
            failed: self.recent(now).filter(|a| a.latency.is_none()).count(),
        }
    }

    /// What the attempts in the window show; `None` if there are too few.
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
        let is_slow = total_latency > SLOW_FACTOR * self.best_latency * succeeded;
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
