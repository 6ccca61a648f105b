//! The reporting node's side: one session with each aggregator that it reports to.

use std::collections::VecDeque;
use std::time::Duration;

use membership::Name;

use super::message::{AggregateReply, EchoedStamp, Report, ServiceObservation, SumVersion};
use super::settings::ReportingSettings;
use super::ServiceObservationCounts;
use crate::sketch_counters::SketchCounters;

/// Maximum number of reports that await a reply. A reply to an older report is too late to be
/// useful.
pub(super) const MAX_UNANSWERED_REPORTS: usize = 8;

/// The node that reports.
pub(super) struct LocalNode {
    pub(super) name: Name,
    pub(super) site: Name,
    pub(super) incarnation: u64,
    /// Sequence number of the last report. All aggregators share one sequence, because an
    /// aggregator that is selected again still knows an earlier number.
    pub(super) seq: u32,
}

/// A report that has not been answered yet.
struct SentReport {
    seq: u32,
    sent_at: Duration,
    counters: SketchCounters,
}

/// The last report that the aggregator is known to hold. Its sequence number is 0 if there is none.
#[derive(Default)]
struct HeldReport {
    seq: u32,
    counters: SketchCounters,
}

/// The time stamp of the aggregator's last reply.
struct ReceivedStamp {
    stamp: u64,
    received_at: Duration,
}

/// The last sum received from an aggregator.
#[derive(Default)]
pub(super) struct ReceivedSum {
    pub(super) version: SumVersion,
    pub(super) counters: SketchCounters,
    /// This node's own counters in the sum.
    pub(super) own: SketchCounters,
    /// Lower bound of the time as of which each node is counted, on this node's clock.
    pub(super) as_of: Duration,
    pub(super) covered_nodes: u32,
    pub(super) present_nodes: u32,
    pub(super) observation_counts: Vec<ServiceObservationCounts>,
}

/// A reporting node's session with one aggregator.
pub(super) struct ReportingSession {
    aggregator: Name,
    unanswered: VecDeque<SentReport>,
    held: HeldReport,
    last_stamp: Option<ReceivedStamp>,
    sum: ReceivedSum,
}

impl ReportingSession {
    pub(super) fn new(aggregator: Name) -> ReportingSession {
        ReportingSession {
            aggregator,
            unanswered: VecDeque::new(),
            held: HeldReport::default(),
            last_stamp: None,
            sum: ReceivedSum::default(),
        }
    }

    /// Returns the name of the aggregator.
    pub(super) fn aggregator(&self) -> &Name {
        &self.aggregator
    }

    /// Returns the last sum received.
    pub(super) fn sum(&self) -> &ReceivedSum {
        &self.sum
    }

    /// Creates the node's next report to this aggregator.
    pub(super) fn next_report(
        &mut self,
        local: &LocalNode,
        counters: &SketchCounters,
        observations: &[ServiceObservation],
        now: Duration,
    ) -> Report {
        let report = Report {
            incarnation: local.incarnation,
            seq: local.seq,
            base_seq: self.held.seq,
            echo: self.last_stamp.as_ref().map(|last| EchoedStamp {
                stamp: last.stamp,
                elapsed_ms: now.saturating_sub(last.received_at).as_millis() as u32,
            }),
            known_sum: self.sum.version,
            counters: if self.held.seq == 0 {
                counters.nonzero_changes()
            } else {
                // The aggregator may hold any report sent since the last one that it is known to
                // hold. A counter that has changed and is back at its known value is therefore sent
                // as well.
                let may_be_held = std::iter::once(&self.held.counters)
                    .chain(self.unanswered.iter().map(|sent| &sent.counters));
                counters.changes_from(&may_be_held)
            },
            observations: observations.to_vec(),
            site: local.site.clone(),
        };
        if self.unanswered.len() >= MAX_UNANSWERED_REPORTS {
            self.unanswered.pop_front();
            // The aggregator may hold the report that is dropped here, so the next report has to be
            // full.
            self.held = HeldReport::default();
        }
        self.unanswered.push_back(SentReport {
            seq: local.seq,
            sent_at: now,
            counters: counters.clone(),
        });
        report
    }

    /// Applies a reply. Returns false if the reply is outdated, is a duplicate or is based on a sum
    /// that this node does not have.
    pub(super) fn apply_reply(
        &mut self,
        reply: AggregateReply,
        settings: &ReportingSettings,
        now: Duration,
    ) -> bool {
        let sent = self.unanswered.iter().find(|sent| sent.seq == reply.seq);
        let Some(sent_at) = sent.map(|sent| sent.sent_at) else {
            return false;
        };
        if !self.can_apply(&reply) {
            return false;
        }
        let own = self.reported_counters(reply.held_seq);
        self.last_stamp = Some(ReceivedStamp {
            stamp: reply.stamp,
            received_at: now,
        });
        self.held = own
            .clone()
            .map_or_else(HeldReport::default, |counters| HeldReport {
                seq: reply.held_seq,
                counters,
            });
        let held_seq = self.held.seq;
        self.unanswered.retain(|sent| sent.seq > held_seq);
        let oldest_age = Duration::from_millis(u64::from(reply.coverage.oldest_age_ms));
        let as_of = sent_at.saturating_sub(settings.upper_bound(oldest_age));
        self.replace_sum(reply, own.unwrap_or_default(), as_of);
        true
    }

    /// Replaces the sum by that of a reply, which contains either all of it or the changes since
    /// the known sum.
    fn replace_sum(&mut self, reply: AggregateReply, own: SketchCounters, as_of: Duration) {
        let mut counters = if reply.base_version == 0 {
            SketchCounters::default()
        } else {
            std::mem::take(&mut self.sum.counters)
        };
        counters.apply_changes(&reply.counters);
        self.sum = ReceivedSum {
            version: SumVersion {
                incarnation: reply.incarnation,
                version: reply.version,
            },
            counters,
            own,
            as_of,
            covered_nodes: reply.coverage.nodes,
            present_nodes: reply.present_nodes,
            observation_counts: reply.observation_counts,
        };
    }

    /// Returns true if a reply is not older than the known sum and is either based on it or
    /// complete.
    fn can_apply(&self, reply: &AggregateReply) -> bool {
        let known = self.sum.version;
        let is_same_aggregator = reply.incarnation == known.incarnation;
        if is_same_aggregator && reply.version < known.version {
            return false;
        }
        reply.base_version == 0 || is_same_aggregator && reply.base_version <= known.version
    }

    /// Returns the counters of this node's report that the aggregator holds, if they are still
    /// known.
    fn reported_counters(&self, seq: u32) -> Option<SketchCounters> {
        if seq == self.held.seq {
            return Some(self.held.counters.clone());
        }
        self.unanswered
            .iter()
            .find(|sent| sent.seq == seq)
            .map(|sent| sent.counters.clone())
    }
}
