//! Recent use of the cores, and the work done on them.

/// Core time spent and work done in it, both decaying.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoreUsage {
    clock_ms: f64,
    spent_ms: f64,
    done_ms: f64,
    saturation: f64,
}

impl CoreUsage {
    /// Advances by `elapsed_ms` with this many runs on this many cores; older values retain the
    /// fraction `keep`.
    pub fn advance(&mut self, elapsed_ms: f64, runs: f64, cores: f64, keep: f64) {
        self.clock_ms += elapsed_ms * (cores / runs.max(cores));
        self.spent_ms = self.spent_ms * keep + elapsed_ms * runs.min(cores);
        self.done_ms *= keep;
        let is_saturated = f64::from(u8::from(runs >= cores));
        self.saturation = self.saturation * keep + is_saturated * (1.0 - keep);
    }

    /// Returns the core clock: the core time in ms that a run has had if it was running all the
    /// time.
    pub fn clock_ms(&self) -> f64 {
        self.clock_ms
    }

    /// Records a completed run whose work was estimated at `work_ms`.
    pub fn record_completed_work(&mut self, work_ms: f64) {
        self.done_ms += work_ms;
    }

    /// Subtracts core time that was not spent after all.
    pub fn remove_core_time(&mut self, spent_ms: f64) {
        self.spent_ms = (self.spent_ms - spent_ms).max(0.0);
    }

    /// Returns the fraction of the recent time in which runs occupied all cores.
    pub fn saturation(&self) -> f64 {
        self.saturation
    }

    /// Returns the core time spent per ms of work done, as if `prior_ms` of work had been done in
    /// as much core time before.
    pub fn slowdown(&self, prior_ms: f64) -> f64 {
        ((self.spent_ms + prior_ms) / (self.done_ms + prior_ms)).max(0.1)
    }
}

/// Core time of one request, measured on the core clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreTime {
    used_ms: f64,
    running_since_ms: Option<f64>,
}

impl CoreTime {
    /// Records that the request was placed on a core.
    pub fn start(&mut self, clock_ms: f64) {
        self.running_since_ms = Some(clock_ms);
    }

    /// Records that the request left its core.
    pub fn stop(&mut self, clock_ms: f64) {
        if let Some(since_ms) = self.running_since_ms.take() {
            self.used_ms += clock_ms - since_ms;
        }
    }

    /// Returns the core time in ms used until the last stop.
    pub fn used_ms(&self) -> f64 {
        self.used_ms
    }

    /// Returns the rest of `work_ms`; negative if more has been used.
    pub fn remaining_ms(&self, work_ms: f64, clock_ms: f64) -> f64 {
        let running_ms = self.running_since_ms.map_or(0.0, |since_ms| clock_ms - since_ms);
        work_ms - self.used_ms - running_ms
    }
}
