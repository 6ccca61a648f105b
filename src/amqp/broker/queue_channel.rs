//! A queue's channel on a connection to a broker: its consumer, and the time at which the channel
//! is opened again after it has failed.

use std::time::{Duration, Instant};

use super::super::consumer::{ChannelState, Consumer, ConsumerEffect, ConsumerSettings};
use crate::net::Backoff;

/// The channel of one queue. Its failure concerns no other channel of the connection.
pub(super) struct QueueChannel {
    pub(super) consumer: Consumer,
    /// The number of this opening of the channel. Delivery tags begin again with each one, so
    /// answers to deliveries of earlier ones are ignored.
    pub(super) generation: u64,
    opened_at: Instant,
    /// Time at which a failed channel is opened again; `None` if it has not failed.
    reopen_at: Option<Instant>,
    backoff: Backoff,
    backoff_max: Duration,
}

impl QueueChannel {
    /// Begins to open a channel. After failures it is opened again with this backoff, which is reset
    /// once the channel has been open for longer than `backoff_max`.
    pub(super) fn open(
        settings: ConsumerSettings,
        generation: u64,
        backoff: Backoff,
        backoff_max: Duration,
        effects: &mut Vec<ConsumerEffect>,
    ) -> QueueChannel {
        QueueChannel {
            consumer: Consumer::new(settings, effects),
            generation,
            opened_at: Instant::now(),
            reopen_at: None,
            backoff,
            backoff_max,
        }
    }

    /// Records that the channel has failed. Returns the delay until it is opened again, which is
    /// multiplied by `jitter`.
    pub(super) fn schedule_reopen(&mut self, jitter: f64) -> Duration {
        // The backoff continues for a channel that fails soon after each opening.
        if self.opened_at.elapsed() > self.backoff_max {
            self.backoff.reset();
        }
        let delay = self.backoff.next_delay().mul_f64(jitter);
        self.reopen_at = Some(Instant::now() + delay);
        delay
    }

    /// Returns the time at which the channel is to be opened again; `None` if it has not failed, or
    /// if it is not closed yet.
    pub(super) fn reopen_due(&self) -> Option<Instant> {
        let is_closed = self.consumer.channel_state() == ChannelState::Closed;
        self.reopen_at.filter(|_| is_closed)
    }

    /// Begins to open the failed channel again.
    pub(super) fn reopen(
        &mut self,
        settings: ConsumerSettings,
        generation: u64,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        self.consumer = Consumer::new(settings, effects);
        self.generation = generation;
        self.opened_at = Instant::now();
        self.reopen_at = None;
    }
}
