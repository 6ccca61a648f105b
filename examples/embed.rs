//! Embeds the policy without any network: one server receives one request and prints the actions
//! that follow.

use protocol_gateway::{
    CallerId, CapacityHint, Class, ClassId, Dependency, Event, Idempotency, Policy, Preemption,
    Request, RequestId, Settings, SettingsError, Span, Tenant, TenantId, Time,
};

fn settings(class: Class) -> Settings {
    Settings {
        cores: 2,
        decision_interval: Span::from_ms(1.0),
        servers: 1,
        callers: 1,
        classes: vec![class],
        tenants: vec![Tenant {
            allowance_per_s: 100.0,
        }],
        over_share_weight_fraction: 0.1,
        weight_per_work: false,
        memory_kb: 64_000.0,
        run_memory_factor: 4.0,
        key_kb: 1.0,
        dependency: Dependency::None,
        call_quota: 0.0,
        call_quota_window: Span::from_ms(5000.0),
        abandoned_call_linger: Span(0),
        result_sharing_window: Span(0),
        preemption: Preemption::Unsupported,
        capacity_hint: CapacityHint::Off,
        capacity_hint_lifetime: Span::from_ms(1000.0),
        endpoint_lists_follow_health: true,
        starts_cold: false,
        start_capacity: 1.0,
        warm_up: Span(0),
        answer_slack: Span::from_ms(50.0),
        drain_grace: Span::from_ms(1000.0),
        concurrency_per_core: 5.0,
        concurrency_window: Span::from_ms(2000.0),
        max_retry_after: Span::from_ms(1000.0),
        caller_idle_timeout: Span::from_ms(30_000.0),
    }
}

fn main() -> Result<(), SettingsError> {
    let class = Class {
        latency_objective: Span::from_ms(500.0),
        deadline: Span::from_ms(2000.0),
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
        ..Class::default()
    };
    let mut policy = Policy::new(settings(class), 1)?;
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        has_key: false,
        remaining_wait: None,
        work_hint: None,
        queued_kb: 16.0,
        is_retry: false,
        is_write: false,
        caller: CallerId(1),
        age: Span(0),
        duplicate_of: None,
    };
    let mut actions = Vec::new();
    policy.handle(Time(0), &[Event::RequestRead(request)], &mut actions);
    println!("{actions:?}");
    Ok(())
}
