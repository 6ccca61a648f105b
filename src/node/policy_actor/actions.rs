//! Execution of the policy's actions.

use std::cmp::Reverse;
use std::time::Instant;

use idempotency::Micros;
use policy::{Action, Event, Idempotency, RequestId, RunOutcome, Span};
use slog::info;

use super::{to_duration, PolicyActor};
use crate::node::{steady_now, ExecutorCommand, Failure, Outcome};

impl PolicyActor {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(id),
            Action::Stop(id) => self.stop_run(id),
            Action::Reject {
                id,
                retry_after,
                give_up,
            } => self.reject(id, retry_after, give_up),
            Action::Fail(id) => self.fail(id),
            Action::Call(id, timeout) => self.start_call(id, timeout),
            Action::SkipCall(id) => self.skip_call(id),
            Action::Join(id) => self.join_repeated(id),
            Action::RememberKey(id, window) => {
                self.requests
                    .keys
                    .extend_window(id.0, Micros((steady_now() + window).0));
            }
            // The key of a request that never ran is removed with it, in the same batch.
            Action::ForgetKey(_) => {}
            Action::SetHealth(is_accepting) => self.status.set_accepting(is_accepting),
            Action::SetCapacityHint(hint) => self.status.set_capacity_hint(hint),
            Action::CloseIdleConnections(timeout) => self.status.set_idle_timeout(timeout),
            Action::WakeIn(delay) => {
                let wake_at = Instant::now() + to_duration(delay);
                self.wake_ups.push(Reverse(wake_at));
            }
            Action::Log(text) => info!(self.log, "{}", text),
        }
    }

    /// Sends a queued request to the executor. The request is rejected if the mailbox is full. It
    /// is also rejected if the executor is silent and the command could not be sent again, as a run
    /// that was lost would keep occupying its slot for a long time.
    fn start_run(&mut self, id: RequestId) {
        let is_repeatable = self.idempotency(id) == Some(Idempotency::Idempotent);
        let silence = self.link.silence(Instant::now());
        let may_be_sent =
            is_repeatable || silence < self.limits.policy.max_silence_for_nonrepeatable_runs;
        if self.requests.get_queued(id).is_none() {
            return;
        }
        if !is_repeatable && self.has_run_at_sibling(id) {
            self.refuse_run(id, Outcome::Failed(Failure::MayHaveRun));
        } else if may_be_sent && self.send_run(id) {
            self.requests.keys.mark_running(id.0);
        } else {
            let retry_after = self.site.settings.max_retry_after;
            self.refuse_run(id, Outcome::rejected(retry_after));
        }
    }

    /// Answers a request whose run is not started.
    fn refuse_run(&mut self, id: RequestId, outcome: Outcome) {
        self.answer_early(id, outcome);
        self.queue_event(Event::RunEnded(id, RunOutcome::NeverStarted));
    }

    /// Stops a run, unless its class is idempotent by key: the next attempt with the key is
    /// answered with the result of this run, and would find none if it were stopped.
    fn stop_run(&mut self, id: RequestId) {
        if self.idempotency(id) == Some(Idempotency::ByKey) {
            return;
        }
        if let Some(entry) = self.requests.get_mut(id).filter(|e| e.was_sent()) {
            // If the command is lost, the next sweep sends it again.
            let _ = self
                .peers
                .executor
                .try_send(ExecutorCommand::Stop(entry.uid));
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Span, is_final: bool) {
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        let class = self.site.settings.classes.get(entry.class.0);
        let is_repeatable = class.is_some_and(|c| c.idempotency == Idempotency::Idempotent);
        let outcome = if entry.was_sent() && !is_repeatable {
            Outcome::Failed(Failure::GivenUp)
        } else {
            Outcome::Rejected {
                retry_after,
                is_final,
            }
        };
        self.answer_early(id, outcome);
    }

    fn fail(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        let failure = match entry.repeats {
            Some(_) => Failure::MayHaveRun,
            None => Failure::GivenUp,
        };
        self.answer_early(id, Outcome::Failed(failure));
    }
}
