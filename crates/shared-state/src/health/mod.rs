//! Health of dependencies: what each node observes, and what it concludes from its own and the
//! other nodes' observations. Neither one node nor one site can declare a dependency down for all.
//! A node that alone fails to reach a dependency concludes that the fault is on its own path.

mod attempts;
mod evaluation;
mod observation_counts;

pub use attempts::{AttemptCounts, AttemptWindow, ObservedHealth, ATTEMPT_WINDOW};
pub use evaluation::{evaluate_health, DependencyHealth, HealthEvaluator};
pub use observation_counts::{HealthCounts, ObservationCounts};
