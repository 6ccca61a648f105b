//! `protocol-gateway route`: clients speak JSON-RPC to the router as they would to a node, and it forwards each request to
//! a node of the tenant's cell. Which node, whether a request waits, is rejected or tried again is decided in `routing`;
//! this crate has the sockets: one readiness loop over clients and nodes.

mod client_message;
mod config;
mod error_line;
mod handle;
mod node_directory;
mod node_reply;
mod request_router;
mod router_loop;
mod upstream_pool;
pub mod upstream_state;

pub use config::{Config, ConfigError, RequestClass};
pub use handle::{RouterCounters, RouterHandle};
pub use router_loop::RouterLoop;
