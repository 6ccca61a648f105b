//! Handling of a received state by a member.

use membership::member_state::{evaluate_self_claim, merge, MergeOutcome, SelfClaim};
use membership::{Liveness, MemberState};

use crate::state::{FleetState, SentState};
use crate::{InjectedBug, MembershipModel};

impl MembershipModel {
    /// Delivers a state to the member that it was sent to.
    pub(crate) fn deliver(&self, fleet: &mut FleetState, sent: &SentState) {
        if !fleet.members[sent.to].is_running {
            return;
        }
        if sent.to == sent.subject {
            self.receive_self_claim(fleet, sent.to, &sent.state);
        } else {
            self.receive_state(fleet, sent);
        }
    }

    fn receive_self_claim(&self, fleet: &mut FleetState, index: usize, claim: &MemberState) {
        let member = &mut fleet.members[index];
        let Some(own) = member.known[index] else {
            return;
        };
        match evaluate_self_claim(&own, claim) {
            SelfClaim::Ignore => {}
            SelfClaim::Superseded => member.superseded_by = Some(*claim),
            SelfClaim::Refute(new) => {
                if !self.is_refutation_suppressed(&own, &new) {
                    member.known[index] = Some(new);
                    member.superseded_by = None;
                }
            }
        }
    }

    fn is_refutation_suppressed(&self, own: &MemberState, new: &MemberState) -> bool {
        match self.injected_bug {
            Some(InjectedBug::NoRefutation) => true,
            Some(InjectedBug::KeepEarlyIncarnation) => new.incarnation > own.incarnation,
            Some(InjectedBug::RefutationKeepsVersion) => new.incarnation == own.incarnation,
            _ => false,
        }
    }

    fn receive_state(&self, fleet: &mut FleetState, sent: &SentState) {
        let known = &mut fleet.members[sent.to].known[sent.subject];
        let before = *known;
        let mut compared = sent.state;
        if self.has_bug(InjectedBug::IgnoreIncarnation) {
            // Changes only the state used in the comparison, not the one that is stored.
            compared.incarnation = before.map_or(compared.incarnation, |state| state.incarnation);
        }
        match merge(before.as_ref(), &compared) {
            MergeOutcome::Ignore => {}
            MergeOutcome::Accept => *known = Some(sent.state),
            MergeOutcome::Suspect => {
                *known = Some(MemberState {
                    liveness: Liveness::Suspect,
                    ..sent.state
                });
            }
        }
        if let (Some(before), Some(after)) = (before, *known) {
            fleet.has_regressed |=
                (after.incarnation, after.version) < (before.incarnation, before.version);
        }
    }
}
