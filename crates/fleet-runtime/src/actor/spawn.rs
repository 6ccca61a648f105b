//! Starts the fleet actor.

use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use clock::UnixTime;
use crossbeam_channel::bounded;
use membership::{
    member_state, AdvertisedStatus, Liveness, MemberRecord, MemberState, MembershipView, Name,
};
use mio::{Poll, Waker};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::Logger;

use crate::config::Config;
use crate::handle::FleetHandle;
use crate::shared_counters::SharedCounters;
use crate::snapshot::MembershipSnapshot;

use super::aggregation::Aggregation;
use super::budgets::BudgetSharing;
use super::publishing::Publisher;
use super::socket::FleetSocket;
use super::{FleetActor, WAKER};

/// Maximum number of queued commands. A sender blocks while the queue is full.
const COMMAND_CAPACITY: usize = 16;

/// The process as a member of its fleet.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// The member's name.
    pub name: Name,
    /// The address to which its clients connect. `None` for a member that serves no clients.
    pub client_address: Option<SocketAddr>,
    /// Its counters. `None` if the fleet file shares neither counts nor health observations.
    pub shared_counters: Option<SharedCounters>,
}

/// Starts a member on a thread with a stack of `stack_size` bytes. `on_change` is called on that
/// thread after each change of the state that the handle shows.
///
/// # Errors
/// The socket can't be bound, or the thread can't be started.
pub fn spawn_fleet_actor(
    config: Config,
    member: LocalMember,
    stack_size: usize,
    on_change: Box<dyn Fn() + Send>,
    log: &Logger,
) -> io::Result<FleetHandle> {
    let ActorIo {
        poll,
        socket,
        address,
        waker,
    } = ActorIo::open(&config, log)?;
    let seed = random_seed(&member.name);
    let identity = Identity {
        name: member.name,
        incarnation: member_state::new_incarnation(UnixTime::now().whole_ms(), seed),
    };
    let started_at = Instant::now();
    let membership = new_membership(&config, &identity, address, member.client_address);
    let budgets = BudgetSharing::new(&config, &identity, started_at, &waker);
    let quotas = budgets
        .as_ref()
        .map_or_else(Vec::new, |budgets| budgets.quotas().to_vec());
    let snapshot = MembershipSnapshot::capture(&membership);
    let (command_sender, commands) = bounded(COMMAND_CAPACITY);
    let handle = FleetHandle {
        address,
        snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
        commands: command_sender,
        waker,
        quotas,
    };
    let actor = FleetActor {
        partition_status: membership.partition_status(),
        budgets,
        aggregation: member
            .shared_counters
            .map(|counters| Aggregation::new(&config, &identity, counters)),
        publisher: Publisher::new(handle.snapshot.clone(), on_change),
        config,
        membership,
        poll,
        socket,
        started_at,
        rng: ChaCha8Rng::seed_from_u64(seed),
        commands,
        process_status: AdvertisedStatus::Joining,
        is_withdrawn: false,
        is_superseded: false,
        log: log.clone(),
    };
    start_thread(actor, stack_size)?;
    Ok(handle)
}

fn start_thread(actor: FleetActor, stack_size: usize) -> io::Result<()> {
    thread::Builder::new()
        .name("fleet".into())
        .stack_size(stack_size)
        .spawn(move || actor.run())?;
    Ok(())
}

/// The socket, the poll that waits for it, and the waker of that poll.
struct ActorIo {
    poll: Poll,
    socket: FleetSocket,
    /// The address of the socket, or the configured address while there is no socket.
    address: SocketAddr,
    waker: Arc<Waker>,
}

impl ActorIo {
    fn open(config: &Config, log: &Logger) -> io::Result<ActorIo> {
        let poll = Poll::new()?;
        let socket = FleetSocket::bind(config, &poll, log)?;
        let address = socket.local_address()?.unwrap_or(config.listen);
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        Ok(ActorIo {
            poll,
            socket,
            address,
            waker,
        })
    }
}

/// The member's name, and the incarnation that identifies this process among those with the name.
pub(super) struct Identity {
    pub(super) name: Name,
    /// Higher with each start of the process.
    pub(super) incarnation: u64,
}

/// Returns a seed from the operating system's random source, which the standard library uses for
/// its hash tables.
fn random_seed(name: &Name) -> u64 {
    RandomState::new().hash_one(name)
}

fn new_membership(
    config: &Config,
    identity: &Identity,
    address: SocketAddr,
    client_address: Option<SocketAddr>,
) -> MembershipView {
    let record = MemberRecord {
        name: identity.name.clone(),
        site: config.site.clone(),
        address: config.advertise.unwrap_or(address),
        client_address: config.client_address.or(client_address),
        state: MemberState {
            incarnation: identity.incarnation,
            version: 0,
            status: AdvertisedStatus::Joining,
            liveness: Liveness::Alive,
        },
        suspected_by: 0,
    };
    MembershipView::new(
        config.settings.clone(),
        config.fleet.clone(),
        record,
        config.seeds.clone(),
        Duration::ZERO,
    )
}
