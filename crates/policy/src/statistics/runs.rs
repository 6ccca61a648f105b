//! Statistics of the runs of a class: their work and their calls.

use super::{update_mean, RunningRegression, LEARNING_RATE};
use crate::interface::Class;

/// Estimated work of a class before any of its runs, as a fraction of its latency objective.
pub const INITIAL_WORK_FRACTION: f64 = 1.0 / 12.0;

/// Statistics of the runs of one class, by the size that their hints announce.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStatistics {
    work: RunningRegression,
    /// Mean deviation from the expected work, as a fraction of it: small if hints are accurate.
    pub work_deviation: f64,
    /// Mean number of calls.
    pub calls: f64,
    completed: f64,
}

impl RunStatistics {
    /// Creates the estimates before any run: work in proportion to the size, and one call if the
    /// class may make calls.
    pub fn new(class: &Class) -> RunStatistics {
        RunStatistics {
            work: RunningRegression::proportional(class.latency_objective.ms() * INITIAL_WORK_FRACTION),
            work_deviation: 0.5,
            calls: f64::from(u8::from(class.may_call)),
            completed: 0.0,
        }
    }

    /// Returns the expected core time in ms of a run of this size. The less accurate hints are, or
    /// the more runs wait for disk, the closer the regression stays to the mean. It is misleading
    /// if one class contains two kinds of work.
    pub fn work_ms(&self, size: f64) -> f64 {
        self.work.predict(size).max(self.work.mean_y / 8.0)
    }

    /// Records a run, and returns the core time that had been expected of it.
    pub fn record(&mut self, size: f64, used_ms: f64, calls: f64) -> f64 {
        let expected_ms = self.work_ms(size);
        self.completed += 1.0;
        let weight = LEARNING_RATE.max(1.0 / (self.completed + 1.0));
        let deviation = (used_ms / expected_ms.max(1e-9) - 1.0).abs().min(2.0);
        update_mean(&mut self.work_deviation, deviation, weight.min(0.25));
        self.work.add(size, used_ms, weight);
        update_mean(&mut self.calls, calls, weight);
        expected_ms
    }
}
