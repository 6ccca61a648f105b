//! The division of a node's resources between its two processes: memory, concurrent runs, database
//! calls and connections, divided into equal shares. Each share has a lock that one process holds
//! at a time. The shares of both processes therefore never exceed the total, even if a process is
//! killed, stopped or delayed, and the shares of a process are free as soon as it exits. This
//! module only decides how many shares a process should hold.

use crate::{ProcessState, SiblingProcess};

/// Number of shares into which the node's resources are divided.
pub const TOTAL_SHARES: u32 = 8;

/// Returns the number of shares that a process should hold. The process releases surplus shares at
/// once and acquires missing ones as far as they are free. `in_use` is the number of shares that
/// its work in flight needs.
///
/// While both processes are running, the earlier one only releases shares: down to three quarters
/// when the other starts, to half when the other accepts clients, and to those in use when it shuts
/// down itself. The later one acquires the released shares.
pub fn target_shares(held: u32, in_use: u32, own: ProcessState, sibling: SiblingProcess) -> u32 {
    let release_down_to = |shares: u32| held.min(shares.max(in_use).min(TOTAL_SHARES));
    let adjust_to = |shares: u32| release_down_to(shares).max(shares);
    match (own, sibling) {
        (_, SiblingProcess::Absent) => TOTAL_SHARES,
        (ProcessState::ShuttingDown { .. }, _) => release_down_to(0),
        // A sibling that is shutting down releases its shares gradually; this process acquires all
        // of them.
        (_, SiblingProcess::ShuttingDown) => TOTAL_SHARES,
        (ProcessState::Starting { .. }, SiblingProcess::Idle) => adjust_to(TOTAL_SHARES / 2),
        (ProcessState::Starting { .. }, SiblingProcess::AcceptingClients) => {
            adjust_to(TOTAL_SHARES / 4)
        }
        (_, SiblingProcess::Idle) => release_down_to(TOTAL_SHARES / 4 * 3),
        (_, SiblingProcess::AcceptingClients) => adjust_to(TOTAL_SHARES / 2),
    }
}

/// Returns the number of shares of the client connections for a process that holds `held` shares of
/// the node's resources.
///
/// While both processes are running, each has at least one share and leaves at least one to the
/// other. The operating system hands new connections to either of them, and requests written to a
/// connection that is closed for lack of capacity would be lost.
pub fn connection_shares(held: u32, has_sibling: bool) -> u32 {
    if has_sibling {
        held.clamp(1, TOTAL_SHARES - 1)
    } else {
        held
    }
}

/// Returns the amount of a resource that corresponds to a number of shares: zero for no share,
/// otherwise rounded down but at least one.
pub fn amount_for_shares(total: usize, shares: u32) -> usize {
    if shares == 0 {
        0
    } else {
        (total * shares.min(TOTAL_SHARES) as usize / TOTAL_SHARES as usize).max(1)
    }
}
