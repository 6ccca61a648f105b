//! Runs a fleet member on a UDP socket.
//!
//! The protocols are implemented without I/O in other crates: [`membership`] tracks the members,
//! and [`shared_state`] budgets and aggregated counters. This crate reads the fleet file
//! ([`Config`]), runs one thread with the socket and the timers ([`spawn_fleet_actor`]), publishes
//! the state to the process ([`FleetHandle`]) and provides the queries for tools
//! ([`query_members`], [`query_shared_state`]).

mod actor;
mod config;
mod handle;
mod query;
mod quota_handle;
mod shared_counters;
mod snapshot;

pub use actor::{spawn_fleet_actor, LocalMember};
pub use config::{Config, ConfigError, LEDGER_BUDGET, RETRY_BUDGET};
pub use handle::FleetHandle;
pub use query::{query_members, query_shared_state, QueryError, QueryReply, SharedStateReply};
pub use quota_handle::QuotaHandle;
pub use shared_counters::{InFlightElsewhere, SharedCounters};
pub use snapshot::MembershipSnapshot;
