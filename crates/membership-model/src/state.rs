//! The state of the modelled fleet.

use std::collections::BTreeSet;

use membership::member_state::new_incarnation;
use membership::{AdvertisedStatus, Liveness, MemberState};

/// A member's process, and what it knows of all members; of itself it knows its own state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberProcess {
    /// Whether the process runs.
    pub is_running: bool,
    /// The state of the process that it gave way to, if another one uses its name.
    pub superseded_by: Option<MemberState>,
    /// The known states, by the index of the member.
    pub known: Vec<Option<MemberState>>,
}

/// A state that a member sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SentState {
    /// The index of the member that it is sent to.
    pub to: usize,
    /// The index of the member that it describes.
    pub subject: usize,
    /// The state.
    pub state: MemberState,
}

/// The state of the whole fleet and its network.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FleetState {
    /// The members.
    pub members: Vec<MemberProcess>,
    /// States on their way or delivered already.
    pub sent: BTreeSet<SentState>,
    /// How many crashes have happened.
    pub crashes: u8,
    /// How many suspicions have been raised.
    pub suspicions: u8,
    /// How many states have been sent.
    pub sent_count: u8,
    /// Whether any member ever replaced a newer state by an older one.
    pub has_regressed: bool,
}

/// The state with which a process starts.
pub(crate) fn starting_state(incarnation: u64) -> MemberState {
    MemberState {
        incarnation,
        version: 0,
        status: AdvertisedStatus::Joining,
        liveness: Liveness::Alive,
    }
}

impl FleetState {
    /// A fleet whose members all run and know each other.
    pub(crate) fn all_up(member_count: usize) -> FleetState {
        let up = MemberState {
            status: AdvertisedStatus::Up,
            ..starting_state(new_incarnation(2, 0))
        };
        let member = MemberProcess {
            is_running: true,
            superseded_by: None,
            known: vec![Some(up); member_count],
        };
        FleetState {
            members: vec![member; member_count],
            sent: BTreeSet::new(),
            crashes: 0,
            suspicions: 0,
            sent_count: 0,
            has_regressed: false,
        }
    }

    /// Whether all running members know the same of each other, as present, and know no member as present that does not
    /// run.
    pub fn is_consistent(&self) -> bool {
        let running = self.members.iter().filter(|member| member.is_running);
        let mut views = running.map(|member| &member.known);
        views.all(|known| (0..self.members.len()).all(|subject| self.is_true(known, subject)))
    }

    fn is_true(&self, known: &[Option<MemberState>], subject: usize) -> bool {
        let member = &self.members[subject];
        if member.is_running {
            let is_present = known[subject].is_some_and(|state| state.is_present());
            is_present && known[subject] == member.known[subject]
        } else {
            known[subject].is_none_or(|state| !state.is_present())
        }
    }
}
