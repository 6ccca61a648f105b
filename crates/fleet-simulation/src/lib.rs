//! Deterministic simulation of a fleet: many nodes in one process over a simulated network and
//! clock. Simulations with the same seed are equal. The nodes run the shipped decision code, which
//! is compared with baselines.
//!
//! - [`FleetSimulation`], [`scenarios`], [`measurements`]: membership under faults and by fleet
//!   size.
//! - [`budgets`]: sharing of a budget under faults.
//! - [`aggregation`]: counts and health of a dependency, aggregated over the fleet.

pub mod aggregation;
mod baselines;
pub mod budgets;
mod event_queue;
mod fleet;
pub mod measurements;
mod network;
mod peer;
pub mod scenarios;
mod view_peer;

pub use baselines::{FocaPeer, HeartbeatPeer};
pub use fleet::{DeathReport, FleetSimulation};
pub use network::{Network, Traffic, UDP_HEADER_BYTES};
pub use peer::{NodeId, Outgoing, Peer, PeerStart};
pub use view_peer::{PlainSwimPeer, ViewPeer};
