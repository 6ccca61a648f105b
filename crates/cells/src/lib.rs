//! Cells confine tenants and subjects to subsets of the nodes. Tenants migrate between cells
//! without losing or duplicating a settlement.
//!
//! This crate does no I/O: it takes times and messages as input and returns decisions. The node,
//! the router, the coordinator and the model checker therefore run the same code. `docs/cells.md`
//! describes the design.

pub mod health;
pub mod layout;
mod layout_file;
pub mod map;
pub mod migration;
pub mod spillover;

use std::sync::Arc;

pub use health::CellHealth;
pub use layout::{CellSpec, Layout, LayoutError, NodeSpec, Placement, TenantSpec};
pub use map::{
    AppliedLayout, AssignedCells, Assignment, Cell, CellMap, Node, PendingMigration, PublishedMap,
};
pub use migration::{Fence, Migration, MigrationPhase};

/// The name of a node, cell, site or tenant.
pub type Name = Arc<str>;
/// Version number of a cell map; it increases with each change.
pub type Epoch = u64;
