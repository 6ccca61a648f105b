//! Tests of the health of a cell with unavailable nodes, and of the reads that spill over to its
//! neighbours.

use std::time::Duration;

use cells::map::CellMap;
use cells::spillover::{ReadSpillover, ReadSpilloverSettings};
use cells::{CellHealth, Layout};
use cells::{CellSpec, NodeSpec};

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
    CellMap::from_layout(&layout).expect("a map")
}

/// An observer must distinguish a cell that lost its nodes from its own disconnection, and decide
/// nothing in the second case.
#[test]
fn degraded_cell_is_distinguished_from_an_isolated_observer() {
    let map = fleet();
    let assess = |present: &[&str]| CellHealth::assess(&map, "a", true, |n| present.contains(&n));
    let others = ["b0", "b1", "b2", "b3", "c0", "c1", "c2"];
    assert_eq!(
        assess(&[&["a0", "a1", "a2"], &others[..]].concat()),
        CellHealth::Healthy { available: 0.75 }
    );
    assert_eq!(
        assess(&[&["a0"], &others[..]].concat()),
        CellHealth::Degraded { available: 0.25 }
    );
    assert_eq!(assess(&others), CellHealth::Degraded { available: 0.0 });
    // Half of the cell and half of the rest are available: the observer itself may be disconnected.
    assert_eq!(
        assess(&["a0", "a1", "b0", "b1", "c0", "c1"]),
        CellHealth::ObserverIsolated
    );
    assert_eq!(assess(&["a0"]), CellHealth::ObserverIsolated);
    // An observer in a minority partition is isolated, whichever nodes it sees.
    let is_available = |n: &str| others.contains(&n);
    assert_eq!(
        CellHealth::assess(&map, "a", false, is_available),
        CellHealth::ObserverIsolated
    );
}

#[test]
fn spillover_is_bounded_and_falls_gradually() {
    let mut spillover = ReadSpillover::new(ReadSpilloverSettings {
        max_neighbour_fraction: 0.1,
        recovery_ramp: ms(10_000),
    });
    assert_eq!(spillover.fraction(4.0, 4.0, ms(0)), 0.0);
    spillover.observe(CellHealth::Degraded { available: 0.25 }, ms(0));
    // Three quarters of the cell are unavailable. The limit is a tenth of a neighbour's capacity; a
    // neighbour of ten times the weight can serve all of the missing reads.
    assert_eq!(spillover.fraction(4.0, 4.0, ms(0)), 0.1);
    assert_eq!(spillover.fraction(4.0, 40.0, ms(0)), 0.75);
    // An isolated observer has no new information.
    spillover.observe(CellHealth::ObserverIsolated, ms(100));
    assert_eq!(spillover.fraction(4.0, 40.0, ms(100)), 0.75);
    spillover.observe(CellHealth::Healthy { available: 1.0 }, ms(1000));
    assert!((spillover.fraction(4.0, 40.0, ms(6000)) - 0.375).abs() < 1e-9);
    spillover.observe(CellHealth::Healthy { available: 1.0 }, ms(11_000));
    assert_eq!(spillover.fraction(4.0, 40.0, ms(11_000)), 0.0);
}
