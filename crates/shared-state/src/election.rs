//! Who grants: a lease on being the granter, given by a majority of the keepers (as `PaxosLease` does). Keepers keep nothing
//! on a disk: one that started anew says nothing until all that it may have promised before has run out.

use std::collections::BTreeSet;
use std::time::Duration;

use membership::Name;
use serde::{Deserialize, Serialize};

use crate::Terms;

/// A try to be the granter. Every keeper numbers its own, so no two are equal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Higher than any that the keeper has heard of.
    pub number: u64,
    /// Its keeper, by its place in the list.
    pub keeper: u8,
}

/// What keepers tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// Would you take me?
    Prepare(Term),
    /// I would, and hold this one's lease at present, if any.
    Promise(Term, Option<Name>),
    /// I have promised this one.
    Promised(Term),
    /// Take me.
    Propose(Term),
    /// You have it, of me.
    Accept(Term),
}

#[derive(Clone, Debug)]
enum Try {
    /// Promises asked for, so far from these.
    Prepared(BTreeSet<Name>),
    /// Proposed at this time, accepted so far by these.
    Proposed(Duration, BTreeSet<Name>),
}

/// One keeper's part in choosing the granter, or that of a node that is no keeper.
#[derive(Clone, Debug)]
pub struct Election {
    terms: Terms,
    me: Name,
    keepers: Vec<Name>,
    /// It promises nothing before.
    mute: Duration,
    promised: Term,
    /// The lease that it gave: whose, and until when it counts.
    given: Option<(Name, Duration)>,
    tried: Option<(Term, Try)>,
    /// Its own reign: the term that it began with, its begin, and its end by this clock.
    reign: Option<(Term, Duration, Duration)>,
    next_try: Duration,
    /// The granter that was heard last, its term and when.
    heard: Option<(Name, Term, Duration)>,
}

impl Election {
    /// A node that has just started.
    pub fn new(terms: Terms, me: Name, keepers: Vec<Name>, now: Duration) -> Election {
        let mute = now + terms.over(terms.reign);
        Election {
            terms,
            me,
            keepers,
            mute,
            promised: Term::default(),
            given: None,
            tried: None,
            reign: None,
            next_try: mute,
            heard: None,
        }
    }
    fn place(&self) -> Option<u8> {
        self.keepers
            .iter()
            .position(|k| *k == self.me)
            .map(|at| at as u8)
    }
    /// It is no keeper before then: it promises nothing, and does not try.
    pub(crate) fn mute_until(&mut self, until: Duration) {
        (self.mute, self.next_try) = (until, until);
    }
    /// One of the keepers, by a draw.
    pub(crate) fn keeper(&self, draw: usize) -> Option<Name> {
        self.keepers.get(draw % self.keepers.len().max(1)).cloned()
    }
    fn majority(&self, of: &BTreeSet<Name>) -> bool {
        of.len() * 2 > self.keepers.len()
    }
    /// The term of this node's own reign and when it began, while it lasts.
    pub fn reigns(&self, now: Duration) -> Option<(Term, Duration)> {
        self.reign
            .filter(|(_, _, until)| now < *until)
            .map(|(term, since, _)| (term, since))
    }
    /// The granter that was heard of last, and its term.
    pub fn granter(&self, now: Duration) -> Option<(Name, Term)> {
        if let Some((term, _)) = self.reigns(now) {
            return Some((self.me.clone(), term));
        }
        let young = |at: &Duration| now.saturating_sub(*at) < self.terms.reign;
        self.heard
            .as_ref()
            .filter(|(_, _, at)| young(at))
            .map(|(name, term, _)| (name.clone(), *term))
    }
    /// A granter spoke under this term. True where it was not known.
    pub fn hear_granter(&mut self, name: &Name, term: Term, now: Duration) -> bool {
        if self
            .heard
            .as_ref()
            .is_some_and(|(_, known, _)| *known > term)
        {
            return false;
        }
        let new = self
            .heard
            .as_ref()
            .is_none_or(|(_, known, _)| *known < term);
        self.heard = Some((name.clone(), term, now));
        new
    }
    /// When [`Election::tick`] is due.
    pub fn next(&self) -> Duration {
        if self.place().is_some() {
            self.next_try
        } else {
            Duration::MAX
        }
    }

    /// Time has passed: tries to be the granter, or to stay it. `draw` spreads those that try at once, from 0 to 1.
    pub fn tick(&mut self, now: Duration, draw: f64, out: &mut Vec<(Name, Vote)>) {
        let Some(keeper) = self.place() else { return };
        if now < self.next_try {
            return;
        }
        let reigns = self.reigns(now).is_some();
        if !reigns {
            self.reign = None;
        }
        let third = self.terms.reign / 3;
        self.next_try = now
            + if reigns {
                third
            } else {
                third.mul_f64(0.5 + draw)
            };
        if !reigns && self.granter(now).is_some() {
            // Another is there. It is tried again when that one has been silent for so long.
            return;
        }
        let heard = self.heard.as_ref().map_or(0, |(_, term, _)| term.number);
        let term = Term {
            number: self.promised.number.max(heard) + 1,
            keeper,
        };
        self.tried = Some((term, Try::Prepared(BTreeSet::new())));
        for to in self.keepers.clone() {
            self.tell(to, Vote::Prepare(term), now, out);
        }
    }

    /// To others by a message, to itself at once.
    fn tell(&mut self, to: Name, vote: Vote, now: Duration, out: &mut Vec<(Name, Vote)>) {
        if to == self.me {
            self.hear(&to, vote, now, out);
        } else {
            out.push((to, vote));
        }
    }

    /// A keeper's vote came.
    pub fn hear(&mut self, from: &Name, vote: Vote, now: Duration, out: &mut Vec<(Name, Vote)>) {
        if self.place().is_none() || !self.keepers.contains(from) {
            return;
        }
        match vote {
            Vote::Prepare(term) => {
                if now < self.mute {
                    return;
                }
                let answer = if term < self.promised {
                    Vote::Promised(self.promised)
                } else {
                    self.promised = term;
                    let given = self.given.as_ref().filter(|(_, until)| now < *until);
                    Vote::Promise(term, given.map(|(name, _)| name.clone()))
                };
                self.tell(from.clone(), answer, now, out);
            }
            Vote::Promised(term) => {
                // The next try goes above.
                self.promised = self.promised.max(term);
            }
            Vote::Promise(term, given) => {
                let me = self.me.clone();
                let Some((tried, Try::Prepared(by))) = &mut self.tried else {
                    return;
                };
                if *tried != term || given.is_some_and(|name| name != me) {
                    return;
                }
                by.insert(from.clone());
                let by = by.clone();
                if self.majority(&by) {
                    // The reign counts from here, before anybody can have accepted.
                    self.tried = Some((term, Try::Proposed(now, BTreeSet::new())));
                    for to in self.keepers.clone() {
                        self.tell(to, Vote::Propose(term), now, out);
                    }
                }
            }
            Vote::Propose(term) => {
                if now < self.mute || term < self.promised {
                    return;
                }
                self.promised = term;
                self.given = Some((from.clone(), now + self.terms.over(self.terms.reign)));
                self.tell(from.clone(), Vote::Accept(term), now, out);
            }
            Vote::Accept(term) => {
                let Some((tried, Try::Proposed(at, by))) = &mut self.tried else {
                    return;
                };
                if *tried != term {
                    return;
                }
                by.insert(from.clone());
                let (at, by) = (*at, by.clone());
                if !self.majority(&by) {
                    return;
                }
                let until = at + self.terms.reign;
                if now < until {
                    let (first, since) = self.reigns(now).unwrap_or((term, now));
                    self.reign = Some((first, since, until));
                }
            }
        }
    }
}
