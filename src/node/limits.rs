//! The limits on sizes, counts and times of the program, in one value that is filled at startup and
//! passed down.

use std::time::Duration;

use connections::ConnectionLimits;

use super::longest_deadline;
use crate::wire::Site;

/// Maximum memory of a process on the platform, in megabytes.
pub const MAX_MEMORY_MB: f64 = 192.0;
/// Fraction of the memory that the table of idempotency keys may take.
const KEY_TABLE_FRACTION: f64 = 0.125;
const MIB: f64 = 1024.0 * 1024.0;
/// Descriptors reserved in addition to those of clients and database connections: for the executor,
/// the endpoint list, the listener, the standard streams and a few spare ones.
const RESERVED_DESCRIPTORS: usize = 40;
/// Minimum number of client connections, however few descriptors there are.
const MIN_CLIENT_CONNECTIONS: usize = 8;
/// Maximum number of client connections, however many descriptors there are.
const MAX_CLIENT_CONNECTIONS: usize = 640;

/// All limits of a node. [`Limits::new`] fills in the values that the platform sets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Limits of the client connections that use JSON-RPC.
    pub client_connections: ConnectionLimits,
    /// Limits of the JSON-RPC client listener and its event loop.
    pub listener: ListenerLimits,
    /// Limits of the policy actor.
    pub policy: PolicyLimits,
    /// Limits of the table of idempotency keys.
    pub keys: KeyTableLimits,
    /// Limits of the connection to the executor.
    pub executor: ExecutorLimits,
    /// Limits of the connections to the database.
    pub database: DatabaseLimits,
    /// Limits of the connections to AMQP brokers.
    pub amqp: AmqpLimits,
    /// Limits of the admin listener.
    pub admin: AdminLimits,
    /// Limits for two processes of one node during a replacement.
    pub replacement: ReplacementLimits,
    /// Time to connect to a peer on the machine's own network.
    pub connect_timeout: Duration,
    /// Backoff before the first reconnect, doubled up to `reconnect_backoff_max`.
    pub reconnect_backoff: Duration,
    /// Maximum backoff before a reconnect.
    pub reconnect_backoff_max: Duration,
    /// Time after which a peer that accepts no more output is disconnected.
    pub write_timeout: Duration,
    /// Time between reports to the endpoint list, which removes a node after 3 s without a report.
    pub report_interval: Duration,
    /// Minimum time between two log lines of a kind that any peer can cause.
    pub repeated_log_interval: Duration,
    /// Time between the last answer and the platform's kill.
    pub stop_margin: Duration,
    /// Time between checks for remaining work during a shutdown.
    pub drain_poll_interval: Duration,
    /// Maximum number of bytes read from a socket at once.
    pub read_bytes: usize,
    /// Stack size of a thread in bytes. It is small, as no code in these threads recurses.
    pub stack_bytes: usize,
}

impl Limits {
    /// Returns the limits for this many descriptors and the maximum memory of the platform.
    pub fn new(descriptors: usize) -> Limits {
        let database = DatabaseLimits::default();
        let connections = descriptors
            .saturating_sub(database.connections + RESERVED_DESCRIPTORS)
            .clamp(MIN_CLIENT_CONNECTIONS, MAX_CLIENT_CONNECTIONS);
        Limits {
            client_connections: ConnectionLimits::new(connections),
            listener: ListenerLimits::default(),
            policy: PolicyLimits::default(),
            keys: KeyTableLimits::default(),
            executor: ExecutorLimits::default(),
            database,
            amqp: AmqpLimits::default(),
            admin: AdminLimits::default(),
            replacement: ReplacementLimits::default(),
            connect_timeout: Duration::from_secs(1),
            reconnect_backoff: Duration::from_millis(20),
            reconnect_backoff_max: Duration::from_millis(500),
            write_timeout: Duration::from_secs(10),
            report_interval: Duration::from_millis(300),
            repeated_log_interval: Duration::from_secs(1),
            stop_margin: Duration::from_millis(120),
            drain_poll_interval: Duration::from_millis(5),
            read_bytes: 4096,
            stack_bytes: 160 * 1024,
        }
    }

    /// Returns these limits for a process that may use this many megabytes.
    #[must_use]
    pub fn with_memory(mut self, memory_mb: f64) -> Limits {
        self.keys.table_bytes = key_table_bytes(memory_mb);
        self
    }

    /// Returns these limits for a site with these settings.
    #[must_use]
    pub fn with_site(mut self, site: &Site) -> Limits {
        let linger = site.settings.abandoned_call_linger.0.unsigned_abs();
        self.database.linger = Duration::from_micros(linger);
        let longest_deadline = Duration::from_micros(longest_deadline(site).0.unsigned_abs());
        self.database.ignored_close_time = longest_deadline * 2;
        self
    }

    /// Returns the time for which a process that was replaced may continue: the longest deadline of
    /// its classes, up to the maximum that the platform waits, plus a grace period.
    pub fn replaced_lifetime(&self, site: &Site) -> Duration {
        let longest_deadline = Duration::from_micros(longest_deadline(site).0.unsigned_abs());
        longest_deadline.min(self.replacement.max_deadline) + self.replacement.grace
    }
}

/// Limits of the JSON-RPC client listener and its event loop.
#[derive(Clone, Debug)]
pub struct ListenerLimits {
    /// Timeout of idle connections until the policy has set its own.
    pub idle_timeout: Duration,
    /// Maximum number of connections accepted in one iteration of the event loop.
    pub accept_batch: usize,
    /// Maximum number of batches accepted when the listener closes. With `accept_batch` connections
    /// in each, they hold more than the listener's queue.
    pub final_accept_batches: usize,
    /// Maximum number of connections that the operating system queues until the listener accepts
    /// them.
    pub backlog: i32,
    /// Maximum number of readiness events handled in one iteration.
    pub event_batch: usize,
    /// Time between checks whether the policy has caught up, while it is behind.
    pub backpressure_interval: Duration,
    /// Maximum number of bytes that wait to be written, over all connections.
    pub output_bytes: usize,
}

impl Default for ListenerLimits {
    fn default() -> ListenerLimits {
        ListenerLimits {
            idle_timeout: Duration::from_secs(60),
            accept_batch: 16,
            final_accept_batches: 512,
            backlog: 1024,
            event_batch: 256,
            backpressure_interval: Duration::from_millis(1),
            output_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Limits of the policy actor.
#[derive(Clone, Debug)]
pub struct PolicyLimits {
    /// Maximum number of messages in the actor's mailbox.
    pub mailbox: usize,
    /// Stack size of the actor's thread in bytes; the policy's decisions run on it.
    pub stack_bytes: usize,
    /// Time between checks for abandoned runs.
    pub sweep_interval: Duration,
    /// Time after the answer at which a run that has not ended is stopped again.
    pub stop_retry_after: Duration,
    /// Maximum time for which the executor may leave a reading of its gauges unanswered; after that
    /// its connection is replaced.
    pub max_silence: Duration,
    /// Maximum time for which the executor may leave a reading of its gauges unanswered; after that
    /// only runs whose commands can be sent again are sent to it.
    pub max_silence_for_nonrepeatable_runs: Duration,
    /// Minimum difference in age between the executor and this process for an earlier process to
    /// have used the executor.
    pub executor_age_margin: Duration,
    /// Maximum time that a wake-up waits for the gauges; after that the policy is woken without
    /// them.
    pub gauge_timeout: Duration,
    /// Time between two log lines that report the state.
    pub state_log_interval: Duration,
    /// Maximum number of ended runs whose ids are remembered, each with some 60 bytes.
    pub remembered_runs: usize,
}

impl Default for PolicyLimits {
    fn default() -> PolicyLimits {
        PolicyLimits {
            mailbox: 4096,
            stack_bytes: 1024 * 1024,
            sweep_interval: Duration::from_millis(200),
            stop_retry_after: Duration::from_millis(400),
            max_silence: Duration::from_secs(2),
            max_silence_for_nonrepeatable_runs: Duration::from_millis(300),
            executor_age_margin: Duration::from_millis(500),
            gauge_timeout: Duration::from_millis(12),
            state_log_interval: Duration::from_secs(10),
            remembered_runs: 8192,
        }
    }
}

/// Limits of the table of idempotency keys.
#[derive(Clone, Debug)]
pub struct KeyTableLimits {
    /// Maximum size of the table in bytes, including the results kept in it. While it is full,
    /// requests that would run under a new key are rejected.
    pub table_bytes: usize,
    /// Bytes reserved in the table for the result of each run under a key: 4 KiB in base64.
    pub result_bytes: usize,
}

impl Default for KeyTableLimits {
    fn default() -> KeyTableLimits {
        KeyTableLimits {
            table_bytes: key_table_bytes(MAX_MEMORY_MB),
            result_bytes: 5464,
        }
    }
}

/// Returns the maximum size of the table of keys, in bytes, for a process that may use this many
/// megabytes.
fn key_table_bytes(memory_mb: f64) -> usize {
    (memory_mb.max(0.0) * KEY_TABLE_FRACTION * MIB) as usize
}

/// Limits of the connection to the executor.
#[derive(Clone, Debug)]
pub struct ExecutorLimits {
    /// Maximum length of a line from the executor in bytes: 4 KiB in base64 and the other fields,
    /// with a margin.
    pub line_bytes: usize,
    /// Maximum number of commands that wait for the connection. A command that finds the mailbox
    /// full counts as never sent.
    pub mailbox: usize,
    /// Time within which an executor that was up before must send the welcome on a new connection.
    /// After that the node connects again.
    pub welcome_timeout: Duration,
    /// Time within which an executor whose address changes must confirm that it has read all
    /// commands sent to its old address.
    pub move_timeout: Duration,
}

impl Default for ExecutorLimits {
    fn default() -> ExecutorLimits {
        ExecutorLimits {
            line_bytes: 32 * 1024,
            mailbox: 16 * 1024,
            welcome_timeout: Duration::from_secs(2),
            move_timeout: Duration::from_millis(250),
        }
    }
}

/// Limits of the connections to the database.
#[derive(Clone, Debug)]
pub struct DatabaseLimits {
    /// Maximum number of connections, which is also the maximum number of calls in flight.
    pub connections: usize,
    /// Time between checks for a free connection while calls wait for one.
    pub poll_interval: Duration,
    /// Time between two observations that the database has not released abandoned calls.
    pub stuck_call_interval: Duration,
    /// Maximum time for which the database continues a call after it has learned that the call was
    /// abandoned.
    pub linger: Duration,
    /// Time after `linger` within which the end of a call's connection still counts as the
    /// database's reaction to a close, and not as a connection that broke.
    pub close_reaction: Duration,
    /// Time for which a database that does not react to closes is assumed to continue a call whose
    /// connection has ended, if nothing shows the call's end: twice the longest deadline of the
    /// site.
    pub ignored_close_time: Duration,
    /// Maximum size of the head of a reply in bytes, including any 1xx replies before it.
    pub head_bytes: usize,
    /// Maximum size of the body of a reply in bytes.
    pub reply_bytes: usize,
    /// Maximum time from the first byte of a reply to its last one; a slower reply is discarded.
    pub reply_timeout: Duration,
}

impl Default for DatabaseLimits {
    fn default() -> DatabaseLimits {
        DatabaseLimits {
            connections: 24,
            poll_interval: Duration::from_millis(10),
            stuck_call_interval: Duration::from_millis(500),
            linger: Duration::ZERO,
            close_reaction: Duration::from_millis(300),
            ignored_close_time: Duration::ZERO,
            head_bytes: 8 * 1024,
            reply_bytes: 256 * 1024,
            reply_timeout: Duration::from_millis(400),
        }
    }
}

/// Limits of connections to AMQP brokers.
#[derive(Clone, Debug)]
pub struct AmqpLimits {
    /// Maximum size of a frame in bytes, as offered to the broker; every broker allows 4 KiB.
    pub frame_bytes: usize,
    /// Maximum size of a message body in bytes, the same as of a request body over JSON-RPC.
    pub message_bytes: usize,
    /// Maximum number of frames that have been read and not yet processed.
    pub frame_queue: usize,
    /// Timeout of each step of opening and of closing a connection.
    pub handshake_timeout: Duration,
    /// Heartbeat interval offered to the broker; the broker's own applies if it is shorter.
    pub heartbeat_interval: Duration,
    /// Maximum backoff before a reconnect to a broker.
    pub backoff_max: Duration,
    /// Stack size in bytes of a thread that decodes frames, or headers that it has kept.
    pub stack_bytes: usize,
    /// Time before the end of the process from which on no delivery is handed back, so that the
    /// broker can confirm the copies that have been published.
    pub hand_back_margin: Duration,
    /// Maximum prefetch that an inventory may configure. It bounds the number of messages that a
    /// broker can have the node keep.
    pub max_prefetch: u16,
}

impl Default for AmqpLimits {
    fn default() -> AmqpLimits {
        AmqpLimits {
            frame_bytes: 8192,
            message_bytes: 2048,
            frame_queue: 64,
            handshake_timeout: Duration::from_secs(5),
            heartbeat_interval: Duration::from_secs(10),
            backoff_max: Duration::from_secs(5),
            stack_bytes: 8 * 1024 * 1024,
            hand_back_margin: Duration::from_millis(500),
            max_prefetch: 1024,
        }
    }
}

/// Limits of the admin listener.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Maximum length of a command in bytes.
    pub line_bytes: usize,
    /// Maximum number of concurrent clients, each with one descriptor. Beyond it, the connection of
    /// the oldest client is closed for a new one.
    pub max_clients: usize,
    /// Maximum time for a client to send its command.
    pub request_timeout: Duration,
    /// Maximum time for a client to read its answer.
    pub response_timeout: Duration,
}

impl Default for AdminLimits {
    fn default() -> AdminLimits {
        AdminLimits {
            line_bytes: 64,
            max_clients: 16,
            request_timeout: Duration::from_secs(10),
            response_timeout: Duration::from_millis(300),
        }
    }
}

/// Limits for two processes of one node, one of which replaces the other.
#[derive(Clone, Debug)]
pub struct ReplacementLimits {
    /// Maximum deadline for which the platform lets a process continue after it was replaced.
    pub max_deadline: Duration,
    /// Time that the platform adds to that deadline.
    pub grace: Duration,
    /// Time between checks of the other process while there is one, or while this process waits for
    /// an instance lock or a share.
    pub poll_interval: Duration,
    /// Time between checks for another process while this process is alone. It is longer, as a
    /// check costs a few system calls on a node that has a tenth of a core.
    pub poll_interval_alone: Duration,
    /// Maximum time that a process that starts while another is running waits for its first
    /// resource share; after that it accepts clients without one.
    pub first_share_timeout: Duration,
    /// Maximum time that an ending process waits for the report of the work that it holds.
    pub held_work_timeout: Duration,
}

impl Default for ReplacementLimits {
    fn default() -> ReplacementLimits {
        ReplacementLimits {
            max_deadline: Duration::from_secs(3),
            grace: Duration::from_millis(700),
            poll_interval: Duration::from_millis(50),
            poll_interval_alone: Duration::from_millis(200),
            first_share_timeout: Duration::from_secs(2),
            held_work_timeout: Duration::from_millis(20),
        }
    }
}
