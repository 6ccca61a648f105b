//! The actions of the modelled fleet.

use membership::member_state::{declare_dead, new_incarnation, suspect, INCARNATION_RANDOM_BITS};
use membership::{AdvertisedStatus, MemberState};

use crate::state::{starting_state, FleetState, MemberProcess, SentState};
use crate::{InjectedBug, MembershipModel};

/// An action in the modelled fleet. Members are identified by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A member suspects another one.
    Suspect {
        /// The member that suspects.
        by: usize,
        /// The member that is suspected.
        subject: usize,
    },
    /// A member's suspicion of another one expires.
    DeclareDead {
        /// The member that suspects.
        by: usize,
        /// The member that is declared dead.
        subject: usize,
    },
    /// A member sends the state that it knows of a member.
    Send {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The member whose state is sent.
        subject: usize,
    },
    /// A sent state is delivered, for the first time or again.
    Deliver(SentState),
    /// A process terminates without leaving.
    Crash(usize),
    /// A process starts again.
    Restart {
        /// The member.
        index: usize,
        /// True if the member's clock shows a time long before the previous start.
        clock_went_back: bool,
    },
    /// A member that has joined advertises that it is up.
    BecomeUp(usize),
}

impl MembershipModel {
    pub(crate) fn list_actions(&self, fleet: &FleetState, actions: &mut Vec<Action>) {
        for (index, member) in fleet.members.iter().enumerate() {
            if !member.is_running {
                for clock_went_back in [false, true] {
                    actions.push(Action::Restart {
                        index,
                        clock_went_back,
                    });
                }
                continue;
            }
            if fleet.crashes < self.max_crashes {
                actions.push(Action::Crash(index));
            }
            if member.superseded_by.is_none() {
                self.list_member_actions(fleet, index, actions);
            }
        }
        actions.extend(fleet.sent.iter().map(|sent| Action::Deliver(*sent)));
    }

    /// Lists the actions of a running member that has not been superseded.
    fn list_member_actions(&self, fleet: &FleetState, index: usize, actions: &mut Vec<Action>) {
        let member = &fleet.members[index];
        let own = member.known[index];
        if own.is_some_and(|state| state.status == AdvertisedStatus::Joining) {
            actions.push(Action::BecomeUp(index));
        }
        for (subject, known) in member.known.iter().enumerate() {
            let Some(known) = known else { continue };
            let is_other = subject != index;
            let may_suspect = fleet.suspicions < self.max_suspicions;
            if is_other && may_suspect && suspect(known).is_some() {
                actions.push(Action::Suspect { by: index, subject });
            }
            if is_other && declare_dead(known).is_some() {
                actions.push(Action::DeclareDead { by: index, subject });
            }
            if fleet.sent_count < self.max_sent {
                let receivers = (0..fleet.members.len()).filter(|to| *to != index);
                actions.extend(receivers.map(|to| Action::Send {
                    from: index,
                    to,
                    subject,
                }));
            }
        }
    }

    /// Returns the state after an action, or `None` if the action is not possible.
    pub(crate) fn apply(&self, fleet: &FleetState, action: Action) -> Option<FleetState> {
        let mut next = fleet.clone();
        match action {
            Action::Suspect { by, subject } => {
                next.suspicions += 1;
                let known = &mut next.members[by].known[subject];
                *known = known.and_then(|state| suspect(&state));
            }
            Action::DeclareDead { by, subject } => {
                let known = &mut next.members[by].known[subject];
                *known = known.and_then(|state| declare_dead(&state));
            }
            Action::Send { from, to, subject } => {
                let state = fleet.members[from].known[subject]?;
                next.sent_count += 1;
                next.sent.insert(SentState { to, subject, state });
            }
            Action::Deliver(sent) => self.deliver(&mut next, &sent),
            Action::Crash(index) => {
                next.crashes += 1;
                next.members[index].is_running = false;
            }
            Action::Restart {
                index,
                clock_went_back,
            } => next.members[index] = self.restarted_process(fleet, index, clock_went_back),
            Action::BecomeUp(index) => {
                let own = fleet.members[index].known[index]?;
                next.members[index].known[index] = Some(MemberState {
                    status: AdvertisedStatus::Up,
                    version: own.version + 1,
                    ..own
                });
            }
        }
        Some(next)
    }

    /// Returns a new process of a member. Its clock is past the previous incarnation, or long
    /// before it.
    fn restarted_process(
        &self,
        fleet: &FleetState,
        index: usize,
        clock_went_back: bool,
    ) -> MemberProcess {
        let previous = fleet.members[index].known[index].map_or(0, |state| state.incarnation);
        // Each process has its own random bits.
        let random = if self.has_bug(InjectedBug::NoRandomBits) {
            0
        } else {
            u64::from(fleet.crashes)
        };
        let clock = if clock_went_back {
            1
        } else {
            (previous >> INCARNATION_RANDOM_BITS) + 1
        };
        let mut known = vec![None; fleet.members.len()];
        known[index] = Some(starting_state(new_incarnation(clock, random)));
        MemberProcess {
            is_running: true,
            superseded_by: None,
            known,
        }
    }
}
