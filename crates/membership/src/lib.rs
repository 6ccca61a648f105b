//! Fleet membership: which members exist, in which state each is, and whether this node can still
//! see a majority of them. The protocol is SWIM with suspicion and Lifeguard's local health, plus
//! anti-entropy in the background and attempts to reconnect to members that were declared dead.
//!
//! This crate makes the decisions and performs no I/O. Times, decoded datagrams and random numbers
//! are passed in, and datagrams to send are returned as [`Effect`]s, so that the node, the router,
//! the simulated fleet and the model checker run the same code. `docs/fleet.md` describes the
//! design.
//!
//! - [`member_state`]: the known state of one member, and which of two states takes precedence.
//! - [`MembershipView`]: one node's view, driven by datagrams and time.
//! - [`packet`]: datagrams as values, and their encoding.

pub mod member_state;
mod member_table;
pub mod packet;
mod probe;
mod settings;
mod suspicion_timer;
mod view;

pub use member_state::{AdvertisedStatus, Liveness, MemberRecord, MemberState, Name};
pub use packet::{Body, DecodeError, Packet};
pub use settings::Settings;
pub use view::{Effect, MembershipView, PartitionStatus};

/// A source of random numbers: returns an index below the given bound, which is at least 1.
pub type RandomIndex<'a> = &'a mut dyn FnMut(usize) -> usize;
