//! Calls to the dependency: how many are in flight, and how long they take.

use super::{decay_factor, decayed_duration, update_mean, RecentDurations};
use crate::interface::{DependencyCallStats, Time};
use crate::policy::Policy;

/// Number of windows over which the best mean duration is forgotten.
const BEST_MEAN_WINDOWS: f64 = 8.0;

/// Statistics of calls to the dependency.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallStatistics {
    /// Number of calls that requests are waiting for.
    pub in_progress: usize,
    /// Number of calls in progress whose answers are assumed to be lost; they say nothing about
    /// durations.
    pub overdue: usize,
    /// Number of calls that have succeeded so far.
    pub succeeded: u64,
    /// Recent durations of calls.
    pub durations: RecentDurations,
    /// Mean number of calls in flight over the window given to `advance`.
    pub mean_in_flight: f64,
    /// Number of abandoned calls that the dependency is not known to have ended.
    pub unconfirmed: usize,
    /// Times by which the dependency is assumed to have ended abandoned calls.
    lingering_until: Vec<Time>,
}

impl CallStatistics {
    /// Advances the statistics by `elapsed_ms` to `now`; durations retain the fraction `keep`.
    pub fn advance(&mut self, now: Time, elapsed_ms: f64, keep: f64, window_ms: f64) {
        let best_mean_growth = elapsed_ms / (BEST_MEAN_WINDOWS * window_ms.max(1.0));
        self.durations.advance(elapsed_ms, self.in_progress - self.overdue, keep, best_mean_growth);
        self.lingering_until.retain(|until| *until > now);
        let in_flight = self.in_flight();
        update_mean(&mut self.mean_in_flight, in_flight, 1.0 - decay_factor(elapsed_ms, window_ms));
    }

    /// Returns the number of calls at the dependency, including abandoned ones that may still run
    /// there.
    pub fn in_flight(&self) -> f64 {
        // A lingering call may be one of those that are not known to have ended.
        (self.in_progress + self.lingering_until.len().max(self.unconfirmed)) as f64
    }

    /// Returns how many of the calls in flight would be superseded by another call of the same
    /// request, after this many consecutive failures. They must not prevent that call: the
    /// dependency ends an earlier call of a request with a later one. A lingering call still counts
    /// as in flight, so that the next one does not run into the same fault at once.
    pub fn superseded_calls(&self, failed_calls: usize) -> f64 {
        let past_linger = self.unconfirmed.saturating_sub(self.lingering_until.len());
        past_linger.min(failed_calls) as f64
    }

    /// Counts an abandoned call as in flight until `lingers_until`.
    pub fn abandon(&mut self, lingers_until: Time) {
        self.lingering_until.push(lingers_until);
    }

    /// Records the end of a call. A failed call says nothing about durations: its time is
    /// subtracted, unless it was overdue and is excluded already. An overdue call that was answered
    /// after all is included again.
    pub fn record_end(&mut self, took_ms: f64, has_failed: bool, was_overdue: bool, decay_span_ms: f64) {
        if !has_failed {
            self.durations.complete();
        }
        if has_failed != was_overdue {
            let time_ms = decayed_duration(took_ms, decay_span_ms);
            self.durations.adjust(if has_failed { -time_ms } else { time_ms });
        }
    }

    /// Counts a call as overdue, and subtracts its time so far from the durations.
    pub fn exclude_overdue(&mut self, elapsed_ms: f64, decay_span_ms: f64) {
        self.overdue += 1;
        self.durations.adjust(-decayed_duration(elapsed_ms, decay_span_ms));
    }

    /// Records a call that succeeded.
    pub fn record_success(&mut self, took_ms: f64) {
        self.succeeded += 1;
        self.durations.record_success(took_ms);
    }

    /// Returns the statistics for the log, together with the limit on calls in flight.
    fn report(&self, limit: f64) -> DependencyCallStats {
        DependencyCallStats {
            in_flight: self.in_flight(),
            mean_in_flight: self.mean_in_flight,
            limit,
            recent_ms: self.durations.mean_ms(),
            best_ms: self.durations.best_mean_ms(),
        }
    }
}

impl Policy {
    /// Returns the statistics of the shared dependency for the log, as observed by this server.
    pub fn dependency_call_stats(&self) -> DependencyCallStats {
        self.calls.report(self.call_limit())
    }
}
