//! Selects the cells that should serve each declared tenant.

use super::rendezvous::{HashPurpose, RendezvousKey};
use super::{AssignedCells, CellMap};
use crate::layout::{Layout, LayoutError, Placement, TenantSpec};
use crate::Name;

/// Tolerance for rounding errors when a share is compared with a cell's remaining capacity.
const CAPACITY_TOLERANCE: f64 = 1e-9;

/// A tenant and the cells that the layout selects for it.
pub(super) struct DesiredAssignment {
    pub(super) tenant: Name,
    pub(super) cells: AssignedCells,
}

/// Selects the cells of `map` that should serve each declared tenant. Tenants with fixed cells come
/// first, then the others by descending share. Each of the others gets the first cell in its hash
/// order that has enough remaining capacity for its share. The capacity of a cell is its proportion
/// of the total weight, increased by the fraction `slack`.
pub(super) fn select_cells(
    map: &CellMap,
    layout: &Layout,
) -> Result<Vec<DesiredAssignment>, LayoutError> {
    let mut selector = Selector::new(map, layout);
    let mut tenants: Vec<(&Name, &TenantSpec)> = layout.tenants.iter().collect();
    tenants.sort_by(|(name_a, a), (name_b, b)| {
        let is_fixed_a = selector.has_fixed_cells(name_a, a);
        let is_fixed_b = selector.has_fixed_cells(name_b, b);
        is_fixed_b
            .cmp(&is_fixed_a)
            .then(b.share.total_cmp(&a.share))
            .then(name_a.cmp(name_b))
    });
    tenants
        .into_iter()
        .map(|(tenant, spec)| selector.select(tenant, spec))
        .collect()
}

/// A cell and its remaining capacity, as a fraction of all declared shares.
struct CellCapacity<'a> {
    name: &'a Name,
    weight: f64,
    remaining: f64,
}

struct Selector<'a> {
    map: &'a CellMap,
    cells: Vec<CellCapacity<'a>>,
    /// The sum of all declared shares.
    total_share: f64,
}

impl<'a> Selector<'a> {
    fn new(map: &'a CellMap, layout: &Layout) -> Selector<'a> {
        let weights: Vec<(&Name, f64)> = map
            .cells()
            .map(|cell| (&cell.name, cell.weight()))
            .collect();
        let total_weight: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let total_share: f64 = layout.tenants.values().map(|tenant| tenant.share).sum();
        let cells = weights
            .into_iter()
            .map(|(name, weight)| CellCapacity {
                name,
                weight,
                remaining: weight / total_weight * (1.0 + layout.slack),
            })
            .collect();
        Selector {
            map,
            cells,
            total_share: total_share.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the cells to which an operator migrated the tenant manually, if any.
    fn manual_assignment(&self, tenant: &str) -> Option<&'a AssignedCells> {
        self.map
            .assignment(tenant)
            .filter(|assignment| assignment.is_manual)
            .map(|assignment| &assignment.cells)
    }

    fn has_fixed_cells(&self, tenant: &str, spec: &TenantSpec) -> bool {
        spec.placement != Placement::Free || self.manual_assignment(tenant).is_some()
    }

    fn index_of(&self, cell: &Name) -> Option<usize> {
        self.cells.iter().position(|c| c.name == cell)
    }

    /// Selects a tenant's cells and subtracts its share from their capacity.
    fn select(
        &mut self,
        tenant: &Name,
        spec: &TenantSpec,
    ) -> Result<DesiredAssignment, LayoutError> {
        let share = spec.share / self.total_share;
        let cells = match (&spec.placement, self.manual_assignment(tenant)) {
            (Placement::Cell(cell), _) => self.pinned(tenant, cell)?,
            (_, Some(cells)) => cells.clone(),
            (Placement::Split(shards), None) => self.split(tenant, *shards)?,
            (Placement::Free, None) => self.first_with_capacity(tenant, share)?,
        };
        let share_per_cell = share / cells.names().len() as f64;
        for cell in cells.names() {
            if let Some(index) = self.index_of(cell) {
                self.cells[index].remaining -= share_per_cell;
            }
        }
        Ok(DesiredAssignment {
            tenant: tenant.clone(),
            cells,
        })
    }

    fn pinned(&self, tenant: &Name, cell: &Name) -> Result<AssignedCells, LayoutError> {
        if self.index_of(cell).is_none() {
            return Err(LayoutError::UnknownCell {
                referrer: tenant.clone(),
                cell: cell.clone(),
            });
        }
        Ok(AssignedCells::One(cell.clone()))
    }

    fn split(&self, tenant: &Name, shards: usize) -> Result<AssignedCells, LayoutError> {
        if shards > self.cells.len() {
            return Err(LayoutError::TooManyShards {
                tenant: tenant.clone(),
                shards,
                cells: self.cells.len(),
            });
        }
        let nearest = self.in_hash_order(tenant).into_iter().take(shards);
        Ok(AssignedCells::Split(
            nearest.map(|cell| cell.name.clone()).collect(),
        ))
    }

    fn first_with_capacity(&self, tenant: &Name, share: f64) -> Result<AssignedCells, LayoutError> {
        self.in_hash_order(tenant)
            .into_iter()
            .find(|cell| cell.remaining + CAPACITY_TOLERANCE >= share)
            .map(|cell| AssignedCells::One(cell.name.clone()))
            .ok_or_else(|| LayoutError::NoCapacity(tenant.clone()))
    }

    /// Returns the cells in the order of preference that the tenant's hash determines.
    fn in_hash_order(&self, tenant: &str) -> Vec<&CellCapacity<'a>> {
        let key = RendezvousKey::new(tenant, HashPurpose::Cell);
        let mut cells: Vec<(f64, &CellCapacity)> = self
            .cells
            .iter()
            .map(|cell| (key.distance(cell.name, cell.weight), cell))
            .collect();
        // The sort is stable: cells with equal distances remain ordered by name.
        cells.sort_by(|a, b| a.0.total_cmp(&b.0));
        cells.into_iter().map(|(_, cell)| cell).collect()
    }
}
