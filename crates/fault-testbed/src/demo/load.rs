//! Sends requests to the demo's router at a steady pace.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use test_doubles::{TestClient, TestDoubleError};

/// Pause between an answer and the next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Numbers of answers since the start.
#[derive(Clone, Copy, Default)]
pub(super) struct RequestCounts {
    /// Number of answers with a result.
    pub served: u64,
    /// Number of answers with an error.
    pub failed: u64,
}

#[derive(Default)]
struct SharedCounts {
    served: AtomicU64,
    failed: AtomicU64,
    is_stopped: AtomicBool,
}

/// A thread that sends requests, one after the other.
pub(super) struct Load {
    counts: Arc<SharedCounts>,
    thread: Option<JoinHandle<Result<(), TestDoubleError>>>,
}

impl Load {
    /// Starts a thread that sends requests to a router.
    pub(super) fn start(router: SocketAddr) -> Load {
        let counts = Arc::new(SharedCounts::default());
        let shared = counts.clone();
        let thread = thread::spawn(move || send_requests(router, &shared));
        Load {
            counts,
            thread: Some(thread),
        }
    }

    /// Returns the numbers of answers so far.
    pub(super) fn counts(&self) -> RequestCounts {
        RequestCounts {
            served: self.counts.served.load(Relaxed),
            failed: self.counts.failed.load(Relaxed),
        }
    }

    /// Returns true if the load has ended by itself, because a request could not be sent or its
    /// answer could not be read.
    pub(super) fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Ends the load, and waits for its thread.
    ///
    /// # Errors
    /// [`TestDoubleError`] if it had ended by itself.
    pub(super) fn finish(&mut self) -> Result<(), TestDoubleError> {
        self.counts.is_stopped.store(true, Relaxed);
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        thread
            .join()
            .unwrap_or(Err(TestDoubleError::Missing("the load's result")))
    }
}

fn send_requests(router: SocketAddr, counts: &SharedCounts) -> Result<(), TestDoubleError> {
    let mut client = TestClient::try_connect(router)?;
    while !counts.is_stopped.load(Relaxed) {
        let answer = client.try_request("statement-read", "serve:demo")?;
        let count = if answer["result"].is_object() {
            &counts.served
        } else {
            &counts.failed
        };
        count.fetch_add(1, Relaxed);
        thread::sleep(REQUEST_INTERVAL);
    }
    Ok(())
}
