//! Batches of events for the policy, and the wake-ups and gauge readings that cause them.

use std::cmp::Reverse;
use std::time::Instant;

use policy::{Event, Gauges, Request, Span, Time};
use slog::info;

use super::{to_duration, PolicyActor};
use crate::node::run_delivery::ReadingTag;
use crate::node::{steady_now, ExecutorCommand};

/// An event for the next batch.
pub(super) enum PendingEvent {
    /// A request and its arrival time; its age is computed when the batch runs.
    Read(Request, Time),
    /// Any other event.
    Other(Event),
}

/// A reading of the executor's gauges that was requested.
pub(super) struct GaugeReading {
    tag: u64,
    /// Time at which the policy is woken without the gauges.
    expires_at: Instant,
}

impl PolicyActor {
    /// Returns the time at which work is due without a message: a batch, a wake-up, or the timeout
    /// of a gauge reading.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let batch = (!self.pending.is_empty()).then(|| self.earliest_batch());
        let wake_up = self
            .wake_ups
            .peek()
            .map(|Reverse(at)| *at)
            .filter(|_| self.gauge_reading.is_none());
        let gauges = self.gauge_reading.as_ref().map(|g| g.expires_at);
        [batch, wake_up, gauges].into_iter().flatten().min()
    }

    /// Returns the earliest time for the next batch, which is one decision interval after the last
    /// batch.
    fn earliest_batch(&self) -> Instant {
        self.last_batch + to_duration(self.site.settings.decision_interval)
    }

    /// Runs the wake-ups and the batch that are due.
    pub(super) fn run_due_work(&mut self) {
        let now = Instant::now();
        if self.gauge_reading.is_none() && self.is_wake_up_due(now) {
            while self.is_wake_up_due(now) {
                self.wake_ups.pop();
            }
            self.request_gauges(now);
        }
        let has_expired = |reading: &GaugeReading| reading.expires_at <= now;
        if self.gauge_reading.as_ref().is_some_and(has_expired) {
            // The policy checks deadlines at wake-ups, so a wake-up must not wait long for a busy
            // executor.
            self.gauge_reading = None;
            self.queue_event(Event::Wake(Gauges::default()));
        }
        if !self.pending.is_empty() && self.earliest_batch() <= now {
            self.last_batch = now;
            self.run_batch();
        }
    }

    fn is_wake_up_due(&self, now: Instant) -> bool {
        self.wake_ups.peek().is_some_and(|Reverse(at)| *at <= now)
    }

    /// Requests the gauges for a wake-up from the executor. Without a connection the policy is
    /// woken without them.
    fn request_gauges(&mut self, now: Instant) {
        match self.send_reading(now) {
            Some(tag) => {
                self.gauge_reading = Some(GaugeReading {
                    tag,
                    expires_at: now + self.limits.policy.gauge_timeout,
                });
            }
            None => self.queue_event(Event::Wake(Gauges::default())),
        }
    }

    /// Requests the executor's gauges. Returns `None` if there is no connection or the mailbox is
    /// full.
    pub(super) fn send_reading(&mut self, now: Instant) -> Option<ReadingTag> {
        if !self.link.is_connected() {
            return None;
        }
        let tag = self.link.next_tag();
        let command = ExecutorCommand::ReadGauges { tag };
        self.peers.executor.try_send(command).ok()?;
        self.link.reading_sent(tag, now);
        Some(tag)
    }

    /// Wakes the policy with the gauges. The answer also acknowledges the commands sent before the
    /// reading was requested, and the first answer after a reconnect shows that all missed notices
    /// have been read.
    pub(super) fn gauges_read(&mut self, tag: ReadingTag, values: &[f64]) {
        let is_first = self.link.reading_answered(tag, Instant::now());
        for entry in self.requests.iter_mut() {
            entry.delivery.reading_answered(tag);
        }
        self.end_lost_runs();
        if is_first {
            self.resend_lost_runs();
        }
        if self.gauge_reading.as_ref().is_some_and(|g| g.tag == tag) {
            self.gauge_reading = None;
            let gauges = self.site.gauges(values);
            self.inherit_runnable(&gauges);
            self.queue_event(Event::Wake(gauges));
        }
    }

    /// Passes all pending events to the policy and performs its actions.
    fn run_batch(&mut self) {
        let Some(policy) = &mut self.policy else {
            return self.pending.clear();
        };
        let now = steady_now();
        let mut events = Vec::with_capacity(self.pending.len());
        for pending in self.pending.drain(..) {
            events.push(match pending {
                PendingEvent::Read(mut request, arrived_at) => {
                    update_age(&mut request, arrived_at, now);
                    self.peaks.request_age = request.age.max(self.peaks.request_age);
                    Event::RequestRead(request)
                }
                PendingEvent::Other(event) => event,
            });
        }
        let mut actions = std::mem::take(&mut self.actions);
        let rejections_before = policy.fleet_limit_rejections;
        policy.handle(now, &events, &mut actions);
        let rejections = policy.fleet_limit_rejections;
        if rejections > rejections_before {
            self.rate_limited.fleet_limit_rejections.log(|_| {
                info!(self.log, "requests rejected: their tenants exceed a fleet-wide limit"; "so_far" => rejections);
            });
        }
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }
}

/// Sets the request's age and the remaining time of its caller's timeout as of `now`.
fn update_age(request: &mut Request, arrived_at: Time, now: Time) {
    let age = Span((now - arrived_at).0.max(0));
    request.age = age;
    request.remaining_wait = request
        .remaining_wait
        .map(|wait| Span((wait.0 - age.0).max(0)));
}
