//! What members hold of each other as a model for `stateright`: members that crash and start again, also with a clock that
//! went back, accuse whom they like, and a network that loses, doubles and delays words. What becomes of a word is decided
//! by the shipped functions of [`membership::word`].

use std::collections::BTreeSet;

use membership::word::{accuse, give_up, life, of_me, take, OfMe, Take, Word};
use membership::{Said, Standing};
use stateright::{Model, Property};

/// A fault put into the decisions on purpose, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// The accused don't object.
    NoObjection,
    /// They object without raising their incarnation.
    SameIncarnation,
    /// Words are compared without their lives.
    IgnoreLife,
    /// A suspicion never ends.
    NeverGiveUp,
    /// A process that starts under a clock that went back stays with its early life.
    KeepEarlyLife,
    /// Lives have no part that is their process's own.
    NothingOwn,
}

/// The model's bounds, and its flaw if it has one.
#[derive(Clone, Debug)]
pub struct Views {
    /// Members.
    pub members: usize,
    /// Crashes in all, each followed by a start at any time or never.
    pub crashes: u8,
    /// Accusations in all, true or false.
    pub accusations: u8,
    /// Words sent in all; each may come never, once or often, at any time.
    pub words: u8,
    /// What is wrong on purpose.
    pub flaw: Option<Flaw>,
}

/// A member and what it holds of all; of itself it holds its own word.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its process runs.
    pub runs: bool,
    /// The later life of its name that it gave way to.
    pub silent: Option<Word>,
    /// Words held, by member.
    pub held: Vec<Option<Word>>,
}

/// All there is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The members.
    pub members: Vec<Member>,
    /// Words on their way or delivered: to whom, on whom, what.
    pub sent: BTreeSet<(usize, usize, Word)>,
    /// Used up of the bounds.
    pub crashes: u8,
    /// See `crashes`.
    pub accusations: u8,
    /// See `crashes`.
    pub words: u8,
    /// Some member once took an older word for a newer one.
    pub fell: bool,
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The first got no answer from the second.
    Accuse(usize, usize),
    /// The first's suspicion of the second ends.
    GiveUp(usize, usize),
    /// The first tells the second what it holds of the third.
    Tell(usize, usize, usize),
    /// A word arrives, now or again.
    Arrive(usize, usize, Word),
    /// A process ends without a word.
    Crash(usize),
    /// It starts again, with a clock that went back or not.
    Start(usize, bool),
    /// It has joined and says that it is up.
    Up(usize),
}

fn start_word(life: u64) -> Word {
    Word {
        life,
        incarnation: 0,
        said: Said::Joining,
        standing: Standing::Present,
    }
}

impl Views {
    fn hears(&self, state: &mut State, to: usize, on: usize, word: &Word) {
        let member = &mut state.members[to];
        if !member.runs {
            return;
        }
        if to == on {
            let Some(me) = member.held[to] else { return };
            match of_me(&me, word) {
                OfMe::Nothing => {}
                OfMe::Succeeded => member.silent = Some(*word),
                OfMe::Object(_) if self.flaw == Some(Flaw::NoObjection) => {}
                OfMe::Object(new)
                    if self.flaw == Some(Flaw::KeepEarlyLife) && new.life > me.life => {}
                OfMe::Object(new)
                    if self.flaw == Some(Flaw::SameIncarnation) && new.life == me.life => {}
                OfMe::Object(new) => (member.held[to], member.silent) = (Some(new), None),
            }
            return;
        }
        let held = member.held[on];
        let mut heard = *word;
        if self.flaw == Some(Flaw::IgnoreLife) {
            // What the comparison sees, not what is held.
            heard.life = held.map_or(heard.life, |h| h.life);
        }
        match take(held.as_ref(), &heard) {
            Take::Nothing => {}
            Take::Held => member.held[on] = Some(*word),
            Take::Suspect => {
                member.held[on] = Some(Word {
                    standing: Standing::Suspected,
                    ..*word
                });
            }
        }
        if let (Some(before), Some(after)) = (held, member.held[on]) {
            state.fell |= (after.life, after.incarnation) < (before.life, before.incarnation);
        }
    }

    /// The network is whole and nobody accuses without a cause: what the views come to. None where they never do.
    pub fn heal(&self, state: &State) -> Option<State> {
        let mut state = state.clone();
        let count = state.members.len();
        for _ in 0..16 {
            let before = state.clone();
            for from in 0..count {
                if !state.members[from].runs {
                    continue;
                }
                // One that gave way asks after that life, and in the model only one process of a name runs.
                if let Some(later) = state.members[from].silent {
                    let gone = Word {
                        standing: Standing::Gone,
                        ..later
                    };
                    self.hears(&mut state, from, from, &gone);
                }
                for on in 0..count {
                    if on != from && !state.members[on].runs {
                        let judged = state.members[from].held[on].map(|held| {
                            let accused = accuse(&held).unwrap_or(held);
                            match give_up(&accused) {
                                Some(gone) if self.flaw != Some(Flaw::NeverGiveUp) => gone,
                                _ => accused,
                            }
                        });
                        state.members[from].held[on] = judged;
                    }
                    let Some(word) = state.members[from].held[on] else {
                        continue;
                    };
                    for to in (0..count).filter(|to| *to != from) {
                        self.hears(&mut state, to, on, &word);
                    }
                }
            }
            if state == before {
                return Some(state);
            }
        }
        None
    }

    /// Whether a healed state is what it should be: all that run hold the same of each other, present, and hold nobody
    /// present who does not run.
    pub fn is_whole(state: &State) -> bool {
        let running: Vec<usize> = (0..state.members.len())
            .filter(|m| state.members[*m].runs)
            .collect();
        running.iter().all(|m| {
            (0..state.members.len()).all(|on| {
                let held = state.members[*m].held[on];
                if state.members[on].runs {
                    held.is_some_and(|w| w.present()) && held == state.members[on].held[on]
                } else {
                    held.is_none_or(|w| !w.present())
                }
            })
        })
    }
}

impl Model for Views {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let known: Vec<Option<Word>> = (0..self.members)
            .map(|_| {
                Some(Word {
                    said: Said::Up,
                    ..start_word(life(2, 0))
                })
            })
            .collect();
        let member = Member {
            runs: true,
            silent: None,
            held: known,
        };
        vec![State {
            members: vec![member; self.members],
            sent: BTreeSet::new(),
            crashes: 0,
            accusations: 0,
            words: 0,
            fell: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let count = state.members.len();
        for (m, member) in state.members.iter().enumerate() {
            if !member.runs {
                actions.extend([Action::Start(m, false), Action::Start(m, true)]);
                continue;
            }
            if state.crashes < self.crashes {
                actions.push(Action::Crash(m));
            }
            if member.silent.is_some() {
                continue;
            }
            if member.held[m].is_some_and(|w| w.said == Said::Joining) {
                actions.push(Action::Up(m));
            }
            for on in 0..count {
                let held = member.held[on];
                if on != m
                    && state.accusations < self.accusations
                    && held.is_some_and(|h| accuse(&h).is_some())
                {
                    actions.push(Action::Accuse(m, on));
                }
                if on != m && held.is_some_and(|h| give_up(&h).is_some()) {
                    actions.push(Action::GiveUp(m, on));
                }
                if held.is_some() && state.words < self.words {
                    actions.extend(
                        (0..count)
                            .filter(|to| *to != m)
                            .map(|to| Action::Tell(m, to, on)),
                    );
                }
            }
        }
        actions.extend(
            state
                .sent
                .iter()
                .map(|(to, on, word)| Action::Arrive(*to, *on, *word)),
        );
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Accuse(m, on) => {
                next.accusations += 1;
                next.members[m].held[on] = state.members[m].held[on].and_then(|held| accuse(&held));
            }
            Action::GiveUp(m, on) => {
                next.members[m].held[on] =
                    state.members[m].held[on].and_then(|held| give_up(&held));
            }
            Action::Tell(from, to, on) => {
                next.words += 1;
                next.sent.insert((to, on, state.members[from].held[on]?));
            }
            Action::Arrive(to, on, word) => self.hears(&mut next, to, on, &word),
            Action::Crash(m) => {
                next.crashes += 1;
                next.members[m].runs = false;
            }
            Action::Start(m, back) => {
                let was = state.members[m].held[m].map_or(0, |w| w.life);
                // Each process draws its own part; the clock is past the earlier life or long before it.
                let own = if self.flaw == Some(Flaw::NothingOwn) {
                    0
                } else {
                    u64::from(state.crashes)
                };
                let life = if back {
                    life(1, own)
                } else {
                    life((was >> 20) + 1, own)
                };
                let mut held = vec![None; state.members.len()];
                held[m] = Some(start_word(life));
                next.members[m] = Member {
                    runs: true,
                    silent: None,
                    held,
                };
            }
            Action::Up(m) => {
                let word = state.members[m].held[m]?;
                let up = Word {
                    said: Said::Up,
                    incarnation: word.incarnation + 1,
                    ..word
                };
                next.members[m].held[m] = Some(up);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no older word overrides a newer one", |_, state: &State| {
                !state.fell
            }),
            Property::always(
                "healed, all views are the same and true",
                |model: &Views, state: &State| {
                    model
                        .heal(state)
                        .is_some_and(|healed| Views::is_whole(&healed))
                },
            ),
        ]
    }
}
