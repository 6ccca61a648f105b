//! The aggregator's side: keeps the last report of each node and the sum of all reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use membership::Name;

use super::message::{
    AggregateReply, Coverage, Report, ServiceObservation, ServiceObservationCounts, SumVersion,
};
use super::settings::ReportingSettings;
use super::{ServiceId, MAX_SERVICES};
use crate::health::{HealthCounts, ObservationCounts};
use crate::sketch_counters::{CounterChange, SketchCounters, SKETCH_COUNTERS};

/// The last report of a node.
struct ReporterState {
    incarnation: u64,
    seq: u32,
    site: Name,
    counters: SketchCounters,
    /// Lower bound of the time at which the report was made. If it is not known, the report's
    /// counts are in the sum, but not covered by the sum's age.
    made_at: Option<Duration>,
    received_at: Duration,
    observations: Vec<ServiceObservation>,
}

/// Sums up the reports of all nodes.
pub(super) struct Aggregator {
    incarnation: u64,
    reporters: BTreeMap<Name, ReporterState>,
    sum: SketchCounters,
    version: u64,
    /// For each counter, the version of the sum in which it last changed.
    changed_in: Box<[u64]>,
    /// Reporters whose last report has a known age, in ascending order of the time.
    by_made_at: BTreeSet<(Duration, Name)>,
    /// All reporters in ascending order of the arrival of their last report.
    by_received_at: BTreeSet<(Duration, Name)>,
    /// For each dependency, the observations at each site.
    health_by_site: [BTreeMap<Name, HealthCounts>; MAX_SERVICES],
}

impl Aggregator {
    pub(super) fn new(incarnation: u64) -> Aggregator {
        Aggregator {
            incarnation,
            reporters: BTreeMap::new(),
            sum: SketchCounters::default(),
            version: 1,
            changed_in: vec![0; SKETCH_COUNTERS].into(),
            by_made_at: BTreeSet::new(),
            by_received_at: BTreeSet::new(),
            health_by_site: Default::default(),
        }
    }

    /// Returns the number of nodes that have reported recently.
    pub(super) fn reporter_count(&self) -> usize {
        self.reporters.len()
    }

    /// Returns the version of the present sum.
    pub(super) fn sum_version(&self) -> SumVersion {
        SumVersion {
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// Returns the nodes whose counts are in the sum with a known age.
    pub(super) fn covered_nodes(&self) -> impl Iterator<Item = &Name> {
        self.by_made_at.iter().map(|(_, name)| name)
    }

    /// Adds a node's report to the sum and replies with the sum. A report that is outdated, is a
    /// duplicate or comes from an earlier incarnation changes nothing and gets no reply.
    pub(super) fn handle_report(
        &mut self,
        from: &Name,
        report: Report,
        settings: &ReportingSettings,
        member_count: usize,
        now: Duration,
    ) -> Option<AggregateReply> {
        self.remove_expired(now, settings.max_age(member_count));
        if self.is_outdated(from, &report) {
            return None;
        }
        let (incarnation, seq, known_sum) = (report.incarnation, report.seq, report.known_sum);
        if self.can_apply(from, &report, settings) {
            self.apply_report(from, report, settings, now);
        }
        let held_seq = self
            .reporters
            .get(from)
            .filter(|reporter| reporter.incarnation == incarnation)
            .map_or(0, |reporter| reporter.seq);
        let base_version = if known_sum.incarnation == self.incarnation {
            known_sum.version
        } else {
            0
        };
        Some(AggregateReply {
            incarnation: self.incarnation,
            seq,
            held_seq,
            stamp: now.as_millis() as u64,
            base_version,
            version: self.version,
            counters: self.changes_since(base_version),
            coverage: self.coverage(now),
            present_nodes: member_count as u32,
            observation_counts: self.observation_counts_for(from),
        })
    }

    fn is_outdated(&self, from: &Name, report: &Report) -> bool {
        self.reporters.get(from).is_some_and(|known| {
            known.incarnation > report.incarnation
                || known.incarnation == report.incarnation && known.seq >= report.seq
        })
    }

    /// Returns true if a report that is not outdated can be added: its counters follow from it and
    /// the previous report, and there is room for its node.
    fn can_apply(&self, from: &Name, report: &Report, settings: &ReportingSettings) -> bool {
        let is_full = report.base_seq == 0;
        match self.reporters.get(from) {
            Some(known) if known.incarnation == report.incarnation => {
                is_full || report.base_seq <= known.seq
            }
            Some(_) => is_full,
            None => is_full && self.reporters.len() < settings.max_reporters,
        }
    }

    fn apply_report(
        &mut self,
        from: &Name,
        report: Report,
        settings: &ReportingSettings,
        now: Duration,
    ) {
        let previous = self
            .remove(from)
            .map(|reporter| reporter.counters)
            .unwrap_or_default();
        let mut counters = if report.base_seq == 0 {
            SketchCounters::default()
        } else {
            previous.clone()
        };
        counters.apply_changes(&report.counters);
        // A stamp of this aggregator's earlier incarnation is of another clock and gives no time.
        // The time is limited to `now` because no report was made in the future.
        let made_at = report
            .echo
            .filter(|_| report.known_sum.incarnation == self.incarnation)
            .map(|echo| {
                let elapsed = Duration::from_millis(u64::from(echo.elapsed_ms));
                (Duration::from_millis(echo.stamp) + settings.lower_bound(elapsed)).min(now)
            });
        let reporter = ReporterState {
            incarnation: report.incarnation,
            seq: report.seq,
            site: report.site,
            counters,
            made_at,
            received_at: now,
            observations: report.observations.into_iter().take(MAX_SERVICES).collect(),
        };
        self.insert(from, reporter, &previous);
    }

    /// Adds a node to the sum, and marks the counters that differ from its previous ones as
    /// changed.
    fn insert(&mut self, name: &Name, reporter: ReporterState, previous: &SketchCounters) {
        self.mark_changed(&reporter.counters.changes_from(&std::iter::once(previous)));
        self.sum.add(&reporter.counters);
        if let Some(made_at) = reporter.made_at {
            self.by_made_at.insert((made_at, name.clone()));
        }
        self.by_received_at
            .insert((reporter.received_at, name.clone()));
        for observation in &reporter.observations {
            if let Some(sites) = self
                .health_by_site
                .get_mut(usize::from(observation.service))
            {
                sites
                    .entry(reporter.site.clone())
                    .or_default()
                    .add(observation.health);
            }
        }
        self.reporters.insert(name.clone(), reporter);
    }

    /// Removes a node from the sum, without marking counters as changed.
    fn remove(&mut self, name: &Name) -> Option<ReporterState> {
        let reporter = self.reporters.remove(name)?;
        self.sum.subtract(&reporter.counters);
        if let Some(made_at) = reporter.made_at {
            self.by_made_at.remove(&(made_at, name.clone()));
        }
        self.by_received_at
            .remove(&(reporter.received_at, name.clone()));
        for observation in &reporter.observations {
            let Some(sites) = self
                .health_by_site
                .get_mut(usize::from(observation.service))
            else {
                continue;
            };
            let counts = sites.entry(reporter.site.clone()).or_default();
            counts.remove(observation.health);
            if counts.total() == 0 {
                sites.remove(&reporter.site);
            }
        }
        Some(reporter)
    }

    /// Removes nodes whose reports are too old.
    fn remove_expired(&mut self, now: Duration, max_age: Duration) {
        let expired = |(time, _): &&(Duration, Name)| *time + max_age < now;
        while let Some((_, name)) = self.by_made_at.first().filter(expired).cloned() {
            self.remove_and_mark(&name);
        }
        while let Some((_, name)) = self.by_received_at.first().filter(expired).cloned() {
            self.remove_and_mark(&name);
        }
    }

    fn remove_and_mark(&mut self, name: &Name) {
        if let Some(removed) = self.remove(name) {
            self.mark_changed(&removed.counters.nonzero_changes());
        }
    }

    /// Starts a new version of the sum in which these counters have changed.
    fn mark_changed(&mut self, changes: &[CounterChange]) {
        self.version += 1;
        for change in changes {
            self.changed_in[usize::from(change.index)] = self.version;
        }
    }

    /// Returns the counters of the sum that changed after a version or, for version 0, all that are
    /// not zero.
    fn changes_since(&self, base_version: u64) -> Vec<CounterChange> {
        (0..SKETCH_COUNTERS)
            .filter(|index| base_version == 0 || self.changed_in[*index] > base_version)
            .map(|index| CounterChange {
                index: index as u8,
                count: self.sum.get(index),
            })
            .filter(|change| base_version > 0 || change.count > 0)
            .collect()
    }

    fn coverage(&self, now: Duration) -> Coverage {
        let oldest_age = self
            .by_made_at
            .first()
            .map_or(Duration::ZERO, |(made_at, _)| now.saturating_sub(*made_at));
        Coverage {
            nodes: self.by_made_at.len() as u32,
            oldest_age_ms: oldest_age.as_millis() as u32 + 1,
        }
    }

    /// Returns the observations of all dependencies by nodes other than the receiver.
    fn observation_counts_for(&self, receiver: &Name) -> Vec<ServiceObservationCounts> {
        (0..MAX_SERVICES as ServiceId)
            .filter_map(|service| {
                let counts = self.service_counts_for(receiver, service)?;
                Some(ServiceObservationCounts { service, counts })
            })
            .collect()
    }

    fn service_counts_for(&self, receiver: &Name, service: ServiceId) -> Option<ObservationCounts> {
        let sites = self
            .health_by_site
            .get(usize::from(service))
            .filter(|sites| !sites.is_empty())?;
        let Some(own) = self.reporters.get(receiver) else {
            return Some(ObservationCounts::new(
                HealthCounts::default(),
                sites.values().copied(),
            ));
        };
        let mut same_site = sites.get(&own.site).copied().unwrap_or_default();
        for observation in own.observations.iter().filter(|o| o.service == service) {
            same_site.remove(observation.health);
        }
        let other_sites = sites
            .iter()
            .filter(|(site, _)| **site != own.site)
            .map(|(_, counts)| *counts);
        Some(ObservationCounts::new(same_site, other_sites))
    }
}
