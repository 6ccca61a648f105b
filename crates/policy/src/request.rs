//! The state of a request from its arrival to its removal, and all changes of that state.

use crate::statistics::{tenant_key, CoreTime};
use crate::{Action, Idempotency, Policy, Preemption, RequestId, RunOutcome, TenantId, Time};

/// A time that does not come.
pub(crate) const NEVER: Time = Time(i64::MAX);

/// The phase of a request. Only a queued request can be rejected or run, and both end that phase.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum Phase {
    #[default]
    Queued,
    /// The request waits for the result of the run that it duplicates.
    Joined,
    OnCore,
    /// The run waits for permission to call the dependency, which it does not get before this time;
    /// [`NEVER`] after a failed call that must not be repeated.
    WaitingToCall(Time),
    Calling,
}

impl Phase {
    fn is_running(self) -> bool {
        !matches!(self, Phase::Queued | Phase::Joined)
    }
}

#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) class: usize,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) phase: Phase,
    /// True until the request is answered or its caller stops waiting.
    pub(crate) is_unanswered: bool,
    /// The request whose run this one has joined.
    pub(crate) duplicate_of: Option<RequestId>,
    /// Number of unanswered requests that have joined this request's run.
    pub(crate) unanswered_duplicates: usize,
    pub(crate) queued_kb: f64,
    pub(crate) arrived_at: Time,
    /// Time at which the first attempt is assumed to have begun.
    pub(crate) first_attempt_at: Time,
    pub(crate) objective_at: Time,
    pub(crate) deadline: Time,
    /// Latest deadline of this request and those that have joined its run.
    pub(crate) run_deadline: Time,
    /// Work according to the request's hint, in units of the class's initial estimate; 1 without a
    /// hint.
    pub(crate) size: f64,
    pub(crate) core_time: CoreTime,
    pub(crate) calls_made: f64,
    /// Number of consecutive failed calls. The dependency may have them in progress until a later
    /// call is answered.
    pub(crate) failed_calls: usize,
    /// Time at which the last call began, and the number of the server's calls that had succeeded
    /// by then.
    pub(crate) called_at: Time,
    pub(crate) successes_before_call: u64,
    pub(crate) is_call_overdue: bool,
    pub(crate) had_slot: bool,
}

impl RequestState {
    /// Returns true if any caller waits for the end of the run. Otherwise the run is abandoned and
    /// only occupies capacity.
    pub(crate) fn is_run_awaited(&self) -> bool {
        self.is_unanswered || self.unanswered_duplicates > 0
    }
}

impl Policy {
    /// Joins a request to the run of the request that it duplicates.
    pub(crate) fn join_run(&mut self, id: RequestId, original: RequestId) {
        self.set_phase(id, Phase::Joined);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.duplicate_of = Some(original);
        let deadline = request.deadline;
        let Some(original) = self.requests.get_mut(&original) else { return };
        original.unanswered_duplicates += 1;
        original.run_deadline = original.run_deadline.max(deadline);
    }

    /// Changes the phase of a request, and updates counts, memory and core time. Phases are changed
    /// nowhere else.
    pub(crate) fn set_phase(&mut self, id: RequestId, phase: Phase) {
        let clock_ms = self.observed.cores.clock_ms();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::OnCore {
            request.core_time.stop(clock_ms);
            self.observed.on_core -= 1;
        }
        self.calls.in_progress -= usize::from(request.phase == Phase::Calling);
        self.calls.overdue -= usize::from(std::mem::take(&mut request.is_call_overdue));
        if phase == Phase::OnCore {
            request.core_time.start(clock_ms);
            self.observed.on_core += 1;
        }
        self.calls.in_progress += usize::from(phase == Phase::Calling);
        let starts = i32::from(phase.is_running()) - i32::from(request.phase.is_running());
        let run_kb = request.queued_kb * (self.settings.run_memory_factor - 1.0);
        self.observed.memory_kb += run_kb * f64::from(starts);
        self.observed.is_schedule_stale = true;
        request.phase = phase;
    }

    /// Marks a request as answered and no longer in flight for its tenant. Returns false if it
    /// already was.
    fn mark_answered(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let was_unanswered = std::mem::take(&mut request.is_unanswered);
        if !was_unanswered {
            return false;
        }
        self.in_flight_by_tenant.add(tenant_key(request.tenant), -1);
        let original = request.duplicate_of;
        if let Some(original) = original.and_then(|original| self.requests.get_mut(&original)) {
            original.unanswered_duplicates -= 1;
        }
        true
    }

    pub(crate) fn remove_request(&mut self, id: RequestId) -> Option<RequestState> {
        self.set_phase(id, Phase::Queued);
        self.mark_answered(id);
        let request = self.requests.remove(&id)?;
        self.observed.memory_kb -= request.queued_kb;
        Some(request)
    }

    /// Forgets the key of a request that never ran, as there is no effect to protect from
    /// repetition.
    pub(crate) fn forget_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.observed.keys.remove(&id).is_some() {
            out.push(Action::ForgetKey(id));
        }
    }

    /// Sends the final answer of a request that may have run, and abandons the request.
    pub(crate) fn fail_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let retry_after = self.retry_after();
        if !self.mark_answered(id) {
            return;
        }
        // If the request may run again, a rejection can say more: no server can serve it in time
        // any more.
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let is_too_late = request.objective_at <= self.now && class.late_weight_fraction == 0.0;
        if is_too_late && class.idempotency == Idempotency::Idempotent {
            out.push(Action::Reject { id, retry_after, give_up: true });
        } else {
            out.push(Action::Fail(id));
        }
        self.abandon_request(id, out);
    }

    pub(crate) fn cancel_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.mark_answered(id) {
            self.abandon_request(id, out);
        }
    }

    /// Removes an abandoned request that is not running, and stops the run that nobody waits for
    /// any more.
    fn abandon_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let run = request.duplicate_of.unwrap_or(id);
        if !request.phase.is_running() {
            self.remove_request(id);
            self.forget_key(id, out);
        }
        self.stop_unless_awaited(run, out);
    }

    fn stop_unless_awaited(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_stop = self.settings.preemption != Preemption::Unsupported;
        if may_stop && request.phase == Phase::OnCore && !request.is_run_awaited() {
            out.push(Action::Stop(id));
        }
    }

    /// Removes a request whose run has ended, and updates the estimates.
    pub(crate) fn end_run(&mut self, id: RequestId, outcome: RunOutcome) {
        let phase = self.requests.get(&id).map(|request| request.phase);
        if phase == Some(Phase::Calling) {
            self.calls.abandon(self.now + self.settings.abandoned_call_linger);
        }
        let is_awaited = self.requests.get(&id).is_some_and(|request| request.is_unanswered);
        let Some(request) = self.remove_request(id) else { return };
        if outcome == RunOutcome::NeverStarted {
            // The run used no core time after all, so none of it may count as slowdown.
            self.observed.cores.remove_core_time(request.core_time.used_ms());
        }
        if outcome == RunOutcome::Served && phase == Some(Phase::OnCore) {
            let runs = &mut self.estimates[request.class].runs;
            // The duration of an abandoned run shows what delayed it, for example a hang, and not
            // its work.
            let work_ms = if is_awaited {
                runs.record(request.size, request.core_time.used_ms(), request.calls_made)
            } else {
                runs.work_ms(request.size)
            };
            self.observed.cores.record_completed_work(work_ms);
        }
    }
}
