//! What the views come to once the network has healed and nobody is suspected without a cause.

use membership::member_state::{declare_dead, suspect};
use membership::{Liveness, MemberState};

use crate::state::{FleetState, SentState};
use crate::{InjectedBug, MembershipModel};

/// Rounds after which views that still change are taken to change for ever.
const MAX_ROUNDS: usize = 16;

impl MembershipModel {
    /// The state that the fleet settles in once the network has healed; none if it never settles.
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

    /// A member finds out who runs, and sends all that it knows to all others.
    fn exchange_states(&self, fleet: &mut FleetState, sender: usize) {
        self.reclaim_name(fleet, sender);
        let member_count = fleet.members.len();
        for subject in 0..member_count {
            if subject != sender && !fleet.members[subject].is_running {
                let known = &mut fleet.members[sender].known[subject];
                *known = known.map(|state| self.fail_probe(state));
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

    /// A member that gave way probes the process that uses its name. In the model one process of a name runs, so the other
    /// one is dead.
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

    /// What a member concludes of one that does not run.
    fn fail_probe(&self, known: MemberState) -> MemberState {
        let suspected = suspect(&known).unwrap_or(known);
        match declare_dead(&suspected) {
            Some(dead) if !self.has_bug(InjectedBug::NeverDeclareDead) => dead,
            _ => suspected,
        }
    }
}
