//! How two processes of one node divide what the node may have: memory, places on the cores, calls at the ledger and
//! connections, cut into equal parts. Each part has a lock that one process holds at a time, so that the parts of both never
//! add up to more than the whole, whoever is killed, stopped or late, and what a process held is free the moment it ends.
//! What is decided here is only how many a process is to hold.

use crate::{Beside, State};

/// Parts of the whole.
pub const PARTS: u32 = 8;

/// How many parts a process is to hold: fewer than it has are let go at once, more are taken as far as they are free.
/// `used` are those that what it has in hand takes.
///
/// While both live the earlier one's only fall: to three quarters when the other starts, to half when that takes clients, to
/// what is in hand when it is told to end. The later one takes what that leaves.
pub fn parts(held: u32, used: u32, own: State, other: Beside) -> u32 {
    let least = |keep: u32| held.min(keep.max(used).min(PARTS));
    let about = |keep: u32| least(keep).max(keep);
    match (own, other) {
        (_, Beside::Nobody) => PARTS,
        (State::Leaving { .. }, _) => least(0),
        // Of one that leaves the rest is taken, as it lets go of it.
        (_, Beside::Leaving) => PARTS,
        (State::Starting { .. }, Beside::Idle) => about(PARTS / 2),
        (State::Starting { .. }, Beside::Taking) => about(PARTS / 4),
        (_, Beside::Idle) => least(PARTS / 4 * 3),
        (_, Beside::Taking) => about(PARTS / 2),
    }
}

/// So many parts of a count, at least one of anything where it has a part at all.
pub fn share(whole: usize, parts: u32) -> usize {
    if parts == 0 {
        0
    } else {
        (whole * parts.min(PARTS) as usize / PARTS as usize).max(1)
    }
}
