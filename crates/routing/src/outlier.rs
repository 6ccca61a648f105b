//! Outlier detection: nodes that fail too often are ejected for a while, then probed, then readmitted by degrees.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::Name;

/// The smallest fraction of its usual requests that a readmitted node gets.
const MIN_RAMP_FRACTION: f64 = 0.1;
/// The ejection time is doubled this often at most.
const MAX_DOUBLINGS: u32 = 16;

/// When a node is ejected, and how it is readmitted.
#[derive(Clone, Debug)]
pub struct OutlierSettings {
    /// The number of consecutive failures that ejects a node.
    pub max_consecutive_failures: u32,
    /// The failure rate that ejects a node.
    pub max_failure_rate: f64,
    /// The number of attempts over which the failure rate is measured. Before so many attempts it ejects no node.
    pub failure_rate_window: u32,
    /// The time of a first ejection; it doubles each time.
    pub first_ejection: Duration,
    /// The longest ejection.
    pub max_ejection: Duration,
    /// The time without an ejection after which the next is a first one again.
    pub forget_after: Duration,
    /// The time after which a probe without a result is given up; there is one at a time.
    pub probe_timeout: Duration,
    /// The time over which a readmitted node gets its usual requests again.
    pub recovery_ramp: Duration,
    /// The largest fraction of a cell's weight that may be ejected at once.
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
            forget_after: Duration::from_secs(60),
            probe_timeout: Duration::from_secs(2),
            recovery_ramp: Duration::from_secs(5),
            max_ejected_fraction: 0.5,
        }
    }
}

/// Whether a node is ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionState {
    /// It gets requests.
    Admitted {
        /// The fraction of its usual requests, above 0; 1 unless it was readmitted recently.
        fraction: f64,
    },
    /// It gets nothing.
    Ejected,
    /// It may get one request, to find out whether it is healthy again.
    Probing,
}

impl EjectionState {
    /// Whether it gets nothing, or a probe at most.
    pub fn is_ejected(self) -> bool {
        !matches!(self, EjectionState::Admitted { .. })
    }
}

#[derive(Clone, Debug, Default)]
struct NodeRecord {
    consecutive_failures: u32,
    attempts: u32,
    /// A moving average over the window.
    failure_rate: f64,
    /// The end of the present ejection; the node is probed from then on.
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

/// Detects outliers among the nodes by the outcomes of attempts.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    records: BTreeMap<Name, NodeRecord>,
}

impl OutlierDetector {
    /// Starts with all nodes admitted.
    pub fn new(settings: OutlierSettings) -> OutlierDetector {
        OutlierDetector {
            settings,
            records: BTreeMap::new(),
        }
    }

    /// Whether a node is ejected now.
    pub fn state(&self, node: &str, now: Duration) -> EjectionState {
        match self.records.get(node) {
            Some(record) => record.state(&self.settings, now),
            None => EjectionState::Admitted { fraction: 1.0 },
        }
    }

    /// Records that a probe is sent to a node.
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
            // Outcomes of attempts that were sent before the ejection reveal nothing new.
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
            now.saturating_sub(readmitted_at) >= settings.forget_after
        });
        if was_stable {
            record.ejections = 0;
        }
        if record.is_outlier(settings) {
            record.eject(settings, now);
        }
    }
}
