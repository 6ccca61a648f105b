//! Settings of a client listener: fixed ones and those that may change while it runs.

use std::time::Duration;

use connections::ConnectionLimits;

/// The times at which the timers of connections are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerMode {
    /// Each timer is checked when it expires.
    Exact,
    /// All timers are checked when the handler calls [`crate::ClientListener::check_all_timers`].
    OnRequest,
}

/// Settings that are fixed for the lifetime of a listener.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Limits of connections.
    pub limits: ConnectionLimits,
    /// Maximum number of readiness events handled in one step.
    pub max_events: usize,
    /// Size in bytes of the buffer for one read from a connection.
    pub read_buffer_bytes: usize,
    /// Maximum number of connections accepted in one step.
    pub accepts_per_step: usize,
    /// Maximum number of rounds, each of [`Self::accepts_per_step`] connections, in which pending
    /// connections are accepted directly before the socket is closed.
    pub final_accept_rounds: usize,
    /// Pause after an error of accepting, such as a lack of file descriptors, before the next
    /// attempt. Clients that are already waiting cause no further event of the socket.
    pub accept_retry_pause: Duration,
    /// Maximum number of unsent bytes of all connections. Above it, the connection with the most
    /// unsent bytes is dropped.
    pub max_total_unsent_bytes: usize,
    /// Line of the close notice, after which a client sends no new requests on a connection.
    pub close_notice_line: &'static str,
    /// True if the limits of unsent bytes are enforced when a close notice is enqueued.
    pub is_close_notice_limited: bool,
    /// True if unsent bytes are written after every event of a connection, not only after those
    /// that report it writable.
    pub writes_on_every_event: bool,
    /// Times at which timers are checked.
    pub timer_mode: TimerMode,
}

/// Limits that may change while the listener runs. The listener queries them each time.
pub trait LiveLimits {
    /// Returns how long a connection that was used may be idle.
    fn idle_timeout(&self) -> Duration;
    /// Returns the maximum number of concurrent connections.
    fn max_connections(&self) -> usize;
    /// Returns the time after which to query again while the handler can accept no more lines, or
    /// `None` if it can. No lines are read meanwhile.
    fn read_pause(&self) -> Option<Duration> {
        None
    }
}
