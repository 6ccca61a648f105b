//! How the cores were used of late, and how much work they did.

/// Core time spent and work done in it, both decaying.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoreUsage {
    clock_ms: f64,
    spent_ms: f64,
    done_ms: f64,
    taken: f64,
}

impl CoreUsage {
    /// Lets `elapsed_ms` pass with so many runs on so many cores; older values keep the fraction `keep`.
    pub fn advance(&mut self, elapsed_ms: f64, runs: f64, cores: f64, keep: f64) {
        self.clock_ms += elapsed_ms * (cores / runs.max(cores));
        self.spent_ms = self.spent_ms * keep + elapsed_ms * runs.min(cores);
        self.done_ms *= keep;
        let are_all_taken = f64::from(u8::from(runs >= cores));
        self.taken = self.taken * keep + are_all_taken * (1.0 - keep);
    }

    /// Core time in ms that each run has had, if it was running all the time.
    pub fn clock_ms(&self) -> f64 {
        self.clock_ms
    }

    /// Counts a run as done whose work was estimated at `work_ms`.
    pub fn record_done(&mut self, work_ms: f64) {
        self.done_ms += work_ms;
    }

    /// Takes back core time that was not spent after all.
    pub fn refund(&mut self, spent_ms: f64) {
        self.spent_ms = (self.spent_ms - spent_ms).max(0.0);
    }

    /// Fraction of the recent time that all cores were taken by runs.
    pub fn taken(&self) -> f64 {
        self.taken
    }

    /// Core time spent for each ms of work done, as if `prior_ms` had been done at an even rate before.
    pub fn slowdown(&self, prior_ms: f64) -> f64 {
        ((self.spent_ms + prior_ms) / (self.done_ms + prior_ms)).max(0.1)
    }
}

/// Core time of one request, on the core clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreTime {
    used_ms: f64,
    running_since_ms: Option<f64>,
}

impl CoreTime {
    /// The request got onto a core.
    pub fn start(&mut self, clock_ms: f64) {
        self.running_since_ms = Some(clock_ms);
    }

    /// The request left its core.
    pub fn stop(&mut self, clock_ms: f64) {
        if let Some(since_ms) = self.running_since_ms.take() {
            self.used_ms += clock_ms - since_ms;
        }
    }

    /// Core time in ms used until the last stop.
    pub fn used_ms(&self) -> f64 {
        self.used_ms
    }

    /// What is left of `work_ms`, negative where more has been used.
    pub fn remaining_ms(&self, work_ms: f64, clock_ms: f64) -> f64 {
        let running_ms = self.running_since_ms.map_or(0.0, |since_ms| clock_ms - since_ms);
        work_ms - self.used_ms - running_ms
    }
}
