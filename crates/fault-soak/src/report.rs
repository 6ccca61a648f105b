//! The report of a soak run.

use std::fmt;
use std::time::Duration;

use crate::plan::{Conditions, Plan};
use crate::request_record::{RequestTotals, Violation};

/// The report of a soak run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The executed plan.
    pub plan: Plan,
    /// The rule violations.
    pub violations: Vec<Violation>,
    /// The events in order, with the time since the start of the soak run.
    pub events: Vec<(Duration, String)>,
    /// Counts of requests by outcome.
    pub totals: RequestTotals,
    /// Highest mean number of runs on the cores, as a share of what the machine can sustain.
    pub peak_runs: f64,
    /// Highest mean number of calls, as a share of the nodes' quota.
    pub peak_calls: f64,
    /// Most memory booked on a machine, as a share of its memory.
    pub peak_memory: f64,
    /// The logs of the node's processes.
    pub logs: Vec<String>,
}

impl SoakReport {
    /// Merges the reports of two nodes of a soak run. The plan remains that of the first.
    #[must_use]
    pub fn merge(mut self, other: SoakReport) -> SoakReport {
        self.violations.extend(other.violations);
        self.events.extend(other.events);
        self.events.sort_by_key(|(at, _)| *at);
        self.totals = self.totals.plus(other.totals);
        self.peak_runs = self.peak_runs.max(other.peak_runs);
        self.peak_calls = self.peak_calls.max(other.peak_calls);
        self.peak_memory = self.peak_memory.max(other.peak_memory);
        self.logs.extend(other.logs);
        self
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestTotals {
            sent,
            unsent,
            served,
            rejected,
        } = self.totals;
        let broken = self.violations.len();
        write!(
            f,
            "seed {:<6} {broken} broken, {sent} requests, {unsent} not sent, {served} served, {rejected} rejected, runs {:.2}, calls {:.2} and memory {:.2} of the limit;",
            self.plan.seed, self.peak_runs, self.peak_calls, self.peak_memory
        )?;
        if self.plan.conditions != Conditions::default() {
            write!(f, " {:?},", self.plan.conditions)?;
        }
        for fault in &self.plan.faults {
            write!(f, " {fault},")?;
        }
        if broken == 0 {
            return Ok(());
        }
        writeln!(f, "\n{:?}", self.plan)?;
        for (at, event) in &self.events {
            writeln!(f, "  {:.3} s {event}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
