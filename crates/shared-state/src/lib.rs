//! State that the nodes of a fleet share. `docs/shared-state.md` has the design.
//!
//! Counts and health of dependencies, which are as current as the messages that arrive:
//! - [`SketchCounters`], [`AtomicSketchCounters`]: requests in flight by tenant, in a sketch.
//! - [`health`]: what nodes observe of a dependency, and what each concludes from it.
//! - [`aggregation`]: both are reported to two members and summed up, with an age that is known without synchronized clocks.
//!
//! Budgets: a total of which each node has a quota, so that the quotas that may be spent never add up to more than the total,
//! whatever messages are lost, late or duplicated and whatever processes are stopped or killed.
//! - [`Election`]: elects the leader that grants quota, one of a few named voters, by a lease that a majority of them gives.
//!   Nothing is stored on disk.
//! - [`LeaseTable`]: what the leader has granted, and what of it may still be spent.
//! - [`LeaseHolder`]: what a holder may spend.
//! - [`Budgets`]: the three for one node, driven by messages and times.
//!
//! The safety of budgets depends only on clocks that run at rates within [`LeaseTimings::max_drift_ppm`] of each other: not on
//! a failure detector, not on the arrival of any message, and not on the time that a clock shows.

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
    evaluate_health, AttemptWindow, DependencyHealth, HealthEvaluator, ObservedHealth, Tally,
};
pub use lease_holder::{LeaseGrant, LeaseHolder, LeaseRequest};
pub use lease_table::LeaseTable;
pub use lease_timings::LeaseTimings;
pub use sketch_counters::{
    counter_indices, AtomicSketchCounters, CounterChange, SketchCounters, COLUMNS, COUNTERS, ROWS,
};
