//! The state of the connection to the executor as the policy actor knows it: whether the connection
//! is established, and whether the executor answers on it.

use std::time::{Duration, Instant};

use super::run_delivery::ReadingTag;

/// The state of the connection to the executor, derived from the readings of the gauges. The
/// executor answers all commands in order, readings included.
#[derive(Debug, Default)]
pub(super) struct ExecutorLink {
    is_connected: bool,
    /// True if a reading was answered on this connection, and all notices missed before the
    /// connection have therefore been read.
    is_caught_up: bool,
    /// True if the executor actor was told to replace the connection.
    is_being_replaced: bool,
    last_tag: ReadingTag,
    /// The earliest unanswered reading, and the time from which the executor's silence counts.
    unanswered: Option<(ReadingTag, Instant)>,
}

impl ExecutorLink {
    pub(super) fn is_connected(&self) -> bool {
        self.is_connected
    }

    pub(super) fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    pub(super) fn connected(&mut self) {
        *self = ExecutorLink {
            is_connected: true,
            last_tag: self.last_tag,
            ..ExecutorLink::default()
        };
    }

    pub(super) fn disconnected(&mut self) {
        *self = ExecutorLink {
            last_tag: self.last_tag,
            ..ExecutorLink::default()
        };
    }

    /// Returns the tag of the last reading that was requested.
    pub(super) fn last_tag(&self) -> ReadingTag {
        self.last_tag
    }

    /// Returns the tag for a new reading.
    pub(super) fn next_tag(&mut self) -> ReadingTag {
        self.last_tag += 1;
        self.last_tag
    }

    /// Records that a reading was requested.
    pub(super) fn reading_sent(&mut self, tag: ReadingTag, now: Instant) {
        self.unanswered.get_or_insert((tag, now));
    }

    /// Records that a reading was answered. Returns true if it is the first one on this connection.
    pub(super) fn reading_answered(&mut self, tag: ReadingTag, now: Instant) -> bool {
        if self.unanswered.is_some_and(|(earliest, _)| earliest <= tag) {
            self.unanswered = (tag < self.last_tag).then_some((tag + 1, now));
        }
        !std::mem::replace(&mut self.is_caught_up, true)
    }

    /// Returns the time for which the executor has left a reading unanswered.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        self.unanswered.map_or(Duration::ZERO, |(_, since)| {
            now.saturating_duration_since(since)
        })
    }

    /// Returns true if the connection must be replaced because a reading has been unanswered for
    /// `max_silence`. Returns true only once for each connection.
    pub(super) fn needs_replacement(&mut self, now: Instant, max_silence: Duration) -> bool {
        let is_due =
            self.is_connected && !self.is_being_replaced && self.silence(now) >= max_silence;
        self.is_being_replaced |= is_due;
        is_due
    }
}
