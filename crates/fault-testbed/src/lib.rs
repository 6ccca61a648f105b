//! Many processes of the program on loopback, with faults injected between them.
//!
//! - [`links`]: the faults of each link and what they do to its datagrams and streams: pure, drawn from a seed.
//! - [`NetworkProxy`]: the sockets between the processes, which carry the faults out.
//! - [`Testbed`]: the processes with their test doubles, and waiting for what they reach.
//! - [`scenario`]: a run of a testbed from a file.
//! - [`demo`]: a run to watch.

pub mod connection_owner;
pub mod demo;
mod error;
pub mod links;
mod network_proxy;
pub mod scenario;
mod testbed;

pub use error::TestbedError;
pub use links::{LinkFaults, Links};
pub use network_proxy::{NetworkProxy, ProxyAddresses};
pub use testbed::{ProcessPlan, Testbed};
