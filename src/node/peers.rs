//! The mailboxes and counters through which the policy actor communicates with its peers.

use std::sync::Arc;

use crossbeam_channel::Sender;
use fleet_runtime::InFlightElsewhere;
use shared_state::AtomicSketchCounters;

use super::messages::{DatabaseCall, ExecutorCommand};
use super::request::RequestUid;

/// Returns the other nodes' counts for each of these keys, or `None` while they are not known.
type ReadOthers = dyn Fn(&[u64]) -> Option<InFlightElsewhere> + Send;

/// Numbers of requests in flight by tenant, which the nodes of the fleet share.
pub struct FleetCounters {
    /// This node's own counts.
    pub own: Arc<AtomicSketchCounters>,
    /// Reads the other nodes' counts.
    pub read_others: Box<ReadOthers>,
}

/// The peers of the policy actor.
pub struct Peers {
    /// The mailbox of the executor actor.
    pub executor: Sender<ExecutorCommand>,
    /// Sends a call to the database actor. Returns false if its mailbox is full.
    pub database: Box<dyn Fn(DatabaseCall) -> bool + Send>,
    /// Notifies the database actor that the run of a request has ended.
    pub run_ended: Box<dyn Fn(RequestUid) + Send>,
    /// Has the database actor count calls that an earlier process of the node left in progress.
    pub inherit_calls: Box<dyn Fn(usize) + Send>,
    /// Returns the number of calls that the database actor counts as in flight.
    pub calls_in_flight: Box<dyn Fn() -> usize + Send>,
    /// Returns the number of calls in flight while the database does not respond, and 0 while it
    /// does.
    pub calls_at_unresponsive_database: Box<dyn Fn() -> usize + Send>,
    /// Reports the number of requests that wait for permission to make a call, where the fleet
    /// shares a quota of calls.
    pub report_waiting: Option<Box<dyn Fn(usize) + Send>>,
    /// Request counts that the nodes of the fleet share.
    pub fleet: Option<FleetCounters>,
}
