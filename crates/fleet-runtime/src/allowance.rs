//! What this node may spend of a budget, read and told by whoever spends, without waiting.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use mio::Waker;
use shared_state::{LeaseTimings, SpendableQuota, Units};

/// A budget as the one who spends it holds it.
#[derive(Clone)]
pub struct Allowance {
    pub(crate) began: Instant,
    pub(crate) spend: Arc<ArcSwap<SpendableQuota>>,
    pub(crate) usage: Arc<Usage>,
    pub(crate) waker: Arc<Waker>,
}

/// What is used, as the view's thread reads it.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    pub in_use: AtomicU64,
    pub want: AtomicU64,
}

impl Allowance {
    /// What may be in use at this moment.
    pub fn limit(&self) -> Units {
        self.spend.load().limit(self.began.elapsed())
    }
    /// So much is in use, and so much would be if it could.
    pub fn uses(&self, in_use: Units, want: Units) {
        self.usage.in_use.store(in_use, Relaxed);
        let before = self.usage.want.swap(want, Relaxed);
        if want > before && want > self.limit() {
            let _ = self.waker.wake();
        }
    }
    /// How long what was begun may be in hand at most: past that it must have ended, wherever it is.
    pub fn longest(&self) -> Duration {
        LeaseTimings::default().max_call_duration
    }
}
