//! Admission: registers new requests, admits or rejects them, answers overdue ones and sheds load
//! while memory is short.

use crate::request::{Phase, RequestState};
use crate::statistics::{tenant_key, INITIAL_WORK_FRACTION};
use crate::{Action, Idempotency, Policy, Preemption, Request, RequestId, Span, Time};

/// Fraction of the memory, and of the sustainable concurrency, that is used; the rest is headroom.
pub(crate) const USABLE_FRACTION: f64 = 0.9;
/// If retries exceed this fraction of the requests read, or rejections this fraction of the
/// decisions, other servers are assumed to reject as well: no server is left to retry on, or to
/// take over the traffic of this one.
pub(crate) const OVERLOADED_FLEET_FRACTION: f64 = 0.125;

impl Policy {
    /// Registers a request that was read, and rejects it unless it may queue for a run.
    pub(crate) fn receive(&mut self, request: &Request, out: &mut Vec<Action>) {
        let id = request.id;
        let state = self.register(request);
        let class = self.settings.classes[state.class].clone();
        let (arrived_at, deadline) = (state.arrived_at, state.deadline);
        self.observed.memory_kb += request.queued_kb;
        self.requests.insert(id, state);
        self.observed.is_schedule_stale = true;
        let in_flight = f64::from(self.in_flight_by_tenant.add(tenant_key(request.tenant), 1));
        if let Some(original) = request.duplicate_of {
            // A duplicate is never rejected, as the run that it duplicates may have taken effect.
            if class.idempotency == Idempotency::AtMostOnce {
                return self.fail_request(id, out);
            }
            self.join_run(id, original);
            return out.push(Action::Join(id));
        }
        let tenant_index = self.observed.traffic.tenant_index(request.tenant);
        if self.exceeds_limits(arrived_at, tenant_index, in_flight) {
            return self.reject(id, out);
        }
        let has_memory =
            USABLE_FRACTION * self.settings.memory_kb - self.memory_in_use_kb() > self.settings.key_kb;
        let shares_result = self.settings.result_sharing_window.0 > 0 && request.has_key && !request.is_write;
        if class.idempotency == Idempotency::ByKey {
            // The key that identifies duplicates must exist before the run, for the whole window.
            if !has_memory {
                return self.reject(id, out);
            }
            self.remember_key(id, arrived_at + class.idempotency_window + self.settings.answer_slack, out);
        } else if shares_result && class.idempotency == Idempotency::Idempotent && has_memory {
            self.remember_key(id, deadline + self.settings.result_sharing_window, out);
        }
    }

    /// Determines the size, objective and deadline of a new request, and adds it to the traffic
    /// statistics.
    fn register(&mut self, request: &Request) -> RequestState {
        let class_index = request.class.0.min(self.settings.classes.len() - 1);
        let class = &self.settings.classes[class_index];
        let objective_ms = class.latency_objective.ms();
        let arrived_at = self.now - request.age;
        let deadline = match request.remaining_wait {
            Some(wait) => self.now + wait,
            None => (arrived_at + class.deadline).max(self.now),
        };
        // The size is in units of the initial work estimate, so that a hint is used unchanged
        // before any run has been observed.
        let unit_ms = (objective_ms * INITIAL_WORK_FRACTION).max(0.001);
        let size = request.work_hint.map_or(1.0, |hint| hint.ms().max(0.001) / unit_ms);
        let estimates = &mut self.estimates[class_index];
        let work_ms = estimates.runs.work_ms(size);
        let extension = Span::from_ms(class.objective_work_multiple * work_ms);
        // A retry's objective counts from its first attempt. The age of that is inferred from the
        // announced wait, or else assumed from the rejections on this server.
        let wait_ms = request.remaining_wait.map(|wait| wait.ms() + request.age.ms());
        let infer_age = |ms| estimates.infer_age(ms, class.deadline.ms(), request.is_retry);
        let inferred_ms = wait_ms.and_then(infer_age);
        let rejected_ms = self.observed.traffic.rejected_attempt_ms.min(objective_ms);
        let assumed_ms = if request.is_retry { rejected_ms } else { 0.0 };
        let first_attempt_at = arrived_at - Span::from_ms(inferred_ms.unwrap_or(assumed_ms));
        let objective_at = (first_attempt_at + class.latency_objective + extension).min(deadline);
        let is_retry = inferred_ms.is_some() || request.is_retry;
        self.observed.traffic.record_arrival(request, class, work_ms, is_retry);
        RequestState {
            class: class_index,
            tenant: request.tenant,
            is_unanswered: true,
            queued_kb: request.queued_kb,
            arrived_at,
            first_attempt_at,
            objective_at,
            deadline,
            run_deadline: deadline,
            size,
            ..RequestState::default()
        }
    }

    /// Returns true if a new request arrived too late for a draining server, or if its tenant has
    /// too many requests in flight, on this server or on all, while requests wait too long.
    fn exceeds_limits(&mut self, arrived_at: Time, tenant_index: usize, in_flight: f64) -> bool {
        let last_arrival = self.observed.drains_from.map(|from| from + self.settings.drain_grace);
        let is_too_late = last_arrival.is_some_and(|last| arrived_at > last);
        let limit = self.settings.concurrency_per_core * self.cores() * self.observed.concurrency_share;
        // Over all servers, a tenant's limit is the part of their limits that corresponds to its
        // allowance, but at least the limit of one server. This disadvantages tenants with long
        // requests.
        let elsewhere = self.observed.in_flight_elsewhere.get(tenant_index);
        let is_over_fleet_limit = elsewhere.is_some_and(|elsewhere| {
            let share = self.observed.servers_counted * self.settings.allowance_fraction(tenant_index);
            in_flight + elsewhere > limit * share.max(1.0)
        });
        let is_queue_late = self.observed.is_queue_late;
        self.fleet_limit_rejections += u64::from(is_queue_late && is_over_fleet_limit);
        is_too_late || is_queue_late && (is_over_fleet_limit || in_flight > limit)
    }

    fn remember_key(&mut self, id: RequestId, expires_at: Time, out: &mut Vec<Action>) {
        if expires_at > self.now {
            self.observed.keys.insert(id, expires_at);
            out.push(Action::RememberKey(id, expires_at - self.now));
        }
    }

    pub(crate) fn reject(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_none_or(|request| request.phase != Phase::Queued) {
            return;
        }
        let Some(request) = self.remove_request(id) else { return };
        // A slow shared dependency is slow for all servers: none would serve a request that has to
        // call it.
        let needs_slow_call = self.estimates[request.class].runs.calls > 0.0 && self.is_dependency_slow();
        let others_reject = self.observed.traffic.retry_fraction > OVERLOADED_FLEET_FRACTION;
        let give_up = request.objective_at <= self.now || needs_slow_call || others_reject;
        let retry_after = self.retry_after();
        let wait_ms = if give_up { retry_after.ms() } else { 0.0 };
        self.observed.traffic.record_rejection((self.now - request.first_attempt_at).ms() + wait_ms);
        out.push(Action::Reject { id, retry_after, give_up });
        self.forget_key(id, out);
    }

    /// Answers every request while an answer is still accepted, whether the request has run or not.
    pub(crate) fn answer_overdue(&mut self, out: &mut Vec<Action>) {
        let interval = self.settings.decision_interval;
        let next_decision = self.now + self.decision_period() + interval + interval;
        let is_stopping = self.observed.stops_at.is_some_and(|stops_at| stops_at < next_decision);
        let mut overdue = Vec::new();
        for (id, request) in &self.requests {
            let is_due = is_stopping || request.deadline + self.settings.answer_slack < next_decision;
            if request.is_unanswered && (is_due || self.has_expired(request)) {
                overdue.push(*id);
            }
        }
        for id in overdue {
            self.fail_request(id, out);
        }
    }

    /// Returns true if a request is past its objective and late answers have no weight in its
    /// class. A run that cannot be stopped does not expire, as its answer costs nothing more.
    fn has_expired(&self, request: &RequestState) -> bool {
        let class = &self.settings.classes[request.class];
        let objective_at = request.objective_at.max(request.arrived_at + class.latency_objective);
        let ends_early = match request.phase {
            Phase::OnCore => self.settings.preemption != Preemption::Unsupported,
            Phase::WaitingToCall(_) | Phase::Calling => true,
            Phase::Queued | Phase::Joined => false,
        };
        ends_early && class.late_weight_fraction == 0.0 && objective_at <= self.now
    }

    /// Returns the number of runs of this size that fit in the usable memory.
    fn max_runs_in_memory(&self, queued_kb: f64) -> f64 {
        let run_kb = queued_kb * self.settings.run_memory_factor.max(1.0);
        (USABLE_FRACTION * self.settings.memory_kb / run_kb.max(1e-9)).floor()
    }

    /// Sheds requests while memory is short: first the newest queued ones, so that idle cores have
    /// memory for runs, and then those that joined a run.
    pub(crate) fn shed_for_memory(&mut self, out: &mut Vec<Action>) {
        loop {
            let newest = |phase| self.requests.iter().rev().find(|(_, request)| request.phase == phase);
            let queued = newest(Phase::Queued);
            let Some((&id, request)) = queued.or_else(|| newest(Phase::Joined)) else { break };
            // If memory cannot hold a run for each core, for example next to another process's
            // runs, it is reserved only for as many runs as fit.
            let usable_cores = self.cores().min(self.max_runs_in_memory(request.queued_kb).max(1.0));
            let idle_cores = queued.map_or(0.0, |_| (usable_cores - self.observed.on_core as f64).max(0.0));
            let runs_kb = idle_cores * request.queued_kb * (self.settings.run_memory_factor - 1.0).max(0.0);
            if self.memory_in_use_kb() + runs_kb <= USABLE_FRACTION * self.settings.memory_kb {
                break;
            }
            self.reject(id, out);
            self.fail_request(id, out);
        }
    }
}
