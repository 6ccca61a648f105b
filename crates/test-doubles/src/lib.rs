//! Test doubles of the peers of a node, on loopback, and the node itself as a child process.
//!
//! The body of a request selects how a fake handles it; see [`FakeExecutor`] and [`FakeDatabase`].
//! Functions named `try_...` return errors and are meant for programs; those without the prefix
//! panic, which keeps tests short.

mod client;
mod command;
mod database;
mod encoding;
mod endpoint_list;
mod error;
mod executor;
mod http_call;
mod loopback_server;
mod node;
mod scratch_file;
mod settings;
mod waiting;

pub use client::TestClient;
pub use command::{gateway_program, node_command, try_node_command};
pub use database::{DelayedCalls, FakeDatabase};
pub use encoding::{decode_base64, encode_base64, unix_ms};
pub use endpoint_list::FakeEndpointList;
pub use error::TestDoubleError;
pub use executor::FakeExecutor;
pub use loopback_server::{serve_connections, try_serve_connections};
pub use node::{FakePeers, Node, ProcessUsage};
pub use scratch_file::ScratchFile;
pub use settings::{node_config, small_site_settings};
pub use waiting::{lock, try_wait_until, wait_until};
