//! The state of the node that its connections read without sending a message to the policy actor.

use std::sync::atomic::{
    AtomicBool, AtomicI64, AtomicU32, AtomicU64, AtomicUsize, Ordering::Relaxed,
};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use lifecycle::{ProcessState, Transition, TransitionError, TOTAL_SHARES};
use policy::Span;

/// Resource shares that the requests of a process use, out of [`TOTAL_SHARES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UsedShares {
    /// Shares used while the process serves. Calls in progress are not included, as the process
    /// needs their slots again when they end.
    pub(super) serving: u32,
    /// Shares used once the process shuts down, including the calls in progress.
    pub(super) shutting_down: u32,
}

/// The node's published state: health, capacity hint, idle timeout, and number of unanswered
/// requests.
///
/// Health checks are answered from this state, so that they need no batch of the policy and give
/// the same answer on every connection.
pub struct NodeStatus {
    is_accepting: AtomicBool,
    capacity_hint: AtomicU64,
    idle_timeout_us: AtomicI64,
    unanswered: AtomicUsize,
    connection_shares: AtomicU32,
    used_shares: AtomicU32,
    used_shares_at_shutdown: AtomicU32,
    open_runs: AtomicUsize,
    calls_at_unresponsive_database: AtomicUsize,
    process_state: Mutex<ProcessState>,
    executor_ready_sender: Sender<()>,
    executor_ready: Receiver<()>,
}

impl Default for NodeStatus {
    fn default() -> NodeStatus {
        let (executor_ready_sender, executor_ready) = bounded(1);
        NodeStatus {
            is_accepting: AtomicBool::new(false),
            capacity_hint: AtomicU64::new(f64::NAN.to_bits()),
            idle_timeout_us: AtomicI64::new(0),
            unanswered: AtomicUsize::new(0),
            connection_shares: AtomicU32::new(TOTAL_SHARES),
            used_shares: AtomicU32::new(0),
            used_shares_at_shutdown: AtomicU32::new(0),
            open_runs: AtomicUsize::new(0),
            calls_at_unresponsive_database: AtomicUsize::new(0),
            process_state: Mutex::default(),
            executor_ready_sender,
            executor_ready,
        }
    }
}

impl NodeStatus {
    /// Returns true if health checks are answered as healthy: the policy accepts requests, and the
    /// state of the process is a healthy one.
    pub fn is_healthy(&self) -> bool {
        self.is_accepting.load(Relaxed) && self.process_state().is_healthy()
    }

    /// Returns the capacity hint that answers carry, which indicates to callers how much of the
    /// usual traffic the node can take; `None` until the policy has set it.
    pub fn capacity_hint(&self) -> Option<f64> {
        let hint = f64::from_bits(self.capacity_hint.load(Relaxed));
        (hint.is_finite() && hint >= 0.0).then_some(hint)
    }

    /// Returns the time after which an idle connection is closed; `None` until the policy has set
    /// it.
    pub fn idle_timeout(&self) -> Option<Duration> {
        u64::try_from(self.idle_timeout_us.load(Relaxed))
            .ok()
            .filter(|us| *us > 0)
            .map(Duration::from_micros)
    }

    /// Sets the number of shares of the node's client connections that this process may have, out
    /// of [`TOTAL_SHARES`].
    pub fn set_connection_shares(&self, shares: u32) {
        self.connection_shares.store(shares, Relaxed);
    }

    /// Returns the number of shares of the node's client connections that this process may have,
    /// out of [`TOTAL_SHARES`].
    pub fn connection_shares(&self) -> u32 {
        self.connection_shares.load(Relaxed)
    }

    /// Returns the number of resource shares that the queued and running requests of this process
    /// use in its present state.
    pub fn used_shares(&self) -> u32 {
        match self.process_state() {
            ProcessState::ShuttingDown { .. } => self.used_shares_at_shutdown.load(Relaxed),
            _ => self.used_shares.load(Relaxed),
        }
    }

    /// Returns the number of calls that the database, as it does not respond, may continue after
    /// this process has ended; 0 while the database responds.
    pub fn calls_at_unresponsive_database(&self) -> usize {
        self.calls_at_unresponsive_database.load(Relaxed)
    }

    pub(super) fn set_calls_at_unresponsive_database(&self, calls: usize) {
        self.calls_at_unresponsive_database.store(calls, Relaxed);
    }

    /// Returns the number of runs at the executor, including abandoned ones.
    pub fn open_runs(&self) -> usize {
        self.open_runs.load(Relaxed)
    }

    /// Returns the number of requests that have not been answered yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Relaxed)
    }

    /// Returns the state of this process.
    pub fn process_state(&self) -> ProcessState {
        *self
            .process_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a transition to the state of this process; all later readers see the new state.
    ///
    /// # Errors
    /// The transition is not possible in the present state, which does not change.
    pub fn apply_transition(
        &self,
        transition: Transition,
    ) -> Result<ProcessState, TransitionError> {
        self.update_state(|state| {
            *state = state.apply(transition)?;
            Ok(*state)
        })
    }

    /// Calls `change` on the state of this process while holding its lock, and returns the result.
    pub fn update_state<T>(&self, change: impl FnOnce(&mut ProcessState) -> T) -> T {
        let mut state = self
            .process_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }

    /// Returns a channel that receives one message as soon as the executor is connected and
    /// requests can be accepted.
    pub fn executor_ready(&self) -> &Receiver<()> {
        &self.executor_ready
    }

    pub(super) fn notify_executor_ready(&self) {
        // If the channel is full, a notification is already waiting, and a second is not needed.
        let _ = self.executor_ready_sender.try_send(());
    }

    pub(super) fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.store(is_accepting, Relaxed);
    }

    pub(super) fn set_capacity_hint(&self, hint: f64) {
        self.capacity_hint.store(hint.to_bits(), Relaxed);
    }

    pub(super) fn set_idle_timeout(&self, timeout: Span) {
        self.idle_timeout_us.store(timeout.0, Relaxed);
    }

    pub(super) fn set_used_shares(&self, shares: UsedShares) {
        self.used_shares.store(shares.serving, Relaxed);
        self.used_shares_at_shutdown
            .store(shares.shutting_down, Relaxed);
    }

    pub(super) fn set_open_runs(&self, runs: usize) {
        self.open_runs.store(runs, Relaxed);
    }

    pub(super) fn add_unanswered(&self) {
        self.unanswered.fetch_add(1, Relaxed);
    }

    pub(super) fn remove_unanswered(&self) {
        self.unanswered.fetch_sub(1, Relaxed);
    }
}
