//! A node's part in aggregation: it reports to two aggregators, and acts as an aggregator if
//! other nodes select it.

use std::time::Duration;

use membership::member_state::hash_name;
use membership::Name;

use super::aggregator::Aggregator;
use super::message::{AggregateReply, AggregationMessage, ServiceObservation, SumVersion};
use super::reporter::{LocalNode, ReportingSession, MAX_UNANSWERED_REPORTS};
use super::settings::ReportingSettings;
use super::snapshot::{AggregateSnapshot, CallCounts, CoverageSnapshot, HealthState};
use super::{Aggregate, LEDGER};
use crate::budgets::Outgoing;
use crate::sketch_counters::{SketchCounters, SKETCH_COUNTERS};

/// Number of aggregators that a node reports to, each at a different site.
const AGGREGATORS_PER_NODE: usize = 2;
/// Minimum time between two reports, as a fraction of the interval.
const MIN_INTERVAL_FRACTION: f64 = 0.8;
/// Largest random part that is added to the minimum time, as a fraction of the interval.
const RANDOM_INTERVAL_FRACTION: f64 = 0.2;
/// Estimated memory for one reporter without its counters, in bytes.
const REPORTER_OVERHEAD_BYTES: usize = 160;

/// A member that reports.
#[derive(Clone, Copy, Debug)]
pub struct ReportingMember<'a> {
    /// Name of the member.
    pub name: &'a Name,
    /// Site of the member.
    pub site: &'a Name,
}

/// A member that may be selected as an aggregator. The field order defines the order of preference.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AggregatorCandidate<'a> {
    name_hash: u64,
    name: &'a Name,
    site: &'a Name,
}

/// A node's part in aggregation: a state machine of messages and times, without I/O.
///
/// All times are those of the node's monotonic clock.
pub struct AggregationNode {
    settings: ReportingSettings,
    local: LocalNode,
    member_count: usize,
    sessions: Vec<ReportingSession>,
    aggregator: Aggregator,
    next_report_at: Duration,
    aggregate: Aggregate,
}

impl AggregationNode {
    /// Creates a node that starts.
    pub fn new(
        settings: ReportingSettings,
        name: Name,
        site: Name,
        incarnation: u64,
        now: Duration,
    ) -> AggregationNode {
        AggregationNode {
            settings,
            local: LocalNode {
                name,
                site,
                incarnation,
                seq: 0,
            },
            member_count: 1,
            sessions: Vec::new(),
            aggregator: Aggregator::new(incarnation),
            next_report_at: now,
            aggregate: Aggregate::default(),
        }
    }

    /// Sets the members that report, including this node. The aggregators are the first member by a
    /// hash of the names and the first of another site, so that nodes with the same view select the
    /// same.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = ReportingMember<'a>>) {
        let mut count: usize = 0;
        // The member with the lowest hash of each site. There are few sites.
        let mut candidates: Vec<AggregatorCandidate<'a>> = Vec::new();
        for ReportingMember { name, site } in members {
            count += 1;
            let candidate = AggregatorCandidate {
                name_hash: hash_name(name),
                name,
                site,
            };
            match candidates.iter_mut().find(|known| known.site == site) {
                Some(lowest) => *lowest = candidate.min(*lowest),
                None => candidates.push(candidate),
            }
        }
        candidates.sort();
        self.member_count = count.max(1);
        let selected: Vec<Name> = candidates
            .iter()
            .take(AGGREGATORS_PER_NODE)
            .map(|candidate| candidate.name.clone())
            .collect();
        self.sessions
            .retain(|session| selected.contains(session.aggregator()));
        for name in selected {
            if !self.aggregators().any(|known| *known == name) {
                self.sessions.push(ReportingSession::new(name));
                self.next_report_at = Duration::ZERO;
            }
        }
    }

    /// Returns the counts and observations of the other nodes.
    pub fn aggregate(&self) -> &Aggregate {
        &self.aggregate
    }

    /// Returns the members that this node reports to.
    pub fn aggregators(&self) -> impl Iterator<Item = &Name> {
        self.sessions.iter().map(ReportingSession::aggregator)
    }

    /// Returns the version of the sum of the reports that this node received as an aggregator.
    pub fn own_sum_version(&self) -> SumVersion {
        self.aggregator.sum_version()
    }

    /// Returns the nodes whose counts are, with a known age, in the sum of the reports that this
    /// node received as an aggregator.
    pub fn nodes_in_own_sum(&self) -> impl Iterator<Item = &Name> {
        self.aggregator.covered_nodes()
    }

    /// Returns a copy of this node's state for tools. The caller provides the health of the shared
    /// database and the counts of its own calls to it.
    pub fn snapshot(
        &self,
        now: Duration,
        ledger: HealthState,
        calls: CallCounts,
    ) -> AggregateSnapshot {
        let known = &self.aggregate;
        let is_recent = now < known.expires_at;
        AggregateSnapshot {
            aggregators: self.aggregators().cloned().collect(),
            aggregator: known.aggregator.clone().filter(|_| is_recent),
            age_ms: now.saturating_sub(known.as_of).as_millis() as u64,
            coverage: CoverageSnapshot {
                covered: known.covered_nodes,
                present: known.present_nodes,
            },
            max_in_flight: known.others.max_estimate(),
            ledger,
            calls,
            others: known.observation_counts(LEDGER, now),
        }
    }

    /// Returns the time at which [`AggregationNode::handle_timeout`] is due.
    pub fn next_timeout(&self) -> Duration {
        self.next_report_at
    }

    /// Returns an upper bound of the memory that aggregation takes on this node, including the
    /// reports of other nodes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let counters = SKETCH_COUNTERS * size_of::<u32>();
        let session = counters * (MAX_UNANSWERED_REPORTS + 3);
        let versions = SKETCH_COUNTERS * 2 * size_of::<u64>();
        self.aggregator.reporter_count() * (counters + REPORTER_OVERHEAD_BYTES)
            + self.sessions.len() * session
            + versions
    }

    /// Sends the present counters and observations to the aggregators if a report is due. `draw` is
    /// a random number from 0 to 1.
    pub fn handle_timeout(
        &mut self,
        now: Duration,
        counters: &SketchCounters,
        observations: &[ServiceObservation],
        draw: f64,
        out: &mut Vec<Outgoing<AggregationMessage>>,
    ) {
        if now < self.next_report_at {
            return;
        }
        // The interval is random, so that nodes that started at the same time do not report at the
        // same time.
        let fraction = MIN_INTERVAL_FRACTION + RANDOM_INTERVAL_FRACTION * draw;
        self.next_report_at = now + self.settings.interval(self.member_count).mul_f64(fraction);
        self.local.seq += 1;
        for index in 0..self.sessions.len() {
            let session = &mut self.sessions[index];
            let to = session.aggregator().clone();
            let report = session.next_report(&self.local, counters, observations, now);
            if to != self.local.name {
                out.push(Outgoing {
                    to,
                    message: AggregationMessage::Report(report),
                });
                continue;
            }
            let reply =
                self.aggregator
                    .handle_report(&to, report, &self.settings, self.member_count, now);
            if let Some(reply) = reply {
                self.handle_reply(&to, reply, now);
            }
        }
    }

    /// Handles a message from a member.
    pub fn handle_message(
        &mut self,
        from: &Name,
        message: AggregationMessage,
        now: Duration,
        out: &mut Vec<Outgoing<AggregationMessage>>,
    ) {
        match message {
            AggregationMessage::Report(report) => {
                let reply = self.aggregator.handle_report(
                    from,
                    report,
                    &self.settings,
                    self.member_count,
                    now,
                );
                out.extend(reply.map(|reply| Outgoing {
                    to: from.clone(),
                    message: AggregationMessage::Reply(reply),
                }));
            }
            AggregationMessage::Reply(reply) => self.handle_reply(from, reply, now),
        }
    }

    fn handle_reply(&mut self, from: &Name, reply: AggregateReply, now: Duration) {
        let session = self.sessions.iter_mut().find(|s| s.aggregator() == from);
        let Some(session) = session else {
            return;
        };
        if session.apply_reply(reply, &self.settings, now) {
            self.use_best_sum(now);
        }
    }

    /// Uses the recent sum that covers the most nodes. Of sums that cover the same number, it uses
    /// the newest.
    fn use_best_sum(&mut self, now: Duration) {
        let max_age = self.settings.max_age(self.member_count);
        let best = self
            .sessions
            .iter()
            .filter(|session| {
                let sum = session.sum();
                sum.covered_nodes > 0 && sum.as_of + max_age > now
            })
            .max_by_key(|session| (session.sum().covered_nodes, session.sum().as_of));
        let Some(session) = best else {
            return;
        };
        let sum = session.sum();
        let mut others = sum.counters.clone();
        others.subtract(&sum.own);
        self.aggregate = Aggregate {
            others,
            as_of: sum.as_of,
            expires_at: sum.as_of + max_age,
            covered_nodes: sum.covered_nodes,
            present_nodes: sum.present_nodes,
            aggregator: Some(session.aggregator().clone()),
            sum_version: sum.version,
            observation_counts: sum.observation_counts.clone(),
        };
    }
}
