//! The life of a key against a model that knows all tries: at most one run of a key in a window, every try one end.
use idempotency::{End, Found, Joined, Micros, Table, NEVER};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::HashMap;

const WINDOW: Micros = 50;
const UNREAD: Micros = 30;

fn table() -> Table<u64> {
    Table::new(1 << 20, 100, UNREAD)
}

#[test]
fn a_repeat_joins_the_run_and_gets_its_result_also_later() {
    let mut t = table();
    assert_eq!(t.find(7, 1, 0), Found::Free);
    t.enter(7, 1, 10, 0);
    t.keep(10, WINDOW);
    assert_eq!(t.find(7, 1, 1), Found::Repeat(10));
    assert_eq!(t.join(11, 10), Joined::Waits);
    t.ran(10);
    assert!(t.runs(10));
    assert_eq!(t.end(10, End::Served(42), 8), vec![11]);
    assert_eq!(t.join(12, 10), Joined::Over(End::Served(42)));
    assert!(!t.runs(10));
}

/// Guards both sides of the window, by the repeat's arrival: however late one is read that came within it, it is a repeat.
#[test]
fn the_window_is_told_by_the_arrival_of_the_repeat() {
    let mut t = table();
    t.enter(7, 1, 10, 0);
    t.keep(10, WINDOW);
    t.ran(10);
    t.end(10, End::Served(42), 8);
    t.expire(WINDOW + UNREAD);
    assert_eq!(t.find(7, 1, WINDOW), Found::Repeat(10));
    assert_eq!(t.find(7, 1, WINDOW + 1), Found::Free);
    t.expire(WINDOW + UNREAD + 1);
    assert!(t.is_empty() && t.bytes() == 0);
}

/// Guards against a second run where tries are read in another order than they came: a later one took the key after its
/// window, was dropped, and then one is read that came within it.
#[test]
fn a_try_from_within_the_window_is_told_though_a_later_one_took_the_key() {
    let mut t = table();
    t.enter(7, 1, 10, 0);
    t.keep(10, WINDOW);
    t.ran(10);
    t.end(10, End::Served(42), 8);
    assert_eq!(t.find(7, 1, WINDOW + 1), Found::Free);
    t.enter(7, 1, 11, WINDOW + 1);
    assert_eq!(t.find(7, 1, WINDOW), Found::Ran);
    assert!(t.never_ran(11).is_empty());
    assert_eq!(
        (t.find(7, 1, WINDOW), t.find(7, 1, WINDOW + 1)),
        (Found::Ran, Found::Free)
    );
    t.expire(WINDOW + UNREAD + 1);
    assert!(t.is_empty());
}

/// Guards against two at once where a run outlasts its window.
#[test]
fn while_it_runs_every_try_joins_whatever_the_window() {
    let mut t = table();
    t.enter(7, 1, 10, 0);
    t.keep(10, 5);
    t.ran(10);
    t.expire(1000);
    assert_eq!(t.find(7, 1, 900), Found::Repeat(10));
}

#[test]
fn one_that_never_ran_leaves_its_key_free_and_those_that_wait_with_it() {
    let mut t = table();
    t.enter(7, 1, 10, 0);
    t.keep(10, WINDOW);
    assert_eq!(t.join(11, 10), Joined::Waits);
    assert_eq!(t.join(12, 10), Joined::Waits);
    t.leave(11);
    assert_eq!(t.never_ran(10), vec![12]);
    assert_eq!(
        (t.find(7, 1, 1), t.join(13, 10)),
        (Found::Free, Joined::NeverRan)
    );
    // One that is over is not freed by a late word.
    t.enter(7, 1, 20, 0);
    t.keep(20, WINDOW);
    t.ran(20);
    t.end(20, End::Failed, 0);
    assert!(t.never_ran(20).is_empty());
    assert_eq!(t.find(7, 1, 1), Found::Repeat(20));
}

#[test]
fn another_body_is_told_until_the_window_is_over() {
    let mut t = table();
    t.enter(7, 1, 10, 0);
    t.keep(10, WINDOW);
    assert_eq!(t.find(7, 2, 1), Found::OtherBody);
    t.ran(10);
    t.end(10, End::Failed, 0);
    assert_eq!(t.find(7, 2, WINDOW), Found::OtherBody);
    assert_eq!(t.find(7, 2, WINDOW + 1), Found::Free);
}

/// Guards our memory: a full table turns new keys away and forgets none within its window.
#[test]
fn a_full_table_turns_new_keys_away_and_keeps_what_ran() {
    let mut t = Table::new(3 * 356, 100, UNREAD);
    for n in 0..3 {
        assert_eq!(t.find(n, 1, 0), Found::Free);
        t.enter(n, 1, u64::try_from(n).expect("small"), 0);
        t.ran(n as u64);
        t.keep(n as u64, NEVER);
    }
    assert_eq!(t.find(9, 1, 0), Found::Full);
    t.end(0, End::Served(1), 8);
    t.end(1, End::Served(1), 8);
    t.end(2, End::Served(1), 8);
    t.expire(Micros::MAX - 1);
    assert_eq!(t.find(0, 1, 1000), Found::Repeat(0));
    assert!(t.bytes() <= 3 * 356);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A try of this key arrives, and is read so much later.
    Try(u8, u8),
    Run(u8),
    Serve(u8),
    Fail(u8),
    Drop(u8),
    Cancel(u8),
    Wait(u8),
}
impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 7 {
            0 | 1 => Step::Try(n % 3, u8::arbitrary(g) % UNREAD as u8),
            2 => Step::Run(n),
            3 => Step::Serve(n),
            4 => Step::Fail(n),
            5 => [Step::Drop(n), Step::Cancel(n)][usize::from(n % 2)],
            _ => Step::Wait(n % 40),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Held,
    Waits,
    Runs,
    Over,
}

struct Try {
    key: u128,
    arrived: Micros,
    at: At,
    ends: usize,
}

#[test]
fn at_most_one_runs_in_a_window_and_every_try_ends_once() {
    fn drawn(steps: Vec<Step>) -> bool {
        let (mut t, mut now, mut tries) = (table(), 1000, HashMap::<u64, Try>::new());
        // Arrivals of what ran, by key.
        let mut ran: HashMap<u128, Vec<Micros>> = HashMap::new();
        let pick = |tries: &HashMap<u64, Try>, n: u8, at: At| {
            let mut ids: Vec<u64> = tries
                .iter()
                .filter(|(_, r)| r.at == at)
                .map(|(id, _)| *id)
                .collect();
            ids.sort_unstable();
            (!ids.is_empty()).then(|| ids[usize::from(n) % ids.len()])
        };
        let over = |tries: &mut HashMap<u64, Try>, ids: Vec<u64>, from: At| {
            ids.into_iter().all(|id| {
                let r = tries.get_mut(&id).expect("told of a stranger");
                let as_told = r.at == from;
                (r.at, r.ends) = (At::Over, r.ends + 1);
                as_told && r.ends == 1
            })
        };
        for step in steps {
            let fine = match step {
                Step::Try(key, unread) => {
                    let (id, key, arrived) = (
                        tries.len() as u64 + 1,
                        u128::from(key),
                        now - Micros::from(unread),
                    );
                    let mut new = Try {
                        key,
                        arrived,
                        at: At::Over,
                        ends: 0,
                    };
                    match t.find(key, 1, arrived) {
                        Found::Free => {
                            t.enter(key, 1, id, arrived);
                            t.keep(id, arrived + WINDOW);
                            new.at = At::Held;
                        }
                        Found::Repeat(owner) => match t.join(id, owner) {
                            Joined::Waits => new.at = At::Waits,
                            _ => new.ends = 1,
                        },
                        Found::Ran => new.ends = 1,
                        Found::OtherBody | Found::Full => return false,
                    }
                    tries.insert(id, new);
                    true
                }
                Step::Run(n) => pick(&tries, n, At::Held).is_none_or(|id| {
                    t.ran(id);
                    let r = tries.get_mut(&id).expect("known");
                    r.at = At::Runs;
                    let before = ran.entry(r.key).or_default();
                    let alone = before
                        .iter()
                        .all(|other| (r.arrived - other).abs() > WINDOW);
                    before.push(r.arrived);
                    alone && t.runs(id)
                }),
                Step::Serve(n) | Step::Fail(n) => pick(&tries, n, At::Runs).is_none_or(|id| {
                    let end = if matches!(step, Step::Serve(_)) {
                        End::Served(id)
                    } else {
                        End::Failed
                    };
                    let told = t.end(id, end, 8);
                    over(&mut tries, told, At::Waits) && over(&mut tries, vec![id], At::Runs)
                }),
                Step::Drop(n) => pick(&tries, n, At::Held).is_none_or(|id| {
                    let told = t.never_ran(id);
                    over(&mut tries, told, At::Waits) && over(&mut tries, vec![id], At::Held)
                }),
                Step::Cancel(n) => pick(&tries, n, At::Waits).is_none_or(|id| {
                    t.leave(id);
                    over(&mut tries, vec![id], At::Waits)
                }),
                Step::Wait(ms) => {
                    now += Micros::from(ms);
                    t.expire(now);
                    true
                }
            };
            if !fine {
                return false;
            }
        }
        // Whoever waits does so for one that is not over.
        let open = tries.values().any(|r| matches!(r.at, At::Held | At::Runs));
        open || tries.values().all(|r| r.at == At::Over)
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(drawn as fn(Vec<Step>) -> bool);
}
