//! Control of a running router from other threads.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

use mio::Waker;

/// Counters of a router that other threads can read.
#[derive(Debug, Default)]
pub struct RouterCounters {
    /// Number of requests that were accepted and are unanswered.
    pub open: AtomicUsize,
    /// Number of requests that were answered with a node's answer.
    pub answered: AtomicUsize,
    /// Number of retries.
    pub retried: AtomicUsize,
    /// Number of requests that the router itself rejected.
    pub rejected: AtomicUsize,
    /// Number of requests that were answered with "may have run" after their last attempt was lost.
    /// Requests that passed their deadline are not counted.
    pub may_have_run: AtomicUsize,
}

/// Controls a running router from another thread.
#[derive(Clone)]
pub struct RouterHandle {
    /// Address on which the router accepts clients.
    pub address: SocketAddr,
    /// Counters of the router.
    pub counters: Arc<RouterCounters>,
    pub(crate) should_stop: Arc<AtomicBool>,
    pub(crate) should_reload: Arc<AtomicBool>,
    pub(crate) waker: Arc<Waker>,
}

impl RouterHandle {
    /// Makes the router stop listening, answer its open requests and return from its loop.
    pub fn stop(&self) {
        self.should_stop.store(true, SeqCst);
        let _ = self.waker.wake();
    }

    /// Makes the router reload its cells file and its fleet file. A file that can't be used is
    /// logged and changes nothing.
    pub fn reload(&self) {
        self.should_reload.store(true, SeqCst);
        let _ = self.waker.wake();
    }
}
