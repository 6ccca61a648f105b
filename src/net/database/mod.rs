//! The database actor: one thread makes all calls, each on its own non-blocking connection. A call
//! has three timeouts: for connecting, for its reply, and from the first byte of the reply to the
//! last.
//!
//! The earlier design with two threads per connection used 48 of a node's 55 threads;
//! `docs/architecture.md` has the figures.
//!
//! Connections are not reused. The database may send a duplicate of a reply or stray bytes after it
//! at any time, and HTTP/1.1 cannot distinguish these from the reply to the next call. A reused
//! connection that the database has already dropped would be reset by the next call, which then
//! looks as if it might have run. A new connection for each call avoids both problems.

mod budget;
mod connect;
mod exchange;
mod pool;
mod reply;
mod silence;
mod unconfirmed;

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use mio::{Poll, Token, Waker};
use slog::Logger;

pub use budget::{CallBudget, SharedCallBudget};

use super::{spawn, PeerAddress};
use crate::node::{DatabaseCall, Limits, PolicyMessage, RequestUid};
use pool::CallPool;

/// Poll token of the waker that signals new messages in the mailbox.
const MAILBOX_TOKEN: Token = Token(0);

/// Capacity of the mailbox in calls, per connection.
const MAILBOX_CALLS_PER_CONNECTION: usize = 4;

/// The sending side of the actor's mailbox.
pub struct CallSender {
    sender: Sender<DatabaseCall>,
    /// Requests whose runs have ended. The channel is unbounded because no message may be lost; the
    /// rate of runs limits how many are queued.
    ended_runs: Sender<RequestUid>,
    /// Number of calls that earlier processes of the node left running when they exited.
    inherited_calls: Sender<usize>,
    /// Number of calls that the database may have in progress.
    in_flight: Arc<AtomicUsize>,
    /// The same number while the database is unresponsive, otherwise 0.
    at_unresponsive: Arc<AtomicUsize>,
    waker: Arc<Waker>,
    /// True if the actor has been woken and has not read its mailbox since.
    is_woken: Arc<AtomicBool>,
}

impl CallSender {
    /// Sends a call to the actor without blocking. Returns false if the mailbox is full; the call
    /// is then never made.
    pub fn try_send(&self, call: DatabaseCall) -> bool {
        let was_sent = self.sender.try_send(call).is_ok();
        if was_sent {
            self.wake();
        }
        was_sent
    }

    /// Notifies the actor that the run of a request has ended, so that it abandons the calls that
    /// are in flight for that request.
    pub fn run_ended(&self, uid: RequestUid) {
        if self.ended_runs.send(uid).is_ok() {
            self.wake();
        }
    }

    /// Makes the actor count calls that an earlier process of the node left running.
    pub fn inherit_calls(&self, calls: usize) {
        if self.inherited_calls.send(calls).is_ok() {
            self.wake();
        }
    }

    /// Returns the number of calls that the database may have in progress.
    pub fn calls_in_flight(&self) -> usize {
        self.in_flight.load(SeqCst)
    }

    /// Returns the number of calls that the database may have in progress if it is unresponsive,
    /// that is, if it does not reply or does not react to closed connections; otherwise 0.
    pub fn calls_at_unresponsive_database(&self) -> usize {
        self.at_unresponsive.load(SeqCst)
    }

    fn wake(&self) {
        if !self.is_woken.swap(true, SeqCst) {
            let _ = self.waker.wake();
        }
    }
}

/// The receiving side of the actor's mailbox.
struct CallReceiver {
    inbox: Receiver<DatabaseCall>,
    ended_runs: Receiver<RequestUid>,
    inherited_calls: Receiver<usize>,
    /// Published number of calls that the database may have in progress.
    in_flight: Arc<AtomicUsize>,
    /// Published: the same number while the database is unresponsive, otherwise 0.
    at_unresponsive: Arc<AtomicUsize>,
    is_woken: Arc<AtomicBool>,
}

/// Starts the actor on its own thread. It sends the results of calls to `policy`.
///
/// # Errors
/// Returns an error if the system cannot create the poll or the thread.
pub fn start(
    address: &Arc<PeerAddress>,
    budget: Option<SharedCallBudget>,
    limits: &Limits,
    policy: &Sender<PolicyMessage>,
    log: &Logger,
) -> io::Result<CallSender> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), MAILBOX_TOKEN)?);
    if let Some(budget) = &budget {
        budget.set_waker(waker.clone());
    }
    let is_woken = Arc::new(AtomicBool::new(false));
    let (sender, inbox) = bounded(limits.database.connections * MAILBOX_CALLS_PER_CONNECTION);
    let (ended_run_sender, ended_runs) = unbounded();
    let (inherited_call_sender, inherited_calls) = unbounded();
    let in_flight = Arc::new(AtomicUsize::new(0));
    let at_unresponsive = Arc::new(AtomicUsize::new(0));
    let call_pool = CallPool::new(
        address.clone(),
        budget,
        limits.clone(),
        poll,
        CallReceiver {
            inbox,
            ended_runs,
            inherited_calls,
            in_flight: in_flight.clone(),
            at_unresponsive: at_unresponsive.clone(),
            is_woken: is_woken.clone(),
        },
        policy.clone(),
        log.clone(),
    );
    spawn("database", limits.stack_bytes, move || call_pool.run())?;
    Ok(CallSender {
        sender,
        ended_runs: ended_run_sender,
        inherited_calls: inherited_call_sender,
        in_flight,
        at_unresponsive,
        waker,
        is_woken,
    })
}
