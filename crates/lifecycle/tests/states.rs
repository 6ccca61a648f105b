//! The states and the door's line under random steps.

use lifecycle::{Call, Line, Report, State, Step, Unheard};
use quickcheck::{Gen, QuickCheck};

const STEPS: [Step; 5] = [
    Step::Taking,
    Step::Quiesce,
    Step::Resume,
    Step::Leave { replaced: false },
    Step::Leave { replaced: true },
];

fn check(picks: Vec<u8>) -> bool {
    let mut state = State::default();
    // What was said, apart from how it is kept.
    let (mut taking, mut quiesced, mut left) = (false, false, None);
    picks.into_iter().all(|pick| {
        // The platform's word to end comes seldom.
        let step = STEPS[usize::from(pick % 16)
            .saturating_sub(11)
            .max(usize::from(pick % 3))];
        let before = state;
        let done = state.step(step);
        match step {
            Step::Taking => taking |= left.is_none(),
            Step::Quiesce if left.is_none() => quiesced = true,
            Step::Resume if left.is_none() => quiesced = false,
            Step::Leave { replaced } => left = left.or(Some(replaced)),
            _ => {}
        }
        let can = match (step, left) {
            (Step::Resume, Some(_)) => false,
            (Step::Quiesce, Some(replaced)) => !replaced,
            _ => true,
        };
        state = done.unwrap_or(state);
        let again = state.step(step);
        let serves = taking && !quiesced;
        done.is_ok() == can
            && (can || state == before)
            // A repeat is harmless.
            && again.is_ok() == can && again.unwrap_or(state) == state
            && state.takes_clients() == (taking && left.is_none())
            && state.consumes() == (serves && left.is_none())
            && state.healthy() == match left {
                None => serves,
                Some(replaced) => replaced && !quiesced,
            }
            && state.report() == match (left, taking, quiesced) {
                (Some(true), ..) | (None, false, _) => Report::Nothing,
                (Some(false), ..) | (None, true, true) => Report::Out,
                (None, true, false) => Report::Up,
            }
    })
}

#[test]
fn the_states_are_as_what_was_said() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 16))
        .tests(5000)
        .quickcheck(check as fn(Vec<u8>) -> bool);
}

/// However a line is cut into pieces, it means the same, and no more than the longest line is held.
#[test]
fn pieces_mean_what_the_line_means() {
    fn check(text: Vec<u8>, pick: u8, cuts: Vec<u8>) -> bool {
        let calls = [&b"health"[..], b" resume\r", b"quiesce"];
        let own: Vec<u8> = text.into_iter().filter(|b| *b != b'\n').collect();
        let line = calls
            .get(usize::from(pick % 5))
            .map_or(own, |call| call.to_vec());
        let most = 24;
        let want = match Call::parse(&line) {
            _ if line.len() > most => Err(Unheard::TooLong),
            Some(call) => Ok(call),
            None => Err(Unheard::Unknown),
        };
        let mut whole = line.clone();
        whole.extend_from_slice(b"\nquiesce\n");
        let (mut held, mut rest) = (Line::new(most), &whole[..]);
        let mut cuts = cuts.into_iter().chain(std::iter::repeat(1));
        loop {
            let (piece, after) =
                rest.split_at(usize::from(cuts.next().unwrap_or(1)).clamp(1, rest.len()));
            rest = after;
            match held.feed(piece) {
                Some(heard) => return heard == want,
                None if rest.is_empty() => return false,
                None => {}
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 17))
        .tests(5000)
        .quickcheck(check as fn(Vec<u8>, u8, Vec<u8>) -> bool);
}
