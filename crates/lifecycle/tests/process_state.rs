//! Tests of the process states under random transitions.

use lifecycle::{EndpointReport, ProcessState, Transition};
use quickcheck::{Gen, QuickCheck};

const TRANSITIONS: [Transition; 5] = [
    Transition::AcceptClients,
    Transition::Quiesce,
    Transition::Resume,
    Transition::ShutDown { replaced: false },
    Transition::ShutDown { replaced: true },
];

/// The transitions requested so far, recorded independently of [`ProcessState`].
#[derive(Default)]
struct History {
    accepts_clients: bool,
    is_quiesced: bool,
    /// Set once the process was told to shut down; true if it was replaced.
    shut_down: Option<bool>,
}

impl History {
    fn record(&mut self, transition: Transition) {
        match transition {
            Transition::AcceptClients => self.accepts_clients |= self.shut_down.is_none(),
            Transition::Quiesce if self.shut_down.is_none() => self.is_quiesced = true,
            Transition::Resume if self.shut_down.is_none() => self.is_quiesced = false,
            Transition::ShutDown { replaced } => {
                self.shut_down = self.shut_down.or(Some(replaced));
            }
            Transition::Quiesce | Transition::Resume => {}
        }
    }

    /// Returns true if the transition, which is already recorded in the history, is allowed.
    fn allows(&self, transition: Transition) -> bool {
        match (transition, self.shut_down) {
            (Transition::Resume, Some(_)) => false,
            (Transition::Quiesce, Some(replaced)) => !replaced,
            _ => true,
        }
    }

    fn agrees_with(&self, state: ProcessState) -> bool {
        let serves = self.accepts_clients && !self.is_quiesced;
        let is_healthy = match self.shut_down {
            None => serves,
            Some(replaced) => replaced && !self.is_quiesced,
        };
        let report = match (self.shut_down, self.accepts_clients, self.is_quiesced) {
            (Some(true), ..) | (None, false, _) => EndpointReport::Nothing,
            (Some(false), ..) | (None, true, true) => EndpointReport::Out,
            (None, true, false) => EndpointReport::Up,
        };
        state.accepts_clients() == (self.accepts_clients && self.shut_down.is_none())
            && state.may_consume() == (serves && self.shut_down.is_none())
            && state.is_healthy() == is_healthy
            && state.endpoint_report() == report
    }
}

fn states_match_history(selectors: Vec<u8>) -> bool {
    let mut state = ProcessState::default();
    let mut history = History::default();
    selectors.into_iter().all(|selector| {
        // A shutdown is selected in 2 of 16 cases only.
        let index = usize::from(selector % 16)
            .saturating_sub(11)
            .max(usize::from(selector % 3));
        let transition = TRANSITIONS[index];
        let before = state;
        let result = state.apply(transition);
        history.record(transition);
        let is_allowed = history.allows(transition);
        state = result.unwrap_or(state);
        let repeated = state.apply(transition);
        result.is_ok() == is_allowed
            && (is_allowed || state == before)
            && repeated.is_ok() == is_allowed
            && repeated.unwrap_or(state) == state
            && history.agrees_with(state)
    })
}

#[test]
fn state_matches_requested_transitions() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 16))
        .tests(5000)
        .quickcheck(states_match_history as fn(Vec<u8>) -> bool);
}
