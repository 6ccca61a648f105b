//! Models of the states of a front connection, against which random steps are checked.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use connections::{Bounds, Breach, Due, Session, Unused};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

/// Runs `check` on sequences of steps, from a fixed seed: the same verdict every time.
fn check_steps<S: Arbitrary + std::fmt::Debug>(check: fn(Vec<S>) -> bool)
where
    fn(Vec<S>) -> bool: Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6d6f_7468))
        .tests(2000)
        .quickcheck(check);
}

#[derive(Clone, Copy, Debug)]
enum Front {
    Request(u64),
    Answer(u64),
    Farewell,
    /// Room is wanted.
    Shed,
    /// All that the machine had has been read.
    Drained,
    /// The peer takes so many bytes of what is written.
    Take(usize),
    /// A piece of a message comes.
    Piece,
    /// The rest of it comes.
    Rest,
    /// The peer breaks the protocol.
    Break,
    /// So much comes that is not looked at any more.
    Passed(usize),
    End,
}
impl Arbitrary for Front {
    fn arbitrary(g: &mut Gen) -> Front {
        match u8::arbitrary(g) % 10 {
            0..=3 => Front::Request(u64::arbitrary(g) % 6),
            4..=6 => Front::Answer(u64::arbitrary(g) % 6),
            7 => Front::Take(usize::arbitrary(g) % 12),
            8 => *g.choose(&[Front::Piece, Front::Rest]).expect("not empty"),
            _ => match u8::arbitrary(g) % 8 {
                0..=2 => Front::Farewell,
                3 | 4 => Front::Shed,
                5 => Front::Drained,
                6 => *g
                    .choose(&[Front::Break, Front::Passed(7)])
                    .expect("not empty"),
                _ => Front::End,
            },
        }
    }
}

/// A front connection owes exactly what came and was not answered, and is over only once it owes nothing and all is
/// written. Then its writing side is shut, once, and it goes when its peer has ended or has sent on for too long. It makes room only while it owes nothing, a request that came before it parts keeps it, and after a breach
/// nothing is taken and nothing more is said.
#[test]
fn a_front_connection_owes_what_the_model_owes() {
    fn check(steps: Vec<Front>) -> bool {
        let (now, idle) = (Instant::now(), Duration::from_secs(1));
        let bounds = Bounds {
            open: 3,
            output: 12,
            linger_bytes: 10,
            ..Bounds::new(8)
        };
        let mut session = Session::new(&bounds, now);
        let (mut open, mut told, mut ended) = (BTreeSet::new(), false, false);
        let (mut parting, mut closed, mut spoke, mut unsent) = (false, false, false, 0);
        let mut writing = false;
        let (mut lingers, mut peer_ended, mut passed) = (false, false, 0);
        steps.into_iter().all(|step| {
            let same = match step {
                Front::Passed(bytes) => {
                    if lingers {
                        passed += bytes;
                        session.pass_over(bytes);
                    }
                    true
                }
                // Nothing is read or written on it any more.
                step if lingers && !matches!(step, Front::End) => true,
                Front::Request(id) => {
                    spoke |= !closed;
                    let want = match () {
                        () if closed => Err(Breach::Closed),
                        () if open.contains(&id) => Err(Breach::IdInUse),
                        () if open.len() == 3 => Err(Breach::TooMany),
                        () => {
                            open.insert(id);
                            Ok(())
                        }
                    };
                    session.request(id, now) == want
                }
                Front::Answer(id) => {
                    session.put(b"five\n", now);
                    unsent += if closed { 0 } else { 5 };
                    session.answered(id, now) == open.remove(&id)
                }
                Front::Farewell => session.farewell(now) != std::mem::replace(&mut told, true),
                Front::Shed => {
                    parting = true;
                    session.part();
                    true
                }
                Front::Drained => {
                    ended |= parting && open.is_empty();
                    session.drained() == (std::mem::take(&mut parting) && !ended)
                }
                Front::Take(bytes) => {
                    let bytes = bytes.min(unsent);
                    unsent -= bytes;
                    if bytes > 0 {
                        session.sent(bytes, now);
                    }
                    true
                }
                Front::Piece | Front::Rest if closed => true,
                Front::Piece => {
                    writing = true;
                    session.feed(b"{", now);
                    session.line() == Ok(None)
                }
                Front::Rest => {
                    writing = false;
                    session.feed(b"\n", now);
                    session.line().is_ok_and(|line| line.is_some()) && session.line() == Ok(None)
                }
                Front::Break => {
                    writing = false;
                    closed = true;
                    session.close(now);
                    true
                }
                Front::End => {
                    (ended, peer_ended) = (true, true);
                    session.end();
                    true
                }
            };
            let done = unsent == 0 && (closed || ended && open.is_empty());
            let shut_once = session.shuts(now) == (done && !lingers);
            lingers |= done;
            let free = open.is_empty() && !parting && !closed && !ended;
            let later = now + bounds.write;
            same && shut_once
                && session.lingers() == lingers
                && session.open() == open.len()
                && session.unsent().len() == unsent
                && session.over(&bounds) == (done && (peer_ended || passed > 10))
                && session.hears(&bounds) == (!closed && !ended && unsent <= 6)
                && session.due(idle, &bounds).is_some() == (lingers || free || unsent > 0)
                && session.on_time(idle, &bounds, later)
                    == match () {
                        () if lingers || unsent > 0 => Some(Due::Cut),
                        () if !free => None,
                        () if told || writing => Some(Due::Part),
                        () => Some(Due::Farewell),
                    }
                && session.dispensable().map(|(kind, _)| kind)
                    == (free || lingers).then_some(match (told, spoke) {
                        _ if lingers => Unused::Leaving,
                        _ if writing => Unused::Idle,
                        (true, _) => Unused::Leaving,
                        (_, false) => Unused::Silent,
                        _ => Unused::Idle,
                    })
        })
    }
    check_steps(check);
}

/// Guards a busy peer whose messages come cut anywhere: each beginning has its own time, not that of the first.
#[test]
fn a_message_behind_a_whole_one_begins_anew() {
    let (start, bounds) = (Instant::now(), Bounds::new(8));
    let mut session = Session::new(&bounds, start);
    session.touch(start);
    session.feed(b"{", start);
    assert_eq!(session.line(), Ok(None));
    let later = start + bounds.whole / 2;
    session.feed(b"}\n{", later);
    assert!(session.line() == Ok(Some(b"{}")) && session.line() == Ok(None));
    assert_eq!(
        session.due(bounds.write, &bounds),
        Some(later + bounds.whole)
    );
}

/// However the bytes of a connection are cut, the same lines come out of it, and none that is too long.
#[test]
fn lines_do_not_depend_on_how_they_arrive() {
    fn check(steps: Vec<(u8, u8)>) -> bool {
        let bounds = Bounds {
            line: 40,
            ..Bounds::new(8)
        };
        let mut session = Session::new(&bounds, Instant::now());
        let sent: Vec<u8> = steps
            .iter()
            .flat_map(|(byte, _)| [*byte, b'\n', b'\r'].map(|b| b % 16))
            .collect();
        let (mut at, mut lines) = (0, Vec::new());
        for (_, cut) in &steps {
            let to = (at + usize::from(*cut) % 7).min(sent.len());
            session.feed(&sent[at..to], Instant::now());
            at = to;
            while let Ok(Some(line)) = session.line() {
                lines.push(line.to_vec());
            }
            if session.has_more() {
                return session.line() == Err(Breach::LineTooLong);
            }
        }
        let whole = sent[..at]
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(&[][..], |end| &sent[..end]);
        let want = whole
            .split(|b| *b == b'\n')
            .map(|l| l.strip_suffix(b"\r").unwrap_or(l));
        lines
            == want
                .take(lines.len().max(usize::from(!whole.is_empty())))
                .collect::<Vec<_>>()
    }
    check_steps(check);
}
