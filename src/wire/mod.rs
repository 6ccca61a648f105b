//! The simulator's protocol: JSON lines in both directions. This module only converts messages; the
//! policy decides.
//!
//! A node's configuration holds the same settings object as the simulator's first message: [`Site`]
//! reads both.

mod actions;
mod events;
mod host;
mod settings;
mod site;

pub use host::Host;
pub use site::Site;
