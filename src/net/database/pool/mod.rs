//! The event loop of the actor: starts calls while there is capacity, advances those in flight and
//! abandons those that have timed out.

mod starting;

use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use mio::{Events, Poll};
use slog::{debug, warn, Logger};

use super::exchange::HttpExchange;
use super::reply::{HttpReply, ReplyError};
use super::silence::ReplyHistory;
use super::unconfirmed::UnconfirmedCalls;
use super::{CallReceiver, PeerAddress, SharedCallBudget, MAILBOX_TOKEN};
use crate::node::{CallResult, DatabaseCall, Limits, PolicyMessage, RateLimitedLog, RequestUid};

/// The policy actor has terminated, so that nothing receives the results of calls.
pub(super) struct Disconnected;

/// A call that waits for capacity.
struct QueuedCall {
    queued_at: Instant,
    call: DatabaseCall,
}

/// All database calls of the node.
pub(super) struct CallPool {
    address: Arc<PeerAddress>,
    budget: Option<SharedCallBudget>,
    queue: VecDeque<QueuedCall>,
    /// Abandoned calls that the database may still have in progress.
    unconfirmed: UnconfirmedCalls,
    reply_history: ReplyHistory,
    /// Time at which abandoned calls that the database has not ended are next recorded as failures.
    next_stuck_call_record: Instant,
    /// Number of unconfirmed calls in the last notification to the policy.
    notified_unconfirmed: usize,
    queue_timeout_log: RateLimitedLog,
    /// Call limit in the last notification to the policy.
    notified_call_limit: usize,
    limits: Limits,
    poll: Poll,
    mailbox: CallReceiver,
    policy: Sender<PolicyMessage>,
    log: Logger,
    exchanges: HashMap<usize, HttpExchange>,
    next_token: usize,
    read_buffer: Vec<u8>,
}

impl CallPool {
    /// Creates an empty pool that receives calls from `mailbox`.
    pub(super) fn new(
        address: Arc<PeerAddress>,
        budget: Option<SharedCallBudget>,
        limits: Limits,
        poll: Poll,
        mailbox: CallReceiver,
        policy: Sender<PolicyMessage>,
        log: Logger,
    ) -> CallPool {
        CallPool {
            address,
            budget,
            queue: VecDeque::new(),
            unconfirmed: UnconfirmedCalls::default(),
            reply_history: ReplyHistory::default(),
            next_stuck_call_record: Instant::now(),
            notified_unconfirmed: 0,
            queue_timeout_log: RateLimitedLog::new(limits.repeated_log_interval),
            notified_call_limit: usize::MAX,
            read_buffer: vec![0; limits.read_bytes],
            limits,
            poll,
            mailbox,
            policy,
            log,
            exchanges: HashMap::new(),
            next_token: MAILBOX_TOKEN.0 + 1,
        }
    }

    /// Runs until the policy actor has terminated.
    pub(super) fn run(mut self) {
        let mut events = Events::with_capacity(self.limits.database.connections * 2);
        while self.run_once(&mut events).is_ok() {}
    }

    fn run_once(&mut self, events: &mut Events) -> Result<(), Disconnected> {
        self.wait_for_events(events);
        self.mailbox.is_woken.store(false, SeqCst);
        let ready: Vec<usize> = events
            .iter()
            .map(|event| event.token().0)
            .filter(|token| *token != MAILBOX_TOKEN.0)
            .collect();
        for token in ready {
            self.advance(token)?;
        }
        self.time_out_exchanges()?;
        // Pending calls are started before ended runs are handled, so that calls sent before their
        // run ended are in flight and are abandoned with it.
        self.start_calls()?;
        self.abandon_calls_of_ended_runs();
        self.inherit_calls();
        self.notify_unconfirmed()?;
        self.record_stuck_calls();
        self.start_calls()?;
        self.publish_in_flight();
        Ok(())
    }

    /// Counts the calls that an earlier process of the node left running.
    fn inherit_calls(&mut self) {
        let calls: usize = self.mailbox.inherited_calls.try_iter().sum();
        let ignored_close_time = self.limits.database.ignored_close_time;
        self.unconfirmed.inherit(calls, ignored_close_time);
    }

    fn publish_in_flight(&mut self) {
        let unconfirmed = self.unconfirmed.count(Instant::now());
        let in_flight = self.exchanges.len() + unconfirmed;
        self.mailbox.in_flight.store(in_flight, SeqCst);
        let now = Instant::now();
        let is_unresponsive = self.reply_history.is_silent(now)
            || self.unconfirmed.ignores_closes(now, &self.limits.database);
        let at_unresponsive = if is_unresponsive { in_flight } else { 0 };
        self.mailbox.at_unresponsive.store(at_unresponsive, SeqCst);
    }

    /// Periodically records abandoned calls that the database has not ended as failures. They may
    /// use up the capacity for new calls, whose failures would otherwise show the fleet that the
    /// database does not react.
    fn record_stuck_calls(&mut self) {
        let now = Instant::now();
        let stuck = self.unconfirmed.open_connections();
        let Some(budget) = self.budget.as_ref().filter(|_| stuck > 0) else {
            return;
        };
        if now < self.next_stuck_call_record {
            return;
        }
        self.next_stuck_call_record = now + self.limits.database.stuck_call_interval;
        for _ in 0..stuck {
            budget.record_call(|| None);
        }
    }

    fn wait_for_events(&mut self, events: &mut Events) {
        let timeout = self.poll_timeout(Instant::now());
        match self.poll.poll(events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => {
                // Not caused by anything that the database does.
                warn!(self.log, "database: poll failed"; "error" => %e);
                std::thread::sleep(self.limits.reconnect_backoff);
            }
            _ => {}
        }
    }

    /// Returns how long the pool has nothing to do unless an event arrives.
    fn poll_timeout(&self, now: Instant) -> Option<Duration> {
        let deadlines = self.exchanges.values().map(|e| e.deadline);
        let records_stuck_calls = self.budget.is_some() && self.unconfirmed.open_connections() > 0;
        let silence_changes = self
            .reply_history
            .silence_change_times(self.earliest_open());
        let next_deadline = deadlines
            .chain(self.unconfirmed.next_change(now, &self.limits.database))
            .chain(records_stuck_calls.then_some(self.next_stuck_call_record))
            .chain(silence_changes.filter(|at| *at > now))
            .min();
        let timeout = next_deadline.map(|deadline| deadline.saturating_duration_since(now));
        if self.budget.is_none() || self.queue.is_empty() {
            return timeout;
        }
        // Capacity may become available without an event, as with a lease or the end of an
        // abandoned call.
        let poll_interval = self.limits.database.poll_interval;
        Some(timeout.map_or(poll_interval, |timeout| timeout.min(poll_interval)))
    }

    fn advance(&mut self, token: usize) -> Result<(), Disconnected> {
        let Some(exchange) = self.exchanges.get_mut(&token) else {
            let limits = &self.limits.database;
            self.unconfirmed
                .advance(token, &mut self.read_buffer, limits);
            return Ok(());
        };
        let progress = exchange.advance(&mut self.read_buffer, &self.limits.database);
        match progress.transpose() {
            Some(outcome) => self.close(token, outcome),
            None => Ok(()),
        }
    }

    fn time_out_exchanges(&mut self) -> Result<(), Disconnected> {
        let now = Instant::now();
        let timed_out: Vec<(usize, bool)> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.deadline <= now)
            .map(|(token, exchange)| (*token, exchange.is_connected))
            .collect();
        for (token, is_connected) in timed_out {
            let error = if is_connected {
                ReplyError::TimedOut
            } else {
                ReplyError::NotSent(ErrorKind::TimedOut.into())
            };
            self.close(token, Err(error))?;
        }
        Ok(())
    }

    /// Ends an exchange. A call that the database may still have in progress is abandoned, and
    /// counts as unconfirmed until it is known to have ended.
    fn close(
        &mut self,
        token: usize,
        outcome: Result<HttpReply, ReplyError>,
    ) -> Result<(), Disconnected> {
        let Some(HttpExchange {
            call,
            stream,
            started_at,
            ..
        }) = self.exchanges.remove(&token)
        else {
            return Ok(());
        };
        let now = Instant::now();
        match &outcome {
            Ok(_) => {
                self.record_reply(started_at, now);
                self.unconfirmed.later_call_replied(call.uid);
            }
            Err(ReplyError::NotSent(_)) => {}
            Err(ReplyError::Truncated | ReplyError::Broken(_)) => {
                let is_silent = self.reply_history.is_silent(now);
                let limits = &self.limits.database;
                self.unconfirmed
                    .connection_broke(call.uid, is_silent, limits);
            }
            Err(_) => self.unconfirmed.close(token, call.uid, stream),
        }
        // The policy must be notified that the call may still be in progress before it is notified
        // of the end of the call.
        self.notify_unconfirmed()?;
        self.report_end(&call, started_at, outcome)
    }

    /// Returns the start of the earliest call in progress.
    fn earliest_open(&self) -> Option<Instant> {
        self.exchanges.values().map(|e| e.started_at).min()
    }

    fn record_reply(&mut self, began_at: Instant, now: Instant) {
        let in_progress = self.exchanges.values().map(|e| e.started_at);
        let next_began_at = in_progress.filter(|at| *at > began_at).min();
        self.reply_history
            .record_reply(began_at, next_began_at, now);
    }

    /// Abandons the calls of runs that have ended, as their replies are no longer needed.
    fn abandon_calls_of_ended_runs(&mut self) {
        let ended: Vec<RequestUid> = self.mailbox.ended_runs.try_iter().collect();
        for uid in ended {
            let tokens = self.exchanges.iter().filter(|(_, e)| e.call.uid == uid);
            let tokens: Vec<usize> = tokens.map(|(token, _)| *token).collect();
            for token in tokens {
                self.abandon_exchange(token);
            }
            self.queue.retain(|queued| queued.call.uid != uid);
            self.unconfirmed.run_ended(uid, &self.limits.database);
        }
    }

    fn abandon_exchange(&mut self, token: usize) {
        let Some(exchange) = self.exchanges.remove(&token) else {
            return;
        };
        // Nothing was written before the connection was established.
        if exchange.is_connected {
            let uid = exchange.call.uid;
            self.unconfirmed.close(token, uid, exchange.stream);
        }
    }

    /// Notifies the policy of the number of abandoned calls that may still be in progress, if it
    /// has changed.
    fn notify_unconfirmed(&mut self) -> Result<(), Disconnected> {
        let now = Instant::now();
        let silence = self.reply_history.silence(self.earliest_open(), now);
        self.unconfirmed
            .recount_if_unresponsive(now, silence, &self.limits.database);
        let count = self.unconfirmed.count(now);
        if std::mem::replace(&mut self.notified_unconfirmed, count) == count {
            return Ok(());
        }
        self.notify_policy(PolicyMessage::UnconfirmedCallsChanged(count))
    }

    /// Reports the end of a call to the fleet and to the policy.
    fn report_end(
        &self,
        call: &DatabaseCall,
        started_at: Instant,
        outcome: Result<HttpReply, ReplyError>,
    ) -> Result<(), Disconnected> {
        if let Some(budget) = &self.budget {
            let succeeded = outcome.as_ref().is_ok_and(|reply| reply.status < 500);
            budget.record_call(|| succeeded.then(|| started_at.elapsed()));
        }
        let result = match outcome {
            Ok(reply) => reply.into_call_result(),
            Err(e) => {
                debug!(self.log, "database call failed"; "uid" => %call.uid, "error" => %e);
                match e {
                    ReplyError::NotSent(_) => CallResult::NeverRan,
                    _ => CallResult::Unknown,
                }
            }
        };
        self.notify_policy(PolicyMessage::CallEnded {
            id: call.id,
            result,
            elapsed: started_at.elapsed(),
        })
    }

    fn notify_policy(&self, message: PolicyMessage) -> Result<(), Disconnected> {
        self.policy.send(message).map_err(|_| Disconnected)
    }
}
