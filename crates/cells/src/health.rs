//! How much of a cell's capacity is available, as one observer's membership view shows it.

use crate::map::{Cell, CellMap};

/// The part of a cell's weight above which the cell counts as healthy, and of the rest of the fleet's weight above which
/// the observer counts as connected.
const MAJORITY: f64 = 0.5;

/// The health of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CellHealth {
    /// Most of its weight is available.
    Healthy {
        /// The available fraction of its weight, from 0 to 1.
        available: f64,
    },
    /// Most of its weight is unavailable, while most of the rest of the fleet is available.
    Degraded {
        /// The available fraction of its weight, from 0 to 1.
        available: f64,
    },
    /// The observer reaches neither the cell nor the rest of the fleet: it is the observer that is cut off.
    ObserverIsolated,
}

impl CellHealth {
    /// Assesses a cell. `sees_fleet` is whether the observer concludes that it is not in a minority partition,
    /// `is_available` which members its view holds to be available. A cell of which less than half is available is
    /// degraded if more than half of the other cells is available; otherwise the observer may be cut off, and must decide
    /// nothing. A fleet of one cell can't tell the two apart and assumes the latter, which is the safe choice.
    pub fn assess(
        map: &CellMap,
        cell: &str,
        sees_fleet: bool,
        is_available: impl Fn(&str) -> bool,
    ) -> CellHealth {
        let inside = map.cells().filter(|c| &*c.name == cell);
        let outside = map.cells().filter(|c| &*c.name != cell);
        let available = available_fraction(inside, &is_available);
        if available > MAJORITY {
            return CellHealth::Healthy { available };
        }
        if sees_fleet && available_fraction(outside, &is_available) > MAJORITY {
            return CellHealth::Degraded { available };
        }
        CellHealth::ObserverIsolated
    }
}

/// The available fraction of the weight of some cells; 0 where they have no nodes.
fn available_fraction<'a>(
    cells: impl Iterator<Item = &'a Cell>,
    is_available: &impl Fn(&str) -> bool,
) -> f64 {
    let mut total = 0.0;
    let mut available = 0.0;
    for node in cells.flat_map(|cell| &cell.nodes) {
        total += node.weight;
        if is_available(&node.name) {
            available += node.weight;
        }
    }
    if total > 0.0 {
        available / total
    } else {
        0.0
    }
}
