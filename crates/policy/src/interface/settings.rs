//! What the policy is configured with when it is created, and the check that the values can be used.

use std::fmt;

use super::time::Span;

/// Index into [`Settings::classes`]; a number past its end is a class that the settings do not list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`]; a number past its end is a tenant that the settings do not list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: it may run any number of times.
    Idempotent,
    /// Once for each idempotency key within the class's window.
    ByKey,
    /// Not idempotent: at most once.
    #[default]
    AtMostOnce,
}

/// A class of requests; by default one of no priority and no patience that may run at most once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Answers within this time of the first attempt count with the full priority weight.
    pub latency_objective: Span,
    /// How long the client waits over all attempts.
    pub deadline: Span,
    /// How often a request may run.
    pub idempotency: Idempotency,
    /// Fraction of the priority weight that an answer after the latency objective still has.
    pub late_weight_fraction: f64,
    /// How long after its arrival a request with an idempotency key may be repeated.
    pub idempotency_window: Span,
    /// Relative value of a request that is answered in time.
    pub priority_weight: f64,
    /// The latency objective grows by this multiple of the request's own work.
    pub objective_work_multiple: f64,
    /// Whether its requests may call the dependency.
    pub may_call: bool,
    /// Fraction of the priority weight kept when a call is skipped; 0 means that it must not be skipped.
    pub skipped_call_weight_fraction: f64,
}

/// A tenant whose share of the fleet is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over the whole fleet.
    pub allowance_per_s: f64,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dependency {
    /// Nothing.
    None,
    /// One dependency that the whole fleet shares.
    Shared,
    /// A tier of servers, each of which limits its own load with this policy.
    Tier,
}

/// What stopping a run does.
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
    /// They do not know it, and it must not be set.
    Off,
    /// A lower bound of priority: they send nothing below it.
    PriorityFloor,
    /// The most requests that one caller may have in flight here.
    Allowance,
    /// The probability with which they choose this server.
    Weight,
}

/// All that bears on decisions, set once at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Cores of this server.
    pub cores: u32,
    /// Least time between two calls of [`crate::Policy::handle`].
    pub decision_interval: Span,
    /// Servers in this tier at the start.
    pub servers: u32,
    /// Callers of this tier at the start.
    pub callers: u32,
    /// Classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its class's priority weight that a request past its tenant's share has.
    pub over_share_weight_fraction: f64,
    /// Whether the priority weight applies to each unit of work instead of each request.
    pub weight_per_work: bool,
    /// Memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of a queued one's.
    pub run_memory_factor: f64,
    /// Kilobytes for each remembered idempotency key.
    pub key_kb: f64,
    /// What requests call.
    pub dependency: Dependency,
    /// This server's quota of the concurrent calls that the shared dependency survives, as a mean.
    pub call_quota: f64,
    /// The window of that mean.
    pub call_quota_window: Span,
    /// How long the dependency may go on with a call that was abandoned.
    pub abandoned_call_linger: Span,
    /// How long a read's answer may serve identical reads; zero means never.
    pub result_sharing_window: Span,
    /// What stopping a run does.
    pub preemption: Preemption,
    /// How callers interpret the capacity hint.
    pub capacity_hint: CapacityHint,
    /// How long callers act on a capacity hint.
    pub capacity_hint_lifetime: Span,
    /// Whether callers' endpoint lists follow health checks.
    pub endpoint_lists_follow_health: bool,
    /// The server has just been started and warms up.
    pub starts_cold: bool,
    /// Least fraction of its full speed that a cold server has.
    pub start_capacity: f64,
    /// Longest time until it is warm.
    pub warm_up: Span,
    /// How long after a request's deadline an answer is still accepted.
    pub answer_slack: Span,
    /// Requests that arrive later than this after the shutdown notice never run.
    pub drain_grace: Span,
    /// Concurrent requests for each core that a warm server survives.
    pub concurrency_per_core: f64,
    /// The window over which that is a mean.
    pub concurrency_window: Span,
    /// Longest retry-after that callers respect.
    pub max_retry_after: Span,
    /// How long callers keep an idle connection.
    pub caller_idle_timeout: Span,
}

impl Settings {
    /// Checks that the settings can be used.
    ///
    /// # Errors
    /// Names the first value that is missing or out of range. The names are those of the configuration's
    /// documentation, which operators know, and not of the fields.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.check_durations()?;
        self.check_figures()
    }

    /// The part of the fleet's traffic that the allowance of the tenant with this index makes up; 1 for a
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
            Some((name, _)) => Err(SettingsError::NegativeTime(name)),
            None => Ok(()),
        }
    }

    fn check_figures(&self) -> Result<(), SettingsError> {
        let figures = [
            ("memory_kb", self.memory_kb),
            ("run_factor", self.run_memory_factor),
            ("key_kb", self.key_kb),
            ("calls_out", self.call_quota),
            ("start_capacity", self.start_capacity),
            ("crowd_per_core", self.concurrency_per_core),
            ("over_share_worth", self.over_share_weight_fraction),
        ];
        let class_figures = self
            .classes
            .iter()
            .flat_map(|class| [("worth", class.priority_weight), ("late_worth", class.late_weight_fraction)]);
        let is_unusable = |figure: f64| !figure.is_finite() || figure < 0.0;
        match figures.into_iter().chain(class_figures).find(|(_, figure)| is_unusable(*figure)) {
            Some((name, _)) => Err(SettingsError::BadFigure(name)),
            None => Ok(()),
        }
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// No cores.
    NoCores,
    /// No classes.
    NoClasses,
    /// A duration is negative; holds its name.
    NegativeTime(&'static str),
    /// A figure is negative, missing or not a number; holds its name.
    BadFigure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoCores => f.write_str("settings name no cores"),
            SettingsError::NoClasses => f.write_str("settings name no classes"),
            SettingsError::NegativeTime(name) => write!(f, "settings hold a negative time: {name}"),
            SettingsError::BadFigure(name) => write!(f, "settings hold an unusable figure: {name}"),
        }
    }
}

impl std::error::Error for SettingsError {}
