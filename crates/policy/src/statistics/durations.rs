//! Durations of operations, some of which may still be in progress.

/// Recent durations of operations; time counts as it passes, so that the mean also rises while one
/// is stuck.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentDurations {
    total_ms: f64,
    completed: f64,
    deviation_ms: f64,
    best_mean_ms: f64,
}

impl Default for RecentDurations {
    fn default() -> RecentDurations {
        RecentDurations { total_ms: 0.0, completed: 0.0, deviation_ms: 0.0, best_mean_ms: f64::MAX }
    }
}

impl RecentDurations {
    /// Advances by `elapsed_ms` with this many operations in progress. Older values retain the
    /// fraction `keep`, and the best mean rises by the fraction `best_mean_growth`.
    pub fn advance(&mut self, elapsed_ms: f64, in_progress: usize, keep: f64, best_mean_growth: f64) {
        self.total_ms = self.total_ms * keep + elapsed_ms * in_progress as f64;
        self.completed *= keep;
        self.deviation_ms *= keep;
        self.best_mean_ms *= 1.0 + best_mean_growth;
    }

    /// Adds time that `advance` did not count, or subtracts it if negative.
    pub fn adjust(&mut self, total_ms: f64) {
        self.total_ms += total_ms;
    }

    /// Counts an operation as completed.
    pub fn complete(&mut self) {
        self.completed += 1.0;
    }

    /// Records the deviation of a successful operation's duration from the mean, and updates the
    /// best mean.
    pub fn record_success(&mut self, duration_ms: f64) {
        let mean_ms = self.mean_ms();
        self.deviation_ms += (duration_ms - mean_ms).abs();
        self.best_mean_ms = self.best_mean_ms.min(mean_ms);
    }

    /// Returns the number of recently completed operations.
    pub fn completed(&self) -> f64 {
        self.completed
    }

    /// Returns the mean duration; 0 before any operation has completed.
    pub fn mean_ms(&self) -> f64 {
        if self.completed > 0.0 {
            self.total_ms.max(0.0) / self.completed.max(0.5)
        } else {
            0.0
        }
    }

    /// Returns the best mean duration, which is slowly forgotten; `f64::MAX` before the first.
    pub fn best_mean_ms(&self) -> f64 {
        self.best_mean_ms
    }

    /// Returns the mean deviation as a fraction of the mean.
    pub fn relative_deviation(&self) -> f64 {
        self.deviation_ms / self.total_ms.max(1e-9)
    }
}
