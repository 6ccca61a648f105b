//! Which cell serves a tenant, and which of the cell's nodes.
//!
//! A tenant's cell follows from hashes of names (weighted rendezvous), so that any two holders of the same map agree
//! without communication, and a node or a cell that is added or removed moves only what has to move. The map holds what
//! hashes don't decide: the cell of each node, pins, splits, and tenants whose preferred cell had no capacity. Maps are
//! persistent: the next epoch shares all that did not change with the last.

mod nodes;
mod published;
mod rendezvous;
mod tenants;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use rpds::{HashTrieMapSync, RedBlackTreeMapSync};
use serde::{Deserialize, Serialize};

use crate::layout::{Layout, LayoutError};
use crate::Epoch;
pub use crate::Name;
pub use published::PublishedMap;
use rendezvous::{HashPurpose, RendezvousKey};
use tenants::DesiredAssignment;

/// A node in the map.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: Name,
    /// The site it stands at.
    pub site: Name,
    /// Its capacity relative to other nodes; 1 is an ordinary node.
    pub weight: f64,
    /// Where it accepts requests, if the operators have declared it.
    pub address: Option<SocketAddr>,
    /// The cell it belongs to.
    pub cell: Name,
}

/// A cell and its nodes, in the order of their names.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Its name.
    pub name: Name,
    /// Its nodes.
    pub nodes: Vec<Node>,
    /// Cells that take over reads while this one is degraded, in order of preference.
    pub neighbours: Vec<Name>,
}

impl Cell {
    /// The sum of its nodes' weights.
    pub fn weight(&self) -> f64 {
        self.nodes.iter().map(|node| node.weight).sum()
    }

    /// The number of sites that its nodes stand at.
    pub fn site_count(&self) -> usize {
        let sites: BTreeSet<&Name> = self.nodes.iter().map(|node| &node.site).collect();
        sites.len()
    }
}

/// The cells that serve a tenant. Its serialized form is part of the coordinator's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AssignedCells {
    /// This cell.
    One(Name),
    /// These cells, by subject; requests without a subject go to the first.
    Split(Arc<[Name]>),
}

impl AssignedCells {
    /// The names of the cells.
    pub fn names(&self) -> &[Name] {
        match self {
            AssignedCells::One(cell) => std::slice::from_ref(cell),
            AssignedCells::Split(cells) => cells,
        }
    }
}

impl fmt::Display for AssignedCells {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.names().join("+"))
    }
}

/// A declared tenant's assignment to cells; only a migration changes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The cells.
    pub cells: AssignedCells,
    /// The epoch since which they serve the tenant: routers send it with requests, and nodes that know a newer one
    /// reject them.
    pub since: Epoch,
    /// Whether an operator migrated the tenant here by hand: it stays unless the file pins it elsewhere.
    pub is_manual: bool,
}

/// A tenant that is assigned to other cells than the layout asks for, and so has to migrate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMigration {
    /// The tenant.
    pub tenant: Name,
    /// The cells that serve it now.
    pub from: AssignedCells,
    /// The cells that the layout asks for.
    pub to: AssignedCells,
}

/// The result of [`CellMap::apply_layout`].
#[derive(Clone, Debug)]
pub struct AppliedLayout {
    /// The map that follows.
    pub map: CellMap,
    /// The tenants that have to migrate for the layout.
    pub migrations: Vec<PendingMigration>,
}

/// One epoch of the map.
#[derive(Clone, Debug)]
pub struct CellMap {
    epoch: Epoch,
    /// The number of a cell's nodes that serve one tenant; 0 for all of them.
    shard_size: usize,
    /// Whether tenants that no file declares are served, by the cell that their hash selects.
    accepts_undeclared_tenants: bool,
    cells: RedBlackTreeMapSync<Name, Cell>,
    assignments: HashTrieMapSync<Name, Assignment>,
}

impl Default for CellMap {
    /// The map before the first layout: no cells, epoch 0.
    fn default() -> CellMap {
        CellMap {
            epoch: 0,
            shard_size: 0,
            accepts_undeclared_tenants: false,
            cells: RedBlackTreeMapSync::new_sync(),
            assignments: HashTrieMapSync::new_sync(),
        }
    }
}

impl CellMap {
    /// The first map of a layout.
    ///
    /// # Errors
    /// The layout has no cells, or contradicts itself.
    pub fn from_layout(layout: &Layout) -> Result<CellMap, LayoutError> {
        Ok(CellMap::default().apply_layout(layout)?.map)
    }

    /// The number of this state of the map; it rises with each change.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The cells in the order of their names.
    pub fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.values()
    }

    /// The cell of this name.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.cells.get(name)
    }

    /// The node of this name.
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.cells
            .values()
            .flat_map(|cell| &cell.nodes)
            .find(|node| &*node.name == name)
    }

    /// The assignment of a declared tenant.
    pub fn assignment(&self, tenant: &str) -> Option<&Assignment> {
        self.assignments.get(tenant)
    }

    /// The declared tenants and their assignments, in no order.
    pub fn assignments(&self) -> impl Iterator<Item = (&Name, &Assignment)> {
        self.assignments.iter()
    }

    /// The cell that serves this tenant, for this subject where the tenant is split. None where the tenant is not
    /// declared, unless the layout accepts undeclared tenants: their hash selects the cell.
    pub fn cell_for(&self, tenant: &str, subject: Option<&str>) -> Option<&Cell> {
        match self.assignments.get(tenant).map(|a| &a.cells) {
            Some(AssignedCells::One(cell)) => self.cells.get(cell),
            Some(AssignedCells::Split(cells)) => self.cell_for_subject(cells, subject),
            None if self.accepts_undeclared_tenants => {
                let key = RendezvousKey::new(tenant, HashPurpose::Cell);
                self.cells
                    .values()
                    .min_by(|a, b| key.compare((&a.name, 1.0), (&b.name, 1.0)))
            }
            None => None,
        }
    }

    fn cell_for_subject(&self, cells: &[Name], subject: Option<&str>) -> Option<&Cell> {
        let Some(subject) = subject else {
            return self.cells.get(cells.first()?);
        };
        let key = RendezvousKey::new(subject, HashPurpose::Subject);
        // Equal weights: those of the cells' nodes change more often than subjects should move.
        let nearest = cells
            .iter()
            .min_by(|a, b| key.compare((a, 1.0), (b, 1.0)))?;
        self.cells.get(nearest)
    }

    /// The nodes of the cell that serve this tenant, in order of preference: a shuffle shard of the cell, over at least
    /// two sites where the cell has them, or the whole cell where the layout asks for no shards.
    pub fn shard_nodes<'a>(&self, cell: &'a Cell, tenant: &str) -> Vec<&'a Node> {
        let key = RendezvousKey::new(tenant, HashPurpose::Node);
        let mut nodes: Vec<&Node> = cell.nodes.iter().collect();
        nodes.sort_by(|a, b| key.compare((&a.name, a.weight), (&b.name, b.weight)));
        let size = match self.shard_size {
            0 => nodes.len(),
            limit => limit.min(nodes.len()),
        };
        let first_site = nodes.first().map(|node| &node.site);
        if size > 1 && nodes[..size].iter().all(|n| Some(&n.site) == first_site) {
            if let Some(other) = nodes.iter().position(|n| Some(&n.site) != first_site) {
                nodes.swap(size - 1, other);
            }
        }
        nodes.truncate(size);
        nodes
    }

    /// The map that follows this one under a layout, and the tenants that have to migrate for it. Cells and nodes are as
    /// the layout asks; nodes that it assigns nowhere stay in their cell. No tenant moves by this: one that is assigned
    /// stays until its migration is committed, a new one is assigned as the layout asks. The same map and layout always
    /// lead to the same next map, and a layout that changes nothing keeps the epoch.
    ///
    /// # Errors
    /// The layout has no cells, contradicts itself, or removes a cell to which a tenant is still assigned.
    pub fn apply_layout(&self, layout: &Layout) -> Result<AppliedLayout, LayoutError> {
        if layout.cells.is_empty() {
            return Err(LayoutError::NoCells);
        }
        let cells = nodes::assign_nodes(self, layout)?;
        let mut next = CellMap {
            shard_size: layout.shard_size,
            accepts_undeclared_tenants: layout.accepts_undeclared_tenants,
            ..self.clone()
        };
        next.replace_cells(cells);
        next.drop_undeclared_assignments(layout);
        let desired = tenants::select_cells(&next, layout)?;
        let migrations = next.assign_new_tenants(desired)?;
        if !next.has_same_content(self) {
            next.epoch += 1;
        }
        Ok(AppliedLayout {
            map: next,
            migrations,
        })
    }

    /// Replaces the cells; those that did not change stay shared with the earlier map.
    fn replace_cells(&mut self, cells: BTreeMap<Name, Cell>) {
        let removed: Vec<Name> = self
            .cells
            .keys()
            .filter(|name| !cells.contains_key(*name))
            .cloned()
            .collect();
        for name in removed {
            self.cells.remove_mut(&name);
        }
        for (name, cell) in cells {
            if self.cells.get(&name) != Some(&cell) {
                self.cells.insert_mut(name, cell);
            }
        }
    }

    fn drop_undeclared_assignments(&mut self, layout: &Layout) {
        let undeclared: Vec<Name> = self
            .assignments
            .keys()
            .filter(|tenant| !layout.tenants.contains_key(*tenant))
            .cloned()
            .collect();
        for tenant in undeclared {
            self.assignments.remove_mut(&tenant);
        }
    }

    /// Assigns tenants that are new, and returns the others that are not where they should be.
    fn assign_new_tenants(
        &mut self,
        desired: Vec<DesiredAssignment>,
    ) -> Result<Vec<PendingMigration>, LayoutError> {
        let mut migrations = Vec::new();
        for DesiredAssignment { tenant, cells } in desired {
            let Some(current) = self.assignments.get(&tenant) else {
                let assignment = Assignment {
                    cells,
                    since: self.epoch + 1,
                    is_manual: false,
                };
                self.assignments.insert_mut(tenant, assignment);
                continue;
            };
            if let Some(removed) = self.first_unknown_cell(&current.cells) {
                return Err(LayoutError::CellInUse {
                    cell: removed.clone(),
                    tenant,
                });
            }
            if current.cells != cells {
                migrations.push(PendingMigration {
                    tenant,
                    from: current.cells.clone(),
                    to: cells,
                });
            }
        }
        Ok(migrations)
    }

    fn first_unknown_cell<'a>(&self, cells: &'a AssignedCells) -> Option<&'a Name> {
        cells
            .names()
            .iter()
            .find(|cell| !self.cells.contains_key(*cell))
    }

    fn has_same_content(&self, other: &CellMap) -> bool {
        self.shard_size == other.shard_size
            && self.accepts_undeclared_tenants == other.accepts_undeclared_tenants
            && self.cells == other.cells
            && self.assignments == other.assignments
    }

    /// The map in which the tenant is assigned to these cells, as a migration commits it that created the epoch `since`;
    /// without one, as of the map's next epoch.
    ///
    /// # Errors
    /// The map has no cell of one of these names.
    pub fn with_assignment(
        &self,
        tenant: &str,
        cells: AssignedCells,
        since: Option<Epoch>,
        is_manual: bool,
    ) -> Result<CellMap, LayoutError> {
        if let Some(unknown) = self.first_unknown_cell(&cells) {
            return Err(LayoutError::UnknownCell {
                referrer: tenant.into(),
                cell: unknown.clone(),
            });
        }
        let epoch = since.unwrap_or(0).max(self.epoch + 1);
        let assignment = Assignment {
            cells,
            since: since.unwrap_or(epoch),
            is_manual,
        };
        Ok(CellMap {
            epoch,
            assignments: self.assignments.insert(tenant.into(), assignment),
            ..self.clone()
        })
    }
}
