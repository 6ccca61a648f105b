//! The state of the modelled fleet.

use std::collections::BTreeSet;

use membership::member_state::new_incarnation;
use membership::{AdvertisedStatus, Liveness, MemberState};

/// A member's process and the states that it knows of all members, including its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberProcess {
    /// True if the process is running.
    pub is_running: bool,
    /// The state of the successor if another process uses its name.
    pub superseded_by: Option<MemberState>,
    /// The known states, indexed by member.
    pub known: Vec<Option<MemberState>>,
}

/// A state that a member sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SentState {
    /// Index of the member that the state is sent to.
    pub to: usize,
    /// Index of the member that the state describes.
    pub subject: usize,
    /// The state.
    pub state: MemberState,
}

/// The state of the whole fleet and its network.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FleetState {
    /// The members.
    pub members: Vec<MemberProcess>,
    /// States that are in transit or already delivered.
    pub sent: BTreeSet<SentState>,
    /// Number of crashes so far.
    pub crashes: u8,
    /// Number of suspicions raised so far.
    pub suspicions: u8,
    /// Number of states sent so far.
    pub sent_count: u8,
    /// True if any member ever replaced a newer state by an older one.
    pub has_regressed: bool,
}

/// Returns the state with which a process starts.
pub(crate) fn starting_state(incarnation: u64) -> MemberState {
    MemberState {
        incarnation,
        version: 0,
        status: AdvertisedStatus::Joining,
        liveness: Liveness::Alive,
    }
}

impl FleetState {
    /// Returns a fleet whose members are all running and know each other.
    pub(crate) fn with_all_members_up(member_count: usize) -> FleetState {
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

    /// Returns true if all running members know the same state of each other, as present, and know
    /// no member as present that is not running.
    pub fn is_consistent(&self) -> bool {
        let running = self.members.iter().filter(|member| member.is_running);
        let mut views = running.map(|member| &member.known);
        views.all(|known| (0..self.members.len()).all(|subject| self.is_correct(known, subject)))
    }

    fn is_correct(&self, known: &[Option<MemberState>], subject: usize) -> bool {
        let member = &self.members[subject];
        if member.is_running {
            let is_present = known[subject].is_some_and(|state| state.is_present());
            is_present && known[subject] == member.known[subject]
        } else {
            known[subject].is_none_or(|state| !state.is_present())
        }
    }
}
