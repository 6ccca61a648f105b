//! Tests of the routing decisions: individual cases, and invariants under random steps.

mod fixtures;
mod forwarding;
mod outliers;
mod random_steps;
mod retry_budgets;
