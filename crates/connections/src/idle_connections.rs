//! Which client connections are evicted when slots run short. Idle connections are kept in order, so that accepting a
//! connection does not walk over the whole table.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use crate::{ConnectionLimits, IdleKind, Idleness};

/// Identifies a connection. A listener gives no number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub usize);

/// How a connection is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Close it once what has arrived on it is read and answered.
    Close(ConnectionId),
    /// Send it a goodbye, after which its peer has a while to close it.
    SayGoodbye(ConnectionId),
}

impl Eviction {
    /// The evicted connection.
    pub fn connection(self) -> ConnectionId {
        match self {
            Eviction::Close(connection) | Eviction::SayGoodbye(connection) => connection,
        }
    }
}

/// The idle connections, by kind and then by how long they have been idle.
#[derive(Default)]
pub struct IdleConnections {
    closing: BTreeSet<(Instant, ConnectionId)>,
    silent: BTreeSet<(Instant, ConnectionId)>,
    idle: BTreeSet<(Instant, ConnectionId)>,
    by_connection: HashMap<ConnectionId, Idleness>,
}

impl IdleConnections {
    fn kind_mut(&mut self, kind: IdleKind) -> &mut BTreeSet<(Instant, ConnectionId)> {
        match kind {
            IdleKind::Closing => &mut self.closing,
            IdleKind::Silent => &mut self.silent,
            IdleKind::Idle => &mut self.idle,
        }
    }

    /// Records whether and since when a connection is idle; see [`crate::ConnectionState::idleness`].
    pub fn update(&mut self, connection: ConnectionId, idleness: Option<Idleness>) {
        let previous = match idleness {
            Some(idleness) => self.by_connection.insert(connection, idleness),
            None => self.by_connection.remove(&connection),
        };
        if previous == idleness {
            return;
        }
        if let Some(Idleness { kind, since }) = previous {
            self.kind_mut(kind).remove(&(since, connection));
        }
        if let Some(Idleness { kind, since }) = idleness {
            self.kind_mut(kind).insert((since, connection));
        }
    }

    /// The evictions that make space for one more connection beside `open_connections`: where more connections are idle
    /// than are kept, the surplus of those idle longest; where slots run short, also the first of all.
    pub fn choose_evictions(
        &self,
        open_connections: usize,
        limits: &ConnectionLimits,
        now: Instant,
    ) -> Vec<Eviction> {
        let missing_slots =
            (open_connections + limits.reserved_slots + 1).saturating_sub(limits.max_connections);
        let mut evictions = Vec::new();
        if missing_slots > 0 {
            evictions = self.evict_for_slots(missing_slots, limits, now);
        }
        let surplus =
            (self.silent.len() + self.idle.len()).saturating_sub(limits.max_idle_connections);
        let chosen: Vec<ConnectionId> = evictions.iter().map(|e| e.connection()).collect();
        evictions.extend(
            self.surplus_evictions(limits, now)
                .take(surplus)
                .filter(|eviction| !chosen.contains(&eviction.connection())),
        );
        evictions
    }

    /// Evictions while slots run short: connections that are closing already, as many as slots are missing, since one that
    /// waits for its peer still holds its slot; without any, the one that is least likely to be used again.
    fn evict_for_slots(
        &self,
        missing_slots: usize,
        limits: &ConnectionLimits,
        now: Instant,
    ) -> Vec<Eviction> {
        if !self.closing.is_empty() {
            let closing = self.closing.iter().take(missing_slots);
            return closing.map(|(_, id)| Eviction::Close(*id)).collect();
        }
        let longest_idle = self
            .silent
            .first()
            .into_iter()
            .chain(self.idle.first())
            .min();
        self.silent
            .first()
            .filter(|(since, _)| is_past_grace(*since, limits, now))
            .or(longest_idle)
            .map(|(_, id)| Eviction::Close(*id))
            .into_iter()
            .collect()
    }

    /// Idle connections in the order in which a surplus of them is evicted. One that was used gets a goodbye: closed at
    /// once, it would lose what its client sends meanwhile.
    fn surplus_evictions<'a>(
        &'a self,
        limits: &'a ConnectionLimits,
        now: Instant,
    ) -> impl Iterator<Item = Eviction> + 'a {
        let silent = self.silent.iter().map(move |(since, id)| {
            if is_past_grace(*since, limits, now) {
                Eviction::Close(*id)
            } else {
                Eviction::SayGoodbye(*id)
            }
        });
        let idle = self.idle.iter().map(|(_, id)| Eviction::SayGoodbye(*id));
        silent.chain(idle)
    }
}

/// Whether a connection has been silent for so long that it is no client: clients send as soon as they are connected. A
/// fresh connection may be one; among many that begin messages and never end them it would otherwise always go first.
fn is_past_grace(silent_since: Instant, limits: &ConnectionLimits, now: Instant) -> bool {
    now.saturating_duration_since(silent_since) > limits.silence_grace
}
