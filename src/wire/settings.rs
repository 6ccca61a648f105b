//! The settings object of the simulator's first message, which a node's configuration holds as well.

use policy::{CapacityHint, Class, Dependency, Idempotency, Preemption, Settings, Span, Tenant};
use serde::Deserialize;

/// The settings object; `expecting` keeps the text of errors that name it.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default, expecting = "struct Facts")]
pub(super) struct SettingsIn {
    servers: u32,
    #[serde(rename = "lanes")]
    pub(super) classes: Vec<Lane>,
    pub(super) specifics: Specifics,
    over_share_worth: Option<f64>,
    policy_limits: Limits,
    invariants: Invariants,
    pub(super) tenants: Vec<TenantIn>,
    round: f64,
    worth_by: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    max_retry_after: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Invariants {
    answer_slack: f64,
    start_capacity: Option<f64>,
    warm_up: f64,
    drain_grace: f64,
    fall_multiple: Option<f64>,
    fall: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct TenantIn {
    pub(super) name: String,
    #[serde(default)]
    allowance_per_s: f64,
}

/// A class; errors name it by the simulator's word.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Lane {
    pub(super) name: String,
    promise: f64,
    deadline: f64,
    effect: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    window: f64,
    worth: f64,
    #[serde(default)]
    aim_stretch: f64,
}

/// What differs from server to server.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Specifics {
    upstreams: u32,
    caller_idle: f64,
    calls_out: f64,
    class_calls: Vec<bool>,
    class_skip_worth: Vec<f64>,
    cold: bool,
    cores: u32,
    depends_on: String,
    pub(super) gauges: Vec<String>,
    halt: String,
    heard_for: f64,
    registry_follows: Option<bool>,
    heap_kb: f64,
    key_kb: f64,
    linger: f64,
    run_factor: Option<f64>,
    say: String,
    share_for: f64,
    share_span: f64,
    pub(super) passes_deadline: bool,
    pub(super) tells_gone: bool,
}

impl SettingsIn {
    /// The policy's settings.
    pub(super) fn to_settings(&self) -> Settings {
        let specifics = &self.specifics;
        let invariants = &self.invariants;
        let classes = self.classes.iter().enumerate();
        Settings {
            cores: specifics.cores,
            decision_interval: Span::from_ms(self.round),
            servers: self.servers,
            callers: specifics.upstreams,
            classes: classes
                .map(|(index, class)| class.to_class(index, specifics))
                .collect(),
            tenants: self.tenants.iter().map(TenantIn::to_tenant).collect(),
            over_share_weight_fraction: self.over_share_worth.unwrap_or(1.0),
            weight_per_work: self.worth_by == "work",
            memory_kb: specifics.heap_kb,
            run_memory_factor: specifics.run_factor.unwrap_or(1.0),
            key_kb: specifics.key_kb,
            dependency: specifics.dependency(),
            call_quota: specifics.calls_out,
            call_quota_window: Span::from_ms(specifics.share_span),
            abandoned_call_linger: Span::from_ms(specifics.linger),
            result_sharing_window: Span::from_ms(specifics.share_for),
            preemption: specifics.preemption(),
            capacity_hint: specifics.capacity_hint(),
            capacity_hint_lifetime: Span::from_ms(specifics.heard_for),
            // Without this setting, nothing has to stand in for the lists.
            endpoint_lists_follow_health: specifics.registry_follows.unwrap_or(true),
            starts_cold: specifics.cold,
            start_capacity: invariants.start_capacity.unwrap_or(0.0),
            warm_up: Span::from_ms(invariants.warm_up),
            answer_slack: Span::from_ms(invariants.answer_slack),
            drain_grace: Span::from_ms(invariants.drain_grace),
            concurrency_per_core: invariants.fall_multiple.unwrap_or(1.0),
            concurrency_window: Span::from_ms(invariants.fall),
            max_retry_after: Span::from_ms(self.policy_limits.max_retry_after),
            caller_idle_timeout: Span::from_ms(specifics.caller_idle),
        }
    }
}

impl TenantIn {
    fn to_tenant(&self) -> Tenant {
        Tenant {
            allowance_per_s: self.allowance_per_s,
        }
    }
}

impl Lane {
    fn to_class(&self, index: usize, specifics: &Specifics) -> Class {
        let may_call = specifics.class_calls.get(index).copied();
        let skip_worth = specifics.class_skip_worth.get(index).copied();
        Class {
            latency_objective: Span::from_ms(self.promise),
            deadline: Span::from_ms(self.deadline),
            idempotency: match self.effect.as_str() {
                "repeatable" => Idempotency::Idempotent,
                "by_key" => Idempotency::ByKey,
                _ => Idempotency::AtMostOnce,
            },
            late_weight_fraction: self.late_worth,
            idempotency_window: Span::from_ms(self.window),
            priority_weight: self.worth,
            objective_work_multiple: self.aim_stretch,
            may_call: may_call.unwrap_or(true),
            skipped_call_weight_fraction: skip_worth.unwrap_or(0.0),
        }
    }
}

impl Specifics {
    fn dependency(&self) -> Dependency {
        match self.depends_on.as_str() {
            "one_for_all" => Dependency::Shared,
            "tier" => Dependency::Tier,
            _ => Dependency::None,
        }
    }

    fn preemption(&self) -> Preemption {
        match self.halt.as_str() {
            "discard" => Preemption::DiscardsWork,
            "freeze" => Preemption::KeepsWork,
            _ => Preemption::Unsupported,
        }
    }

    fn capacity_hint(&self) -> CapacityHint {
        match self.say.as_str() {
            "floor" => CapacityHint::PriorityFloor,
            "allowance" => CapacityHint::Allowance,
            "weight" => CapacityHint::Weight,
            _ => CapacityHint::Off,
        }
    }
}
