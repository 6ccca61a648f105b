//! A model of fleet membership for the checker `stateright`: members crash and restart, also with a clock that went back,
//! suspect whom they like, and a network loses, duplicates and delays what they send. How a received state changes a view is
//! decided by the shipped functions of [`membership::member_state`].

mod actions;
mod healing;
mod reception;
mod state;

use stateright::{Model, Property};

pub use actions::Action;
pub use state::{FleetState, MemberProcess, SentState};

/// A bug put into the decisions on purpose, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Members do not refute false claims.
    NoRefutation,
    /// Members refute without raising their version.
    RefutationKeepsVersion,
    /// States are compared without their incarnations.
    IgnoreIncarnation,
    /// A suspicion never ends.
    NeverDeclareDead,
    /// A process that starts under a clock that went back keeps its early incarnation.
    KeepEarlyIncarnation,
    /// Incarnations have no random bits.
    NoRandomBits,
}

/// The bounds of the model, and its injected bug if it has one.
#[derive(Clone, Debug)]
pub struct MembershipModel {
    /// How many members the fleet has.
    pub member_count: usize,
    /// How many crashes happen in all; each is followed by a restart at any time, or never.
    pub max_crashes: u8,
    /// How many suspicions are raised in all, true or false.
    pub max_suspicions: u8,
    /// How many states are sent in all; each arrives never, once or often, at any time.
    pub max_sent: u8,
    /// What is wrong on purpose.
    pub injected_bug: Option<InjectedBug>,
}

impl MembershipModel {
    fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }
}

impl Model for MembershipModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        vec![FleetState::all_up(self.member_count)]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<Action>) {
        self.list_actions(state, actions);
    }

    fn next_state(&self, state: &FleetState, action: Action) -> Option<FleetState> {
        let next = self.apply(state, action)?;
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no older state overrides a newer one",
                |_, state: &FleetState| !state.has_regressed,
            ),
            Property::always(
                "once the network has healed, all views agree and are true",
                |model: &MembershipModel, state: &FleetState| {
                    model
                        .heal(state)
                        .is_some_and(|healed| healed.is_consistent())
                },
            ),
        ]
    }
}
