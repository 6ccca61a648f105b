//! Answers to requests, including requests that are answered from the run of another request.

use std::time::Instant;

use idempotency::JoinOutcome;
use policy::{Event, Idempotency, RequestId, RunOutcome};
use slog::info;

use super::PolicyActor;
use crate::node::request_table::{RequestStage, RunResult};
use crate::node::{Answer, ArrivalId, Failure, Outcome, Responder};

impl PolicyActor {
    /// Sends an answer with the present capacity hint.
    pub(super) fn respond(&self, responder: Responder, outcome: Outcome) {
        responder.answer(Answer {
            outcome,
            capacity_hint: self.status.capacity_hint(),
        });
    }

    /// Answers a request that has not been answered yet.
    pub(super) fn answer(&mut self, id: RequestId, outcome: Outcome) {
        let Some(responder) = self.take_responder(id) else {
            return;
        };
        if let (Outcome::Failed(failure), Some(entry)) = (&outcome, self.requests.get_mut(id)) {
            info!(self.log, "request failed"; "uid" => %entry.uid, "class" => entry.class.0,
                "reason" => failure.reason(), "stage" => entry.stage.name());
        }
        self.respond(responder, outcome);
    }

    /// Takes the responder of a request that has not been answered yet, and counts the request as
    /// answered.
    fn take_responder(&mut self, id: RequestId) -> Option<Responder> {
        let entry = self.requests.get_mut(id)?;
        let responder = entry.responder.take()?;
        entry.answered_at = Some(Instant::now());
        if let Some((fleet, key)) = self.peers.fleet.as_ref().zip(entry.fleet_key) {
            fleet.own.decrement(key);
        }
        self.status.remove_unanswered();
        Some(responder)
    }

    /// Answers a request. A request that never ran is also removed from the request table; one that
    /// was sent to run stays there until its run ends.
    pub(super) fn answer_early(&mut self, id: RequestId, outcome: Outcome) {
        self.answer(id, outcome);
        self.remove_unless_sent(id);
    }

    /// Discards the responder of a request whose caller has stopped waiting. The policy decides
    /// whether the run continues.
    pub(super) fn caller_stopped_waiting(&mut self, arrival: ArrivalId) {
        let Some(id) = self.requests.find_arrival(arrival) else {
            return;
        };
        self.log_cancellation(id);
        self.discard_responder(id);
    }

    /// Drops the requests with these arrivals that were not sent to run, as their connection is
    /// closed. The runs of the others continue, and their answers are dropped.
    pub(super) fn client_disconnected(&mut self, arrivals: &[ArrivalId]) {
        let mut dropped = 0_usize;
        for arrival in arrivals {
            let id = self.requests.find_arrival(*arrival);
            if let Some(id) = id.filter(|id| self.requests.is_queued_for_itself(*id)) {
                self.discard_responder(id);
                dropped += 1;
            }
        }
        if dropped > 0 {
            self.rate_limited.disconnect.log(|suppressed| {
                info!(self.log, "queued requests of a closed connection dropped"; "dropped" => dropped,
                    "suppressed" => suppressed);
            });
        }
    }

    fn discard_responder(&mut self, id: RequestId) {
        let Some(responder) = self.take_responder(id) else {
            return;
        };
        responder.discard();
        self.queue_event(Event::CallerStoppedWaiting(id));
        self.remove_unless_sent(id);
    }

    fn log_cancellation(&mut self, id: RequestId) {
        if let Some(entry) = self.requests.get_mut(id) {
            self.rate_limited.cancellation.log(|suppressed| {
                info!(self.log, "request cancelled"; "uid" => %entry.uid, "arrival" => %entry.arrival,
                    "stage" => entry.stage.name(), "suppressed" => suppressed);
            });
        }
    }

    fn remove_unless_sent(&mut self, id: RequestId) {
        if self.requests.get_mut(id).is_some_and(|e| !e.was_sent()) {
            self.remove(id);
        }
    }

    /// Removes a request from the table. If it never ran, the requests that joined it never ran
    /// either and are rejected.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.remember_run(id);
        let joined = self.requests.remove(id);
        let rejected = Outcome::rejected(self.site.settings.max_retry_after);
        self.answer_joined(joined, &rejected);
    }

    /// Remembers the id of a request that was sent to run and must not run twice.
    fn remember_run(&mut self, id: RequestId) {
        let idempotency = self.idempotency(id);
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        if entry.was_sent() && idempotency != Some(Idempotency::Idempotent) {
            self.ended_runs.record(entry.uid, Instant::now());
        }
    }

    /// Answers the requests that joined a request that has ended.
    pub(super) fn answer_joined(&mut self, joined: Vec<RequestId>, outcome: &Outcome) {
        for id in joined {
            self.finish_joined(id, outcome.clone());
        }
    }

    fn finish_joined(&mut self, id: RequestId, outcome: Outcome) {
        let end = match outcome {
            Outcome::Served(_) => RunOutcome::Served,
            _ => RunOutcome::Failed,
        };
        self.answer(id, outcome);
        self.remove(id);
        self.queue_event(Event::RunEnded(id, end));
    }

    /// Answers a queued request from the run of the request that it repeats, once that run has
    /// ended.
    pub(super) fn join_repeated(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_queued(id) else {
            return;
        };
        let Some(original) = entry.repeats else {
            return;
        };
        entry.stage = RequestStage::Joined;
        let outcome = match self.requests.keys.join(id.0, original.0) {
            JoinOutcome::Waiting => return,
            JoinOutcome::Finished(RunResult::Served(payload)) => Outcome::Served(payload),
            JoinOutcome::Finished(RunResult::Failed) => Outcome::Failed(Failure::MayHaveRun),
            JoinOutcome::NeverRan => Outcome::rejected(self.site.settings.max_retry_after),
        };
        self.finish_joined(id, outcome);
    }
}
