//! Decides for one server which requests are admitted, run, given a dependency call, rejected or
//! failed.
//!
//! [`Policy`] is a deterministic state machine. Feed it [`Event`]s with the current [`Time`]; it
//! appends [`Action`]s. It reads no clock, starts no thread and uses no randomness except the seed
//! passed to it. A `Policy` is `Send`; one server drives it through `&mut self`, while [`Sketch`]
//! counts through `&self` and may be read from any thread.
//!
//! A request passes through these modules: `admission` registers or rejects it, `scheduling`
//! assigns it a slot and starts it, `dependency_calls` makes its calls, and `request` ends it.
//! `policy` drives them with events and elapsed time, `estimates` holds what they learn, and
//! `signals` publishes health and capacity hints. All files outside `interface` and `statistics`
//! make decisions; `tests/size_limit.rs` limits the size of each.

mod admission;
mod dependency_calls;
mod estimates;
mod interface;
mod policy;
mod request;
mod scheduling;
mod signals;
pub mod statistics;

pub use interface::*;
pub use policy::Policy;
pub use statistics::Sketch;
