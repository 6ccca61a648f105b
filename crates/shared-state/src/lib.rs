//! What the nodes of a fleet share. `docs/shared-state.md` has the design.
//!
//! Counts and judgements, which are as good as the news that arrives:
//! - [`Cells`], [`Live`]: requests in flight by tenant, in a sketch.
//! - [`evidence`]: what nodes find of a service below, and what each makes of it.
//! - [`Gathering`]: both reported to two members and summed, with an age that holds without clocks that agree.
//!
//! Budgets: a total of which each node holds a part, so that the parts that may be spent never add up to more than the
//! total, whatever is lost, late, doubled, stopped or killed.
//! - [`Election`]: who grants. One of a few named keepers, by a lease that a majority of them gives; nothing on a disk.
//! - [`Book`]: what the granter has granted, and what of it may still be spent.
//! - [`Part`]: what a holder may spend.
//! - [`Budgets`]: the three of one node, by messages and times.
//!
//! All safety of budgets rests on clocks that run at rates within [`Terms::drift_ppm`] of each other, and on nothing else: not on a
//! detector of failures, not on a message that arrives, not on what a clock shows.

mod book;
mod budgets;
mod cells;
mod election;
pub mod evidence;
mod gather;
mod part;
mod terms;

pub use book::Book;
pub use budgets::{BudgetLook, Budgets, Look, Message, Out, Plan, Spend, Totals, Units};
pub use cells::{cells_of, Cells, Change, Live, CELLS, COLUMNS, ROWS};
pub use election::{Election, Term, Vote};
pub use evidence::{judge, Condition, Judge, Judgement, Tally, Window};
pub use gather::{Answer, Gathered, GatheredLook, Gathering, Pace, Report, Said, LEDGER};
pub use part::{Ask, Grant, Part};
pub use terms::Terms;
