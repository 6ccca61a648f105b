//! Starting calls: the queue of calls, and how many may be in flight.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use crossbeam_channel::TryRecvError;
use slog::warn;

use super::{CallPool, Disconnected, QueuedCall};
use crate::net::database::connect::connect;
use crate::net::database::exchange::{encode_request, HttpExchange};
use crate::net::database::reply::ReplyError;
use crate::node::{CallResult, DatabaseCall, PolicyMessage};

/// The current limit on calls in flight.
struct CallCapacity {
    max_calls: usize,
    /// True if the limit is due to the health of the ledger.
    is_ledger_unavailable: bool,
}

impl CallPool {
    /// Starts calls while there are free connections, and capacity in the fleet's budget if there
    /// is one.
    pub(super) fn start_calls(&mut self) -> Result<(), Disconnected> {
        let now = Instant::now();
        let unconfirmed = self.unconfirmed.count(now);
        loop {
            let in_flight = self.exchanges.len() + unconfirmed;
            let connections = self.exchanges.len() + self.unconfirmed.open_connections();
            self.receive_calls(now, in_flight)?;
            let capacity = self.update_capacity(in_flight)?;
            let Some(queued) = self.queue.pop_front() else {
                return Ok(());
            };
            let waited = now.saturating_duration_since(queued.queued_at);
            if self.budget.is_some() && waited >= queued.call.timeout {
                self.drop_expired_call(&queued.call, &capacity, in_flight)?;
            } else if connections < self.limits.database.connections
                && in_flight < capacity.max_calls
            {
                self.start_call(queued.call)?;
            } else {
                self.queue.push_front(queued);
                return Ok(());
            }
        }
    }

    /// Moves calls from the mailbox to the queue, which holds at most one call per connection. The
    /// rest stays in the mailbox, which is bounded.
    fn receive_calls(&mut self, now: Instant, in_flight: usize) -> Result<(), Disconnected> {
        while self.queue.len() < self.limits.database.connections {
            match self.mailbox.inbox.try_recv() {
                Ok(call) => self.queue.push_back(QueuedCall {
                    queued_at: now,
                    call,
                }),
                Err(TryRecvError::Disconnected) if in_flight + self.queue.len() == 0 => {
                    return Err(Disconnected);
                }
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        Ok(())
    }

    /// Reports the demand to the fleet and a changed limit to the policy. Returns the current
    /// capacity.
    fn update_capacity(&mut self, in_flight: usize) -> Result<CallCapacity, Disconnected> {
        let connections = self.limits.database.connections;
        let Some(budget) = &self.budget else {
            // There is no quota of the fleet, and the policy enforces that of the node.
            return Ok(CallCapacity {
                max_calls: usize::MAX,
                is_ledger_unavailable: false,
            });
        };
        let call_limit = budget.call_limit();
        budget.report_usage(in_flight, self.queue.len());
        if let Some(limit) = call_limit.filter(|limit| *limit != self.notified_call_limit) {
            self.notified_call_limit = limit;
            self.notify_policy(PolicyMessage::CallLimitChanged(limit))?;
        }
        let is_ledger_unavailable = budget.is_ledger_unavailable();
        let max_calls = call_limit.unwrap_or(connections);
        Ok(CallCapacity {
            max_calls: if is_ledger_unavailable {
                max_calls.min(1)
            } else {
                max_calls
            },
            is_ledger_unavailable,
        })
    }

    /// Drops a call whose timeout has expired in the queue.
    fn drop_expired_call(
        &self,
        call: &DatabaseCall,
        capacity: &CallCapacity,
        in_flight: usize,
    ) -> Result<(), Disconnected> {
        self.queue_timeout_log.log(|suppressed| {
            let reason = if capacity.is_ledger_unavailable {
                "ledger health"
            } else {
                "quota"
            };
            warn!(self.log, "database call not made: no capacity before its timeout"; "limited_by" => reason,
                "call_limit" => capacity.max_calls, "in_flight" => in_flight, "suppressed" => suppressed);
        });
        self.notify_policy(PolicyMessage::CallEnded {
            id: call.id,
            result: CallResult::NeverRan,
            elapsed: Duration::ZERO,
        })
    }

    fn start_call(&mut self, mut call: DatabaseCall) -> Result<(), Disconnected> {
        call.timeout = self.effective_timeout(&call);
        let started_at = Instant::now();
        let Some(address) = self.address.get() else {
            // The site has no database, so nothing was sent.
            let error = ReplyError::NotSent(ErrorKind::AddrNotAvailable.into());
            return self.report_end(&call, started_at, Err(error));
        };
        let token = self.next_token;
        self.next_token += 1;
        let unreachable_timeout = self.limits.database.ignored_close_time;
        let stream = match connect(address, self.poll.registry(), token, unreachable_timeout) {
            Ok(stream) => stream,
            Err(e) => return self.report_end(&call, started_at, Err(ReplyError::NotSent(e))),
        };
        let request = encode_request(&call, address);
        let connect_deadline = started_at + self.limits.connect_timeout.min(call.timeout);
        let exchange = HttpExchange::new(call, stream, request, started_at, connect_deadline);
        self.exchanges.insert(token, exchange);
        self.reply_history.record_start(started_at);
        self.advance(token)
    }

    /// Returns the timeout of a call: that of the policy, limited by the maximum under the fleet's
    /// quota.
    fn effective_timeout(&self, call: &DatabaseCall) -> Duration {
        let max_duration = self.budget.as_ref().and_then(|b| b.max_call_duration());
        max_duration.map_or(call.timeout, |max| call.timeout.min(max))
    }
}
