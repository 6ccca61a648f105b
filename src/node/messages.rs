//! Messages between the policy actor, the client connections, the executor actor and the database
//! actor.

use std::time::Duration;

use crossbeam_channel::Sender;
use policy::RequestId;

use super::held_work::{HeldWork, RemainingWork};
use super::request::{Arrival, ArrivalId, Payload, RequestUid};
use crate::run_id_files::RunIdFiles;

/// A message to the mailbox of the policy actor.
pub enum PolicyMessage {
    /// A client has sent a request.
    RequestArrived(Box<Arrival>),
    /// The connection to the executor has been established. The first message of this kind
    /// determines how the policy starts.
    ExecutorConnected {
        /// True if the executor started cold.
        is_cold: bool,
        /// Time since the executor started.
        age: Duration,
    },
    /// The connection to the executor broke. Recent commands may or may not have arrived.
    ExecutorDisconnected,
    /// A run has ended.
    RunEnded {
        /// The request of the run.
        uid: RequestUid,
        /// How the run ended, as the executor reports it.
        report: RunReport,
    },
    /// A run waits for a database call.
    CallRequested {
        /// The request of the run.
        uid: RequestUid,
        /// Number of the executor's notice that requested the call.
        notice: u64,
        /// The body of the call.
        payload: Payload,
    },
    /// The reply to [`ExecutorCommand::ReadGauges`].
    GaugesRead {
        /// The tag of the command.
        tag: u64,
        /// The readings, in the order of the site's gauges.
        values: Vec<f64>,
    },
    /// The executor rejected the command to run this request.
    RunRejected(RequestUid),
    /// The caller of the request with this arrival has stopped waiting for its answer.
    CallerStoppedWaiting(ArrivalId),
    /// The files of run ids, which this process shares with another one of its node.
    RunIdsShared(RunIdFiles),
    /// The connection of the requests with these arrivals is closed, so that they can't be answered
    /// any more. Those that have not been sent to run are dropped.
    ClientDisconnected(Vec<ArrivalId>),
    /// A database call has ended.
    CallEnded {
        /// The request that the call was made for.
        id: RequestId,
        /// How the call ended.
        result: CallResult,
        /// Duration of the call.
        elapsed: Duration,
    },
    /// The number of calls that were abandoned but may still be in progress at the database has
    /// changed to this number.
    UnconfirmedCallsChanged(usize),
    /// The node's quota of concurrent database calls has changed to this number.
    CallLimitChanged(usize),
    /// The number of resource shares that this process holds has changed to this number.
    ResourceSharesChanged(u32),
    /// Another process of the node is running.
    SiblingSeen,
    /// Another process of the node has ended and left this work running.
    SiblingEnded(RemainingWork),
    /// An earlier process of the node ended and left this work running before this process replaced
    /// it.
    EarlierWorkFound(HeldWork),
    /// An earlier process of the node was killed with this many calls at a database that did not
    /// respond.
    EarlierCallsFound(u32),
    /// This process is about to end. Nothing is started from now on, and the work that the process
    /// holds is sent to this sender.
    ReportHeldWork(Sender<HeldWork>),
    /// The node is to shut down gracefully.
    ShutDown,
    /// Another process of the node has taken over; this one is terminated after this time.
    Replaced(Duration),
}

/// How a run ended, as the executor reports it.
pub enum RunReport {
    /// The run succeeded with this result.
    Succeeded(Payload),
    /// The run failed with an error.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run was never started.
    NeverStarted,
}

/// How a database call ended.
pub enum CallResult {
    /// The call succeeded with this reply.
    Reply(Payload),
    /// The call certainly never ran.
    NeverRan,
    /// The call may have taken effect.
    Unknown,
}

/// A command to the executor actor.
pub enum ExecutorCommand {
    /// Run a request.
    Run {
        /// The request.
        uid: RequestUid,
        /// The name of its class.
        class: String,
        /// Its body.
        payload: Payload,
    },
    /// Stop the run of this request.
    Stop(RequestUid),
    /// Return the reply that a run waits for.
    ReturnReply {
        /// The request of the run.
        uid: RequestUid,
        /// The body of the reply.
        payload: Payload,
    },
    /// Let a run continue without the call that it requested.
    SkipCall {
        /// The request of the run.
        uid: RequestUid,
        /// Number of the executor's notice that requested the call.
        notice: u64,
    },
    /// Replace the connection, as the executor does not answer on it.
    Reconnect,
    /// Read the gauges; [`PolicyMessage::GaugesRead`] is the reply.
    ReadGauges {
        /// Identifies the reply to this command.
        tag: u64,
    },
}

/// A database call that the policy has decided to make.
pub struct DatabaseCall {
    /// The request that the call is made for, by the id that the policy uses.
    pub id: RequestId,
    /// The same request, by the id that peers use.
    pub uid: RequestUid,
    /// The body of the call, as the executor sent it.
    pub payload: Payload,
    /// Maximum time to wait for the reply.
    pub timeout: Duration,
}
