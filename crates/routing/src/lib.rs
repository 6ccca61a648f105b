//! Routing decisions of a router in front of the nodes: which node of a tenant's cell a request is
//! sent to, whether it is queued, rejected or retried, and which nodes are temporarily ejected.
//!
//! The crate does no I/O: it takes times, a random seed and events, and returns decisions. One
//! [`Router`] value decides for all cells of one router process.

mod availability;
mod node_selection;
mod outlier;
mod request;
mod retry_budget;
mod router;
mod settings;

pub use availability::{Availability, HealthChecks};
pub use outlier::{EjectionState, OutlierDetector, OutlierSettings};
pub use request::{AttemptOutcome, Rejection, Request, RetryDecision, RouteDecision, Ticket};
pub use retry_budget::{RetryBudgets, RetryUsage};
pub use router::Router;
pub use settings::RoutingSettings;
