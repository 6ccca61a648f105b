//! A queue of events, ordered by their simulated times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event and its simulated time.
pub(crate) struct ScheduledEvent<E> {
    pub at: Duration,
    /// Orders events of the same time by when they were queued.
    sequence_number: u64,
    pub event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence_number).cmp(&(other.at, other.sequence_number))
    }
}

/// A queue of events, ordered by their times.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    last_sequence_number: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            last_sequence_number: 0,
        }
    }

    /// Queues an event.
    pub(crate) fn push(&mut self, at: Duration, event: E) {
        self.last_sequence_number += 1;
        let sequence_number = self.last_sequence_number;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence_number,
            event,
        }));
    }

    /// Queues an event again for a later time. It keeps its sequence number, so that it comes
    /// before events of that time that were queued after it.
    pub(crate) fn postpone(&mut self, scheduled: ScheduledEvent<E>, at: Duration) {
        self.heap.push(Reverse(ScheduledEvent { at, ..scheduled }));
    }

    /// Removes and returns the next event.
    pub(crate) fn pop(&mut self) -> Option<ScheduledEvent<E>> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }

    /// Removes and returns the next event if its time is at most `end`.
    pub(crate) fn pop_until(&mut self, end: Duration) -> Option<ScheduledEvent<E>> {
        let is_due = self
            .heap
            .peek()
            .is_some_and(|Reverse(scheduled)| scheduled.at <= end);
        is_due.then(|| self.pop()).flatten()
    }
}
