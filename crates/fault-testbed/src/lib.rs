//! Many processes of the program on loopback, with faults put between them.
//!
//! - [`links`]: what the faults are, and what becomes of each datagram and of each stream: pure, by a seed.
//! - [`Switch`]: the sockets that carry it out.
//! - [`Rig`]: the processes with their stand-ins, and what is awaited of them.
//! - [`script`]: the same from a file.

pub mod connection_owner;
pub mod demo;
pub mod links;
mod rig;
pub mod script;
mod switch;

pub use links::{Link, Links};
pub use rig::{Plan, Rig};
pub use switch::Switch;
