//! The layout that operators ask for: cells, nodes and tenants as declared.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Name;

/// What the operators ask for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// The number of a cell's nodes that serve one tenant; 0 for all of them.
    pub shard_size: usize,
    /// How far above its portion by weight a cell may be filled with declared shares: 0.25 is a quarter.
    pub slack: f64,
    /// Whether tenants that are not declared are served, by the cell that their hash selects.
    pub accepts_undeclared_tenants: bool,
    /// The cells.
    pub cells: BTreeMap<Name, CellSpec>,
    /// The nodes.
    pub nodes: BTreeMap<Name, NodeSpec>,
    /// The tenants.
    pub tenants: BTreeMap<Name, TenantSpec>,
}

/// A cell as declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSpec {
    /// Cells that take over reads while this one is degraded, in order of preference.
    pub neighbours: Vec<Name>,
}

/// A node as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// The site it stands at.
    pub site: Name,
    /// Its capacity relative to other nodes; 1 is an ordinary node.
    pub weight: f64,
    /// Where it accepts requests.
    pub address: Option<SocketAddr>,
    /// The cell it is to belong to; its present cell, or else the lightest, if none is named.
    pub cell: Option<Name>,
}

/// A tenant as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Its share of the traffic, relative to the sum of all declared shares.
    pub share: f64,
    /// Which cells are to serve it.
    pub placement: Placement,
}

/// Which cells are to serve a tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The cell that its hash and the cells' capacity select.
    Free,
    /// This cell.
    Cell(Name),
    /// So many cells, by subject.
    Split(usize),
}

/// Why a layout can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// It has no cell.
    #[error("there are no cells")]
    NoCells,
    /// A cell is left without a node.
    #[error("cell {0} has no nodes")]
    NoNodes(Name),
    /// All nodes of a cell stand at one site, though there are several sites.
    #[error("all nodes of cell {cell} stand at {site}")]
    OneSite {
        /// The cell.
        cell: Name,
        /// The site of all its nodes.
        site: Name,
    },
    /// Something names a cell that does not exist.
    #[error("{referrer} names the cell {cell}, which is not there")]
    UnknownCell {
        /// The node, tenant or cell that names it.
        referrer: Name,
        /// The unknown cell.
        cell: Name,
    },
    /// A tenant is to be split over more cells than there are.
    #[error("{tenant} is to be split over {shards} cells of {cells}")]
    TooManyShards {
        /// The tenant.
        tenant: Name,
        /// The number of cells asked for.
        shards: usize,
        /// The number of cells there are.
        cells: usize,
    },
    /// No cell has enough capacity left for a tenant's share.
    #[error("{0} fits in no cell beside the others")]
    NoCapacity(Name),
    /// A cell is to be removed while a tenant is assigned to it; the tenant must migrate first.
    #[error("cell {cell} is to go, but {tenant} lives in it: move it first")]
    CellInUse {
        /// The cell.
        cell: Name,
        /// A tenant that is assigned to it.
        tenant: Name,
    },
}
