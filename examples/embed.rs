//! A backend that never saw the wire: one server, a few requests, and what the module says of them.

use protocol_gateway::{
    Below, CallerId, Class, ClassId, Effect, Event, FreeValue, Policy, Request, RequestId,
    Settings, SettingsError, Span, Stopping, Tenant, TenantId, Time,
};

fn settings(class: Class) -> Settings {
    Settings {
        cores: 2,
        round: Span::from_ms(1.0),
        servers: 1,
        callers: 1,
        classes: vec![class],
        tenants: vec![Tenant {
            allowance_per_s: 100.0,
        }],
        over_share_worth: 0.1,
        worth_by_work: false,
        memory_kb: 64_000.0,
        run_factor: 4.0,
        key_kb: 1.0,
        below: Below::Nothing,
        calls_out: 0.0,
        calls_span: Span::from_ms(5000.0),
        linger: Span(0),
        share_for: Span(0),
        stopping: Stopping::Off,
        free_value: FreeValue::Off,
        heard_for: Span::from_ms(1000.0),
        lists_follow_health: true,
        cold: false,
        start_capacity: 1.0,
        warm_up: Span(0),
        answer_slack: Span::from_ms(50.0),
        drain_grace: Span::from_ms(1000.0),
        crowd_per_core: 5.0,
        crowd_span: Span::from_ms(2000.0),
        max_retry_after: Span::from_ms(1000.0),
        caller_idle: Span::from_ms(30_000.0),
    }
}

fn main() -> Result<(), SettingsError> {
    let aim = Span::from_ms(500.0);
    let (deadline, window, effect) = (Span::from_ms(2000.0), Span(0), Effect::Repeatable);
    let (worth, late_worth, skip_worth, aim_stretch) = (1.0, 0.0, 0.0, 0.0);
    let class = Class {
        aim,
        deadline,
        effect,
        late_worth,
        window,
        worth,
        aim_stretch,
        calls: false,
        skip_worth,
    };
    let mut policy = Policy::new(settings(class), 1)?;
    let mut actions = Vec::new();
    let (id, class, tenant, caller) = (RequestId(1), ClassId(0), Some(TenantId(0)), CallerId(1));
    let (wait_left, hint, repeats, held_kb, age) = (None, None, None, 16.0, Span(0));
    let (has_key, resent, write) = (false, false, false);
    let read = Request {
        id,
        class,
        tenant,
        has_key,
        wait_left,
        hint,
        held_kb,
        resent,
        write,
        caller,
        age,
        repeats,
    };
    policy.handle(Time(0), &[Event::Read(read)], &mut actions);
    println!("{actions:?}");
    Ok(())
}
