//! Tests of the production code for two processes that divide a node's shares, under random starts,
//! kills and transitions.

use lifecycle::{
    amount_for_shares, connection_shares, target_shares, ProcessState, SiblingProcess, Transition,
    TOTAL_SHARES,
};
use quickcheck::QuickCheck;

#[derive(Clone, Copy, Default)]
struct Process {
    state: ProcessState,
    held: u32,
    in_use: u32,
    /// True if the process once held all shares and has held at least half of them since then. A
    /// process that begins to serve last has to acquire shares up to half, even if it started
    /// first.
    is_earlier: bool,
}

impl Process {
    fn apply(&mut self, transition: Transition) {
        self.state = self.state.apply(transition).unwrap_or(self.state);
    }

    /// Releases and acquires shares up to the target. Returns true if the result is a valid
    /// division.
    fn update_shares(&mut self, sibling: Option<Process>) -> bool {
        let status = status_of(sibling);
        let target = target_shares(self.held, self.in_use, self.state, status);
        // The locks allow a process to acquire free shares only.
        let free = TOTAL_SHARES - self.held - sibling.map_or(0, |p| p.held);
        let now_held = target.min(self.held + free);
        let keeps_shares_in_use = now_held >= self.held || now_held >= self.in_use;
        let only_releases = !self.is_earlier
            || matches!(
                status,
                SiblingProcess::Absent | SiblingProcess::ShuttingDown
            )
            || now_held <= self.held;
        let holds_all_if_alone = status != SiblingProcess::Absent || now_held == TOTAL_SHARES;
        let both_serve = self.state.accepts_clients() && status == SiblingProcess::AcceptingClients;
        let holds_at_most_half =
            !both_serve || now_held <= TOTAL_SHARES / 2 || now_held <= self.in_use;
        self.held = now_held;
        self.is_earlier = sibling.is_none() || self.is_earlier && now_held >= TOTAL_SHARES / 2;
        keeps_shares_in_use && only_releases && holds_all_if_alone && holds_at_most_half
    }
}

fn status_of(process: Option<Process>) -> SiblingProcess {
    match process.map(|p| p.state) {
        None => SiblingProcess::Absent,
        Some(ProcessState::ShuttingDown { .. }) => SiblingProcess::ShuttingDown,
        Some(state) if state.accepts_clients() => SiblingProcess::AcceptingClients,
        Some(_) => SiblingProcess::Idle,
    }
}

/// Checks these properties for events in any order:
///
/// - Both processes together never hold more than the total.
/// - The earlier one only releases shares while another is running that is not shutting down.
/// - No process loses shares that its work needs.
/// - A process that is alone holds all shares after its next update.
/// - While both serve, each holds at most half after its update, apart from the shares that its
///   work needs.
fn division_is_valid(events: Vec<(u8, u8)>) -> bool {
    let mut processes = [Some(Process::default()), None];
    for (event, detail) in events {
        let index = usize::from(detail & 1);
        let sibling = processes[1 - index];
        let Some(process) = &mut processes[index] else {
            if event % 4 == 0 {
                processes[index] = Some(Process::default());
            }
            continue;
        };
        match event % 8 {
            0 => processes[index] = None,
            1 => process.apply(Transition::AcceptClients),
            2 if detail > 200 => process.apply(Transition::ShutDown {
                replaced: status_of(sibling) == SiblingProcess::AcceptingClients,
            }),
            // Work in flight never needs more shares than the process holds.
            3 => process.in_use = u32::from(detail >> 1) % (process.held + 1),
            _ => {
                if !process.update_shares(sibling) {
                    return false;
                }
            }
        }
        if processes.iter().flatten().map(|p| p.held).sum::<u32>() > TOTAL_SHARES {
            return false;
        }
    }
    true
}

#[test]
fn processes_together_never_hold_more_than_the_total() {
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(division_is_valid as fn(Vec<(u8, u8)>) -> bool);
}

/// A normal replacement, step by step.
#[test]
fn replacement_transfers_the_shares() {
    use SiblingProcess::{Absent, AcceptingClients, Idle, ShuttingDown};
    let (serving, starting) = (ProcessState::Serving, ProcessState::default());
    let shutting_down = ProcessState::ShuttingDown {
        replaced: true,
        quiesced: false,
    };
    assert_eq!(target_shares(8, 1, serving, Absent), 8);
    assert_eq!(target_shares(8, 1, serving, Idle), 6);
    assert_eq!(target_shares(0, 0, starting, AcceptingClients), 2);
    assert_eq!(target_shares(6, 1, serving, AcceptingClients), 4);
    assert_eq!(
        target_shares(6, 5, serving, AcceptingClients),
        5,
        "shares in use are kept"
    );
    assert_eq!(target_shares(2, 0, serving, AcceptingClients), 4);
    assert_eq!(target_shares(4, 3, shutting_down, AcceptingClients), 3);
    assert_eq!(target_shares(3, 0, shutting_down, AcceptingClients), 0);
    assert_eq!(target_shares(4, 1, serving, ShuttingDown), 8);
    assert_eq!(
        [(448, 8), (448, 2), (3, 1), (448, 0)]
            .map(|(total, shares)| amount_for_shares(total, shares)),
        [448, 112, 1, 0]
    );
}

#[test]
fn both_processes_keep_a_share_of_connections_while_both_run() {
    let shares = |has_sibling| [0, 1, 7, 8].map(|held| connection_shares(held, has_sibling));
    assert_eq!(shares(false), [0, 1, 7, 8]);
    assert_eq!(shares(true), [1, 1, 7, 7]);
}
