//! Settings of the routing decisions.

use std::time::Duration;

use crate::outlier::OutlierSettings;

/// Limits and intervals of the routing decisions.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Maximum number of requests in flight at a node of weight 1; further requests are queued.
    pub max_in_flight_per_node: usize,
    /// Maximum number of requests queued for a cell; further requests are rejected.
    pub max_queued_per_cell: usize,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u8,
    /// Number of retries that a first attempt adds to the budget of its tenant in its cell.
    pub retry_budget_ratio: f64,
    /// Maximum number of retries that a budget holds; it starts full.
    pub retry_budget_burst: f64,
    /// Maximum number of retry budgets that are kept. The least recently used one is evicted
    /// first; if its tenant sends requests again, its budget starts full.
    pub max_retry_budgets: usize,
    /// Least time that must remain before the deadline for an attempt to be made.
    pub min_time_left: Duration,
    /// Duration that a client waits at least before it tries again, if no node took its request.
    pub retry_after: Duration,
    /// Settings of the outlier detection.
    pub outliers: OutlierSettings,
}

impl Default for RoutingSettings {
    fn default() -> RoutingSettings {
        RoutingSettings {
            max_in_flight_per_node: 64,
            max_queued_per_cell: 256,
            max_attempts: 3,
            retry_budget_ratio: 0.1,
            retry_budget_burst: 10.0,
            max_retry_budgets: 10_000,
            min_time_left: Duration::from_millis(20),
            retry_after: Duration::from_millis(200),
            outliers: OutlierSettings::default(),
        }
    }
}
