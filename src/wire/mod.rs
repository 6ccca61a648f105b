//! The simulator's wire: JSON lines in, JSON lines out. It translates only; the policy decides.
//!
//! A node's configuration holds the same settings object as the simulator's first message: [`Site`] reads both.

mod actions;
mod events;
mod host;
mod settings;
mod site;

pub use host::Host;
pub use site::Site;
