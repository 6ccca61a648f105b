//! Work of an earlier process of the node that the executor and the database continue. They report
//! nothing about it to this process.

use std::time::{Duration, Instant};

use policy::{Event, Gauges};
use slog::info;

use lifecycle::TOTAL_SHARES;

use super::PolicyActor;
use crate::node::held_work::{InheritedMemory, NodeCapacity, RemainingWork};
use crate::node::run_delivery::{RunDelivery, GENERATIONS_IF_UNSTOPPABLE};

/// Runs of earlier processes that may still be in progress.
#[derive(Default)]
pub(super) struct InheritedRuns {
    /// All of the runs, treated as a single one that may be in progress; [`RunDelivery::NotSent`]
    /// if there are none.
    pub(super) delivery: RunDelivery,
    /// Number of the runs that may be on the cores.
    pub(super) on_cores: u32,
    /// Memory that the platform counts for the runs, including those that wait for a call.
    pub(super) memory: InheritedMemory,
    /// Time at which runs were last counted. Their process had ended by then.
    counted_at: Option<Instant>,
}

impl PolicyActor {
    /// Counts the work of a process that has just ended. Later runs show when its runs have ended;
    /// the gauges do not, as they may show idle cores while the runs hang. Nothing shows when its
    /// calls end. The database actor counts them for the time that it assumes for calls at a
    /// database that does not notice closes.
    pub(super) fn inherit_work(&mut self, work: RemainingWork) {
        let settings = &self.site.settings;
        let node = NodeCapacity {
            runs: settings.concurrency_per_core * f64::from(settings.cores),
            memory_kb: settings.memory_kb,
        };
        let (runs, calls, memory) = (work.runs(node), work.calls(), work.memory(node));
        info!(self.log, "an earlier process has ended"; "runs" => runs, "calls" => calls,
            "memory_kb" => memory.kilobytes(self.largest_run_kb), "is_recorded" => matches!(work, RemainingWork::Recorded(_)));
        self.inherit_calls(calls);
        self.inherit_runs(runs, memory);
    }

    /// Counts calls that an earlier process left in progress.
    pub(super) fn inherit_calls(&mut self, calls: u32) {
        if calls > 0 {
            info!(self.log, "calls of an earlier process may still be in progress"; "at_most" => calls);
            (self.peers.inherit_calls)(calls as usize);
        }
    }

    /// Counts the runs that the first gauges show if the executor is older than this process, as an
    /// earlier process may have left them running. While another process of the node is running,
    /// its runs are within its own share and are not counted here.
    pub(super) fn inherit_runnable(&mut self, gauges: &Gauges) {
        let is_older = std::mem::take(&mut self.is_executor_older);
        if is_older && self.resource_shares == TOTAL_SHARES {
            let known = self.last_run.0 as f64 + f64::from(self.inherited.on_cores);
            let runs = (gauges.runnable.unwrap_or(0.0) - known).max(0.0);
            self.inherit_runs(runs.ceil() as u32, InheritedMemory::default());
        }
    }

    fn inherit_runs(&mut self, runs: u32, memory: InheritedMemory) {
        if runs == 0 && memory.is_empty() {
            return;
        }
        self.inherited.counted_at = Some(Instant::now());
        self.inherited.delivery = RunDelivery::inherited(self.last_run);
        self.inherited.on_cores += runs;
        self.inherited.memory.add(memory);
        info!(self.log, "runs of an earlier process may still be in progress"; "at_most" => self.inherited.on_cores,
            "memory_kb" => self.inherited_memory_kb());
        self.report_inherited_runs();
    }

    /// Returns the kilobytes that the platform may count for runs of earlier processes.
    pub(super) fn inherited_memory_kb(&self) -> f64 {
        self.inherited.memory.kilobytes(self.largest_run_kb)
    }

    /// Stops counting the runs of earlier processes once enough generations of this process's runs
    /// have ended, and otherwise begins the next generation.
    pub(super) fn check_inherited_runs(&mut self) {
        if self.inherited.delivery == RunDelivery::NotSent {
            return;
        }
        if self
            .inherited
            .delivery
            .has_ended_after(GENERATIONS_IF_UNSTOPPABLE)
        {
            info!(self.log, "runs of an earlier process have ended");
            self.inherited = InheritedRuns::default();
            return self.report_inherited_runs();
        }
        if self.link.is_caught_up() {
            let last_reading = self.link.last_tag();
            self.inherited
                .delivery
                .begin_generation(self.last_run, last_reading);
        }
    }

    /// Notifies a policy that has just started of the work that was counted before. An executor
    /// that has started since then has none of the runs.
    pub(super) fn report_earlier_work(&mut self, executor_age: Duration) {
        let counted_at = self.inherited.counted_at;
        if counted_at.is_some_and(|at| executor_age < at.elapsed()) {
            self.inherited = InheritedRuns::default();
        }
        if self.inherited.delivery != RunDelivery::NotSent {
            self.report_inherited_runs();
        }
        if self.unconfirmed_calls > 0 {
            self.queue_event(Event::UnconfirmedCalls(self.unconfirmed_calls));
        }
    }

    /// Notifies the policy of the inherited runs and of the memory that remains for other runs.
    fn report_inherited_runs(&mut self) {
        let runs = f64::from(self.inherited.on_cores);
        self.queue_event(Event::RunsInherited(runs));
        self.set_resource_shares(self.resource_shares);
    }
}
