//! What is made of a view that shows a part of the cells' nodes, under a clock of the test's own.

use std::time::Duration;

use cells::file::{CellSpec, NodeSpec};
use cells::map::CellMap;
use cells::member::{Spill, SpillPolicy, Verdict};
use cells::Layout;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn fleet() -> CellMap {
    let mut layout = Layout::default();
    for cell in ["a", "b", "c"] {
        layout.cells.insert(cell.into(), CellSpec::default());
        for n in 0..4 {
            let site = format!("site-{}", n % 2).into();
            let spec = NodeSpec {
                site,
                weight: 1.0,
                address: None,
                cell: Some(cell.into()),
            };
            layout.nodes.insert(format!("{cell}{n}").into(), spec);
        }
    }
    CellMap::default().next(&layout).expect("a map").0
}

/// Guards settlements: a cell that lost its nodes is told from an observer that is cut off, which must decide nothing.
#[test]
fn a_lost_cell_is_told_from_being_cut_off() {
    let map = fleet();
    let see = |present: &[&str]| Verdict::of(&map, "a", true, |n| present.contains(&n));
    let others = ["b0", "b1", "b2", "b3", "c0", "c1", "c2"];
    assert_eq!(
        see(&[&["a0", "a1", "a2"], &others[..]].concat()),
        Verdict::Whole { left: 0.75 }
    );
    assert_eq!(
        see(&[&["a0"], &others[..]].concat()),
        Verdict::Lost { left: 0.25 }
    );
    assert_eq!(see(&others), Verdict::Lost { left: 0.0 });
    // Half of each: it may as well be us.
    assert_eq!(see(&["a0", "a1", "b0", "b1", "c0", "c1"]), Verdict::CutOff);
    assert_eq!(see(&["a0"]), Verdict::CutOff);
    // By its view the observer sees a part of its fleet only, whatever part of the cells that is.
    let part = |n: &str| others.contains(&n);
    assert_eq!(Verdict::of(&map, "a", false, part), Verdict::CutOff);
}

#[test]
fn what_spills_is_bounded_and_goes_back_gradually() {
    let mut spill = Spill::new(SpillPolicy {
        most: 0.1,
        back: ms(10_000),
    });
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
