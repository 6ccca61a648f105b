//! Database calls of running requests. The executor requests them, the policy decides on them, and
//! the database actor makes them.

use std::time::Duration;

use policy::{CallOutcome, Event, RequestId, Span};
use slog::warn;

use super::{to_duration, to_span, PolicyActor};
use crate::node::request_table::{RequestEntry, RequestStage};
use crate::node::{CallResult, DatabaseCall, ExecutorCommand, Payload, RequestUid};

impl PolicyActor {
    /// Records that a run waits for a call, on which the policy decides.
    pub(super) fn call_requested(&mut self, uid: RequestUid, notice: u64, payload: Payload) {
        let Some(id) = self.requests.find(uid) else {
            return;
        };
        if let Some(entry) = self.requests.get_mut(id) {
            entry.delivery.run_reported();
            entry.stage = RequestStage::AwaitingCall { payload, notice };
            self.queue_event(Event::CallRequested(id));
        }
    }

    /// Starts the call that a run waits for. A call that finds the mailbox of the database actor
    /// full counts as never made.
    pub(super) fn start_call(&mut self, id: RequestId, timeout: Span) {
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        let RequestStage::AwaitingCall { payload, notice } = &entry.stage else {
            return;
        };
        let (payload, notice) = (payload.clone(), *notice);
        let call = DatabaseCall {
            id,
            uid: entry.uid,
            payload: payload.clone(),
            timeout: to_duration(timeout),
        };
        entry.stage = RequestStage::Calling { payload, notice };
        entry.has_called = true;
        if self.has_reported_work() || !(self.peers.database)(call) {
            self.call_ended(id, CallResult::NeverRan, Duration::ZERO);
        }
    }

    /// Lets a run continue without the call that it waits for.
    pub(super) fn skip_call(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        let RequestStage::AwaitingCall { notice, .. } = entry.stage else {
            return;
        };
        entry.stage = RequestStage::Running;
        let uid = entry.uid;
        // If the command is lost, the request fails at its deadline.
        let _ = self
            .peers
            .executor
            .try_send(ExecutorCommand::SkipCall { uid, notice });
    }

    /// Returns a call's reply to its run. Without a reply, the policy decides on the call again.
    pub(super) fn call_ended(&mut self, id: RequestId, result: CallResult, elapsed: Duration) {
        let must_not_continue = self.has_reported_work();
        let is_calling =
            |entry: &&mut RequestEntry| matches!(entry.stage, RequestStage::Calling { .. });
        let Some(entry) = self.requests.get_mut(id).filter(is_calling) else {
            return;
        };
        let outcome = match result {
            // The run must not continue, as it is not among the runs that this process has reported
            // as on the cores.
            CallResult::Reply(_) if must_not_continue => return,
            CallResult::Reply(payload) => {
                entry.stage = RequestStage::Running;
                let uid = entry.uid;
                let command = ExecutorCommand::ReturnReply { uid, payload };
                if self.peers.executor.try_send(command).is_err() {
                    warn!(self.log, "executor mailbox full: database reply discarded"; "uid" => %uid);
                }
                CallOutcome::Succeeded
            }
            CallResult::NeverRan => {
                entry.stage.await_call_again();
                CallOutcome::NotExecuted
            }
            CallResult::Unknown => {
                entry.stage.await_call_again();
                CallOutcome::Failed
            }
        };
        self.queue_event(Event::CallEnded(id, outcome, to_span(elapsed)));
    }
}
