//! Control of a running router from other threads.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

use mio::Waker;

/// Counters of a router that other threads may read.
#[derive(Debug, Default)]
pub struct RouterCounters {
    /// Requests that were accepted and are not answered.
    pub open: AtomicUsize,
    /// Requests answered with a node's answer.
    pub answered: AtomicUsize,
    /// Retries.
    pub retried: AtomicUsize,
    /// Requests rejected by the router itself.
    pub rejected: AtomicUsize,
    /// Requests that failed here and may have run.
    pub may_have_run: AtomicUsize,
}

/// Controls a running router from another thread.
#[derive(Clone)]
pub struct RouterHandle {
    /// Where the router listens.
    pub address: SocketAddr,
    /// What it counts.
    pub counters: Arc<RouterCounters>,
    pub(crate) should_stop: Arc<AtomicBool>,
    pub(crate) should_reload: Arc<AtomicBool>,
    pub(crate) waker: Arc<Waker>,
}

impl RouterHandle {
    /// Has the router stop listening, answer its open requests and end.
    pub fn stop(&self) {
        self.should_stop.store(true, SeqCst);
        let _ = self.waker.wake();
    }

    /// Has the router read its cells file and its fleet file again. A file that can't be used is logged and changes
    /// nothing.
    pub fn reload(&self) {
        self.should_reload.store(true, SeqCst);
        let _ = self.waker.wake();
    }
}
