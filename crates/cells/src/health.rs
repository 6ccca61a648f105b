//! Health of a cell: the fraction of its capacity that is available in one observer's membership
//! view.

use crate::map::{Cell, CellMap};

/// Fraction of weight that must be exceeded: by the available nodes of a cell for it to be healthy,
/// and by those of the rest of the fleet for the observer to be considered connected.
const MAJORITY_FRACTION: f64 = 0.5;

/// The health of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CellHealth {
    /// Most of the cell's weight is available.
    Healthy {
        /// Available fraction of the cell's weight, from 0 to 1.
        available: f64,
    },
    /// Most of the cell's weight is unavailable, while most of the rest of the fleet is available.
    Degraded {
        /// Available fraction of the cell's weight, from 0 to 1.
        available: f64,
    },
    /// The observer sees neither most of the cell nor most of the rest of the fleet: the observer
    /// itself may be disconnected.
    ObserverIsolated,
}

impl CellHealth {
    /// Assesses the health of a cell. `observer_has_majority` is true if the observer is not in a
    /// minority partition; `is_available` returns true for each node that is available in its
    /// membership view. A cell with no more than half of its weight available is degraded if more
    /// than half of the weight of the other cells is available. Otherwise the observer may be
    /// disconnected and must not decide anything. With only one cell the two cases can't be
    /// distinguished, and the observer is assumed to be disconnected, which is the safe choice.
    pub fn assess(
        map: &CellMap,
        cell: &str,
        observer_has_majority: bool,
        is_available: impl Fn(&str) -> bool,
    ) -> CellHealth {
        let inside = map.cells().filter(|c| &*c.name == cell);
        let outside = map.cells().filter(|c| &*c.name != cell);
        let available = available_fraction(inside, &is_available);
        if available > MAJORITY_FRACTION {
            return CellHealth::Healthy { available };
        }
        if observer_has_majority && available_fraction(outside, &is_available) > MAJORITY_FRACTION {
            return CellHealth::Degraded { available };
        }
        CellHealth::ObserverIsolated
    }
}

/// Returns the available fraction of the total weight of these cells; 0 if they have no nodes.
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
