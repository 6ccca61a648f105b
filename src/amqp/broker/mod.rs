//! A broker's actor: it connects, performs the handshake and drives the consumers on the
//! connection. After a lost connection it reconnects with jittered backoff; the broker then
//! delivers the unsettled messages again.

mod connection;
mod delivery;
mod error;
mod handshake;
mod queue_channel;
mod session;

use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{after, select, Receiver, Sender};
use slog::{info, warn, Logger};

use super::SharedState;
use crate::inventory::BrokerQueue;
use crate::net::Backoff;
use crate::node::Answer;
use error::BrokerError;

/// A message to a broker's actor.
pub(super) enum BrokerMessage {
    /// The answer to a delivery.
    Answer(DeliveryAnswer),
    /// Stop consuming.
    ShutDown,
}

/// The answer to a delivery on one of the actor's channels.
pub(super) struct DeliveryAnswer {
    /// The generation of the channel.
    generation: u64,
    channel: u16,
    tag: u64,
    answer: Answer,
}

/// Both ends of a broker's mailbox.
pub(super) struct BrokerMailbox {
    pub(super) sender: Sender<BrokerMessage>,
    pub(super) receiver: Receiver<BrokerMessage>,
}

/// The actor of one broker, virtual host and user.
pub(super) struct BrokerActor {
    number: u64,
    queues: Vec<BrokerQueue>,
    shared: Arc<SharedState>,
    mailbox: BrokerMailbox,
    log: Logger,
    /// State of the random generator.
    random_state: u64,
    /// Number of channels that have been opened, on all connections. Answers to deliveries of
    /// earlier openings of a channel are ignored.
    generation: u64,
    /// Number of unsettled deliveries, as counted in the shared state.
    unsettled: usize,
}

impl BrokerActor {
    pub(super) fn new(
        number: u64,
        queues: Vec<BrokerQueue>,
        shared: Arc<SharedState>,
        mailbox: BrokerMailbox,
        log: Logger,
    ) -> BrokerActor {
        let random_state = shared.seed ^ (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        BrokerActor {
            number,
            queues,
            shared,
            mailbox,
            log,
            random_state,
            generation: 0,
            unsettled: 0,
        }
    }

    /// Runs until the node shuts down and every delivery is settled.
    pub(super) fn run(mut self) {
        let limits = self.shared.limits.clone();
        let mut backoff = Backoff::new(limits.reconnect_backoff, limits.amqp.backoff_max);
        while !self.is_shutting_down() {
            // Nothing is consumed before the node can serve requests.
            if !self.shared.node_status.process_state().may_consume() {
                self.pause(limits.reconnect_backoff);
                continue;
            }
            let connected_at = Instant::now();
            match self.run_connection() {
                Ok(()) => break,
                Err(error) => {
                    warn!(self.log, "broker connection ended"; "error" => %error, "unsettled" => self.unsettled);
                    // The backoff continues for a broker that accepts connections and drops them at
                    // once.
                    if connected_at.elapsed() > limits.amqp.backoff_max {
                        backoff.reset();
                    }
                }
            }
            self.set_unsettled(0);
            let delay = backoff.next_delay().mul_f64(self.next_jitter());
            self.pause(delay);
        }
        self.set_unsettled(0);
        self.shared.open_brokers.fetch_sub(1, SeqCst);
    }

    /// Connects and serves the connection. Returns `Ok` once every delivery is settled and the
    /// connection is closed for the shutdown.
    fn run_connection(&mut self) -> Result<(), BrokerError> {
        let connection = self.connect()?;
        info!(self.log, "broker connected"; "queues" => self.queues.len());
        self.serve(&connection)
    }

    fn is_shutting_down(&self) -> bool {
        self.shared.is_shutting_down.load(SeqCst)
    }

    /// Waits between connections. Answers received meanwhile belong to a connection that has ended,
    /// and are dropped.
    fn pause(&self, duration: Duration) {
        let timeout = after(duration);
        while !self.is_shutting_down() {
            select! {
                recv(self.mailbox.receiver) -> _ => {}
                recv(timeout) -> _ => return,
            }
        }
    }

    /// Returns a random factor from 0.5 to 1, so that the consumers of a broker that restarts
    /// don't all reconnect at once.
    fn next_jitter(&mut self) -> f64 {
        0.5 + (self.next_random() >> 11) as f64 / (1u64 << 54) as f64
    }

    /// Returns the next random number of a `SplitMix64` generator.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Updates the shared count of unsettled deliveries with this broker's number.
    fn set_unsettled(&mut self, unsettled: usize) {
        self.shared.unsettled.fetch_add(unsettled, SeqCst);
        self.shared.unsettled.fetch_sub(self.unsettled, SeqCst);
        self.unsettled = unsettled;
    }
}
