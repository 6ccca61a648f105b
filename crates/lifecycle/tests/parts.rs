//! Two processes that divide a node's parts, by the shipped decision, under random looks, kills and orders.

use lifecycle::{parts, share, Beside, State, Step, PARTS};
use quickcheck::QuickCheck;

#[derive(Clone, Copy)]
struct Process {
    state: State,
    held: u32,
    used: u32,
    /// It had the whole, and has its half still: one that serves last has to come up to a half, though it started first.
    earlier: bool,
}

fn beside(other: Option<Process>) -> Beside {
    match other.map(|p| p.state) {
        None => Beside::Nobody,
        Some(State::Leaving { .. }) => Beside::Leaving,
        Some(state) if state.takes_clients() => Beside::Taking,
        Some(_) => Beside::Idle,
    }
}

/// Guards the division. Whatever happens in whichever order: both never hold more than the whole, the earlier one's parts
/// only fall while another lives that was not told to end, nobody falls under what it has in hand, one that is left alone
/// has all at its next look, and once both serve and have looked each has its half, but for what the other has in hand.
fn holds(picks: Vec<(u8, u8)>) -> bool {
    let fresh = Process {
        state: State::default(),
        held: 0,
        used: 0,
        earlier: false,
    };
    let mut both = [Some(fresh), None];
    for (what, how) in picks {
        let me = usize::from(how & 1);
        let other = both[1 - me];
        let Some(process) = &mut both[me] else {
            if what % 4 == 0 {
                both[me] = Some(fresh);
            }
            continue;
        };
        match what % 8 {
            0 => both[me] = None,
            1 => process.state = process.state.step(Step::Taking).unwrap_or(process.state),
            2 if how > 200 => {
                let replaced = beside(other) == Beside::Taking;
                process.state = process
                    .state
                    .step(Step::Leave { replaced })
                    .unwrap_or(process.state);
            }
            // What is in hand grows no further than what is held.
            3 => process.used = u32::from(how >> 1) % (process.held + 1),
            _ => {
                let Process {
                    state,
                    held,
                    used,
                    earlier,
                } = *process;
                let wanted = parts(held, used, state, beside(other));
                // The locks give what is free and no more.
                let free = PARTS - held - other.map_or(0, |p| p.held);
                let now = wanted.min(held + free);
                let fell = now >= held || now >= used;
                let only_falls = !earlier
                    || matches!(beside(other), Beside::Nobody | Beside::Leaving)
                    || now <= held;
                let whole = beside(other) != Beside::Nobody || now == PARTS;
                let serves = state.takes_clients() && beside(other) == Beside::Taking;
                let half = !serves || now <= PARTS / 2 || now <= used;
                process.held = now;
                process.earlier = other.is_none() || earlier && now >= PARTS / 2;
                if !(fell && only_falls && whole && half) {
                    return false;
                }
            }
        }
        if both.iter().flatten().map(|p| p.held).sum::<u32>() > PARTS {
            return false;
        }
    }
    true
}

#[test]
fn both_never_hold_more_than_the_whole() {
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards a usual replacement, step by step.
#[test]
fn a_replacement_passes_the_parts_on() {
    let (serving, starting) = (State::Serving, State::default());
    let leaving = State::Leaving {
        replaced: true,
        quiesced: false,
    };
    assert_eq!(parts(8, 1, serving, Beside::Nobody), 8);
    assert_eq!(parts(8, 1, serving, Beside::Idle), 6);
    assert_eq!(parts(0, 0, starting, Beside::Taking), 2);
    assert_eq!(parts(6, 1, serving, Beside::Taking), 4);
    assert_eq!(
        parts(6, 5, serving, Beside::Taking),
        5,
        "what is in hand is kept"
    );
    assert_eq!(parts(2, 0, serving, Beside::Taking), 4);
    assert_eq!(parts(4, 3, leaving, Beside::Taking), 3);
    assert_eq!(parts(3, 0, leaving, Beside::Taking), 0);
    assert_eq!(parts(4, 1, serving, Beside::Leaving), 8);
    assert_eq!(
        (share(448, 8), share(448, 2), share(3, 1), share(448, 0)),
        (448, 112, 1, 0)
    );
}
