//! The declared layout: cells, nodes and tenants as the operators configure them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Name;

/// The declared cells, nodes and tenants, and how tenants are distributed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// Number of a cell's nodes that serve one tenant; 0 means all of them.
    pub shard_size: usize,
    /// Fraction by which a cell's declared shares may exceed its proportion by weight; 0.25 allows
    /// a quarter more.
    pub slack: f64,
    /// True if undeclared tenants are served too, by the cell that their hash selects.
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
    /// Site of the node.
    pub site: Name,
    /// Capacity relative to other nodes; 1 is an ordinary node.
    pub weight: f64,
    /// Address on which the node accepts requests.
    pub address: Option<SocketAddr>,
    /// Cell that the node must belong to. If none is named, the node stays in its current cell; a
    /// node without one is assigned to the cell with the lowest weight.
    pub cell: Option<Name>,
}

/// A tenant as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Share of the traffic, relative to the sum of all declared shares.
    pub share: f64,
    /// Rule that selects the cells.
    pub placement: Placement,
}

/// The rule that selects the cells of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The tenant's hash and the capacity of the cells select one cell.
    Free,
    /// The tenant is pinned to this cell.
    Cell(Name),
    /// The tenant is split over this number of cells, by subject.
    Split(usize),
}

/// The reason why a layout can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The layout has no cells.
    #[error("no cells are declared")]
    NoCells,
    /// A cell has no nodes.
    #[error("cell {0} has no nodes")]
    NoNodes(Name),
    /// All nodes of a cell are at one site, although the layout has several sites.
    #[error("all nodes of cell {cell} are at site {site}")]
    OneSite {
        /// The cell.
        cell: Name,
        /// The site of all its nodes.
        site: Name,
    },
    /// A node, tenant or cell refers to a cell that does not exist.
    #[error("{referrer} refers to cell {cell}, which does not exist")]
    UnknownCell {
        /// Node, tenant or cell that contains the reference.
        referrer: Name,
        /// The unknown cell.
        cell: Name,
    },
    /// A tenant would be split over more cells than there are.
    #[error("tenant {tenant} can't be split over {shards} cells: there are only {cells}")]
    TooManyShards {
        /// The tenant.
        tenant: Name,
        /// Requested number of cells.
        shards: usize,
        /// Number of existing cells.
        cells: usize,
    },
    /// No cell has enough remaining capacity for a tenant's share.
    #[error("no cell has enough remaining capacity for tenant {0}")]
    NoCapacity(Name),
    /// A removed cell still has a tenant assigned to it; the tenant must be migrated first.
    #[error("cell {cell} can't be removed: migrate tenant {tenant} to another cell first")]
    CellInUse {
        /// The cell.
        cell: Name,
        /// A tenant that is assigned to it.
        tenant: Name,
    },
}
