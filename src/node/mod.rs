//! The core of the node, independent of wire protocols: clients send it [`Arrival`]s, peers send it
//! [`PolicyMessage`]s, and it sends commands to the peers' mailboxes.

pub mod cell_guard;
pub mod config;
mod ended_runs;
mod executor_link;
mod held_work;
pub mod limits;
mod messages;
mod peers;
mod policy_actor;
mod rate_limited_log;
mod request;
mod request_table;
mod run_delivery;
mod status;

use clock::{ClockReading, SteadyTime, UnixTime};
use policy::{Span, Time};

use crate::wire::Site;

pub use cell_guard::CellGuard;
pub use held_work::{HeldWork, RemainingWork};
pub use limits::Limits;
pub use messages::{CallResult, DatabaseCall, ExecutorCommand, PolicyMessage, RunReport};
pub use peers::{FleetCounters, Peers};
pub use policy_actor::{PolicyActor, PolicyConfig};
pub use rate_limited_log::RateLimitedLog;
pub use request::{
    Answer, Arrival, ArrivalId, CellKey, Failure, Outcome, Payload, RequestUid, Responder,
};
pub use status::NodeStatus;

/// Returns the longest deadline of the site's classes, or zero if the site has no classes.
fn longest_deadline(site: &Site) -> Span {
    let deadlines = site.settings.classes.iter().map(|class| class.deadline.0);
    Span(deadlines.max().unwrap_or(0))
}

/// Returns the current time of the steady clock, on which all arrivals and deadlines are measured.
pub fn steady_now() -> Time {
    Time(SteadyTime::now().0)
}

/// Converts the wall-clock time that a request carries to its arrival time on the steady clock.
pub fn arrival_time(sent_at: UnixTime) -> Time {
    Time(ClockReading::now().steady_time_of(sent_at).0)
}
