//! The router's decisions: the cases they are made for, and invariants under random steps.

mod fixtures;
mod forwarding;
mod outliers;
mod random_steps;
mod retry_budgets;
