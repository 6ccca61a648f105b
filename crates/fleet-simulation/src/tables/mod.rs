//! The tables that the commands print.

pub(crate) mod aggregation;
pub(crate) mod budgets;
pub(crate) mod membership;
