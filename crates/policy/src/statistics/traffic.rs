//! The requests that arrive, and how many of them are rejected.

use std::collections::btree_map::{BTreeMap, Entry};

use super::{decay_factor, effective_count, update_mean, FAST_LEARNING_RATE, LEARNING_RATE};
use crate::interface::{CallerId, Class, Request, Settings, TenantId};

/// Weight of the newest request in the mean delay until requests are read.
const READ_DELAY_WEIGHT: f64 = 0.125;
/// Rates are means over this multiple of the longest latency objective.
const RATE_SPAN_OBJECTIVES: f64 = 2.0;
/// Callers whose decayed number of requests is below this are forgotten.
const MIN_CALLER_RATE: f64 = 0.01;
/// Maximum number of callers that are counted one by one. A sender may name itself anew with each
/// request; the callers beyond this number are not counted.
const MAX_CALLERS: usize = 4096;

/// Running means and rates of the traffic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficStatistics {
    /// Mean work of the requests read.
    pub mean_work_ms: f64,
    /// Mean latency objective of the requests read.
    pub mean_objective_ms: f64,
    /// Mean priority weight of the requests read.
    pub mean_weight: f64,
    /// Recent age of requests when they are read: the only indication of requests that still wait
    /// to be read.
    pub read_delay_ms: f64,
    /// Recent fraction of retries among the requests read.
    pub retry_fraction: f64,
    /// Recent fraction of rejections among rejections and runs.
    pub rejection_fraction: f64,
    /// Mean time in ms from a request's first attempt to its rejection, plus its caller's wait
    /// until the next attempt.
    pub rejected_attempt_ms: f64,
    /// Decaying numbers of requests by caller.
    caller_rates: BTreeMap<CallerId, f64>,
    /// Decaying requests per second of each listed tenant; the last entry is for all others.
    tenant_rates: Vec<f64>,
    rate_span_ms: f64,
}

impl TrafficStatistics {
    /// Creates statistics without traffic, for the classes and tenants of these settings.
    pub fn new(settings: &Settings) -> TrafficStatistics {
        let objectives = settings.classes.iter().map(|class| class.latency_objective.ms());
        TrafficStatistics {
            tenant_rates: vec![0.0; settings.tenants.len() + 1],
            rate_span_ms: RATE_SPAN_OBJECTIVES * objectives.fold(1.0, f64::max),
            ..TrafficStatistics::default()
        }
    }

    /// Returns the index of a tenant. Requests of unlisted tenants, or of none, have the last
    /// index.
    pub fn tenant_index(&self, tenant: Option<TenantId>) -> usize {
        tenant.map_or(usize::MAX, |tenant| tenant.0 as usize).min(self.tenant_rates.len() - 1)
    }

    /// Returns the requests per second of the tenant with this index.
    pub fn tenant_rate(&self, index: usize) -> f64 {
        self.tenant_rates[index]
    }

    /// Advances by `elapsed_ms`; the read delay retains the fraction `keep`.
    pub fn advance(&mut self, elapsed_ms: f64, keep: f64) {
        let keep_rates = decay_factor(elapsed_ms, self.rate_span_ms);
        self.read_delay_ms *= keep;
        for rate in self.caller_rates.values_mut().chain(&mut self.tenant_rates) {
            *rate *= keep_rates;
        }
        self.caller_rates.retain(|_, rate| *rate > MIN_CALLER_RATE);
    }

    fn count_caller(&mut self, caller: CallerId) {
        let has_room = self.caller_rates.len() < MAX_CALLERS;
        match self.caller_rates.entry(caller) {
            Entry::Occupied(rate) => *rate.into_mut() += 1.0,
            Entry::Vacant(rate) if has_room => {
                rate.insert(1.0);
            }
            Entry::Vacant(_) => {}
        }
    }

    /// Records a request that was read, and whether it is known or inferred to be a retry. Retries
    /// do not count towards tenants' rates, which measure what users ask for, however often callers
    /// retry.
    pub fn record_arrival(&mut self, request: &Request, class: &Class, work_ms: f64, is_retry: bool) {
        let tenant_index = self.tenant_index(request.tenant);
        self.tenant_rates[tenant_index] += if is_retry { 0.0 } else { 1e3 / self.rate_span_ms };
        self.count_caller(request.caller);
        for (mean, value) in [
            (&mut self.mean_work_ms, work_ms),
            (&mut self.mean_objective_ms, class.latency_objective.ms()),
            (&mut self.mean_weight, class.priority_weight),
        ] {
            let weight = if *mean == 0.0 { 1.0 } else { FAST_LEARNING_RATE };
            update_mean(mean, value, weight);
        }
        update_mean(&mut self.retry_fraction, f64::from(u8::from(is_retry)), LEARNING_RATE);
        update_mean(&mut self.read_delay_ms, request.age.ms(), READ_DELAY_WEIGHT);
    }

    /// Records a rejection, and the time since the request's first attempt, including its caller's
    /// wait.
    pub fn record_rejection(&mut self, attempt_ms: f64) {
        update_mean(&mut self.rejected_attempt_ms, attempt_ms, FAST_LEARNING_RATE);
        update_mean(&mut self.rejection_fraction, 1.0, LEARNING_RATE);
    }

    /// Records that a request was started.
    pub fn record_run(&mut self) {
        self.rejection_fraction *= 1.0 - LEARNING_RATE;
    }

    /// Returns the number of equally active callers that would produce this traffic; `None` before
    /// any request.
    pub fn effective_callers(&self) -> Option<f64> {
        effective_count(self.caller_rates.values().copied())
    }
}
