//! The settings of a router's decisions.

use std::time::Duration;

use crate::outlier::OutlierSettings;

/// How a router decides.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// The requests in flight at a node of weight 1; more are queued.
    pub max_in_flight_per_node: usize,
    /// The requests that are queued for a cell; more are rejected.
    pub max_queued_per_cell: usize,
    /// The attempts of one request in all.
    pub max_attempts: u8,
    /// What a first attempt adds to the retry budget of its tenant in its cell, in attempts.
    pub retry_budget_ratio: f64,
    /// The most that a retry budget holds, in attempts; it starts full.
    pub retry_budget_burst: f64,
    /// The number of retry budgets that are remembered. The least recently used one is dropped first, and starts full if
    /// its tenant comes back.
    pub max_retry_budgets: usize,
    /// The time before its deadline that a request needs for an attempt.
    pub min_time_left: Duration,
    /// The time after which a client that found no node may try again, at the earliest.
    pub retry_after: Duration,
    /// When nodes are ejected.
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
