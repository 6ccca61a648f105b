//! A queue of events in the order of their simulated times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event and when it happens.
pub(crate) struct ScheduledEvent<E> {
    pub at: Duration,
    /// Orders events of the same time: those queued earlier happen earlier.
    order: u64,
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
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events in the order of their times.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    last_order: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            last_order: 0,
        }
    }

    /// Queues an event.
    pub(crate) fn push(&mut self, at: Duration, event: E) {
        self.last_order += 1;
        let order = self.last_order;
        self.heap.push(Reverse(ScheduledEvent { at, order, event }));
    }

    /// Queues an event again for a later time; among events of that time it keeps its place.
    pub(crate) fn postpone(&mut self, scheduled: ScheduledEvent<E>, at: Duration) {
        self.heap.push(Reverse(ScheduledEvent { at, ..scheduled }));
    }

    /// Takes the next event.
    pub(crate) fn pop(&mut self) -> Option<ScheduledEvent<E>> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }

    /// Takes the next event if it happens until then.
    pub(crate) fn pop_until(&mut self, end: Duration) -> Option<ScheduledEvent<E>> {
        let is_due = self
            .heap
            .peek()
            .is_some_and(|Reverse(scheduled)| scheduled.at <= end);
        is_due.then(|| self.pop()).flatten()
    }
}
