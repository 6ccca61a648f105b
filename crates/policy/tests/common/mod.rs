//! Settings, requests and helpers shared by the tests.
#![allow(dead_code)] // Each test program uses only some of them.

use policy::*;

pub(crate) fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(6000.0),
        idempotency,
        late_weight_fraction: 0.0,
        idempotency_window: Span::from_ms(5000.0),
        priority_weight: 1.0,
        objective_work_multiple: 0.0,
        may_call: true,
        skipped_call_weight_fraction: 0.0,
    }
}

/// Three classes: 0 is idempotent, 1 is idempotent by its key, 2 is not idempotent. Two tenants.
pub(crate) fn settings() -> Settings {
    Settings {
        cores: 2,
        decision_interval: Span::from_ms(2.0),
        servers: 4,
        callers: 3,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::ByKey),
            class(Idempotency::AtMostOnce),
        ],
        tenants: vec![Tenant { allowance_per_s: 8.0 }, Tenant { allowance_per_s: 8.0 }],
        over_share_weight_fraction: 0.1,
        weight_per_work: false,
        memory_kb: 2000.0,
        run_memory_factor: 4.0,
        key_kb: 5.0,
        dependency: Dependency::Shared,
        call_quota: 4.0,
        call_quota_window: Span::from_ms(5000.0),
        abandoned_call_linger: Span::from_ms(200.0),
        result_sharing_window: Span(0),
        preemption: Preemption::DiscardsWork,
        capacity_hint: CapacityHint::Allowance,
        capacity_hint_lifetime: Span::from_ms(1000.0),
        endpoint_lists_follow_health: true,
        starts_cold: false,
        start_capacity: 0.2,
        warm_up: Span::from_ms(10_000.0),
        answer_slack: Span::from_ms(60.0),
        drain_grace: Span::from_ms(1000.0),
        concurrency_per_core: 5.0,
        concurrency_window: Span::from_ms(2000.0),
        max_retry_after: Span::from_ms(1000.0),
        caller_idle_timeout: Span::from_ms(30_000.0),
    }
}

pub(crate) fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: Some(TenantId(id % 2)),
        has_key: false,
        remaining_wait: None,
        work_hint: None,
        queued_kb: 10.0,
        is_retry: false,
        is_write: false,
        caller: CallerId(id % 3),
        age: Span(0),
        duplicate_of: None,
    }
}

/// A policy and its clock in milliseconds.
pub(crate) struct Server {
    pub policy: Policy,
    pub now: f64,
}

impl Server {
    pub(crate) fn new(settings: Settings) -> Server {
        Server { policy: Policy::new(settings, 7).expect("settings are valid"), now: 1000.0 }
    }
    pub(crate) fn handle_at(&mut self, ms: f64, events: &[Event]) -> Vec<Action> {
        self.now = ms;
        let mut out = Vec::new();
        self.policy.handle(Time((ms * 1e3) as i64), events, &mut out);
        out
    }
    pub(crate) fn read_requests(&mut self, ids: std::ops::Range<u64>, class: usize) -> Vec<Action> {
        let events: Vec<Event> = ids.map(|id| Event::RequestRead(request(id, class))).collect();
        self.handle_at(self.now, &events)
    }
}

pub(crate) fn started(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::Run(id) = a { Some(id.0) } else { None }).collect()
}
pub(crate) fn rejected(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::Reject { id, .. } = a { Some(id.0) } else { None }).collect()
}
pub(crate) fn failed(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::Fail(id) = a { Some(id.0) } else { None }).collect()
}
pub(crate) fn called(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::Call(id, _) = a { Some(id.0) } else { None }).collect()
}

/// Sends requests of this age in ms, as retries or not, one every 60 ms, and ends the run of each
/// after 10 ms.
pub(crate) fn serve_stream(
    s: &mut Server,
    ids: std::ops::Range<u64>,
    age: f64,
    is_retry: bool,
) -> Vec<Action> {
    let mut out = Vec::new();
    for id in ids {
        let now = s.now + 50.0;
        let read = Request { age: Span::from_ms(age), is_retry, ..request(id, 0) };
        out.extend(s.handle_at(now, &[Event::RequestRead(read)]));
        out.extend(s.handle_at(now + 10.0, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]));
    }
    out
}

pub(crate) fn health_changes(actions: &[Action]) -> Vec<bool> {
    actions.iter().filter_map(|a| if let Action::SetHealth(good) = a { Some(*good) } else { None }).collect()
}
