//! The view of the fleet that its nodes keep themselves: who is there, in which state, and what a node concludes of
//! itself from it. SWIM with suspicion and local health, a full exchange in the background, and the gone asked after.
//!
//! All of it decides and none of it acts. Times, datagrams as values and random draws come in, datagrams to be sent go
//! out, so the node, the router, the drawn fleet and the model checker run the same functions. `docs/fleet.md` has the
//! design.
//!
//! - [`word`]: what is said of a member, and which of two words holds.
//! - [`View`]: one node's view, by time and datagrams.
//! - [`packet`]: datagrams as values, and their bytes.

pub mod packet;
mod probe;
mod settings;
mod suspicion;
mod table;
mod view;
pub mod word;

pub use packet::{Body, Malformed, Packet};
pub use settings::Settings;
pub use view::{Conclusion, Out, View};
pub use word::{Name, Record, Said, Standing};

/// A draw: a number below the one given, which is at least 1.
pub type Draw<'a> = &'a mut dyn FnMut(usize) -> usize;
