//! The node's network connections, on `std::net` or `mio` and threads with small stacks, with one
//! actor per peer.

pub mod admin;
pub mod database;
pub mod endpoint_list;
pub mod executor;
pub mod jsonrpc;

mod address;
mod backoff;
mod line_reader;

use std::io;
use std::thread;

pub use address::{bind_client_address, PeerAddress};
pub use backoff::Backoff;
pub use line_reader::LineReader;

/// Starts a named thread with the given stack size.
///
/// # Errors
/// Returns an error if the system cannot start another thread.
pub fn spawn(
    name: &str,
    stack_bytes: usize,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(stack_bytes)
        .spawn(body)
        .map(drop)
}
