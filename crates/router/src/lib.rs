//! The router behind `protocol-gateway route`: clients send JSON-RPC to it as they would to a node,
//! and it forwards each request to a node of the tenant's cell.
//!
//! The crate `routing` decides which node gets a request and whether a request is queued, rejected
//! or retried. This crate does the I/O: one readiness loop over the sockets of clients and nodes.

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
