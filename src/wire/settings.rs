//! The settings object of the simulator's first message, which a node's configuration holds as
//! well.

use policy::{CapacityHint, Class, Dependency, Idempotency, Preemption, Settings, Span, Tenant};
use serde::Deserialize;

/// The settings object, with durations in milliseconds. `expecting` preserves the type name in
/// error texts.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default, expecting = "struct Facts")]
pub(super) struct SettingsIn {
    servers: u32,
    #[serde(rename = "lanes")]
    pub(super) classes: Vec<Lane>,
    pub(super) specifics: Specifics,
    #[serde(rename = "overShareWorth")]
    over_share_weight_fraction: Option<f64>,
    policy_limits: Limits,
    invariants: Invariants,
    pub(super) tenants: Vec<TenantIn>,
    #[serde(rename = "round")]
    decision_interval: f64,
    #[serde(rename = "worthBy")]
    weight_basis: String,
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
    #[serde(rename = "fallMultiple")]
    concurrency_per_core: Option<f64>,
    #[serde(rename = "fall")]
    concurrency_window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct TenantIn {
    pub(super) name: String,
    #[serde(default)]
    allowance_per_s: f64,
}

/// A class. The type's name occurs in error texts and is therefore the simulator's term.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Lane {
    pub(super) name: String,
    #[serde(rename = "promise")]
    latency_objective: f64,
    deadline: f64,
    #[serde(rename = "effect")]
    idempotency: String,
    #[serde(default, rename = "lateWorth")]
    late_weight_fraction: f64,
    #[serde(default, rename = "window")]
    idempotency_window: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(default, rename = "aimStretch")]
    objective_work_multiple: f64,
}

/// The settings that differ between servers.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Specifics {
    #[serde(rename = "upstreams")]
    callers: u32,
    #[serde(rename = "callerIdle")]
    caller_idle_timeout: f64,
    #[serde(rename = "callsOut")]
    call_quota: f64,
    #[serde(rename = "classCalls")]
    classes_may_call: Vec<bool>,
    #[serde(rename = "classSkipWorth")]
    skipped_call_weight_fractions: Vec<f64>,
    #[serde(rename = "cold")]
    starts_cold: bool,
    cores: u32,
    #[serde(rename = "dependsOn")]
    dependency: String,
    pub(super) gauges: Vec<String>,
    #[serde(rename = "halt")]
    preemption: String,
    #[serde(rename = "heardFor")]
    capacity_hint_lifetime: f64,
    #[serde(rename = "registryFollows")]
    endpoint_lists_follow_health: Option<bool>,
    #[serde(rename = "heapKb")]
    memory_kb: f64,
    key_kb: f64,
    #[serde(rename = "linger")]
    abandoned_call_linger: f64,
    #[serde(rename = "runFactor")]
    run_memory_factor: Option<f64>,
    #[serde(rename = "say")]
    capacity_hint: String,
    #[serde(rename = "shareFor")]
    result_sharing_window: f64,
    #[serde(rename = "shareSpan")]
    call_quota_window: f64,
    pub(super) passes_deadline: bool,
    #[serde(rename = "tellsGone")]
    pub(super) callers_report_stopped_waiting: bool,
}

impl SettingsIn {
    /// Converts the object to the policy's settings.
    pub(super) fn to_settings(&self) -> Settings {
        let specifics = &self.specifics;
        let invariants = &self.invariants;
        let classes = self.classes.iter().enumerate();
        Settings {
            cores: specifics.cores,
            decision_interval: Span::from_ms(self.decision_interval),
            servers: self.servers,
            callers: specifics.callers,
            classes: classes
                .map(|(index, class)| class.to_class(index, specifics))
                .collect(),
            tenants: self.tenants.iter().map(TenantIn::to_tenant).collect(),
            over_share_weight_fraction: self.over_share_weight_fraction.unwrap_or(1.0),
            weight_per_work: self.weight_basis == "work",
            memory_kb: specifics.memory_kb,
            run_memory_factor: specifics.run_memory_factor.unwrap_or(1.0),
            key_kb: specifics.key_kb,
            dependency: specifics.dependency(),
            call_quota: specifics.call_quota,
            call_quota_window: Span::from_ms(specifics.call_quota_window),
            abandoned_call_linger: Span::from_ms(specifics.abandoned_call_linger),
            result_sharing_window: Span::from_ms(specifics.result_sharing_window),
            preemption: specifics.preemption(),
            capacity_hint: specifics.capacity_hint(),
            capacity_hint_lifetime: Span::from_ms(specifics.capacity_hint_lifetime),
            // By default, callers' endpoint lists follow health checks, and the policy need not
            // compensate.
            endpoint_lists_follow_health: specifics.endpoint_lists_follow_health.unwrap_or(true),
            starts_cold: specifics.starts_cold,
            start_capacity: invariants.start_capacity.unwrap_or(0.0),
            warm_up: Span::from_ms(invariants.warm_up),
            answer_slack: Span::from_ms(invariants.answer_slack),
            drain_grace: Span::from_ms(invariants.drain_grace),
            concurrency_per_core: invariants.concurrency_per_core.unwrap_or(1.0),
            concurrency_window: Span::from_ms(invariants.concurrency_window),
            max_retry_after: Span::from_ms(self.policy_limits.max_retry_after),
            caller_idle_timeout: Span::from_ms(specifics.caller_idle_timeout),
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
        let may_call = specifics.classes_may_call.get(index).copied();
        let skipped_weight_fraction = specifics.skipped_call_weight_fractions.get(index).copied();
        Class {
            latency_objective: Span::from_ms(self.latency_objective),
            deadline: Span::from_ms(self.deadline),
            idempotency: match self.idempotency.as_str() {
                "repeatable" => Idempotency::Idempotent,
                "by_key" => Idempotency::ByKey,
                _ => Idempotency::AtMostOnce,
            },
            late_weight_fraction: self.late_weight_fraction,
            idempotency_window: Span::from_ms(self.idempotency_window),
            priority_weight: self.priority_weight,
            objective_work_multiple: self.objective_work_multiple,
            may_call: may_call.unwrap_or(true),
            skipped_call_weight_fraction: skipped_weight_fraction.unwrap_or(0.0),
        }
    }
}

impl Specifics {
    fn dependency(&self) -> Dependency {
        match self.dependency.as_str() {
            "one_for_all" => Dependency::Shared,
            "tier" => Dependency::Tier,
            _ => Dependency::None,
        }
    }

    fn preemption(&self) -> Preemption {
        match self.preemption.as_str() {
            "discard" => Preemption::DiscardsWork,
            "freeze" => Preemption::KeepsWork,
            _ => Preemption::Unsupported,
        }
    }

    fn capacity_hint(&self) -> CapacityHint {
        match self.capacity_hint.as_str() {
            "floor" => CapacityHint::PriorityFloor,
            "allowance" => CapacityHint::Allowance,
            "weight" => CapacityHint::Weight,
            _ => CapacityHint::Off,
        }
    }
}
