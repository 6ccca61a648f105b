//! Budgets of a fleet: a total of which each node holds a part, so that the parts that may be spent never add up to more
//! than the total, whatever is lost, late, doubled, stopped or killed. `docs/shared-state.md` has the design.
//!
//! - [`Election`]: who grants. One of a few named keepers, by a lease that a majority of them gives; nothing on a disk.
//! - [`Book`]: what the granter has granted, and what of it may still be spent.
//! - [`Part`]: what a holder may spend.
//! - [`Budgets`]: the three of one node, by messages and times.
//!
//! All safety rests on clocks that run at rates within [`Terms::drift_ppm`] of each other, and on nothing else: not on a
//! detector of failures, not on a message that arrives, not on what a clock shows.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod book;
mod budgets;
mod election;
mod part;
mod terms;

pub use book::Book;
pub use budgets::{BudgetLook, Budgets, Look, Message, Out, Plan, Spend, Totals, Units};
pub use election::{Election, Term, Vote};
pub use part::{Ask, Grant, Part};
pub use terms::Terms;
