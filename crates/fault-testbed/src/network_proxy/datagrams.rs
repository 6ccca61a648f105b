//! Forwards datagrams, immediately or after a delay.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{ProxyState, OUTSIDE, RECEIVE_TIMEOUT};
use crate::error::lock;
use crate::links::DatagramCopy;

/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A datagram that is delivered after a delay.
struct DelayedDatagram {
    due_at: Instant,
    /// Sequence number, which orders datagrams that are due at the same time.
    sequence: u64,
    to: String,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &DelayedDatagram) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &DelayedDatagram) -> Ordering {
        (self.due_at, self.sequence).cmp(&(other.due_at, other.sequence))
    }
}

/// The queue of delayed datagrams, and the condition variable that wakes the thread that delivers
/// them.
#[derive(Default)]
pub(super) struct DelayedDatagrams {
    queue: Mutex<DelayQueue>,
    changed: Condvar,
}

#[derive(Default)]
struct DelayQueue {
    datagrams: BinaryHeap<Reverse<DelayedDatagram>>,
    last_sequence: u64,
}

impl DelayQueue {
    /// Removes and returns the first datagram if it is due.
    fn pop_due(&mut self, now: Instant) -> Option<DelayedDatagram> {
        let Reverse(first) = self.datagrams.peek()?;
        if first.due_at > now {
            return None;
        }
        self.datagrams.pop().map(|Reverse(datagram)| datagram)
    }

    /// Returns the time until the first datagram is due. If there is none, returns the interval at
    /// which the thread checks whether the proxy has ended.
    fn wait_time(&self, now: Instant) -> Duration {
        let first = self.datagrams.peek();
        first.map_or(RECEIVE_TIMEOUT, |Reverse(first)| {
            first.due_at.saturating_duration_since(now)
        })
    }
}

impl DelayedDatagrams {
    fn push(&self, to: &str, bytes: Vec<u8>, delay: Duration) {
        let mut queue = lock(&self.queue);
        queue.last_sequence += 1;
        let sequence = queue.last_sequence;
        queue.datagrams.push(Reverse(DelayedDatagram {
            due_at: Instant::now() + delay,
            sequence,
            to: to.into(),
            bytes,
        }));
        self.changed.notify_one();
    }

    /// Wakes the thread that delivers the datagrams.
    pub(super) fn wake(&self) {
        self.changed.notify_all();
    }
}

impl ProxyState {
    /// Forwards the datagrams that are received by the proxy's socket of the process `to`.
    pub(super) fn forward_datagrams(&self, socket: &UdpSocket, to: &str) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.has_ended.load(SeqCst) {
            let Ok((length, source)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            // An unknown source is a process that has just started and whose address is not
            // registered yet.
            let Some(from) = self.find_sender(source, to) else {
                continue;
            };
            let copies = lock(&self.links).transmit_datagram(&from, to);
            for copy in copies {
                self.forward_copy(to, copy, buffer[..length].to_vec());
            }
        }
    }

    fn find_sender(&self, source: SocketAddr, to: &str) -> Option<String> {
        let processes = lock(&self.processes);
        let outside = || {
            let is_accepted = processes.accept_unknown_senders.contains(to);
            is_accepted.then(|| OUTSIDE.to_string())
        };
        processes.senders.get(&source).cloned().or_else(outside)
    }

    fn forward_copy(&self, to: &str, copy: DatagramCopy, mut bytes: Vec<u8>) {
        if let Some(corruption) = copy.corruption.filter(|_| !bytes.is_empty()) {
            let position = corruption.position % bytes.len();
            bytes[position] ^= corruption.mask;
        }
        if copy.delay.is_zero() {
            self.deliver(to, &bytes);
        } else {
            self.delayed.push(to, bytes, copy.delay);
        }
    }

    fn deliver(&self, to: &str, bytes: &[u8]) {
        let target = lock(&self.processes).datagram_targets.get(to).copied();
        if let Some(target) = target {
            // If no process receives it, it is lost, as on a real network.
            let _ = self.outgoing_socket.send_to(bytes, target);
        }
    }

    /// Delivers delayed datagrams as they become due.
    pub(super) fn deliver_delayed_datagrams(&self) {
        let mut queue = lock(&self.delayed.queue);
        while !self.has_ended.load(SeqCst) {
            let now = Instant::now();
            if let Some(due) = queue.pop_due(now) {
                drop(queue);
                self.deliver(&due.to, &due.bytes);
                queue = lock(&self.delayed.queue);
                continue;
            }
            let wait_time = queue.wait_time(now);
            queue = self
                .delayed
                .changed
                .wait_timeout(queue, wait_time)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}
