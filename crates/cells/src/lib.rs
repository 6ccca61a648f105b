//! Cells: tenants and subjects confined to subsets of the nodes, and moves between them that lose and double nothing.
//!
//! All of it decides and none of it acts: times and messages come in, actions go out, so the same code runs in the
//! node, in the router, in the coordinator and under the model checker. `docs/cells.md` has the design.

pub mod file;
pub mod map;
pub mod member;
pub mod moves;

pub use file::{FileError, Layout};
pub use map::{Cell, CellMap, Home, LayoutError, Node, Published};
pub use member::Verdict;
pub use moves::{Fence, Move, Step};
