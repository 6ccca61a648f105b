//! Settings and short-hands shared by the tests.
#![allow(dead_code)]

use protocol_gateway::*;

pub(crate) fn class(effect: Effect) -> Class {
    Class {
        aim: Span::from_ms(2000.0),
        deadline: Span::from_ms(6000.0),
        effect,
        late_worth: 0.0,
        window: Span::from_ms(5000.0),
        worth: 1.0,
        aim_stretch: 0.0,
        calls: true,
        skip_worth: 0.0,
    }
}

/// Three classes, one of each effect: 0 repeatable, 1 by key, 2 once. Two tenants.
pub(crate) fn settings() -> Settings {
    Settings {
        cores: 2,
        round: Span::from_ms(2.0),
        servers: 4,
        callers: 3,
        classes: vec![
            class(Effect::Repeatable),
            class(Effect::ByKey),
            class(Effect::Once),
        ],
        tenants: vec![
            Tenant {
                allowance_per_s: 8.0,
            },
            Tenant {
                allowance_per_s: 8.0,
            },
        ],
        over_share_worth: 0.1,
        worth_by_work: false,
        memory_kb: 2000.0,
        run_factor: 4.0,
        key_kb: 5.0,
        below: Below::Shared,
        calls_out: 4.0,
        calls_span: Span::from_ms(5000.0),
        linger: Span::from_ms(200.0),
        share_for: Span(0),
        stopping: Stopping::Discard,
        free_value: FreeValue::Allowance,
        heard_for: Span::from_ms(1000.0),
        lists_follow_health: true,
        cold: false,
        start_capacity: 0.2,
        warm_up: Span::from_ms(10_000.0),
        answer_slack: Span::from_ms(60.0),
        drain_grace: Span::from_ms(1000.0),
        crowd_per_core: 5.0,
        crowd_span: Span::from_ms(2000.0),
        max_retry_after: Span::from_ms(1000.0),
        caller_idle: Span::from_ms(30_000.0),
    }
}

pub(crate) fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: Some(TenantId(id % 2)),
        has_key: false,
        wait_left: None,
        hint: None,
        held_kb: 10.0,
        resent: false,
        write: false,
        caller: CallerId(id % 3),
        age: Span(0),
        repeats: None,
    }
}

/// A policy and its clock in milliseconds.
pub(crate) struct Server {
    pub policy: Policy,
    pub now: f64,
}

impl Server {
    pub(crate) fn new(settings: Settings) -> Server {
        Server {
            policy: Policy::new(settings, 7).expect("settings are sound"),
            now: 1000.0,
        }
    }
    pub(crate) fn at(&mut self, ms: f64, events: &[Event]) -> Vec<Action> {
        self.now = ms;
        let mut out = Vec::new();
        self.policy
            .handle(Time((ms * 1e3) as i64), events, &mut out);
        out
    }
    pub(crate) fn read(&mut self, ids: std::ops::Range<u64>, class: usize) -> Vec<Action> {
        let events: Vec<Event> = ids.map(|id| Event::Read(request(id, class))).collect();
        self.at(self.now, &events)
    }
}

pub(crate) fn runs(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Run(id) = a {
                Some(id.0)
            } else {
                None
            }
        })
        .collect()
}
pub(crate) fn refused(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Refuse { id, .. } = a {
                Some(id.0)
            } else {
                None
            }
        })
        .collect()
}
pub(crate) fn failed(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Fail(id) = a {
                Some(id.0)
            } else {
                None
            }
        })
        .collect()
}
pub(crate) fn calls(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Call(id, _) = a {
                Some(id.0)
            } else {
                None
            }
        })
        .collect()
}
