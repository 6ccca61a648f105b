//! Decides for one server which requests are admitted, run, given a dependency call, rejected or failed.
//!
//! [`Policy`] is a deterministic state machine. Feed it [`Event`]s with the present [`Time`]; it appends
//! [`Action`]s. It reads no clock, starts no thread and draws no randomness beyond the seed handed to it.
//! A `Policy` is `Send`; one server drives it through `&mut self`, while [`Sketch`] counts through `&self`
//! and may be read from any thread.

mod interface;
mod logic;
pub mod statistics;

pub use interface::*;
pub use logic::{Policy, Sketch};
