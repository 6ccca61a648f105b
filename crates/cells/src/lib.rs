//! Cells: tenants and subjects are confined to subsets of the nodes, and migrate between them without losing or
//! duplicating a settlement.
//!
//! Everything here decides and does no I/O: times and messages come in, decisions go out, so the same code runs in the
//! node, the router, the coordinator and under the model checker. `docs/cells.md` describes the design.

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
/// The version number of a cell map; it rises with each change.
pub type Epoch = u64;
