//! Election of the leader that grants quota. Leadership is a lease from a majority of the voters,
//! as in `PaxosLease`. Voters store nothing on disk: a voter that restarts abstains until
//! everything that it may have promised has expired.

use std::collections::BTreeSet;
use std::time::Duration;

use membership::Name;
use serde::{Deserialize, Serialize};

use crate::budgets::Outgoing;
use crate::LeaseTimings;

/// Number of renewals within the duration of a leadership: a lost renewal does not cause a change
/// of leader.
const RENEWALS_PER_LEADERSHIP: u32 = 3;
/// Minimum time between two candidacies of a voter, as a fraction of the renewal interval. A random
/// part is added to it.
const MIN_CANDIDACY_WAIT: f64 = 0.5;

/// Number of a candidacy. Each voter uses numbers of its own, so no two candidacies have the same
/// one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Higher than any number that the voter knew.
    pub number: u64,
    /// Index of the candidate in the list of voters.
    pub voter: u8,
}

/// A message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// A candidate requests a promise.
    Prepare(Term),
    /// The sender promises this term, and names the leader whose lease it has accepted if that
    /// lease has not expired.
    Promise(Term, Option<Name>),
    /// The sender has already promised this higher term.
    AlreadyPromised(Term),
    /// A candidate that has promises from a majority proposes itself as the leader.
    Propose(Term),
    /// The sender accepts the candidate as the leader.
    Accept(Term),
}

/// Phase of this voter's own candidacy.
#[derive(Clone, Debug)]
enum CandidacyPhase {
    Preparing {
        promised_by: BTreeSet<Name>,
    },
    Proposing {
        proposed_at: Duration,
        accepted_by: BTreeSet<Name>,
    },
}

#[derive(Clone, Debug)]
struct Candidacy {
    term: Term,
    phase: CandidacyPhase,
}

/// The leadership lease that this voter has accepted.
#[derive(Clone, Debug)]
struct AcceptedLease {
    leader: Name,
    expires_at: Duration,
}

/// This node's own leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLeadership {
    /// Term in which the leadership began. Renewals do not change it.
    pub term: Term,
    /// Time at which the leadership began.
    pub started_at: Duration,
    /// Time at which the leadership ends unless it is renewed.
    expires_at: Duration,
}

/// A leader and its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// Name of the node.
    pub name: Name,
    /// Term in which the node leads.
    pub term: Term,
}

/// A leader that this node knows from a message of the leader or of another node.
#[derive(Clone, Debug)]
struct ObservedLeader {
    name: Name,
    term: Term,
    observed_at: Duration,
}

/// A node's view of the election. Only voters take part in it.
#[derive(Clone, Debug)]
pub struct Election {
    timings: LeaseTimings,
    name: Name,
    voters: Vec<Name>,
    /// Time until which this node neither votes nor becomes a candidate.
    abstains_until: Duration,
    /// Highest term that this node has promised.
    promised: Term,
    accepted: Option<AcceptedLease>,
    candidacy: Option<Candidacy>,
    leadership: Option<OwnLeadership>,
    next_candidacy_at: Duration,
    observed: Option<ObservedLeader>,
}

impl Election {
    /// Creates the view of a node that has just started.
    pub fn new(timings: LeaseTimings, name: Name, voters: Vec<Name>, now: Duration) -> Election {
        let abstains_until = now + timings.upper_bound(timings.leadership_duration);
        Election {
            timings,
            name,
            voters,
            abstains_until,
            promised: Term::default(),
            accepted: None,
            candidacy: None,
            leadership: None,
            next_candidacy_at: abstains_until,
            observed: None,
        }
    }

    /// Neither votes nor becomes a candidate before `until`.
    pub(crate) fn abstain_until(&mut self, until: Duration) {
        self.abstains_until = until;
        self.next_candidacy_at = until;
    }

    /// Returns the voter that a random number selects.
    pub(crate) fn voter_by_draw(&self, draw: usize) -> Option<Name> {
        self.voters.get(draw % self.voters.len().max(1)).cloned()
    }

    /// Returns this node's own leadership if it has not expired.
    pub fn own_leadership(&self, now: Duration) -> Option<OwnLeadership> {
        self.leadership.filter(|own| now < own.expires_at)
    }

    /// Returns the leader that this node knows, if any.
    pub fn leader(&self, now: Duration) -> Option<KnownLeader> {
        if let Some(own) = self.own_leadership(now) {
            return Some(KnownLeader {
                name: self.name.clone(),
                term: own.term,
            });
        }
        let observed = self.observed.as_ref()?;
        let is_recent = now.saturating_sub(observed.observed_at) < self.timings.leadership_duration;
        is_recent.then(|| KnownLeader {
            name: observed.name.clone(),
            term: observed.term,
        })
    }

    /// Records that a leader is active in this term, unless a higher term is known. Returns true if
    /// the term is higher than any known one.
    pub fn observe_leader(&mut self, name: &Name, term: Term, now: Duration) -> bool {
        let known_term = self.observed.as_ref().map(|observed| observed.term);
        if known_term.is_some_and(|known| known > term) {
            return false;
        }
        self.observed = Some(ObservedLeader {
            name: name.clone(),
            term,
            observed_at: now,
        });
        known_term.is_none_or(|known| known < term)
    }

    /// Returns the time at which [`Election::handle_timeout`] is due.
    pub fn next_timeout(&self) -> Duration {
        if self.voter_index().is_some() {
            self.next_candidacy_at
        } else {
            Duration::MAX
        }
    }

    /// Starts a candidacy if no leader is known, or renews this node's own leadership. `draw` is a
    /// random number from 0 to 1; it spreads candidacies that would otherwise start at the same
    /// time.
    pub fn handle_timeout(&mut self, now: Duration, draw: f64, out: &mut Vec<Outgoing<Vote>>) {
        let Some(voter) = self.voter_index() else {
            return;
        };
        if now < self.next_candidacy_at {
            return;
        }
        let is_leader = self.own_leadership(now).is_some();
        if !is_leader {
            self.leadership = None;
        }
        let renewal_interval = self.timings.leadership_duration / RENEWALS_PER_LEADERSHIP;
        self.next_candidacy_at = now
            + if is_leader {
                renewal_interval
            } else {
                renewal_interval.mul_f64(MIN_CANDIDACY_WAIT + draw)
            };
        if !is_leader && self.leader(now).is_some() {
            // Another node leads. This is checked again until that node has been silent for long
            // enough.
            return;
        }
        let observed = self.observed.as_ref().map_or(0, |o| o.term.number);
        let term = Term {
            number: self.promised.number.max(observed) + 1,
            voter,
        };
        self.candidacy = Some(Candidacy {
            term,
            phase: CandidacyPhase::Preparing {
                promised_by: BTreeSet::new(),
            },
        });
        self.send_to_voters(&Vote::Prepare(term), now, out);
    }

    /// Handles a message of a voter. Messages of other nodes are ignored.
    pub fn handle_vote(
        &mut self,
        from: &Name,
        vote: Vote,
        now: Duration,
        out: &mut Vec<Outgoing<Vote>>,
    ) {
        if self.voter_index().is_none() || !self.voters.contains(from) {
            return;
        }
        match vote {
            Vote::Prepare(term) => self.handle_prepare(from, term, now, out),
            // The next candidacy uses a higher term.
            Vote::AlreadyPromised(term) => self.promised = self.promised.max(term),
            Vote::Promise(term, leader) => {
                if leader.is_none_or(|leader| leader == self.name) {
                    self.handle_promise(from, term, now, out);
                }
            }
            Vote::Propose(term) => self.handle_propose(from, term, now, out),
            Vote::Accept(term) => self.handle_accept(from, term, now),
        }
    }

    fn handle_prepare(
        &mut self,
        from: &Name,
        term: Term,
        now: Duration,
        out: &mut Vec<Outgoing<Vote>>,
    ) {
        if now < self.abstains_until {
            return;
        }
        let reply = if term < self.promised {
            Vote::AlreadyPromised(self.promised)
        } else {
            self.promised = term;
            let accepted = self.accepted.as_ref().filter(|a| now < a.expires_at);
            Vote::Promise(term, accepted.map(|a| a.leader.clone()))
        };
        self.send(from, reply, now, out);
    }

    fn handle_promise(
        &mut self,
        from: &Name,
        term: Term,
        now: Duration,
        out: &mut Vec<Outgoing<Vote>>,
    ) {
        let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.term == term) else {
            return;
        };
        let CandidacyPhase::Preparing { promised_by } = &mut candidacy.phase else {
            return;
        };
        promised_by.insert(from.clone());
        if !is_majority(promised_by, &self.voters) {
            return;
        }
        // The leadership is counted from this time, before any voter can have accepted it.
        candidacy.phase = CandidacyPhase::Proposing {
            proposed_at: now,
            accepted_by: BTreeSet::new(),
        };
        self.send_to_voters(&Vote::Propose(term), now, out);
    }

    fn handle_propose(
        &mut self,
        from: &Name,
        term: Term,
        now: Duration,
        out: &mut Vec<Outgoing<Vote>>,
    ) {
        if now < self.abstains_until || term < self.promised {
            return;
        }
        self.promised = term;
        self.accepted = Some(AcceptedLease {
            leader: from.clone(),
            expires_at: now + self.timings.upper_bound(self.timings.leadership_duration),
        });
        self.send(from, Vote::Accept(term), now, out);
    }

    fn handle_accept(&mut self, from: &Name, term: Term, now: Duration) {
        let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.term == term) else {
            return;
        };
        let CandidacyPhase::Proposing {
            proposed_at,
            accepted_by,
        } = &mut candidacy.phase
        else {
            return;
        };
        accepted_by.insert(from.clone());
        let expires_at = *proposed_at + self.timings.leadership_duration;
        if !is_majority(accepted_by, &self.voters) || now >= expires_at {
            return;
        }
        let renewed = self.own_leadership(now);
        self.leadership = Some(OwnLeadership {
            term: renewed.map_or(term, |own| own.term),
            started_at: renewed.map_or(now, |own| own.started_at),
            expires_at,
        });
    }

    fn voter_index(&self) -> Option<u8> {
        self.voters
            .iter()
            .position(|voter| *voter == self.name)
            .map(|index| index as u8)
    }

    fn send_to_voters(&mut self, vote: &Vote, now: Duration, out: &mut Vec<Outgoing<Vote>>) {
        for voter in self.voters.clone() {
            self.send(&voter, vote.clone(), now, out);
        }
    }

    /// Sends a message to a voter. A message to this node itself is handled immediately.
    fn send(&mut self, to: &Name, vote: Vote, now: Duration, out: &mut Vec<Outgoing<Vote>>) {
        if *to == self.name {
            self.handle_vote(to, vote, now, out);
        } else {
            out.push(Outgoing {
                to: to.clone(),
                message: vote,
            });
        }
    }
}

fn is_majority(names: &BTreeSet<Name>, voters: &[Name]) -> bool {
    names.len() * 2 > voters.len()
}
