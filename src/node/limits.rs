//! Every size, count and time that the program keeps to, in one value that is filled at start and handed down.

use std::time::Duration;

use connections::ConnectionLimits;

use crate::wire::Site;

/// The most megabytes that the platform gives.
pub const MEMORY_MB: f64 = 192.0;
/// Part of the memory that the table of keys may take.
const KEYS_PART: f64 = 0.125;

/// See the module's head. Figures that the platform sets are filled in by [`Limits::new`].
#[derive(Clone, Debug)]
pub struct Limits {
    /// What the platform's front connections keep to.
    pub front: ConnectionLimits,
    /// How long one may carry nothing, until the module has said.
    pub front_idle: Duration,
    /// Between looks at runs that nobody waits for.
    pub sweep_interval: Duration,
    /// After its answer, when a run that has not ended is stopped again ...
    pub stop_retry_after: Duration,
    /// ... and when it counts as over.
    pub stop_abandon_after: Duration,
    /// Between two lines of the log on what is in hand.
    pub state_log_interval: Duration,
    /// Between two log lines of a kind that any peer can cause.
    pub repeated_log_interval: Duration,
    /// Connections accepted in one turn.
    pub front_accept_batch: usize,
    /// Turns of accepting at the most when the listener closes: with `front_accept_batch` in each, more than its queue holds.
    pub front_final_accept_batches: usize,
    /// Connections that the machine holds for a listener until it accepts them.
    pub backlog: i32,
    /// Bytes of a call at the operators' door.
    pub admin_line_bytes: usize,
    /// Callers at the door at once, each one descriptor; the one that has been there the longest goes for a newcomer.
    pub admin_clients: usize,
    /// How long a caller at the door may take for its call.
    pub admin_request_timeout: Duration,
    /// After an answer at the door, how long its caller may take to read it.
    pub admin_response_timeout: Duration,
    /// The longest deadline that the platform waits out of a process that was replaced, and what it adds.
    pub replaced_deadline_max: Duration,
    /// See `replaced_deadline_max`.
    pub replaced_grace: Duration,
    /// Between looks at the other seat while somebody is there or was, and a seat or a part is waited for ...
    pub instance_poll_interval: Duration,
    /// ... and while nobody is: a look costs a few calls of the system's on a node that has a tenth of a core.
    pub instance_poll_interval_alone: Duration,
    /// How long a process that starts beside another waits for its first part before it takes clients all the same.
    pub first_share_timeout: Duration,
    /// Readiness events taken from the poll at once.
    pub front_event_batch: usize,
    /// While the module is this far behind, time between looks at whether it has caught up.
    pub front_backpressure_interval: Duration,
    /// Bytes that wait to be written on all of them.
    pub front_output_bytes: usize,
    /// Bytes of one line from the executor: 4 KiB in base64 and its fields, with room.
    pub executor_line_bytes: usize,
    /// Bytes of a database reply.
    pub database_reply_bytes: usize,
    /// Messages that wait for the module.
    pub policy_mailbox: usize,
    /// Commands that wait for the executor's link; past this a command counts as never sent.
    pub executor_mailbox: usize,
    /// Time for an executor that moves to say that it has read all that was written to its old place.
    pub executor_move_timeout: Duration,
    /// Database connections, and calls in hand at once.
    pub database_connections: usize,
    /// Between looks for a place while calls wait for one.
    pub database_poll_interval: Duration,
    /// Bytes of the head of a database reply, with any 1xx answers before it.
    pub database_head_bytes: usize,
    /// From the first byte of a database reply to its last: one that takes longer is spoilt.
    pub database_reply_timeout: Duration,
    /// Time to connect to a peer on the machine's own network.
    pub connect_timeout: Duration,
    /// Pause before the first reconnect, doubled up to `reconnect_backoff_max`.
    pub reconnect_backoff: Duration,
    /// The longest pause before a reconnect.
    pub reconnect_backoff_max: Duration,
    /// Time after which a peer that takes none of what is written is given up.
    pub write_timeout: Duration,
    /// Time between reports to the membership service, which forgets after 3 s.
    pub report_interval: Duration,
    /// How long the module waits for the gauges before it looks without them.
    pub gauge_timeout: Duration,
    /// Between the last answer and the platform's kill.
    pub stop_margin: Duration,
    /// Between looks at what is still open while leaving.
    pub drain_poll_interval: Duration,
    /// Bytes of the table of keys, with the results kept under them: `KEYS_PART` of the memory. When it is full, requests
    /// that would be run by a new key are refused.
    pub key_table_bytes: usize,
    /// Bytes of a result, set aside in the table for each run by key: 4 KiB in base64.
    pub key_result_bytes: usize,
    /// Bytes of an AMQP frame, offered to the broker; every broker allows 4 KiB.
    pub amqp_frame_bytes: usize,
    /// Bytes of a message, as of a request by JSON-RPC.
    pub amqp_message_bytes: usize,
    /// Frames read and not yet looked at.
    pub amqp_frame_queue: usize,
    /// Time for each step of agreeing on a connection, and of closing it.
    pub amqp_handshake_timeout: Duration,
    /// The heartbeat offered; the broker's own holds if it is shorter.
    pub amqp_heartbeat_interval: Duration,
    /// The longest pause before a broker is tried again.
    pub amqp_backoff_max: Duration,
    /// Stack of a thread that decodes frames.
    pub amqp_stack_bytes: usize,
    /// The largest prefetch that an inventory may ask for: it bounds what a broker can have us hold.
    pub max_prefetch: u16,
    /// Bytes read from a socket at once.
    pub read_bytes: usize,
    /// Stack of the module's thread, which runs the decisions.
    pub policy_stack_bytes: usize,
    /// Stack of a thread: nothing here recurses.
    pub stack_bytes: usize,
}

impl Limits {
    /// How long a process that was replaced is let live.
    pub fn replaced_lifetime(&self, site: &Site) -> Duration {
        let longest = site
            .settings
            .classes
            .iter()
            .map(|c| c.deadline.0)
            .max()
            .unwrap_or(0);
        Duration::from_micros(longest.unsigned_abs()).min(self.replaced_deadline_max)
            + self.replaced_grace
    }

    /// The limits of a process that may take so many megabytes.
    pub fn within(self, memory_mb: f64) -> Limits {
        Limits {
            key_table_bytes: (memory_mb.max(0.0) * KEYS_PART * 1024.0 * 1024.0) as usize,
            ..self
        }
    }

    /// The limits under so many descriptors, with as much memory as the platform gives at the most.
    pub fn new(sockets: usize) -> Limits {
        let database_connections = 24;
        // Lanes, the executor, the list, the listener, standard streams and a few spare ones come off.
        let connections = sockets
            .saturating_sub(database_connections + 40)
            .clamp(8, 640);
        Limits {
            front: ConnectionLimits::new(connections),
            front_idle: Duration::from_secs(60),
            sweep_interval: Duration::from_millis(200),
            stop_retry_after: Duration::from_millis(400),
            stop_abandon_after: Duration::from_secs(2),
            state_log_interval: Duration::from_secs(10),
            repeated_log_interval: Duration::from_secs(1),
            front_accept_batch: 16,
            front_final_accept_batches: 512,
            backlog: 1024,
            admin_line_bytes: 64,
            admin_clients: 16,
            admin_request_timeout: Duration::from_secs(10),
            admin_response_timeout: Duration::from_millis(300),
            replaced_deadline_max: Duration::from_secs(3),
            replaced_grace: Duration::from_millis(700),
            instance_poll_interval: Duration::from_millis(50),
            instance_poll_interval_alone: Duration::from_millis(200),
            first_share_timeout: Duration::from_secs(2),
            front_event_batch: 256,
            front_backpressure_interval: Duration::from_millis(1),
            front_output_bytes: 4 * 1024 * 1024,
            executor_line_bytes: 32 * 1024,
            database_reply_bytes: 256 * 1024,
            policy_mailbox: 4096,
            executor_mailbox: 16 * 1024,
            executor_move_timeout: Duration::from_millis(250),
            database_connections,
            database_poll_interval: Duration::from_millis(10),
            database_head_bytes: 8 * 1024,
            database_reply_timeout: Duration::from_millis(400),
            connect_timeout: Duration::from_secs(1),
            reconnect_backoff: Duration::from_millis(20),
            reconnect_backoff_max: Duration::from_millis(500),
            write_timeout: Duration::from_secs(10),
            report_interval: Duration::from_millis(300),
            gauge_timeout: Duration::from_millis(12),
            stop_margin: Duration::from_millis(120),
            drain_poll_interval: Duration::from_millis(5),
            key_table_bytes: (MEMORY_MB * KEYS_PART * 1024.0 * 1024.0) as usize,
            key_result_bytes: 5464,
            amqp_frame_bytes: 8192,
            amqp_message_bytes: 2048,
            amqp_frame_queue: 64,
            amqp_handshake_timeout: Duration::from_secs(5),
            amqp_heartbeat_interval: Duration::from_secs(10),
            amqp_backoff_max: Duration::from_secs(5),
            amqp_stack_bytes: 8 * 1024 * 1024,
            max_prefetch: 1024,
            read_bytes: 4096,
            policy_stack_bytes: 1024 * 1024,
            stack_bytes: 160 * 1024,
        }
    }
}
