//! Calls to the dependency: how many may be in flight, which request makes the next one, and its
//! timeout.

use crate::request::{Phase, NEVER};
use crate::{Action, CallOutcome, Class, Dependency, Idempotency, Policy, RequestId, Span};

/// Fraction of the call quota that is used: a dependency slows down well before it fails.
pub(crate) const CALL_QUOTA_FRACTION: f64 = 0.9;
/// The dependency is slow if its recent calls take more than this multiple of their best mean.
const SLOW_CALL_MULTIPLE: f64 = 2.0;
/// Fraction of the call quota that is used while the dependency is slow: more calls in flight would
/// slow it further.
const CALL_QUOTA_FRACTION_WHEN_SLOW: f64 = 0.25;
/// A call is treated as lost after this multiple of the best mean, well beyond the duration of a
/// call at a slow dependency.
const CALL_TIMEOUT_MULTIPLE: f64 = 80.0;
/// Highest slowdown of calls ever observed, as a multiple of the best mean. A call is overdue only
/// after the duration of a long call at this slowdown.
const SLOWEST_CALL_MULTIPLE: f64 = 8.0;
/// Mean deviations by which a long call exceeds the mean.
const LONG_CALL_DEVIATIONS: f64 = 2.0;
/// A call is also overdue only if it exceeds the recent mean by this many mean deviations, which
/// hardly one call in a thousand does.
const OVERDUE_DEVIATIONS: f64 = 8.0;
/// The dependency is losing answers if, during an overdue call, this many other calls have
/// succeeded for each timely call in flight, plus one. If it is merely slow, so are all calls, and
/// late ones are not overtaken.
const OVERTAKING_CALLS: f64 = 4.0;
/// Once the dependency has lost an answer, more are expected to be lost for this many of the
/// quota's windows.
const LOSSY_WINDOWS: f64 = 8.0;

impl Policy {
    pub(crate) fn end_call(&mut self, id: RequestId, result: CallOutcome, took: Span, out: &mut Vec<Action>) {
        let was_overdue = self.requests.get(&id).is_some_and(|request| request.is_call_overdue);
        let has_failed = result == CallOutcome::Failed;
        let decay_span_ms = self.settings.concurrency_window.ms();
        self.calls.record_end(took.ms(), has_failed, was_overdue, decay_span_ms);
        if has_failed {
            self.calls.abandon(self.now + self.settings.abandoned_call_linger);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        match result {
            CallOutcome::Succeeded => request.failed_calls = 0,
            CallOutcome::Failed => request.failed_calls += 1,
            CallOutcome::NotExecuted => {}
        }
        let request = &self.requests[&id];
        if result == CallOutcome::Succeeded {
            self.calls.record_success(took.ms());
            return self.set_phase(id, Phase::OnCore);
        }
        // If it is safe, a failed call is retried, but not before the time that it took has passed
        // again.
        let class = &self.settings.classes[request.class];
        let may_retry = result == CallOutcome::NotExecuted || class.idempotency == Idempotency::Idempotent;
        let backoff_ms = took.ms().max(class.latency_objective.ms() / 16.0);
        let not_before = if may_retry { self.now + Span::from_ms(backoff_ms) } else { NEVER };
        self.set_phase(id, Phase::WaitingToCall(not_before));
        if !may_retry {
            self.fail_request(id, out);
        }
    }

    pub(crate) fn make_calls(&mut self, out: &mut Vec<Action>) {
        self.exclude_overdue_calls();
        let slowdown = self.slowdown();
        for id in self.requests_waiting_to_call() {
            if !self.can_sustain_another_run() {
                break;
            }
            self.make_or_skip_call(id, slowdown, out);
        }
    }

    /// Excludes calls whose answers must be lost from the duration statistics.
    fn exclude_overdue_calls(&mut self) {
        let (now, succeeded, long_ms) = (self.now, self.calls.succeeded, self.overdue_call_ms());
        let calling = self.requests.values_mut().filter(|r| r.phase == Phase::Calling && !r.is_call_overdue);
        let (late, timely): (Vec<_>, Vec<_>) = calling.partition(|r| (now - r.called_at).ms() > long_ms);
        let overtaken = OVERTAKING_CALLS * (timely.len() + 1) as f64;
        if late.iter().any(|r| (succeeded - r.successes_before_call) as f64 >= overtaken) {
            let lossy_ms = LOSSY_WINDOWS * self.settings.call_quota_window.ms();
            self.observed.lossy_until = now + Span::from_ms(lossy_ms);
        }
        if now < self.observed.lossy_until {
            for request in late {
                request.is_call_overdue = true;
                let elapsed_ms = (now - request.called_at).ms();
                self.calls.exclude_overdue(elapsed_ms, self.settings.concurrency_window.ms());
            }
        }
    }

    /// Returns the requests that may call now, those first whose answers still have the most
    /// weight.
    fn requests_waiting_to_call(&self) -> Vec<RequestId> {
        let mut waiting = Vec::new();
        for (id, request) in &self.requests {
            let Phase::WaitingToCall(not_before) = request.phase else { continue };
            if !request.is_run_awaited() || not_before > self.now {
                continue;
            }
            let class = &self.settings.classes[request.class];
            let fraction = if request.objective_at > self.now { 1.0 } else { class.late_weight_fraction };
            let weight = class.priority_weight * fraction * self.tenant_weight_fraction(request.tenant);
            waiting.push((weight, request.objective_at, *id));
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        waiting.into_iter().map(|(_, _, id)| id).collect()
    }

    fn make_or_skip_call(&mut self, id: RequestId, slowdown: f64, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let work_ms = self.estimates[request.class].runs.work_ms(request.size) * slowdown;
        let slack_ms = (request.objective_at - self.now).ms() - (work_ms / 3.0).max(1.0);
        let may_skip = class.skipped_call_weight_fraction > class.late_weight_fraction && slack_ms > 0.0;
        if may_skip && slack_ms <= self.calls.durations.mean_ms() {
            // An answer in time without the call has more weight than a complete one that is late.
            out.push(Action::SkipCall(id));
            return self.set_phase(id, Phase::OnCore);
        }
        // The limit applies to the mean. It also applies to the current number of calls, where at
        // least one is always allowed.
        let limit = self.call_limit();
        let in_flight = self.calls.in_flight() - self.calls.superseded_calls(request.failed_calls);
        if self.calls.mean_in_flight >= limit || in_flight + 1.0 > limit.max(1.0) {
            return;
        }
        let until_deadline_ms = (request.run_deadline - self.now).ms();
        let timeout_ms = if may_skip { slack_ms } else { until_deadline_ms.min(self.call_timeout_ms(class)) };
        out.push(Action::Call(id, Span::from_ms(timeout_ms.max(1.0))));
        if let Some(request) = self.requests.get_mut(&id) {
            request.calls_made += 1.0;
            request.called_at = self.now;
            request.successes_before_call = self.calls.succeeded;
        }
        self.set_phase(id, Phase::Calling);
    }

    /// Returns the limit on the mean number of calls in flight, which may be less than one. If all
    /// servers respect it, the dependency neither fails nor is loaded far beyond its optimum. The
    /// limit wastes capacity while other servers are idle.
    pub(crate) fn call_limit(&self) -> f64 {
        if self.settings.dependency != Dependency::Shared || self.settings.call_quota <= 0.0 {
            return f64::MAX;
        }
        let quota_fraction =
            if self.is_dependency_slow() { CALL_QUOTA_FRACTION_WHEN_SLOW } else { CALL_QUOTA_FRACTION };
        self.settings.call_quota * quota_fraction
    }

    pub(crate) fn is_dependency_slow(&self) -> bool {
        // The mean of few calls is uncertain, so the threshold is higher the fewer calls have
        // completed. In addition, calls must have accumulated on this server.
        let durations = &self.calls.durations;
        let uncertainty = 1.0 + 1.0 / durations.completed().max(0.1).sqrt();
        let is_backed_up =
            self.calls.mean_in_flight > CALL_QUOTA_FRACTION_WHEN_SLOW / 2.0 * self.settings.call_quota;
        let is_slow = durations.mean_ms() > SLOW_CALL_MULTIPLE * uncertainty * durations.best_mean_ms();
        is_backed_up && self.settings.dependency == Dependency::Shared && is_slow
    }

    /// Returns the time in ms that a request waits for its call behind `calls_ahead` others: for
    /// its turn or for the quota's mean, whichever takes longer.
    pub(crate) fn call_wait_ms(&self, calls_ahead: f64) -> f64 {
        let limit = self.call_limit().min(1e9);
        let call_ms = self.calls.durations.mean_ms();
        let parallel_calls = limit.max(1.0);
        let for_turn_ms = (calls_ahead - parallel_calls) * call_ms / parallel_calls;
        let quota_ms = (limit - self.calls.mean_in_flight) * self.settings.call_quota_window.ms();
        for_turn_ms.max((calls_ahead * call_ms - quota_ms) / limit).max(0.0)
    }

    fn overdue_call_ms(&self) -> f64 {
        let durations = &self.calls.durations;
        let deviation = durations.relative_deviation();
        let slowest_ms =
            SLOWEST_CALL_MULTIPLE * durations.best_mean_ms() * (1.0 + LONG_CALL_DEVIATIONS * deviation);
        slowest_ms.max(durations.mean_ms() * (1.0 + OVERDUE_DEVIATIONS * deviation))
    }

    /// Returns the timeout of a call, so that a call whose answer is lost does not occupy its slot
    /// until its request's deadline. The timeout is longer if the call cannot be repeated.
    fn call_timeout_ms(&self, class: &Class) -> f64 {
        let timeout_factor = if class.idempotency == Idempotency::Idempotent { 1.0 } else { 2.0 };
        let healthy_ms = CALL_TIMEOUT_MULTIPLE * self.calls.durations.best_mean_ms();
        let loses_answers = self.now < self.observed.lossy_until;
        let timeout_ms = if loses_answers { self.overdue_call_ms() } else { healthy_ms };
        timeout_ms.max(class.latency_objective.ms() / 4.0) * timeout_factor
    }
}
