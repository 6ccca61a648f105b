//! The coordinator's timeouts and limits.

use std::time::Duration;

/// Resend and commit timeouts, and the limit of concurrent migrations.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// Duration after which an unacknowledged command is resent; it doubles with each resend, up to
    /// `max_resend_interval`.
    pub resend_interval: Duration,
    /// Longest duration between two sendings of a command.
    pub max_resend_interval: Duration,
    /// Duration after which an uncommitted migration is aborted.
    pub commit_timeout: Duration,
    /// Number of migrations that may run concurrently; more are queued.
    pub max_concurrent_migrations: usize,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            resend_interval: Duration::from_millis(50),
            max_resend_interval: Duration::from_secs(1),
            commit_timeout: Duration::from_secs(10),
            max_concurrent_migrations: 4,
        }
    }
}
