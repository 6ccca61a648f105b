//! State that is shared between the nodes of a fleet. `docs/shared-state.md` describes the design.
//!
//! Counts and health of dependencies, which are as current as the messages that arrive:
//! - [`SketchCounters`], [`AtomicSketchCounters`]: requests in flight by tenant, in a count-min
//!   sketch.
//! - [`health`]: what nodes observe of a dependency, and what each of them concludes from it.
//! - [`aggregation`]: nodes report both to two members, which sum them up. The age of a sum is
//!   known without synchronized clocks.
//!
//! Budgets: totals of which each node has a quota. The quotas that may be spent never add up to
//! more than the total, whichever messages are lost, delayed or duplicated and whichever processes
//! are stopped or killed.
//! - [`Election`]: elects the leader that grants quota among a few named voters, by a lease from a
//!   majority of them. Nothing is stored on disk.
//! - [`LeaseTable`]: what the leader has granted, and how much of it may still be spent.
//! - [`LeaseHolder`]: what a holder may spend.
//! - [`Budgets`]: combines the three for one node, driven by messages and times.
//!
//! The safety of budgets depends only on clock rates that differ by at most
//! [`LeaseTimings::max_drift_ppm`]. It depends neither on a failure detector, nor on the arrival of
//! any message, nor on the time that a clock shows.

pub mod aggregation;
mod budgets;
mod election;
pub mod health;
mod lease_holder;
mod lease_table;
mod lease_timings;
mod sketch_counters;
mod tuple_format;

pub use aggregation::{
    Aggregate, AggregateSnapshot, AggregationMessage, AggregationNode, CallCounts,
    CoverageSnapshot, HealthState, ReportingMember, ReportingSettings, ServiceObservation,
    SumVersion, LEDGER,
};
pub use budgets::{
    BudgetSnapshot, Budgets, GuaranteedQuota, GuaranteedSnapshot, HolderRequest, HolderSnapshot,
    LeaseSnapshot, LeasedQuota, Message, Outgoing, QuotaConfig, QuotaUsage, SharedStateSnapshot,
    SpendableQuota, Units,
};
pub use election::{Election, KnownLeader, OwnLeadership, Term, Vote};
pub use health::{
    evaluate_health, AttemptWindow, DependencyHealth, HealthEvaluator, ObservationCounts,
    ObservedHealth,
};
pub use lease_holder::{LeaseGrant, LeaseHolder, LeaseRequest};
pub use lease_table::LeaseTable;
pub use lease_timings::LeaseTimings;
pub use sketch_counters::{
    counter_indices, AtomicSketchCounters, CounterChange, SketchCounters, SKETCH_COLUMNS,
    SKETCH_COUNTERS, SKETCH_ROWS,
};
