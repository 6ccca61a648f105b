//! The budgets of one node: its parts, and where it reigns, the books.

use std::collections::BTreeMap;
use std::time::Duration;

use membership::Name;
use serde::{Deserialize, Serialize};

use crate::book::Book;
use crate::election::{Election, Term, Vote};
use crate::gather::{GatheredLook, Said};
use crate::part::{Ask, Grant, Part};
use crate::Terms;

/// Units of a budget: calls at once, or tries a second.
pub type Units = u64;

/// One budget as it is planned; the same on all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: Name,
    /// What all together may spend.
    pub total: Units,
    /// What is a node's own for good, whoever hears of it or not.
    pub floors: BTreeMap<Name, Units>,
}

impl Plan {
    /// What is nobody's own.
    pub fn pool(&self) -> Units {
        self.total.saturating_sub(self.floors.values().sum())
    }
}

/// The totals of all budgets, by their places.
pub type Totals = Vec<Units>;

/// What nodes tell each other about budgets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between keepers.
    Vote(Vote),
    /// A holder's asks, one for each budget: what it may be using and what it wants.
    Ask {
        /// The granter's term, as the holder knows it. One of another term is answered by the present one, and not taken up:
        /// it may tell of what was long ago.
        term: Term,
        /// The holder's life.
        life: u64,
        /// Rises with each.
        seq: u64,
        /// The ask whose answer the holder goes by.
        applied: u64,
        /// For each budget what it may be using, and what it wants.
        parts: Vec<(Units, Units)>,
    },
    /// A granter's answer.
    Grant {
        /// Its term.
        term: Term,
        /// The ask.
        seq: u64,
        /// For each budget what may be spent.
        units: Vec<Units>,
    },
    /// That one grants, under this term.
    Reigns(Name, Term),
    /// What do you hold? Asked by tools, under their number.
    Look(u32),
    /// What this node holds, and where it grants, what others hold.
    Looked(u32, Look),
    /// Counts and evidence, which budgets have nothing to do with.
    Gather(Said),
}

impl Message {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // These types into a growing buffer have no way to fail; nothing at all is no message.
        postcard::to_allocvec(self).unwrap_or_default()
    }
    /// The message that these bytes are, if they are one.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}

/// What a node tells of its budgets, for people.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Look {
    /// The granter that it knows.
    pub granter: Option<Name>,
    /// Its budgets.
    pub budgets: Vec<BudgetLook>,
    /// Counts and judgements, where they are shared.
    pub gathered: Option<GatheredLook>,
}

/// One budget as a node sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetLook {
    /// Its name.
    pub name: Name,
    /// The total, by this node's file.
    pub total: Units,
    /// This node's own for good, and whether it may be spent yet.
    pub floor: (Units, bool),
    /// What it holds on lease, and for how many milliseconds more.
    pub leased: (Units, u64),
    /// What it uses, and what it wants.
    pub in_use: (Units, Units),
    /// Where it grants: who is counted for how much, and wants how much; the largest first, some of them.
    pub holders: Vec<(Name, Units, Units)>,
    /// Where it grants: what all are counted for.
    pub counted: Units,
}

/// Holders told of at the most, as a datagram holds no more.
const LOOK: usize = 16;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Tell a member of the fleet.
    Tell(Name, Message),
}

/// What one part allows, as it can be read by anybody without asking again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spend {
    /// The floor, and from when it counts.
    pub floor: (Units, Duration),
    /// What is leased, and until when.
    pub leased: (Units, Duration),
}

impl Spend {
    /// What may be in use at this moment.
    pub fn limit(&self, now: Duration) -> Units {
        let floor = if now >= self.floor.1 { self.floor.0 } else { 0 };
        let leased = if now < self.leased.1 {
            self.leased.0
        } else {
            0
        };
        floor + leased
    }
}

/// One node's budgets.
#[derive(Clone, Debug)]
pub struct Budgets {
    terms: Terms,
    me: Name,
    life: u64,
    plans: Vec<Plan>,
    election: Election,
    parts: Vec<Part>,
    /// While it reigns: its term, and the books.
    books: Option<(Term, Vec<Book>)>,
    /// Seq numbers are one for all parts: they ask together.
    next_ask: Duration,
    last_ask: Duration,
}

impl Budgets {
    /// A node that starts. `keepers` are the same on all nodes, an odd number of names.
    pub fn new(
        terms: Terms,
        me: Name,
        life: u64,
        keepers: Vec<Name>,
        plans: Vec<Plan>,
        now: Duration,
    ) -> Budgets {
        let floor = |plan: &Plan| plan.floors.get(&me).copied().unwrap_or(0);
        Budgets {
            parts: plans
                .iter()
                .map(|plan| Part::new(&terms, floor(plan), now))
                .collect(),
            election: Election::new(terms.clone(), me.clone(), keepers, now),
            terms,
            me,
            life,
            plans,
            books: None,
            next_ask: now,
            last_ask: now,
        }
    }

    /// What may be in use of a budget.
    pub fn limit(&self, budget: usize, now: Duration) -> Units {
        self.parts.get(budget).map_or(0, |p| p.limit(now))
    }
    /// The same as a value to be published.
    pub fn spend(&self, budget: usize) -> Option<Spend> {
        self.parts.get(budget).map(|p| Spend {
            floor: p.floor(),
            leased: p.lease(),
        })
    }
    /// What is in use of a budget, and what could be. A want past what it has is asked for soon.
    pub fn wants(&mut self, budget: usize, in_use: Units, want: Units, now: Duration) {
        let Some(part) = self.parts.get_mut(budget) else {
            return;
        };
        let rises = want > part.want() && want > part.limit(now);
        part.wants(in_use, want);
        if rises {
            self.next_ask = self.next_ask.min(self.last_ask + self.terms.least);
        }
    }
    /// The totals are others from now on; floors change with a restart only.
    pub fn set_totals(&mut self, totals: &Totals) {
        for (plan, total) in self.plans.iter_mut().zip(totals) {
            plan.total = *total;
        }
        if let Some((_, books)) = &mut self.books {
            books
                .iter_mut()
                .zip(&self.plans)
                .for_each(|(book, plan)| book.set_pool(plan.pool()));
        }
    }
    /// Another process of this name lives: the floors are that one's, and so is the name's voice among the keepers. Two that
    /// promise under one name, each by its own memory, would make two majorities.
    pub fn beside_another(&mut self) {
        self.election.mute_until(Duration::MAX);
        self.parts
            .iter_mut()
            .for_each(|p| p.floor_from(Duration::MAX));
    }
    /// It has ended; what it began has after the longest time that a call may take, and what it promised after a reign.
    pub fn alone_from(&mut self, now: Duration) {
        self.election
            .mute_until(now + self.terms.over(self.terms.reign));
        let from = now + self.terms.over(self.terms.longest);
        self.parts.iter_mut().for_each(|p| p.floor_from(from));
    }
    /// The granter, as far as this node knows.
    pub fn granter(&self, now: Duration) -> Option<(Name, Term)> {
        self.election.granter(now)
    }
    /// The books, while this node reigns.
    pub fn books(&self, now: Duration) -> Option<&[Book]> {
        let (term, books) = self.books.as_ref()?;
        self.election
            .reigns(now)
            .filter(|(reign, _)| reign == term)
            .map(|_| books.as_slice())
    }
    /// What this node holds, for people.
    pub fn look(&self, now: Duration) -> Look {
        let books = self.books(now);
        let budget = |(at, (plan, part)): (usize, (&Plan, &Part))| {
            let (floor, from) = part.floor();
            let (leased, until) = part.lease();
            let left = until.saturating_sub(now);
            let book = books.and_then(|b| b.get(at));
            let mut holders: Vec<(Name, Units, Units)> = book.map_or(vec![], |b| {
                b.holders(now).map(|(n, c, w)| (n.clone(), c, w)).collect()
            });
            holders.sort_by_key(|(_, counted, _)| std::cmp::Reverse(*counted));
            holders.truncate(LOOK);
            BudgetLook {
                name: plan.name.clone(),
                total: plan.total,
                floor: (floor, now >= from),
                leased: (
                    if left.is_zero() { 0 } else { leased },
                    left.as_millis() as u64,
                ),
                in_use: part.used(),
                holders,
                counted: book.map_or(0, |b| b.counted(now)),
            }
        };
        let budgets = self
            .plans
            .iter()
            .zip(&self.parts)
            .enumerate()
            .map(budget)
            .collect();
        Look {
            granter: self.election.granter(now).map(|(name, _)| name),
            budgets,
            gathered: None,
        }
    }
    /// When [`Budgets::tick`] is due.
    pub fn next(&self) -> Duration {
        self.election.next().min(self.next_ask)
    }

    /// Time has passed. `draw` is from 0 to 1; `there` are the members that may want to hear who reigns.
    pub fn tick(&mut self, now: Duration, draw: f64, there: &[Name], out: &mut Vec<Out>) {
        let mut votes = Vec::new();
        self.election.tick(now, draw, &mut votes);
        self.send_votes(votes, out);
        self.look_at_reign(now, there, out);
        if now >= self.next_ask {
            self.ask(now, draw, out);
        }
    }

    fn send_votes(&mut self, votes: Vec<(Name, Vote)>, out: &mut Vec<Out>) {
        out.extend(
            votes
                .into_iter()
                .map(|(to, vote)| Out::Tell(to, Message::Vote(vote))),
        );
    }
    /// Opens the books of a reign that has begun, and closes those of one that has ended.
    fn look_at_reign(&mut self, now: Duration, there: &[Name], out: &mut Vec<Out>) {
        let Some((term, since)) = self.election.reigns(now) else {
            self.books = None;
            return;
        };
        if self.books.as_ref().is_none_or(|(of, _)| *of != term) {
            let books = self
                .plans
                .iter()
                .map(|plan| Book::new(&self.terms, plan.pool(), since.max(now)))
                .collect();
            self.books = Some((term, books));
            for to in there.iter().filter(|n| **n != self.me) {
                out.push(Out::Tell(
                    to.clone(),
                    Message::Reigns(self.me.clone(), term),
                ));
            }
        }
    }

    fn ask(&mut self, now: Duration, draw: f64, out: &mut Vec<Out>) {
        self.last_ask = now;
        self.next_ask = now + self.terms.ask;
        // Where no granter is known any keeper may know one; what it is asked under no term it grants nothing for.
        let keeper = || {
            self.election
                .keeper((draw * 4096.0) as usize)
                .map(|name| (name, Term::default()))
        };
        let Some((granter, term)) = self.election.granter(now).or_else(keeper) else {
            return;
        };
        let asks: Vec<Ask> = self.parts.iter_mut().map(|p| p.ask(now)).collect();
        let Some(first) = asks.first().copied() else {
            return;
        };
        let parts = asks.iter().map(|a| (a.using, a.want)).collect();
        let message = Message::Ask {
            term,
            life: self.life,
            seq: first.seq,
            applied: first.applied,
            parts,
        };
        let me = self.me.clone();
        if granter == self.me {
            self.hear(&me, message, now, out);
        } else {
            out.push(Out::Tell(granter, message));
        }
    }

    /// A member said something.
    pub fn hear(&mut self, from: &Name, message: Message, now: Duration, out: &mut Vec<Out>) {
        match message {
            Message::Vote(vote) => {
                let mut votes = Vec::new();
                self.election.hear(from, vote, now, &mut votes);
                self.send_votes(votes, out);
                self.look_at_reign(now, &[], out);
            }
            // Questions of tools are answered by who knows where they came from.
            Message::Look(_) | Message::Looked(..) | Message::Gather(_) => {}
            Message::Reigns(granter, term) => {
                if granter != self.me && self.election.hear_granter(&granter, term, now) {
                    self.next_ask = now;
                }
            }
            Message::Ask {
                term,
                life,
                seq,
                applied,
                parts,
            } => {
                let Some((reign, _)) = self.election.reigns(now) else {
                    // Asked as a keeper, by one that knows no granter.
                    if let Some((granter, term)) =
                        self.election.granter(now).filter(|_| from != &self.me)
                    {
                        self.tell(from, Message::Reigns(granter, term), now, out);
                    }
                    return;
                };
                let Some((of, books)) = self.books.as_mut().filter(|(of, _)| *of == reign) else {
                    return;
                };
                if term != *of || parts.len() != books.len() {
                    return self.tell(from, Message::Reigns(self.me.clone(), reign), now, out);
                }
                let mut units = Vec::with_capacity(parts.len());
                for (book, (using, want)) in books.iter_mut().zip(parts) {
                    let ask = Ask {
                        seq,
                        applied,
                        using,
                        want,
                    };
                    let Some(grant) = book.asked(from, life, ask, now) else {
                        return;
                    };
                    units.push(grant.units);
                }
                self.tell(from, Message::Grant { term, seq, units }, now, out);
            }
            Message::Grant { term, seq, units } => {
                self.election.hear_granter(from, term, now);
                if units.len() == self.parts.len() {
                    let mut less = false;
                    for (part, units) in self.parts.iter_mut().zip(units) {
                        let before = part.limit(now);
                        part.granted(Grant { seq, units });
                        less |= part.limit(now) < before;
                    }
                    if less {
                        // What was given back is the others' once the granter has heard that it was.
                        self.next_ask = self.next_ask.min(self.last_ask + self.terms.least);
                    }
                }
            }
        }
    }
    fn tell(&mut self, to: &Name, message: Message, now: Duration, out: &mut Vec<Out>) {
        if *to == self.me {
            let me = to.clone();
            self.hear(&me, message, now, out);
        } else {
            out.push(Out::Tell(to.clone(), message));
        }
    }
}
