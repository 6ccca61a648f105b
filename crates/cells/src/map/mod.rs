//! The cell map: the cell that serves each tenant, and the nodes of that cell.
//!
//! A tenant's cell is selected by weighted rendezvous hashing of names. Any two processes with the
//! same map agree without communication, and adding or removing a node or a cell moves as few
//! tenants as possible. The map stores what hashes don't determine: the cell of each node, pinned
//! and split tenants, and tenants whose preferred cell had no capacity. Maps are persistent data
//! structures: each epoch shares unchanged parts with the previous one.

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
    /// Name of the node.
    pub name: Name,
    /// Site of the node.
    pub site: Name,
    /// Capacity relative to other nodes; 1 is an ordinary node.
    pub weight: f64,
    /// Address on which the node accepts requests, if the layout declares one.
    pub address: Option<SocketAddr>,
    /// Cell that the node belongs to.
    pub cell: Name,
}

/// A cell and its nodes, in the order of their names.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Name of the cell.
    pub name: Name,
    /// Nodes, ordered by name.
    pub nodes: Vec<Node>,
    /// Cells that take over reads while this one is degraded, in order of preference.
    pub neighbours: Vec<Name>,
}

impl Cell {
    /// Returns the total weight of the cell's nodes.
    pub fn weight(&self) -> f64 {
        self.nodes.iter().map(|node| node.weight).sum()
    }

    /// Returns the number of distinct sites of the cell's nodes.
    pub fn site_count(&self) -> usize {
        let sites: BTreeSet<&Name> = self.nodes.iter().map(|node| &node.site).collect();
        sites.len()
    }
}

/// The cells that serve a tenant. Its serialized form is part of the coordinator's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AssignedCells {
    /// One cell serves the tenant.
    One(Name),
    /// The tenant is split over these cells by subject; requests without a subject go to the first.
    Split(Arc<[Name]>),
}

impl AssignedCells {
    /// Returns the names of the cells.
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
    /// Epoch at which these cells began to serve the tenant. Routers send it with requests, and
    /// nodes that know a newer one reject them.
    pub since: Epoch,
    /// True if an operator migrated the tenant here manually: the assignment is kept unless the
    /// layout pins the tenant to another cell.
    pub is_manual: bool,
}

/// A tenant that must migrate, because its assignment differs from what the layout requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMigration {
    /// The tenant.
    pub tenant: Name,
    /// Cells that serve the tenant now.
    pub from: AssignedCells,
    /// Cells that the layout requires.
    pub to: AssignedCells,
}

/// The result of [`CellMap::apply_layout`].
#[derive(Clone, Debug)]
pub struct AppliedLayout {
    /// The map after the layout was applied.
    pub map: CellMap,
    /// Tenants that must migrate to match the layout.
    pub migrations: Vec<PendingMigration>,
}

/// The assignment of nodes to cells and of tenants to cells, as of one epoch.
#[derive(Clone, Debug)]
pub struct CellMap {
    epoch: Epoch,
    /// Number of a cell's nodes that serve one tenant; 0 means all of them.
    shard_size: usize,
    /// True if undeclared tenants are served too, by the cell that their hash selects.
    accepts_undeclared_tenants: bool,
    cells: RedBlackTreeMapSync<Name, Cell>,
    assignments: HashTrieMapSync<Name, Assignment>,
}

impl Default for CellMap {
    /// Returns the empty map, at epoch 0, which precedes the first layout.
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
    /// Creates the first map of a layout.
    ///
    /// # Errors
    /// Returns an error if the layout has no cells or is inconsistent.
    pub fn from_layout(layout: &Layout) -> Result<CellMap, LayoutError> {
        Ok(CellMap::default().apply_layout(layout)?.map)
    }

    /// Returns the version number of this map; it increases with each change.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the cells, ordered by name.
    pub fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.values()
    }

    /// Returns the cell with this name.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.cells.get(name)
    }

    /// Returns the node with this name.
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.cells
            .values()
            .flat_map(|cell| &cell.nodes)
            .find(|node| &*node.name == name)
    }

    /// Returns the assignment of a declared tenant.
    pub fn assignment(&self, tenant: &str) -> Option<&Assignment> {
        self.assignments.get(tenant)
    }

    /// Returns the declared tenants and their assignments, in unspecified order.
    pub fn assignments(&self) -> impl Iterator<Item = (&Name, &Assignment)> {
        self.assignments.iter()
    }

    /// Returns the cell that serves this tenant, or this subject of a split tenant. An undeclared
    /// tenant has a cell only if the layout accepts undeclared tenants; its hash then selects the
    /// cell.
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
        // All cells have equal weight here, because the real weights change with the nodes, and
        // subjects should move less often than that.
        let nearest = cells
            .iter()
            .min_by(|a, b| key.compare((a, 1.0), (b, 1.0)))?;
        self.cells.get(nearest)
    }

    /// Returns the nodes of the cell that serve this tenant, in order of preference. They are a
    /// shuffle shard of the cell that spans at least two sites if the cell does, or the whole cell
    /// if the layout sets no shard size.
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

    /// Returns the next map under a layout, and the tenants that must migrate to match it. Cells
    /// and nodes become those of the layout; nodes without a declared cell stay in their cell. An
    /// assigned tenant keeps its assignment until its migration is committed, and a new tenant is
    /// assigned as the layout requires. The result is deterministic, and a layout that changes
    /// nothing keeps the epoch.
    ///
    /// # Errors
    /// Returns an error if the layout has no cells, is inconsistent, or removes a cell to which a
    /// tenant is still assigned.
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

    /// Replaces the cells. Unchanged ones remain shared with the previous map.
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

    /// Assigns new tenants, and returns the migrations of tenants that are assigned to other cells
    /// than desired.
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

    /// Returns a map in which the tenant is assigned to these cells. `since` is the epoch created
    /// by the migration that commits the assignment; without it, the assignment begins at the map's
    /// next epoch.
    ///
    /// # Errors
    /// Returns an error if the map does not contain one of the cells.
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
