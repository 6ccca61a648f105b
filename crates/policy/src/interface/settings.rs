//! Settings with which the policy is created, and their validation.

use std::fmt;

use super::time::Span;

/// Index into [`Settings::classes`]; a number past its end is a class that the settings do not
/// list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`]; a number past its end is a tenant that the settings do not
/// list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: the request may run any number of times.
    Idempotent,
    /// Once for each idempotency key within the class's window.
    ByKey,
    /// Not idempotent: at most once.
    #[default]
    AtMostOnce,
}

/// A class of requests. The default has no priority weight and a deadline of zero, and its requests
/// run at most once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Answers within this time of the first attempt count with the full priority weight.
    pub latency_objective: Span,
    /// Duration for which the client waits, over all attempts.
    pub deadline: Span,
    /// How often a request may run.
    pub idempotency: Idempotency,
    /// Fraction of the priority weight that an answer has after the latency objective.
    pub late_weight_fraction: f64,
    /// Duration after its arrival within which a request with an idempotency key may be repeated.
    pub idempotency_window: Span,
    /// Relative value of a request that is answered in time.
    pub priority_weight: f64,
    /// The latency objective grows by this multiple of the request's own work.
    pub objective_work_multiple: f64,
    /// True if requests of the class may call the dependency.
    pub may_call: bool,
    /// Fraction of the priority weight kept when a call is skipped; 0 means that it must not be
    /// skipped.
    pub skipped_call_weight_fraction: f64,
}

/// A tenant whose share of the fleet is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within the tenant's share, over the whole fleet.
    pub allowance_per_s: f64,
}

/// The kind of dependency that requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dependency {
    /// No dependency.
    None,
    /// A dependency that the whole fleet shares.
    Shared,
    /// A tier of servers, each of which limits its own load with this policy.
    Tier,
}

/// Effect of stopping a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// Runs cannot be stopped.
    Unsupported,
    /// The work done so far is lost.
    DiscardsWork,
    /// The run can be resumed.
    KeepsWork,
}

/// How callers interpret the capacity hint that each answer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityHint {
    /// Callers do not support the hint, and it must not be set.
    Off,
    /// A lower bound of priority: callers send nothing below it.
    PriorityFloor,
    /// Maximum number of requests that one caller may have in flight on this server.
    Allowance,
    /// Probability with which callers choose this server.
    Weight,
}

/// All settings that affect the policy's decisions, given when the policy is created.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of cores of this server.
    pub cores: u32,
    /// Minimum time between two calls of [`crate::Policy::handle`].
    pub decision_interval: Span,
    /// Number of servers in this tier at the start.
    pub servers: u32,
    /// Number of callers of this tier at the start.
    pub callers: u32,
    /// Classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its class's priority weight that a request beyond its tenant's share has.
    pub over_share_weight_fraction: f64,
    /// True if the priority weight applies to each unit of work instead of each request.
    pub weight_per_work: bool,
    /// Memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of a queued one's.
    pub run_memory_factor: f64,
    /// Memory in kilobytes for each remembered idempotency key.
    pub key_kb: f64,
    /// The kind of dependency that requests call.
    pub dependency: Dependency,
    /// This server's quota, as a mean, of the concurrent calls that the shared dependency can
    /// sustain.
    pub call_quota: f64,
    /// Window over which the mean of the concurrent calls is taken.
    pub call_quota_window: Span,
    /// Duration for which the dependency may continue to execute an abandoned call.
    pub abandoned_call_linger: Span,
    /// Duration for which the answer of a read may be shared with identical reads; zero disables
    /// sharing.
    pub result_sharing_window: Span,
    /// Effect of stopping a run.
    pub preemption: Preemption,
    /// How callers interpret the capacity hint.
    pub capacity_hint: CapacityHint,
    /// Duration for which callers act on a capacity hint.
    pub capacity_hint_lifetime: Span,
    /// True if callers' endpoint lists follow health checks.
    pub endpoint_lists_follow_health: bool,
    /// True if the server has just been started and is warming up.
    pub starts_cold: bool,
    /// Minimum speed of a cold server, as a fraction of its full speed.
    pub start_capacity: f64,
    /// Maximum time until a cold server is warm.
    pub warm_up: Span,
    /// Duration after a request's deadline in which an answer is still accepted.
    pub answer_slack: Span,
    /// Requests that arrive later than this after the shutdown notice never run.
    pub drain_grace: Span,
    /// Mean number of concurrent requests per core that a warm server can sustain.
    pub concurrency_per_core: f64,
    /// Window over which the mean of the concurrent requests is taken.
    pub concurrency_window: Span,
    /// Maximum retry-after that callers respect.
    pub max_retry_after: Span,
    /// Duration for which callers keep an idle connection.
    pub caller_idle_timeout: Span,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first value that is missing or out of range. It is named as in the
    /// configuration's documentation, which operators know, and not as the field.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.check_durations()?;
        self.check_numbers()
    }

    /// Returns the allowance of the tenant with this index as a fraction of all allowances; 1 for a
    /// tenant that is not listed.
    pub(crate) fn allowance_fraction(&self, tenant_index: usize) -> f64 {
        let total = self.tenants.iter().map(|tenant| tenant.allowance_per_s).sum::<f64>().max(1e-9);
        self.tenants.get(tenant_index).map_or(1.0, |tenant| tenant.allowance_per_s / total)
    }

    fn check_durations(&self) -> Result<(), SettingsError> {
        let durations = [
            ("round", self.decision_interval),
            ("calls_span", self.call_quota_window),
            ("linger", self.abandoned_call_linger),
            ("share_for", self.result_sharing_window),
            ("warm_up", self.warm_up),
            ("answer_slack", self.answer_slack),
            ("drain_grace", self.drain_grace),
            ("crowd_span", self.concurrency_window),
            ("max_retry_after", self.max_retry_after),
            ("heard_for", self.capacity_hint_lifetime),
            ("caller_idle", self.caller_idle_timeout),
        ];
        let class_durations = self.classes.iter().flat_map(|class| {
            [
                ("aim", class.latency_objective),
                ("deadline", class.deadline),
                ("window", class.idempotency_window),
            ]
        });
        match durations.into_iter().chain(class_durations).find(|(_, span)| span.0 < 0) {
            Some((name, _)) => Err(SettingsError::NegativeDuration(name)),
            None => Ok(()),
        }
    }

    fn check_numbers(&self) -> Result<(), SettingsError> {
        let numbers = [
            ("memory_kb", self.memory_kb),
            ("run_factor", self.run_memory_factor),
            ("key_kb", self.key_kb),
            ("calls_out", self.call_quota),
            ("start_capacity", self.start_capacity),
            ("crowd_per_core", self.concurrency_per_core),
            ("over_share_worth", self.over_share_weight_fraction),
        ];
        let class_numbers = self
            .classes
            .iter()
            .flat_map(|class| [("worth", class.priority_weight), ("late_worth", class.late_weight_fraction)]);
        let is_invalid = |number: f64| !number.is_finite() || number < 0.0;
        match numbers.into_iter().chain(class_numbers).find(|(_, number)| is_invalid(*number)) {
            Some((name, _)) => Err(SettingsError::InvalidNumber(name)),
            None => Ok(()),
        }
    }
}

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings have no cores.
    NoCores,
    /// The settings have no classes.
    NoClasses,
    /// A duration is negative; holds its name.
    NegativeDuration(&'static str),
    /// A number is negative, missing or not finite; holds its name.
    InvalidNumber(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoCores => f.write_str("settings name no cores"),
            SettingsError::NoClasses => f.write_str("settings name no classes"),
            SettingsError::NegativeDuration(name) => write!(f, "negative duration in setting: {name}"),
            SettingsError::InvalidNumber(name) => write!(f, "negative or non-finite setting: {name}"),
        }
    }
}

impl std::error::Error for SettingsError {}
