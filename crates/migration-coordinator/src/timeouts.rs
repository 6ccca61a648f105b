//! The coordinator's timeouts and limits.

use std::time::Duration;

/// How long the coordinator waits before it acts again, and how many migrations it runs at once.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// The time after which a command that was not acknowledged is sent again; it doubles each time, up to
    /// `max_resend_interval`.
    pub resend_interval: Duration,
    /// The longest time between two sendings of a command.
    pub max_resend_interval: Duration,
    /// A migration that is not committed after this time is aborted.
    pub commit_timeout: Duration,
    /// The number of migrations that run at once; more are queued.
    pub max_concurrent: usize,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            resend_interval: Duration::from_millis(50),
            max_resend_interval: Duration::from_secs(1),
            commit_timeout: Duration::from_secs(10),
            max_concurrent: 4,
        }
    }
}
