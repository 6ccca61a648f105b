//! A model of fleet membership for the model checker `stateright`. Members crash and restart, also
//! with a clock that went back, and suspect any other member. The network loses, duplicates and
//! delays what they send. The production functions of [`membership::member_state`] decide how a
//! received state changes a view.

mod actions;
mod healing;
mod reception;
mod state;

use stateright::{Model, Property};

pub use actions::Action;
pub use state::{FleetState, MemberProcess, SentState};

/// A bug that is deliberately added to the decisions, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Members do not refute false claims.
    NoRefutation,
    /// Members refute without raising their version.
    RefutationKeepsVersion,
    /// States are compared without their incarnations.
    IgnoreIncarnation,
    /// A suspicion never expires.
    NeverDeclareDead,
    /// A process that starts under a clock that went back keeps its early incarnation.
    KeepEarlyIncarnation,
    /// Incarnations have no random bits.
    NoRandomBits,
}

/// The bounds of the model, and an optional injected bug.
#[derive(Clone, Debug)]
pub struct MembershipModel {
    /// Number of members of the fleet.
    pub member_count: usize,
    /// Maximum total number of crashes. Each is followed by a restart at any time, or by none.
    pub max_crashes: u8,
    /// Maximum total number of suspicions, true or false.
    pub max_suspicions: u8,
    /// Maximum total number of states sent. Each is delivered never, once or several times, at any
    /// time.
    pub max_sent: u8,
    /// The injected bug, if any.
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
        vec![FleetState::with_all_members_up(self.member_count)]
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
                "after the network has healed, all views agree and are correct",
                |model: &MembershipModel, state: &FleetState| {
                    model
                        .heal(state)
                        .is_some_and(|healed| healed.is_consistent())
                },
            ),
        ]
    }
}
