//! Starting the fleet actor.

use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam_channel::bounded;
use membership::{
    member_state, AdvertisedStatus, Liveness, MemberRecord, MemberState, MembershipView, Name,
};
use mio::{Poll, Waker};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shared_state::{AggregationNode, Budgets, HealthEvaluator, LeaseTimings, ReportingSettings};
use slog::Logger;

use crate::config::Config;
use crate::handle::FleetHandle;
use crate::quota_handle::QuotaHandle;
use crate::shared_counters::SharedCounters;
use crate::snapshot::MembershipSnapshot;

use super::socket::FleetSocket;
use super::{Aggregation, FleetActor, WAKER};

/// Commands that may wait for the actor; a sender of more waits itself.
const COMMAND_CAPACITY: usize = 16;

/// The process as a member of its fleet.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// The member's name.
    pub name: Name,
    /// Where its clients connect; `None` for a member that serves none.
    pub client_address: Option<SocketAddr>,
    /// Its counters, where the fleet file has them shared.
    pub shared_counters: Option<SharedCounters>,
}

/// Starts a member on a thread with a stack of `stack_size` bytes. `on_change` is called on that thread after each
/// change of what the handle shows.
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
    let poll = Poll::new()?;
    let socket = FleetSocket::bind(&config, &poll, log)?;
    let address = socket.local_address()?.unwrap_or(config.listen);
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    // The standard library seeds its hash tables from the system's randomness.
    let seed = RandomState::new().hash_one(&member.name);
    let identity = Identity {
        name: member.name,
        incarnation: member_state::new_incarnation(unix_time_ms(), seed),
    };
    let started_at = Instant::now();
    let quotas: Vec<(Name, QuotaHandle)> = config
        .budgets
        .iter()
        .map(|budget| {
            (
                budget.name.clone(),
                QuotaHandle::new(started_at, waker.clone()),
            )
        })
        .collect();
    let membership = new_membership(&config, &identity, address, member.client_address);
    let (command_sender, commands) = bounded(COMMAND_CAPACITY);
    let handle = FleetHandle {
        address,
        snapshot: Arc::new(ArcSwap::from_pointee(MembershipSnapshot::capture(
            &membership,
        ))),
        commands: command_sender,
        waker,
        quotas,
    };
    let actor = FleetActor {
        partition_status: membership.partition_status(),
        budgets: new_budgets(&config, &identity),
        aggregation: member
            .shared_counters
            .map(|counters| new_aggregation(&config, &identity, counters)),
        config,
        membership,
        poll,
        socket,
        started_at,
        rng: ChaCha8Rng::seed_from_u64(seed),
        commands,
        quotas: handle.quotas.clone(),
        budget_leader: None,
        ledger_health: HealthEvaluator::default(),
        process_status: AdvertisedStatus::Joining,
        is_withdrawn: false,
        snapshot: handle.snapshot.clone(),
        on_change,
        publish_at: None,
        is_superseded: false,
        log: log.clone(),
    };
    thread::Builder::new()
        .name("fleet".into())
        .stack_size(stack_size)
        .spawn(move || actor.run())?;
    Ok(handle)
}

/// Which run of which member this process is.
struct Identity {
    name: Name,
    /// Higher with each start of the process.
    incarnation: u64,
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
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
        client_address: config.serves.or(client_address),
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

fn new_budgets(config: &Config, identity: &Identity) -> Option<Budgets> {
    if config.budgets.is_empty() {
        return None;
    }
    Some(Budgets::new(
        LeaseTimings::default(),
        identity.name.clone(),
        identity.incarnation,
        config.voters.clone(),
        config.budgets.clone(),
        Duration::ZERO,
    ))
}

fn new_aggregation(config: &Config, identity: &Identity, counters: SharedCounters) -> Aggregation {
    let node = AggregationNode::new(
        ReportingSettings::default(),
        identity.name.clone(),
        config.site.clone(),
        identity.incarnation,
        Duration::ZERO,
    );
    Aggregation { node, counters }
}
