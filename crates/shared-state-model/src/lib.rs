//! Shared budgets as a model for `stateright`: holders that ask, begin calls, crash and start again, a granter that is
//! followed by another, and a network that loses, doubles and delays. The book and the parts are the shipped ones. Who
//! reigns is given: one granter after the other, as the election promises.

use std::collections::BTreeSet;
use std::time::Duration;

use membership::Name;
use shared_state::{Ask, Book, Grant, Part, Terms};
use stateright::{Model, Property};

/// A fault put into the machines' use on purpose, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A new granter takes the pool for free.
    NoWait,
    /// Asks under an earlier granter's term are taken up.
    AnyTerm,
    /// A holder's lease counts from when the answer came.
    FromAnswer,
    /// Calls may last longer than is believed.
    LongCalls,
}

/// The model's bounds, and its flaw if it has one.
#[derive(Clone, Debug)]
pub struct Sharing {
    /// Steps of time in all.
    pub steps: u64,
    /// Asks of all holders, over their lives.
    pub asks: u8,
    /// Crashes of holders in all.
    pub crashes: u8,
    /// Granters after the first.
    pub reigns: u8,
    /// What is wrong on purpose.
    pub flaw: Option<Flaw>,
}

/// The total; nobody has a floor.
const TOTAL: u64 = 1;

/// One step of time.
fn at(step: u64) -> Duration {
    Duration::from_millis(step)
}
fn terms() -> Terms {
    Terms {
        lease: at(3),
        ask: at(1),
        least: at(1),
        longest: at(1),
        reign: at(1),
        drift_ppm: 0,
    }
}
fn name(holder: usize) -> Name {
    format!("h{holder}").into()
}

/// A holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Its part, in this life.
    pub part: Part,
    /// Higher with each start.
    pub life: u64,
    /// The granter's term that it knows.
    pub term: u8,
    /// Asks so far.
    pub asks: u8,
    /// Calls of this life in hand.
    pub in_use: u64,
}

/// All there is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Steps of time so far.
    pub now: u64,
    /// The holders.
    pub holders: Vec<Holder>,
    /// The granter's book, and its term.
    pub book: Book,
    /// See `book`.
    pub term: u8,
    /// Asks on their way or delivered: of whom, in which life, under which term.
    pub asked: BTreeSet<(usize, u64, u8, Ask)>,
    /// Answers likewise, with the time at which they were first given.
    pub granted: BTreeSet<(usize, u64, u8, Grant)>,
    /// Calls at the service: whose, of which life, and when they have ended.
    pub calls: Vec<(usize, u64, u64)>,
    /// Crashes so far.
    pub crashes: u8,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time goes on.
    Step,
    /// A holder asks for all.
    Ask(usize),
    /// An ask arrives, now or again.
    Asked(usize, u64, u8, Ask),
    /// An answer arrives, now or again.
    Granted(usize, u64, u8, Grant),
    /// A holder begins a call.
    Begin(usize),
    /// A holder's process ends, and starts anew at once: later is no harder.
    Crash(usize),
    /// Another granter follows.
    Reign,
}

impl Sharing {
    fn longest(&self) -> u64 {
        if self.flaw == Some(Flaw::LongCalls) {
            4
        } else {
            1
        }
    }
    fn book(&self, now: u64) -> Book {
        match self.flaw {
            // As if it had reigned for long.
            Some(Flaw::NoWait) => Book::new(&terms(), TOTAL, Duration::ZERO),
            _ => Book::new(&terms(), TOTAL, at(now)),
        }
    }
}

/// Time begins late enough for what is counted back from it.
const FIRST: u64 = 10;

impl Model for Sharing {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder {
            part: Part::new(&terms(), 0, at(FIRST)),
            life: 1,
            term: 0,
            asks: 0,
            in_use: 0,
        };
        vec![State {
            now: FIRST,
            holders: vec![holder; 2],
            // The first granter has waited out what there was before it.
            book: Book::new(&terms(), TOTAL, Duration::ZERO),
            term: 0,
            asked: BTreeSet::new(),
            granted: BTreeSet::new(),
            calls: Vec::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < FIRST + self.steps {
            actions.push(Action::Step);
        }
        let asks: u8 = state.holders.iter().map(|h| h.asks).sum();
        for (h, holder) in state.holders.iter().enumerate() {
            if asks < self.asks {
                actions.push(Action::Ask(h));
            }
            if holder.in_use < holder.part.limit(at(state.now)) {
                actions.push(Action::Begin(h));
            }
            if state.crashes < self.crashes {
                actions.push(Action::Crash(h));
            }
        }
        actions.extend(
            state
                .asked
                .iter()
                .map(|(h, life, term, ask)| Action::Asked(*h, *life, *term, *ask)),
        );
        actions.extend(
            state
                .granted
                .iter()
                .map(|(h, life, term, g)| Action::Granted(*h, *life, *term, *g)),
        );
        if state.term < self.reigns {
            actions.push(Action::Reign);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let now = at(state.now);
        match action {
            Action::Step => {
                next.now += 1;
                for (h, holder) in next.holders.iter_mut().enumerate() {
                    let ended =
                        |c: &&(usize, u64, u64)| c.0 == h && c.1 == holder.life && c.2 <= next.now;
                    holder.in_use -= next.calls.iter().filter(ended).count() as u64;
                }
                next.calls.retain(|(.., end)| *end > next.now);
            }
            Action::Ask(h) => {
                let holder = &mut next.holders[h];
                holder.asks += 1;
                holder.part.wants(holder.in_use, TOTAL);
                let ask = holder.part.ask(now);
                next.asked.insert((h, holder.life, holder.term, ask));
            }
            Action::Asked(h, life, term, ask) => {
                // A second time it is passed over, as its number is known or its term is gone; so it need not be kept.
                if self.flaw != Some(Flaw::AnyTerm) {
                    next.asked.remove(&(h, life, term, ask));
                }
                if term != next.term && self.flaw != Some(Flaw::AnyTerm) {
                    // The holder hears who reigns; what it asked is not taken up.
                    next.holders[h].term = next.term;
                } else if let Some(grant) = next.book.asked(&name(h), life, ask, now) {
                    next.granted.insert((h, life, next.term, grant));
                }
            }
            Action::Granted(h, life, term, grant) => {
                // A second time it would be overtaken by itself.
                next.granted.remove(&(h, life, term, grant));
                let holder = &mut next.holders[h];
                if holder.life == life {
                    holder.term = holder.term.max(term);
                    let mut grant = grant;
                    if self.flaw == Some(Flaw::FromAnswer) {
                        // As if it had been asked for just now.
                        grant.seq = holder.part.ask(now).seq;
                    }
                    holder.part.granted(grant);
                }
            }
            Action::Begin(h) => {
                let holder = &mut next.holders[h];
                holder.in_use += 1;
                next.calls
                    .push((h, holder.life, state.now + self.longest()));
                next.calls.sort_unstable();
            }
            Action::Crash(h) => {
                next.crashes += 1;
                let holder = &mut next.holders[h];
                *holder = Holder {
                    part: Part::new(&terms(), 0, now),
                    life: holder.life + 1,
                    term: holder.term,
                    asks: holder.asks,
                    in_use: 0,
                };
            }
            Action::Reign => {
                next.term += 1;
                next.book = self.book(state.now);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "what is in hand never exceeds the total",
                |_, state: &State| state.calls.len() as u64 <= TOTAL,
            ),
            Property::always(
                "what may be spent never exceeds the total",
                |_, state: &State| {
                    state
                        .holders
                        .iter()
                        .map(|h| h.part.limit(at(state.now)))
                        .sum::<u64>()
                        <= TOTAL
                },
            ),
            Property::sometimes("all of the total is in hand", |_, state: &State| {
                state.calls.len() as u64 == TOTAL
            }),
            Property::sometimes("a part has moved", |_, state: &State| {
                let has = |h: usize| state.holders[h].part.limit(at(state.now)) == TOTAL;
                has(1) && state.holders[0].asks > 0 && !state.calls.is_empty()
            }),
        ]
    }
}
