//! Handling of the executor's connection, and of runs from the command to their end.

use std::time::{Duration, Instant};

use lifecycle::TOTAL_SHARES;
use policy::{Class, ClassId, Event, Idempotency, Policy, RequestId, RunOutcome, Settings};
use slog::{debug, info, warn};

use super::{to_span, PolicyActor, ShutdownProgress};
use crate::node::request_table::{RequestEntry, RequestStage, RunResult};
use crate::node::run_delivery::{RunDelivery, RunNumber};
use crate::node::{steady_now, Failure, Outcome, RequestUid, RunReport};

/// The consequences of the end of a run for its request.
pub(super) struct EndOfRun {
    /// The outcome that the policy is notified of.
    pub(super) run_outcome: RunOutcome,
    /// The answer, if the request has not been answered yet.
    pub(super) request_outcome: Outcome,
    /// The result kept under the request's key; `None` if the request certainly never ran.
    pub(super) result: Option<RunResult>,
}

impl PolicyActor {
    /// Starts the policy at the first connection. At a later connection, requests a reading of the
    /// gauges: its answer shows that all notices missed with the last connection have been read.
    pub(super) fn executor_connected(&mut self, is_cold: bool, age: Duration) {
        self.link.connected();
        if self.policy.is_some() {
            // If the mailbox is full, the next wake-up requests a reading.
            self.send_reading(Instant::now());
            return;
        }
        // The shutdown began before the executor connected, so no requests are accepted.
        if self.shutdown >= ShutdownProgress::Begun {
            return;
        }
        self.start_policy(is_cold, age);
    }

    fn start_policy(&mut self, is_cold: bool, age: Duration) {
        let is_older = age > self.created_at.elapsed() + self.limits.policy.executor_age_margin;
        // The policy measures the slow start from the executor's start, which may precede the
        // connection. A warm executor may have been up for hours, and that age would only advance
        // the policy's clocks beyond all that they measure.
        let executor_age = age;
        let age = if is_cold { age } else { Duration::ZERO };
        let settings = Settings {
            starts_cold: is_cold,
            ..self.site.settings.clone()
        };
        let mut policy = match Policy::new(settings, self.seed) {
            Ok(policy) => policy,
            Err(e) => return warn!(self.log, "policy not started: invalid settings"; "error" => %e),
        };
        let age = to_span(age);
        let mut actions = Vec::new();
        policy.handle(steady_now() - age, &[], &mut actions);
        self.policy = Some(policy);
        if self.resource_shares != TOTAL_SHARES {
            self.set_resource_shares(self.resource_shares);
        }
        self.report_earlier_work(executor_age);
        info!(self.log, "executor connected"; "is_cold" => is_cold, "age_ms" => age.ms());
        self.is_executor_older = is_older;
        for action in actions {
            self.perform(action);
        }
        self.status.notify_executor_ready();
    }

    /// Marks the runs whose commands may have been lost.
    pub(super) fn executor_disconnected(&mut self) {
        self.link.disconnected();
        let classes = &self.site.settings.classes;
        for entry in self.requests.iter_mut() {
            let is_in_doubt = entry.delivery.connection_broke();
            // A repeatable run is sent again, so that the doubt has no consequences.
            if is_in_doubt && !is_repeatable(classes, entry.class) {
                info!(self.log, "run in doubt"; "uid" => %entry.uid, "class" => entry.class.0,
                    "is_awaited" => entry.responder.is_some());
            }
        }
        self.report_runs_in_doubt();
    }

    /// Sends the command to run a request to the executor. Returns false if the mailbox is full or
    /// this process is about to end.
    pub(super) fn send_run(&mut self, id: RequestId) -> bool {
        if self.has_reported_work() {
            return false;
        }
        let Some(entry) = self.requests.get_mut(id) else {
            return false;
        };
        let class = self.site.class_name(entry.class).to_string();
        if self
            .peers
            .executor
            .try_send(entry.run_command(class))
            .is_err()
        {
            return false;
        }
        self.last_run = RunNumber(self.last_run.0 + 1);
        entry.stage = RequestStage::Running;
        entry.delivery = RunDelivery::Sent {
            number: self.last_run,
            last_reading: self.link.last_tag(),
            is_resent: entry.delivery.number().is_some(),
        };
        true
    }

    /// Resends runs whose commands may have been lost, once all notices from before the break have
    /// been read. A run that may safely be repeated is sent again, which has no effect if it is
    /// already running. A run that must happen only once is never sent a second time; if its
    /// command was lost, the request fails at its deadline.
    pub(super) fn resend_lost_runs(&mut self) {
        if !self.link.is_caught_up() {
            return;
        }
        let classes = &self.site.settings.classes;
        let may_be_resent = |entry: &RequestEntry| {
            let is_awaited = entry.responder.is_some() && entry.stage == RequestStage::Running;
            is_awaited
                && entry.delivery.may_be_lost_with_connection()
                && is_repeatable(classes, entry.class)
        };
        for id in self.requests.ids_matching(may_be_resent) {
            // If the mailbox is full, the next sweep tries again.
            self.send_run(id);
        }
    }

    /// Handles the executor's rejection of the command to run a request. The request fails. As an
    /// earlier copy of the command may be running, the run keeps occupying its slot until that is
    /// known.
    pub(super) fn run_rejected(&mut self, uid: RequestUid) {
        self.rate_limited.rejected_run.log(|suppressed| {
            warn!(self.log, "the executor rejected a run"; "uid" => %uid, "suppressed" => suppressed);
        });
        let Some(id) = self.requests.find(uid) else {
            return;
        };
        self.answer(id, Outcome::Failed(Failure::Internal));
        let (last_run, last_reading) = (self.last_run, self.link.last_tag());
        if let Some(entry) = self.requests.get_mut(id) {
            entry.delivery.rejected();
            entry.delivery.begin_generation(last_run, last_reading);
        }
        self.report_runs_in_doubt();
    }

    pub(super) fn run_ended(&mut self, uid: RequestUid, report: RunReport) {
        self.record_ended_run(uid, &report);
        let end_of_run = match report {
            RunReport::Succeeded(payload) => EndOfRun {
                run_outcome: RunOutcome::Served,
                request_outcome: Outcome::Served(payload.clone()),
                result: Some(RunResult::Served(payload)),
            },
            RunReport::Failed => failed_with(RunOutcome::Failed),
            RunReport::Stopped => failed_with(RunOutcome::Stopped),
            RunReport::NeverStarted => never_started(),
        };
        self.finish_run(uid, end_of_run);
    }

    /// Records a run that has ended by itself. It shows that the cores made progress, which is
    /// evidence about earlier runs in doubt.
    fn record_ended_run(&mut self, uid: RequestUid, report: &RunReport) {
        let ended_by_itself = matches!(report, RunReport::Succeeded(_) | RunReport::Failed);
        let id = self.requests.find(uid).filter(|_| ended_by_itself);
        let number = id.and_then(|id| self.requests.get_mut(id)?.delivery.number());
        if let Some(number) = number {
            self.requests.record_ended_run(number);
            self.inherited.delivery.other_run_ended(number);
        }
    }

    /// Ends a run: answers the request and those that joined it if they have not been answered yet,
    /// notifies the policy, and keeps the result under the request's key, if it has one.
    pub(super) fn finish_run(&mut self, uid: RequestUid, end_of_run: EndOfRun) {
        let Some(id) = self.requests.find(uid) else {
            return debug!(self.log, "end reported for a run that has already ended"; "uid" => %uid);
        };
        let EndOfRun {
            run_outcome,
            request_outcome,
            result,
        } = end_of_run;
        if self
            .requests
            .get_mut(id)
            .is_some_and(|entry| entry.has_called)
        {
            (self.peers.run_ended)(uid);
        }
        let joined = self.record_result(id, result);
        self.answer(id, request_outcome.clone());
        self.answer_joined(joined, &request_outcome);
        self.remove(id);
        self.queue_event(Event::RunEnded(id, run_outcome));
    }

    /// Keeps the result of a run under its request's key and returns the requests that joined it.
    fn record_result(&mut self, id: RequestId, result: Option<RunResult>) -> Vec<RequestId> {
        let Some(result) = result else {
            let joined = self.requests.keys.release_unrun(id.0);
            return joined.into_iter().map(RequestId).collect();
        };
        let result = match result {
            // A request that runs at most once has no repeat that would be served from the result.
            RunResult::Served(_) if self.idempotency(id) != Some(Idempotency::ByKey) => {
                RunResult::Failed
            }
            result => result,
        };
        let size = match &result {
            RunResult::Served(payload) => payload.as_base64().len(),
            RunResult::Failed => 0,
        };
        let joined = self.requests.keys.finish(id.0, result, size);
        joined.into_iter().map(RequestId).collect()
    }
}

/// Returns true if a request of this class may run any number of times.
fn is_repeatable(classes: &[Class], class: ClassId) -> bool {
    let class = classes.get(class.0);
    class.is_some_and(|c| c.idempotency == Idempotency::Idempotent)
}

/// Returns the end of a run that failed or was stopped.
fn failed_with(run_outcome: RunOutcome) -> EndOfRun {
    EndOfRun {
        run_outcome,
        request_outcome: Outcome::Failed(Failure::RunFailed),
        result: Some(RunResult::Failed),
    }
}

/// Returns the end of a run that certainly never started.
fn never_started() -> EndOfRun {
    EndOfRun {
        run_outcome: RunOutcome::NeverStarted,
        request_outcome: Outcome::Failed(Failure::Internal),
        result: None,
    }
}
