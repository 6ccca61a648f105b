//! The executor's notices: its connection, and the ends of runs.

use std::time::Duration;

use lifecycle::TOTAL_SHARES;
use policy::{Event, Idempotency, Policy, RequestId, RunOutcome, Settings};
use slog::{debug, info, warn};

use super::{to_span, PolicyActor};
use crate::node::request_table::{RequestStage, RunResult};
use crate::node::{unix_now, ExecutorCommand, Failure, Outcome, RequestUid, RunReport};

/// What the end of a run means for its request.
pub(super) struct EndOfRun {
    /// What the policy is notified of.
    pub(super) end: RunOutcome,
    /// The answer, if none was given yet.
    pub(super) outcome: Outcome,
    /// What is kept under the request's key; `None` if it certainly never ran.
    pub(super) result: Option<RunResult>,
}

impl PolicyActor {
    /// Starts the policy at the first connection; at any later one, asks which notices were lost with the last one.
    pub(super) fn executor_connected(&mut self, is_cold: bool, age: Duration) {
        self.is_connected = true;
        if self.policy.is_some() {
            let tag = self.next_tag();
            let command = ExecutorCommand::ReadGauges { tag };
            let is_sent = self.peers.executor.try_send(command).is_ok();
            self.reconnect_barrier = is_sent.then_some(tag);
            return;
        }
        // Shut down before the executor was there: nothing is accepted any more.
        if self.is_shutting_down {
            return;
        }
        self.start_policy(is_cold, age);
    }

    fn start_policy(&mut self, is_cold: bool, age: Duration) {
        // The policy counts the slow start from the executor's start, which may precede the connection. A warm executor
        // may have been up for hours, which would only run the policy's clocks past all that they measure.
        let age = if is_cold { age } else { Duration::ZERO };
        let settings = Settings {
            starts_cold: is_cold,
            ..self.site.settings.clone()
        };
        let mut policy = match Policy::new(settings, self.seed) {
            Ok(policy) => policy,
            Err(e) => return warn!(self.log, "the settings are not used"; "error" => %e),
        };
        let age = to_span(age);
        let mut actions = Vec::new();
        policy.handle(unix_now() - age, &[], &mut actions);
        self.policy = Some(policy);
        if self.resource_shares != TOTAL_SHARES {
            self.set_resource_shares(self.resource_shares);
        }
        info!(self.log, "executor connected"; "is_cold" => is_cold, "age_ms" => age.ms());
        for action in actions {
            self.perform(action);
        }
        self.status.notify_executor_ready();
    }

    /// Marks the runs whose commands or notices may have been lost.
    pub(super) fn executor_disconnected(&mut self) {
        self.is_connected = false;
        for entry in self.requests.iter_mut().filter(|e| e.was_sent()) {
            entry.is_unconfirmed = true;
        }
    }

    /// Resends the runs that no notice has confirmed, once all notices from before the break have been read. What may
    /// safely run again is sent again, which does nothing if it runs; what must run once is never sent a second time
    /// and, if its command was lost, fails at its deadline.
    pub(super) fn resend_runs(&mut self) {
        for entry in self.requests.iter_mut() {
            let is_unconfirmed = std::mem::take(&mut entry.is_unconfirmed);
            let class = self.site.settings.classes.get(entry.class.0);
            let is_repeatable = class.is_some_and(|c| c.idempotency == Idempotency::Idempotent);
            let is_awaited = entry.responder.is_some() && entry.stage == RequestStage::Running;
            if is_unconfirmed && is_repeatable && is_awaited {
                let class = self.site.class_name(entry.class).to_string();
                // A lost command has its request fail at its deadline.
                let _ = self.peers.executor.try_send(entry.run_command(class));
            }
        }
    }

    /// Rejected by the executor: the request certainly never ran.
    pub(super) fn run_rejected(&mut self, uid: RequestUid) {
        self.rate_limited.rejected_run.log(|suppressed| {
            warn!(self.log, "the executor rejected a run"; "uid" => %uid, "suppressed" => suppressed);
        });
        self.finish_run(uid, never_started());
    }

    pub(super) fn run_ended(&mut self, uid: RequestUid, report: RunReport) {
        let end_of_run = match report {
            RunReport::Succeeded(payload) => EndOfRun {
                end: RunOutcome::Served,
                outcome: Outcome::Served(payload.clone()),
                result: Some(RunResult::Served(payload)),
            },
            RunReport::Failed => failed_with(RunOutcome::Failed),
            RunReport::Stopped => failed_with(RunOutcome::Stopped),
            RunReport::NeverStarted => never_started(),
        };
        self.finish_run(uid, end_of_run);
    }

    /// Ends a run: the request and those that joined it are answered if they are not yet, the policy is notified, and
    /// the result is kept under the request's key, if it has one.
    pub(super) fn finish_run(&mut self, uid: RequestUid, end_of_run: EndOfRun) {
        let Some(id) = self.requests.find(uid) else {
            return debug!(self.log, "end of a run that is over"; "uid" => %uid);
        };
        let EndOfRun {
            end,
            outcome,
            result,
        } = end_of_run;
        let joined = self.record_result(id, result);
        self.answer(id, outcome.clone());
        self.answer_joined(joined, &outcome);
        self.remove(id);
        self.queue_event(Event::RunEnded(id, end));
    }

    /// Keeps the result of a run under its request's key and returns the requests that have joined it.
    fn record_result(&mut self, id: RequestId, result: Option<RunResult>) -> Vec<RequestId> {
        let Some(result) = result else {
            let joined = self.requests.keys.release_unrun(id.0);
            return joined.into_iter().map(RequestId).collect();
        };
        let result = match result {
            // A request that runs at most once has no repeat that would be served.
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

/// The end of a run that failed or was stopped.
fn failed_with(end: RunOutcome) -> EndOfRun {
    EndOfRun {
        end,
        outcome: Outcome::Failed(Failure::RunFailed),
        result: Some(RunResult::Failed),
    }
}

/// The end of a run that certainly never started.
fn never_started() -> EndOfRun {
    EndOfRun {
        end: RunOutcome::NeverStarted,
        outcome: Outcome::Failed(Failure::Internal),
        result: None,
    }
}
