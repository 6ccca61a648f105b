//! Periodic work: abandoned and lost runs, reports of usage, and the log line on the state.

use std::time::{Duration, Instant};

use idempotency::Micros;
use policy::{ClassId, Event, Idempotency, Policy, Preemption, RequestId, RunOutcome};
use slog::{info, warn};

use super::runs::EndOfRun;
use super::{to_duration, PolicyActor};
use crate::node::request_table::{RequestEntry, RequestStage, RunResult};
use crate::node::run_delivery::{GENERATIONS_IF_STOPPED, GENERATIONS_IF_UNSTOPPABLE};
use crate::node::{steady_now, ExecutorCommand, Failure, Outcome};

impl PolicyActor {
    pub(super) fn sweep(&mut self) {
        self.refresh_other_counts();
        self.report_waiting_calls();
        self.replace_silent_connection();
        self.resend_lost_runs();
        self.stop_abandoned_runs();
        self.end_lost_runs();
        self.check_inherited_runs();
        let counts = self.requests.counts();
        self.status.set_open_runs(counts.running + counts.abandoned);
        self.requests.keys.remove_expired(Micros(steady_now().0));
        let booked_kb = self
            .requests
            .booked_kb(self.site.settings.run_memory_factor);
        self.publish_used_shares();
        let stuck_calls = (self.peers.calls_at_unresponsive_database)();
        self.status.set_calls_at_unresponsive_database(stuck_calls);
        self.peaks.booked_kb = self.peaks.booked_kb.max(booked_kb);
        self.log_state(booked_kb);
    }

    fn report_waiting_calls(&mut self) {
        if let Some(report) = &self.peers.report_waiting {
            let is_waiting =
                |stage: &RequestStage| matches!(stage, RequestStage::AwaitingCall { .. });
            let waiting = self
                .requests
                .iter_mut()
                .filter(|e| is_waiting(&e.stage))
                .count();
            report(waiting);
        }
    }

    /// Replaces the connection to the executor after a long silence, which is the only sign of a
    /// peer that became unreachable without closing the connection. Runs continue meanwhile, and
    /// the executor reports them on the next connection.
    fn replace_silent_connection(&mut self) {
        let max_silence = self.limits.policy.max_silence;
        if self.link.needs_replacement(Instant::now(), max_silence) {
            warn!(self.log, "executor does not answer: replacing its connection"; "max_silence_ms" => max_silence.as_millis() as u64);
            // A full mailbox is not being read, and the connection ends by its write timeout.
            let _ = self.peers.executor.try_send(ExecutorCommand::Reconnect);
        }
    }

    /// Stops runs whose requests are answered but that have not ended, unless another request has
    /// joined them. This is repeated, as commands may be lost and cores may stall.
    ///
    /// No run is assumed to have ended because time has passed: it could still occupy its core, and
    /// another run would be started in parallel.
    fn stop_abandoned_runs(&mut self) {
        let classes = &self.site.settings.classes;
        let retry_after = self.limits.policy.stop_retry_after;
        let is_due = |entry: &RequestEntry| {
            let grace = stop_grace(classes, entry.class);
            let is_old = |at: Instant| at.elapsed() >= retry_after + grace;
            entry.was_sent() && entry.answered_at.is_some_and(is_old)
        };
        for id in self.requests.ids_matching(is_due) {
            if !self.requests.keys.has_waiting(id.0) {
                self.stop_abandoned_run(id);
            }
        }
    }

    /// Stops the run of an answered request, if the site allows that. If the run may never have
    /// started, runs that are sent from now on show whether it has ended.
    pub(super) fn stop_abandoned_run(&mut self, id: RequestId) {
        let (last_run, last_reading) = (self.last_run, self.link.last_tag());
        let may_stop = self.may_stop_runs();
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        let stop = ExecutorCommand::Stop(entry.uid);
        // If the command is lost, the next sweep sends it again.
        let is_stop_sent = !may_stop || self.peers.executor.try_send(stop).is_ok();
        if is_stop_sent && self.link.is_caught_up() {
            entry.delivery.begin_generation(last_run, last_reading);
        }
    }

    fn may_stop_runs(&self) -> bool {
        self.site.settings.preemption != Preemption::Unsupported
    }

    /// Ends the runs in doubt of answered requests that, as later runs have shown, are not in
    /// progress.
    pub(super) fn end_lost_runs(&mut self) {
        let generations = if self.may_stop_runs() {
            GENERATIONS_IF_STOPPED
        } else {
            GENERATIONS_IF_UNSTOPPABLE
        };
        let has_ended = |entry: &RequestEntry| {
            entry.responder.is_none() && entry.delivery.has_ended_after(generations)
        };
        for id in self.requests.ids_matching(has_ended) {
            self.end_lost_run(id);
        }
        self.report_runs_in_doubt();
    }

    fn end_lost_run(&mut self, id: RequestId) {
        let Some(uid) = self.requests.get_mut(id).map(|entry| entry.uid) else {
            return;
        };
        info!(self.log, "run in doubt has ended"; "uid" => %uid);
        let end_of_run = EndOfRun {
            run_outcome: RunOutcome::Failed,
            request_outcome: Outcome::Failed(Failure::Internal),
            result: Some(RunResult::Failed),
        };
        self.finish_run(uid, end_of_run);
    }

    /// Notifies the policy of the number of runs in doubt, if that has changed.
    pub(super) fn report_runs_in_doubt(&mut self) {
        let in_doubt = self.requests.counts().in_doubt;
        if std::mem::replace(&mut self.reported_runs_in_doubt, in_doubt) != in_doubt {
            if in_doubt == 0 {
                info!(self.log, "no run is in doubt");
            }
            self.queue_event(Event::RunsInDoubt(in_doubt));
        }
    }

    fn log_state(&mut self, booked_kb: f64) {
        self.rate_limited.state.log(|_| {
            let counts = self.requests.counts();
            let peaks = std::mem::take(&mut self.peaks);
            info!(self.log, "state"; "queued" => counts.queued, "running" => counts.running,
                "abandoned" => counts.abandoned, "in_doubt" => counts.in_doubt, "unanswered" => self.status.unanswered(),
                "keys" => self.requests.keys.len(), "keys_kb" => self.requests.keys.bytes() / 1024,
                "wake_ups" => self.wake_ups.len(), "pending" => self.pending.len(),
                "booked_kb" => booked_kb as u64, "max_booked_kb" => peaks.booked_kb as u64,
                "calls" => ?self.policy.as_ref().map(Policy::dependency_call_stats),
                "memory_kb" => self.site.settings.memory_kb as u64,
                "max_read_age_ms" => peaks.request_age.ms() as u64);
        });
    }
}

/// Returns the additional time for which the run of an answered request of this class may continue
/// before it is stopped. In a class that is idempotent by key the run continues, as another attempt
/// may request its result.
fn stop_grace(classes: &[policy::Class], class: ClassId) -> Duration {
    match classes.get(class.0) {
        Some(class) if class.idempotency == Idempotency::ByKey => to_duration(class.deadline),
        _ => Duration::ZERO,
    }
}
