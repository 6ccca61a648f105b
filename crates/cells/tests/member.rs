//! The failure detector and the rules that stand on it, under a clock of the test's own.

use std::time::Duration;

use mothwinch_cells::file::{CellSpec, NodeSpec};
use mothwinch_cells::map::CellMap;
use mothwinch_cells::member::{Beat, Detector, Health, Patience, Spill, SpillPolicy, Verdict};
use mothwinch_cells::Layout;
use quickcheck::{Gen, QuickCheck};

const BEAT: Beat = Beat { life: 1, draining: false, last: false };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
fn patience() -> Patience {
    Patience::default()
}

#[test]
fn silence_is_suspected_then_gone_and_a_return_is_heard() {
    let mut watch = Detector::new(patience());
    assert_eq!(watch.health("n1"), Health::Gone);
    for n in 0..20 {
        watch.heard("n1", BEAT, ms(n * 200));
    }
    assert_eq!(watch.tick(ms(3800 + 999)), []);
    assert_eq!(watch.next(), Some(ms(4800)));
    assert_eq!(watch.tick(ms(4800)), [("n1".into(), Health::Suspected)]);
    assert_eq!(watch.heard("n1", BEAT, ms(4900)), Some(Health::Up));
    // It was there all the while: it now has twice the time.
    assert_eq!(watch.tick(ms(4900 + 1999)), []);
    assert_eq!(watch.tick(ms(6900)).len(), 1);
    assert_eq!(watch.tick(ms(6900 + 5000)), [("n1".into(), Health::Gone)]);
    assert_eq!(watch.next(), None);
}

#[test]
fn draining_and_goodbyes_are_believed_and_late_news_of_an_earlier_life_is_not() {
    let mut watch = Detector::new(patience());
    watch.heard("n1", Beat { life: 2, ..BEAT }, ms(0));
    assert_eq!(watch.heard("n1", Beat { life: 2, draining: true, ..BEAT }, ms(200)), Some(Health::Draining));
    assert_eq!(watch.heard("n1", Beat { life: 1, ..BEAT }, ms(300)), None);
    assert_eq!(watch.heard("n1", Beat { life: 2, last: true, ..BEAT }, ms(400)), Some(Health::Gone));
    assert!(!Health::Draining.serves() && Health::Draining.present());
}

/// Guards a cell against a node that comes and goes: its first return is free, each further one is kept out for longer,
/// and a long calm is rewarded.
#[test]
fn a_flapping_node_is_kept_out_for_longer_each_time() {
    let mut watch = Detector::new(patience());
    let mut now = 0;
    watch.heard("n1", BEAT, ms(now));
    let mut held = Vec::new();
    for life in 2..8 {
        now += 50;
        let begun = now;
        while watch.heard("n1", Beat { life, ..BEAT }, ms(now)) != Some(Health::Up)
            && watch.health("n1") != Health::Up
        {
            now += 50;
            watch.tick(ms(now));
        }
        held.push(now - begun);
    }
    assert_eq!(held, [0, 1000, 2000, 4000, 8000, 8000]);
    for _ in 0..5 * 60 * 5 {
        now += 200;
        watch.heard("n1", Beat { life: 8, ..BEAT }, ms(now));
        watch.tick(ms(now));
    }
    now += 50;
    assert_eq!(watch.heard("n1", Beat { life: 9, ..BEAT }, ms(now)), None, "trusted at once");
    assert_eq!(watch.health("n1"), Health::Up);
}

/// However late a node's beats are, if never by more than the longest patience: no more false alarms than doublings
/// in one time of forgiveness, and a dead one is always told.
#[test]
fn false_alarms_are_bounded() {
    fn check(delays: Vec<u16>) -> bool {
        let patience = patience();
        let mut watch = Detector::new(patience.clone());
        let (mut now, mut alarms) = (0, 0);
        watch.heard("n1", BEAT, ms(now));
        for delay in delays {
            // Within what the stretched patience covers.
            now += 100 + u64::from(delay) % 15_000;
            alarms += watch.tick(ms(now)).iter().filter(|(_, health)| *health == Health::Suspected).count();
            watch.heard("n1", BEAT, ms(now));
            if now > 55_000 {
                break;
            }
        }
        let dead = now + 16_000 + 60_000 + 60_000;
        watch.tick(ms(dead));
        watch.tick(ms(dead));
        alarms <= patience.most_doublings as usize && watch.health("n1") == Health::Gone
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6d6f_7468))
        .tests(500)
        .quickcheck(check as fn(Vec<u16>) -> bool);
}

fn fleet() -> CellMap {
    let mut layout = Layout::default();
    for cell in ["a", "b", "c"] {
        layout.cells.insert(cell.into(), CellSpec::default());
        for n in 0..4 {
            let site = format!("site-{}", n % 2).into();
            let spec = NodeSpec { site, weight: 1.0, address: None, cell: Some(cell.into()) };
            layout.nodes.insert(format!("{cell}{n}").into(), spec);
        }
    }
    CellMap::default().next(&layout).expect("a map").0
}

/// Guards settlements: a cell that lost its nodes is told from an observer that is cut off, which must decide nothing.
#[test]
fn a_lost_cell_is_told_from_being_cut_off() {
    let map = fleet();
    let see = |present: &[&str]| {
        let mut watch = Detector::new(patience());
        for node in present {
            watch.heard(node, BEAT, ms(0));
        }
        watch.verdict(&map, "a")
    };
    let others = ["b0", "b1", "b2", "b3", "c0", "c1", "c2"];
    assert_eq!(see(&[&["a0", "a1", "a2"], &others[..]].concat()), Verdict::Whole { left: 0.75 });
    assert_eq!(see(&[&["a0"], &others[..]].concat()), Verdict::Lost { left: 0.25 });
    assert_eq!(see(&others), Verdict::Lost { left: 0.0 });
    // Half of each: it may as well be us.
    assert_eq!(see(&["a0", "a1", "b0", "b1", "c0", "c1"]), Verdict::CutOff);
    assert_eq!(see(&["a0"]), Verdict::CutOff);
}

#[test]
fn what_spills_is_bounded_and_goes_back_gradually() {
    let mut spill = Spill::new(SpillPolicy { most: 0.1, back: ms(10_000) });
    assert_eq!(spill.part(4.0, 4.0, ms(0)), 0.0);
    spill.look(Verdict::Lost { left: 0.25 }, ms(0));
    // Three quarters are missing; a neighbour of the same size gives a tenth, a large one all.
    assert_eq!(spill.part(4.0, 4.0, ms(0)), 0.1);
    assert_eq!(spill.part(4.0, 40.0, ms(0)), 0.75);
    // Cut off, nothing new is known.
    spill.look(Verdict::CutOff, ms(100));
    assert_eq!(spill.part(4.0, 40.0, ms(100)), 0.75);
    spill.look(Verdict::Whole { left: 1.0 }, ms(1000));
    assert!((spill.part(4.0, 40.0, ms(6000)) - 0.375).abs() < 1e-9);
    spill.look(Verdict::Whole { left: 1.0 }, ms(11_000));
    assert_eq!(spill.part(4.0, 40.0, ms(11_000)), 0.0);
}
