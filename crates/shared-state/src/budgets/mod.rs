//! The budgets of one node: its quotas and, while it is the leader, the lease tables.

mod message;
mod quota;
mod snapshot;

use std::time::Duration;

use membership::Name;

use crate::election::{Election, KnownLeader, Term, Vote};
use crate::lease_holder::{LeaseGrant, LeaseHolder, LeaseRequest};
use crate::lease_table::LeaseTable;
use crate::LeaseTimings;

pub use message::{HolderRequest, Message, Outgoing};
pub use quota::{GuaranteedQuota, LeasedQuota, QuotaConfig, QuotaUsage, SpendableQuota, Units};
pub use snapshot::{
    BudgetSnapshot, GuaranteedSnapshot, HolderSnapshot, LeaseSnapshot, SharedStateSnapshot,
};

/// Range to which a random draw from 0 to 1 is scaled to select a voter.
const VOTER_DRAW_RANGE: f64 = 4096.0;

/// The lease tables of one leadership, one for each budget.
#[derive(Clone, Debug)]
struct Leadership {
    term: Term,
    tables: Vec<LeaseTable>,
}

/// The budgets of a node: a state machine of messages and times, without I/O.
///
/// All times are those of the node's monotonic clock.
#[derive(Clone, Debug)]
pub struct Budgets {
    timings: LeaseTimings,
    name: Name,
    incarnation: u64,
    configs: Vec<QuotaConfig>,
    election: Election,
    /// The lease holder of each budget. All of them request together, so their sequence numbers are
    /// equal.
    holders: Vec<LeaseHolder>,
    /// Present while this node is the leader.
    leadership: Option<Leadership>,
    next_request_at: Duration,
    last_request_at: Duration,
}

impl Budgets {
    /// Creates the budgets of a node that starts. `voters` is an odd number of names, the same on
    /// all nodes.
    pub fn new(
        timings: LeaseTimings,
        name: Name,
        incarnation: u64,
        voters: Vec<Name>,
        configs: Vec<QuotaConfig>,
        now: Duration,
    ) -> Budgets {
        Budgets {
            holders: configs
                .iter()
                .map(|config| LeaseHolder::new(&timings, config.guaranteed_to(&name), now))
                .collect(),
            election: Election::new(timings.clone(), name.clone(), voters, now),
            timings,
            name,
            incarnation,
            configs,
            leadership: None,
            next_request_at: now,
            last_request_at: now,
        }
    }

    /// Returns the units of a budget that may be in use now.
    pub fn limit(&self, budget: usize, now: Duration) -> Units {
        self.holders
            .get(budget)
            .map_or(0, |holder| holder.limit(now))
    }

    /// Returns the quota that may be spent of a budget, as a value that can be published to other
    /// threads.
    pub fn spendable_quota(&self, budget: usize) -> Option<SpendableQuota> {
        self.holders.get(budget).map(LeaseHolder::spendable_quota)
    }

    /// Records the usage of a budget. If the demand has risen and exceeds the limit, more quota is
    /// requested soon.
    pub fn set_usage(&mut self, budget: usize, usage: QuotaUsage, now: Duration) {
        let Some(holder) = self.holders.get_mut(budget) else {
            return;
        };
        let demand = usage.demand;
        let needs_more = demand > holder.usage().demand && demand > holder.limit(now);
        holder.set_usage(usage);
        if needs_more {
            self.request_soon();
        }
    }

    /// Changes the totals, one for each budget. Guaranteed quotas change only with a restart.
    pub fn set_totals(&mut self, totals: &[Units]) {
        for (config, total) in self.configs.iter_mut().zip(totals) {
            config.total = *total;
        }
        if let Some(leadership) = &mut self.leadership {
            for (table, config) in leadership.tables.iter_mut().zip(&self.configs) {
                table.set_pool(config.pool());
            }
        }
    }

    /// Leaves the guaranteed quotas and the node's vote to a sibling process. Two processes that
    /// voted under one name, each from its own memory, could form two majorities.
    pub fn yield_to_sibling(&mut self) {
        self.election.abstain_until(Duration::MAX);
        for holder in &mut self.holders {
            holder.delay_guaranteed_quota(Duration::MAX);
        }
    }

    /// Takes over after the sibling process has ended. Its calls have ended after the maximum call
    /// duration, and its votes have expired after one leadership duration; from then on this
    /// process uses the guaranteed quotas and the vote.
    pub fn resume_after_sibling(&mut self, now: Duration) {
        let leadership = self.timings.upper_bound(self.timings.leadership_duration);
        self.election.abstain_until(now + leadership);
        let available_from = now + self.timings.upper_bound(self.timings.max_call_duration);
        for holder in &mut self.holders {
            holder.delay_guaranteed_quota(available_from);
        }
    }

    /// Returns the leader that this node knows, if any.
    pub fn leader(&self, now: Duration) -> Option<KnownLeader> {
        self.election.leader(now)
    }

    /// Returns the lease tables while this node is the leader.
    pub fn lease_tables(&self, now: Duration) -> Option<&[LeaseTable]> {
        let leadership = self.leadership.as_ref()?;
        self.election
            .own_leadership(now)
            .filter(|own| own.term == leadership.term)
            .map(|_| leadership.tables.as_slice())
    }

    /// Returns a copy of this node's state for tools, without an aggregate.
    pub fn snapshot(&self, now: Duration) -> SharedStateSnapshot {
        let tables = self.lease_tables(now);
        let budgets = self
            .configs
            .iter()
            .zip(&self.holders)
            .enumerate()
            .map(|(index, (config, holder))| {
                let table = tables.and_then(|tables| tables.get(index));
                BudgetSnapshot::new(config, holder, table, now)
            })
            .collect();
        SharedStateSnapshot {
            leader: self.leader(now).map(|leader| leader.name),
            budgets,
            aggregate: None,
        }
    }

    /// Returns the time at which [`Budgets::handle_timeout`] is due.
    pub fn next_timeout(&self) -> Duration {
        self.election.next_timeout().min(self.next_request_at)
    }

    /// Runs the election and sends the requests that are due. `draw` is a random number from 0 to
    /// 1. A new leadership is announced to `members`.
    pub fn handle_timeout(
        &mut self,
        now: Duration,
        draw: f64,
        members: &[Name],
        out: &mut Vec<Outgoing>,
    ) {
        let mut votes = Vec::new();
        self.election.handle_timeout(now, draw, &mut votes);
        send_votes(votes, out);
        self.update_leadership(now, members, out);
        if now >= self.next_request_at {
            self.request_leases(now, draw, out);
        }
    }

    /// Handles a message from a node, except for snapshot requests and aggregation, which the
    /// caller handles.
    pub fn handle_message(
        &mut self,
        from: &Name,
        message: Message,
        now: Duration,
        out: &mut Vec<Outgoing>,
    ) {
        match message {
            Message::Vote(vote) => {
                let mut votes = Vec::new();
                self.election.handle_vote(from, vote, now, &mut votes);
                send_votes(votes, out);
                self.update_leadership(now, &[], out);
            }
            Message::SnapshotRequest(_) | Message::SnapshotReply(..) | Message::Aggregation(_) => {}
            Message::Leader(leader, term) => {
                if leader != self.name && self.election.observe_leader(&leader, term, now) {
                    self.next_request_at = now;
                }
            }
            Message::LeaseRequest(request) => {
                if let Some(reply) = self.reply_to_request(from, &request, now) {
                    self.send(from, reply, now, out);
                }
            }
            Message::LeaseGrant { term, seq, units } => {
                self.election.observe_leader(from, term, now);
                self.apply_grants(seq, &units, now);
            }
        }
    }

    /// Creates the lease tables of a new leadership and drops those of one that has ended.
    fn update_leadership(&mut self, now: Duration, members: &[Name], out: &mut Vec<Outgoing>) {
        let Some(own) = self.election.own_leadership(now) else {
            self.leadership = None;
            return;
        };
        let term = own.term;
        if self.leadership.as_ref().is_some_and(|l| l.term == term) {
            return;
        }
        let tables = self
            .configs
            .iter()
            .map(|config| LeaseTable::new(&self.timings, config.pool(), own.started_at.max(now)))
            .collect();
        self.leadership = Some(Leadership { term, tables });
        for member in members.iter().filter(|member| **member != self.name) {
            out.push(Outgoing {
                to: member.clone(),
                message: Message::Leader(self.name.clone(), term),
            });
        }
    }

    /// Sends a request for quota to the leader. If no leader is known, sends it to a random voter,
    /// which may know the leader.
    fn request_leases(&mut self, now: Duration, draw: f64, out: &mut Vec<Outgoing>) {
        self.last_request_at = now;
        self.next_request_at = now + self.timings.request_interval;
        let random_voter = || {
            let name = self
                .election
                .voter_by_draw((draw * VOTER_DRAW_RANGE) as usize)?;
            // No leader grants anything in the default term.
            let term = Term::default();
            Some(KnownLeader { name, term })
        };
        let Some(leader) = self.leader(now).or_else(random_voter) else {
            return;
        };
        let requests: Vec<LeaseRequest> = self
            .holders
            .iter_mut()
            .map(|holder| holder.next_request(now))
            .collect();
        let Some(first) = requests.first() else {
            return;
        };
        let message = Message::LeaseRequest(HolderRequest {
            term: leader.term,
            incarnation: self.incarnation,
            seq: first.seq,
            applied_seq: first.applied_seq,
            usage: requests
                .iter()
                .map(|request| QuotaUsage {
                    in_use: request.in_use,
                    demand: request.demand,
                })
                .collect(),
        });
        self.send(&leader.name, message, now, out);
    }

    /// Schedules the next request for [`LeaseTimings::min_request_interval`] after the last one, if
    /// it is not due earlier.
    fn request_soon(&mut self) {
        let earliest = self.last_request_at + self.timings.min_request_interval;
        self.next_request_at = self.next_request_at.min(earliest);
    }

    /// Returns the answer to a holder's requests, or `None` for requests that are outdated or
    /// duplicates.
    fn reply_to_request(
        &mut self,
        from: &Name,
        request: &HolderRequest,
        now: Duration,
    ) -> Option<Message> {
        let Some(own) = self.election.own_leadership(now) else {
            // This node received the request because it is a voter.
            let leader = self.leader(now).filter(|_| *from != self.name)?;
            return Some(Message::Leader(leader.name, leader.term));
        };
        let leadership = self.leadership.as_mut().filter(|l| l.term == own.term)?;
        if request.term != leadership.term || request.usage.len() != leadership.tables.len() {
            return Some(Message::Leader(self.name.clone(), own.term));
        }
        let mut units = Vec::with_capacity(leadership.tables.len());
        for (table, usage) in leadership.tables.iter_mut().zip(&request.usage) {
            let lease_request = LeaseRequest {
                seq: request.seq,
                applied_seq: request.applied_seq,
                in_use: usage.in_use,
                demand: usage.demand,
            };
            let grant = table.grant_request(from, request.incarnation, lease_request, now)?;
            units.push(grant.units);
        }
        Some(Message::LeaseGrant {
            term: request.term,
            seq: request.seq,
            units,
        })
    }

    fn apply_grants(&mut self, seq: u64, units: &[Units], now: Duration) {
        if units.len() != self.holders.len() {
            return;
        }
        let mut limit_decreased = false;
        for (holder, units) in self.holders.iter_mut().zip(units) {
            let limit_before = holder.limit(now);
            holder.apply_grant(LeaseGrant { seq, units: *units });
            limit_decreased |= holder.limit(now) < limit_before;
        }
        if limit_decreased {
            // The leader can grant the returned units to others once it knows that this grant is in
            // force.
            self.request_soon();
        }
    }

    /// Sends a message to a node. A message to this node itself is handled immediately.
    fn send(&mut self, to: &Name, message: Message, now: Duration, out: &mut Vec<Outgoing>) {
        if *to == self.name {
            self.handle_message(to, message, now, out);
        } else {
            out.push(Outgoing {
                to: to.clone(),
                message,
            });
        }
    }
}

fn send_votes(votes: Vec<Outgoing<Vote>>, out: &mut Vec<Outgoing>) {
    out.extend(votes.into_iter().map(|vote| Outgoing {
        to: vote.to,
        message: Message::Vote(vote.message),
    }));
}
