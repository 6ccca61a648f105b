//! Outlier detection: nodes that fail too often are ejected temporarily, then probed, then
//! gradually readmitted.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::Name;

/// Smallest fraction of its usual requests that a readmitted node gets.
const MIN_RAMP_FRACTION: f64 = 0.1;
/// Largest number of times that the ejection time is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Settings of when a node is ejected and how it is readmitted.
#[derive(Clone, Debug)]
pub struct OutlierSettings {
    /// Number of consecutive failures after which a node is ejected.
    pub max_consecutive_failures: u32,
    /// Failure rate above which a node is ejected.
    pub max_failure_rate: f64,
    /// Number of attempts over which the failure rate is measured. A node with fewer attempts is
    /// not ejected for its failure rate.
    pub failure_rate_window: u32,
    /// Duration of a first ejection; each further ejection lasts twice as long.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Duration after readmission, without a new ejection, after which the next ejection counts as
    /// a first one.
    pub backoff_reset_after: Duration,
    /// Duration after which a probe without a result is abandoned and another may be sent; a node
    /// has one probe at a time.
    pub probe_timeout: Duration,
    /// Duration over which a readmitted node ramps up to its usual share of requests.
    pub recovery_ramp: Duration,
    /// Largest fraction of a cell's weight that may be ejected at the same time.
    pub max_ejected_fraction: f64,
}

impl Default for OutlierSettings {
    fn default() -> OutlierSettings {
        OutlierSettings {
            max_consecutive_failures: 5,
            max_failure_rate: 0.5,
            failure_rate_window: 32,
            first_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            backoff_reset_after: Duration::from_secs(60),
            probe_timeout: Duration::from_secs(2),
            recovery_ramp: Duration::from_secs(5),
            max_ejected_fraction: 0.5,
        }
    }
}

/// The ejection state of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionState {
    /// The node gets requests.
    Admitted {
        /// Fraction of its usual requests that the node gets: above 0, and 1 unless the node was
        /// readmitted recently.
        fraction: f64,
    },
    /// The node gets no requests.
    Ejected,
    /// The node may get one request as a probe of whether it is healthy again.
    Probing,
}

impl EjectionState {
    /// Returns true if the node gets no requests, or a probe at most.
    pub fn is_ejected(self) -> bool {
        !matches!(self, EjectionState::Admitted { .. })
    }
}

#[derive(Clone, Debug, Default)]
struct NodeRecord {
    consecutive_failures: u32,
    attempts: u32,
    /// Moving average of failures, in which a new outcome weighs 1 / number of attempts, and at
    /// least 1 / [`OutlierSettings::failure_rate_window`].
    failure_rate: f64,
    /// End of the current ejection; the node is probed from then on.
    ejected_until: Option<Duration>,
    probed_at: Option<Duration>,
    ejections: u32,
    readmitted_at: Option<Duration>,
}

impl NodeRecord {
    fn state(&self, settings: &OutlierSettings, now: Duration) -> EjectionState {
        let Some(ejected_until) = self.ejected_until else {
            return EjectionState::Admitted {
                fraction: self.admitted_fraction(settings, now),
            };
        };
        let is_probed = self
            .probed_at
            .is_some_and(|probed_at| now < probed_at + settings.probe_timeout);
        if now < ejected_until || is_probed {
            EjectionState::Ejected
        } else {
            EjectionState::Probing
        }
    }

    fn admitted_fraction(&self, settings: &OutlierSettings, now: Duration) -> f64 {
        let fraction = self.readmitted_at.map_or(1.0, |readmitted_at| {
            let elapsed = now.saturating_sub(readmitted_at).as_secs_f64();
            elapsed / settings.recovery_ramp.as_secs_f64().max(1e-9)
        });
        fraction.clamp(MIN_RAMP_FRACTION, 1.0)
    }

    fn readmit(&mut self, now: Duration) {
        *self = NodeRecord {
            ejections: self.ejections,
            readmitted_at: Some(now),
            ..NodeRecord::default()
        };
    }

    fn eject(&mut self, settings: &OutlierSettings, now: Duration) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let ejection = settings.first_ejection * 2u32.saturating_pow(doublings);
        *self = NodeRecord {
            ejected_until: Some(now + ejection.min(settings.max_ejection)),
            ejections: self.ejections + 1,
            ..NodeRecord::default()
        };
    }

    fn count_attempt(&mut self, settings: &OutlierSettings, is_success: bool) {
        self.consecutive_failures = if is_success {
            0
        } else {
            self.consecutive_failures + 1
        };
        self.attempts = self.attempts.saturating_add(1);
        let failure = if is_success { 0.0 } else { 1.0 };
        let window = self.attempts.min(settings.failure_rate_window).max(1);
        self.failure_rate += (failure - self.failure_rate) / f64::from(window);
    }

    fn is_outlier(&self, settings: &OutlierSettings) -> bool {
        let fails_often = self.attempts >= settings.failure_rate_window
            && self.failure_rate > settings.max_failure_rate;
        fails_often || self.consecutive_failures >= settings.max_consecutive_failures
    }
}

/// Detects outliers among the nodes from the outcomes of attempts.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    records: BTreeMap<Name, NodeRecord>,
}

impl OutlierDetector {
    /// Creates a detector with all nodes admitted.
    pub fn new(settings: OutlierSettings) -> OutlierDetector {
        OutlierDetector {
            settings,
            records: BTreeMap::new(),
        }
    }

    /// Returns the ejection state of a node at `now`.
    pub fn state(&self, node: &str, now: Duration) -> EjectionState {
        match self.records.get(node) {
            Some(record) => record.state(&self.settings, now),
            None => EjectionState::Admitted { fraction: 1.0 },
        }
    }

    /// Records that a probe was sent to a node.
    pub fn record_probe(&mut self, node: &str, now: Duration) {
        if let Some(record) = self.records.get_mut(node) {
            record.probed_at = Some(now);
        }
    }

    /// Records the outcome of an attempt at a node.
    pub fn record_outcome(&mut self, node: &str, is_success: bool, now: Duration) {
        let OutlierDetector { settings, records } = self;
        let record = match records.get_mut(node) {
            Some(record) => record,
            None => records.entry(node.into()).or_default(),
        };
        if let Some(ejected_until) = record.ejected_until {
            // Ignore outcomes until a probe was sent: attempts that were sent before the ejection
            // provide no new information.
            let is_probe = record.probed_at.is_some() && now >= ejected_until;
            match (is_probe, is_success) {
                (true, true) => record.readmit(now),
                (true, false) => record.eject(settings, now),
                (false, _) => {}
            }
            return;
        }
        record.count_attempt(settings, is_success);
        let was_stable = record.readmitted_at.is_some_and(|readmitted_at| {
            now.saturating_sub(readmitted_at) >= settings.backoff_reset_after
        });
        if was_stable {
            record.ejections = 0;
        }
        if record.is_outlier(settings) {
            record.eject(settings, now);
        }
    }
}
