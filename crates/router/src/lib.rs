//! `protocol-gateway route`: clients speak JSON-RPC to it as they would to a node, and it carries each request to a node of the
//! tenant's cell. Which node, whether a request waits, is refused or tried again is decided in `routing`; this
//! crate has the sockets: one readiness loop over clients and nodes.

mod config;
mod message;
mod nodes;
pub mod upstream;

mod events;

pub use config::{Class, Config, ConfigError};
pub use events::{Counts, Handle, RouterLoop};
