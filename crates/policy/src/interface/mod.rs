//! The policy's public types: its settings, the events that it receives and the actions that it
//! returns.
//!
//! Durations are [`Span`]s in microseconds, work and memory are `f64` milliseconds and kilobytes.

mod actions;
mod events;
mod settings;
mod time;

pub use actions::{Action, DependencyCallStats};
pub use events::{CallOutcome, CallerId, Event, Gauges, Request, RequestId, RunOutcome};
pub use settings::{
    CapacityHint, Class, ClassId, Dependency, Idempotency, Preemption, Settings, SettingsError, Tenant,
    TenantId,
};
pub use time::{Span, Time};
