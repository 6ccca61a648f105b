//! The fleet actor: one thread that owns the UDP socket and the timers of a fleet member.
//!
//! It carries out the decisions of the membership protocol, the budgets and the aggregation of
//! counters, applies the commands of the process, and publishes the resulting state.

mod aggregation;
mod budgets;
mod commands;
mod datagrams;
mod publishing;
mod socket;
mod spawn;

use std::io::ErrorKind;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use membership::{AdvertisedStatus, MembershipView, PartitionStatus};
use mio::{Events, Poll, Token};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slog::{warn, Logger};

use crate::config::Config;
use crate::handle::ActorCommand;

use aggregation::Aggregation;
use budgets::BudgetSharing;
use publishing::Publisher;
use socket::{FleetSocket, REBIND_INTERVAL};

pub use spawn::{spawn_fleet_actor, LocalMember};

const SOCKET: Token = Token(0);
const WAKER: Token = Token(1);
/// Maximum number of events that one poll returns.
const EVENT_CAPACITY: usize = 4;
/// Maximum duration of a poll while no timer is due. The cost of one wake-up per minute is
/// negligible.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed poll.
const POLL_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The state of the actor's thread. The protocols use times relative to `started_at`.
struct FleetActor {
    config: Config,
    membership: MembershipView,
    poll: Poll,
    socket: FleetSocket,
    started_at: Instant,
    rng: ChaCha8Rng,
    commands: Receiver<ActorCommand>,
    /// `None` if the fleet file has no budgets.
    budgets: Option<BudgetSharing>,
    /// `None` if the nodes share neither counts nor health observations.
    aggregation: Option<Aggregation>,
    /// The status that the process has set.
    process_status: AdvertisedStatus,
    /// True if the process is advertised as quiesced because only this node can't reach the ledger.
    is_withdrawn: bool,
    publisher: Publisher,
    /// The last logged partition status.
    partition_status: PartitionStatus,
    /// True if another process used this member's name when that was last logged.
    is_superseded: bool,
    log: Logger,
}

impl FleetActor {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut may_be_readable = true;
        loop {
            let timeout = if may_be_readable {
                Duration::ZERO
            } else {
                self.time_to_next_timer()
            };
            self.poll_events(&mut events, timeout);
            may_be_readable |= events.iter().any(|event| event.token() == SOCKET);
            if self.handle_commands().is_break() {
                return;
            }
            if may_be_readable {
                may_be_readable = self.receive_datagrams();
            }
            self.run_membership_timers();
            self.update_budgets();
            self.update_aggregation();
            self.rebind_if_due();
            self.publish_if_due();
        }
    }

    /// Returns the time on the clock that the protocols use.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn poll_events(&mut self, events: &mut Events, timeout: Duration) {
        match self.poll.poll(events, Some(timeout)) {
            Err(e) if e.kind() != ErrorKind::Interrupted => {
                warn!(self.log, "fleet: polling the socket failed"; "error" => %e);
                std::thread::sleep(POLL_ERROR_PAUSE);
            }
            _ => {}
        }
    }

    fn handle_commands(&mut self) -> ControlFlow<()> {
        while let Ok(command) = self.commands.try_recv() {
            self.handle_command(command)?;
        }
        ControlFlow::Continue(())
    }

    /// Returns the duration that the poll may wait.
    fn time_to_next_timer(&self) -> Duration {
        let now = Instant::now();
        let protocols = if self.socket.is_open() {
            self.time_to_next_protocol_timer()
        } else {
            REBIND_INTERVAL
        };
        [self.publisher.publish_at(), self.socket.rebind_at()]
            .into_iter()
            .flatten()
            .map(|due_at| due_at.saturating_duration_since(now))
            .fold(protocols, Duration::min)
    }

    fn time_to_next_protocol_timer(&self) -> Duration {
        let budgets = self.budgets.as_ref().map(BudgetSharing::next_timeout);
        let aggregation = self.aggregation.as_ref().map(|a| a.node.next_timeout());
        let now = self.now();
        [Some(self.membership.next_deadline()), budgets, aggregation]
            .into_iter()
            .flatten()
            .map(|due_at| due_at.saturating_sub(now))
            .fold(MAX_POLL_TIMEOUT, Duration::min)
    }

    fn run_membership_timers(&mut self) {
        let now = self.now();
        if !self.socket.is_open() || self.membership.next_deadline() > now {
            return;
        }
        let mut effects = Vec::new();
        let mut draw = random_index(&mut self.rng);
        self.membership.handle_timers(now, &mut draw, &mut effects);
        drop(draw);
        self.apply_effects(effects);
    }
}

/// Returns a function that draws a random index below a length.
fn random_index(rng: &mut ChaCha8Rng) -> impl FnMut(usize) -> usize + '_ {
    |length| rng.random_range(0..length.max(1))
}
