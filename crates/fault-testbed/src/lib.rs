//! Runs many processes of the program on loopback, and injects faults into the traffic between
//! them.
//!
//! - [`links`]: the faults of each link and their effects on its datagrams and streams. Does no
//!   I/O; random values are drawn from a seed.
//! - [`NetworkProxy`]: the sockets between the processes, which apply the faults.
//! - [`Testbed`]: the processes with their test doubles, and functions that wait for a state.
//! - [`scenario`]: runs of a testbed that are described by a file.
//! - [`demo`]: a run that is displayed in a terminal.

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
