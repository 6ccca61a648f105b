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
    pub sweep: Duration,
    /// After its answer, when a run that has not ended is stopped again ...
    pub stop_again: Duration,
    /// ... and when it counts as over.
    pub stop_given_up: Duration,
    /// Between two lines of the log on what is in hand.
    pub log_state: Duration,
    /// Between two log lines of a kind that any peer can cause.
    pub log_seldom: Duration,
    /// Connections accepted in one turn.
    pub front_accepts: usize,
    /// Turns of accepting at the most when the listener closes: with `front_accepts` in each, more than its queue holds.
    pub front_last_accepts: usize,
    /// Connections that the machine holds for a listener until it accepts them.
    pub backlog: i32,
    /// Bytes of a call at the operators' door.
    pub door_line: usize,
    /// Callers at the door at once, each one descriptor; the one that has been there the longest goes for a newcomer.
    pub door_callers: usize,
    /// How long a caller at the door may take for its call.
    pub door_wait: Duration,
    /// After an answer at the door, how long its caller may take to read it.
    pub door_linger: Duration,
    /// The longest deadline that the platform waits out of a process that was replaced, and what it adds.
    pub replaced_deadline: Duration,
    /// See `replaced_deadline`.
    pub replaced_grace: Duration,
    /// Between looks at the other seat while somebody is there or was, and a seat or a part is waited for ...
    pub seat_look: Duration,
    /// ... and while nobody is: a look costs a few calls of the system's on a node that has a tenth of a core.
    pub seat_look_alone: Duration,
    /// How long a process that starts beside another waits for its first part before it takes clients all the same.
    pub first_part: Duration,
    /// Readiness events taken from the poll at once.
    pub front_events: usize,
    /// While the module is this far behind, time between looks at whether it has caught up.
    pub front_hold: Duration,
    /// Bytes that wait to be written on all of them.
    pub front_output_all: usize,
    /// Bytes of one line from the executor: 4 KiB in base64 and its fields, with room.
    pub executor_line: usize,
    /// Bytes of a database reply.
    pub database_reply: usize,
    /// Messages that wait for the module.
    pub module_mailbox: usize,
    /// Commands that wait for the executor's link; past this a command counts as never sent.
    pub executor_mailbox: usize,
    /// Time for an executor that moves to say that it has read all that was written to its old place.
    pub executor_quiet: Duration,
    /// Database connections, and calls in hand at once.
    pub database_lanes: usize,
    /// Between looks for a place while calls wait for one.
    pub database_look: Duration,
    /// Bytes of the head of a database reply, with any 1xx answers before it.
    pub database_head: usize,
    /// From the first byte of a database reply to its last: one that takes longer is spoilt.
    pub database_rest: Duration,
    /// Time to connect to a peer on the machine's own network.
    pub connect: Duration,
    /// Pause before the first reconnect, doubled up to `reconnect_most`.
    pub reconnect: Duration,
    /// The longest pause before a reconnect.
    pub reconnect_most: Duration,
    /// Time after which a peer that takes none of what is written is given up.
    pub write: Duration,
    /// Time between reports to the membership service, which forgets after 3 s.
    pub report: Duration,
    /// How long the module waits for the gauges before it looks without them.
    pub meter: Duration,
    /// Between the last answer and the platform's kill.
    pub stop_margin: Duration,
    /// Between looks at what is still open while leaving.
    pub drain_tick: Duration,
    /// Bytes of the table of keys, with the results kept under them: `KEYS_PART` of the memory. When it is full, requests
    /// that would be run by a new key are refused.
    pub keys_bytes: usize,
    /// Bytes of a result, set aside in the table for each run by key: 4 KiB in base64.
    pub key_result: usize,
    /// Bytes of an AMQP frame, offered to the broker; every broker allows 4 KiB.
    pub amqp_frame: usize,
    /// Bytes of a message, as of a request by JSON-RPC.
    pub amqp_body: usize,
    /// Frames read and not yet looked at.
    pub amqp_frames: usize,
    /// Time for each step of agreeing on a connection, and of closing it.
    pub amqp_handshake: Duration,
    /// The heartbeat offered; the broker's own holds if it is shorter.
    pub amqp_heartbeat: Duration,
    /// The longest pause before a broker is tried again.
    pub amqp_reconnect_most: Duration,
    /// Stack of a thread that decodes frames.
    pub amqp_stack: usize,
    /// The largest prefetch that an inventory may ask for: it bounds what a broker can have us hold.
    pub prefetch: u16,
    /// Bytes read from a socket at once.
    pub read: usize,
    /// Stack of the module's thread, which runs the decisions.
    pub module_stack: usize,
    /// Stack of a thread: nothing here recurses.
    pub stack: usize,
}

impl Limits {
    /// How long a process that was replaced is let live.
    pub fn replaced(&self, site: &Site) -> Duration {
        let longest = site
            .settings
            .classes
            .iter()
            .map(|c| c.deadline.0)
            .max()
            .unwrap_or(0);
        Duration::from_micros(longest.unsigned_abs()).min(self.replaced_deadline)
            + self.replaced_grace
    }

    /// The limits of a process that may take so many megabytes.
    pub fn within(self, memory_mb: f64) -> Limits {
        Limits {
            keys_bytes: (memory_mb.max(0.0) * KEYS_PART * 1024.0 * 1024.0) as usize,
            ..self
        }
    }

    /// The limits under so many descriptors, with as much memory as the platform gives at the most.
    pub fn new(sockets: usize) -> Limits {
        let database_lanes = 24;
        // Lanes, the executor, the list, the listener, standard streams and a few spare ones come off.
        let connections = sockets.saturating_sub(database_lanes + 40).clamp(8, 640);
        Limits {
            front: ConnectionLimits::new(connections),
            front_idle: Duration::from_secs(60),
            sweep: Duration::from_millis(200),
            stop_again: Duration::from_millis(400),
            stop_given_up: Duration::from_secs(2),
            log_state: Duration::from_secs(10),
            log_seldom: Duration::from_secs(1),
            front_accepts: 16,
            front_last_accepts: 512,
            backlog: 1024,
            door_line: 64,
            door_callers: 16,
            door_wait: Duration::from_secs(10),
            door_linger: Duration::from_millis(300),
            replaced_deadline: Duration::from_secs(3),
            replaced_grace: Duration::from_millis(700),
            seat_look: Duration::from_millis(50),
            seat_look_alone: Duration::from_millis(200),
            first_part: Duration::from_secs(2),
            front_events: 256,
            front_hold: Duration::from_millis(1),
            front_output_all: 4 * 1024 * 1024,
            executor_line: 32 * 1024,
            database_reply: 256 * 1024,
            module_mailbox: 4096,
            executor_mailbox: 16 * 1024,
            executor_quiet: Duration::from_millis(250),
            database_lanes,
            database_look: Duration::from_millis(10),
            database_head: 8 * 1024,
            database_rest: Duration::from_millis(400),
            connect: Duration::from_secs(1),
            reconnect: Duration::from_millis(20),
            reconnect_most: Duration::from_millis(500),
            write: Duration::from_secs(10),
            report: Duration::from_millis(300),
            meter: Duration::from_millis(12),
            stop_margin: Duration::from_millis(120),
            drain_tick: Duration::from_millis(5),
            keys_bytes: (MEMORY_MB * KEYS_PART * 1024.0 * 1024.0) as usize,
            key_result: 5464,
            amqp_frame: 8192,
            amqp_body: 2048,
            amqp_frames: 64,
            amqp_handshake: Duration::from_secs(5),
            amqp_heartbeat: Duration::from_secs(10),
            amqp_reconnect_most: Duration::from_secs(5),
            amqp_stack: 8 * 1024 * 1024,
            prefetch: 1024,
            read: 4096,
            module_stack: 1024 * 1024,
            stack: 160 * 1024,
        }
    }
}
