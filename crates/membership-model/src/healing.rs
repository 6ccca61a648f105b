//! The views after the network has healed, when no member is suspected without a cause.

use membership::member_state::{declare_dead, suspect};
use membership::{Liveness, MemberState};

use crate::state::{FleetState, SentState};
use crate::{InjectedBug, MembershipModel};

/// Number of rounds after which views that still change are assumed never to settle.
const MAX_ROUNDS: usize = 16;

impl MembershipModel {
    /// Returns the state in which the fleet settles after the network has healed, or `None` if it
    /// never settles.
    pub fn heal(&self, fleet: &FleetState) -> Option<FleetState> {
        let mut fleet = fleet.clone();
        for _ in 0..MAX_ROUNDS {
            let before = fleet.clone();
            for index in 0..fleet.members.len() {
                if fleet.members[index].is_running {
                    self.exchange_states(&mut fleet, index);
                }
            }
            if fleet == before {
                return Some(fleet);
            }
        }
        None
    }

    /// Lets a member find out which members are running, and sends all that it knows to all others.
    fn exchange_states(&self, fleet: &mut FleetState, sender: usize) {
        self.reclaim_name(fleet, sender);
        let member_count = fleet.members.len();
        for subject in 0..member_count {
            if subject != sender && !fleet.members[subject].is_running {
                let known = &mut fleet.members[sender].known[subject];
                *known = known.map(|state| self.conclude_failed_probe(state));
            }
            let Some(state) = fleet.members[sender].known[subject] else {
                continue;
            };
            for to in (0..member_count).filter(|to| *to != sender) {
                let sent = SentState { to, subject, state };
                self.deliver(fleet, &sent);
            }
        }
    }

    /// Lets a superseded member probe the process that uses its name. In the model only one process
    /// of a name runs, so the other one is dead.
    fn reclaim_name(&self, fleet: &mut FleetState, index: usize) {
        if let Some(successor) = fleet.members[index].superseded_by {
            let dead = SentState {
                to: index,
                subject: index,
                state: MemberState {
                    liveness: Liveness::Dead,
                    ..successor
                },
            };
            self.deliver(fleet, &dead);
        }
    }

    /// Returns the state that a member concludes for one that is not running.
    fn conclude_failed_probe(&self, known: MemberState) -> MemberState {
        let suspected = suspect(&known).unwrap_or(known);
        match declare_dead(&suspected) {
            Some(dead) if !self.has_bug(InjectedBug::NeverDeclareDead) => dead,
            _ => suspected,
        }
    }
}
