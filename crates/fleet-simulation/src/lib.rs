//! Simulation of a fleet: many nodes in one process over a simulated network and clock, the same for the same seed. The
//! nodes run the shipped decisions; baselines to measure against run beside them.
//!
//! - [`FleetSimulation`], [`scenarios`], [`measurements`]: membership under faults, and how it scales.
//! - [`budgets`]: the sharing of a budget under faults.
//! - [`aggregation`]: counts and health of a dependency, collected over the fleet.

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
