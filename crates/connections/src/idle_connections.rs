//! The choice of client connections to evict when slots run short. Idle connections are kept
//! sorted, so that accepting a connection does not scan the whole table.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use crate::{ConnectionLimits, IdleKind, Idleness};

/// Identifies a connection. A listener never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub usize);

/// The eviction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Close the connection once everything that has arrived on it is read and answered.
    Close(ConnectionId),
    /// Send the close notice; the peer then has [`ConnectionLimits::close_notice_timeout`] to close
    /// the connection.
    SendCloseNotice(ConnectionId),
}

impl Eviction {
    /// Returns the evicted connection.
    pub fn connection(self) -> ConnectionId {
        match self {
            Eviction::Close(connection) | Eviction::SendCloseNotice(connection) => connection,
        }
    }
}

/// The idle connections, sorted by kind and then by the start of their idle period.
#[derive(Default)]
pub struct IdleConnections {
    closing: BTreeSet<(Instant, ConnectionId)>,
    silent: BTreeSet<(Instant, ConnectionId)>,
    idle: BTreeSet<(Instant, ConnectionId)>,
    by_connection: HashMap<ConnectionId, Idleness>,
}

impl IdleConnections {
    fn connections_of_kind_mut(
        &mut self,
        kind: IdleKind,
    ) -> &mut BTreeSet<(Instant, ConnectionId)> {
        match kind {
            IdleKind::Closing => &mut self.closing,
            IdleKind::Silent => &mut self.silent,
            IdleKind::Idle => &mut self.idle,
        }
    }

    /// Records a connection's current idle state, as returned by
    /// [`crate::ConnectionState::idleness`].
    pub fn update(&mut self, connection: ConnectionId, idleness: Option<Idleness>) {
        let previous = match idleness {
            Some(idleness) => self.by_connection.insert(connection, idleness),
            None => self.by_connection.remove(&connection),
        };
        if previous == idleness {
            return;
        }
        if let Some(Idleness { kind, since }) = previous {
            self.connections_of_kind_mut(kind)
                .remove(&(since, connection));
        }
        if let Some(Idleness { kind, since }) = idleness {
            self.connections_of_kind_mut(kind)
                .insert((since, connection));
        }
    }

    /// Returns the evictions that make room for one more connection besides `open_connections`. If
    /// more connections are idle than are kept, the surplus is evicted: silent ones first, and
    /// those of a kind longest idle first. If slots run short, evictions that free slots precede
    /// them.
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

    /// Returns the evictions while slots run short. Connections that are already closing are
    /// evicted first, as many as slots are missing: one that waits for its peer still occupies its
    /// slot. If there are none, the connection that is least likely to be used again is evicted.
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
            .filter(|(since, _)| is_past_silence_grace(*since, limits, now))
            .or(longest_idle)
            .map(|(_, id)| Eviction::Close(*id))
            .into_iter()
            .collect()
    }

    /// Returns the evictions of idle connections in the order in which a surplus is evicted. A
    /// connection that was used gets a close notice: if it were closed at once, requests that its
    /// client is sending would be lost.
    fn surplus_evictions<'a>(
        &'a self,
        limits: &'a ConnectionLimits,
        now: Instant,
    ) -> impl Iterator<Item = Eviction> + 'a {
        let silent = self.silent.iter().map(move |(since, id)| {
            if is_past_silence_grace(*since, limits, now) {
                Eviction::Close(*id)
            } else {
                Eviction::SendCloseNotice(*id)
            }
        });
        let idle = self
            .idle
            .iter()
            .map(|(_, id)| Eviction::SendCloseNotice(*id));
        silent.chain(idle)
    }
}

/// Returns true if a connection has been silent for longer than the grace period, so that it is not
/// a client's: clients send as soon as they are connected. A new connection may be a client's.
/// Without the grace period it would always be evicted first when many other connections begin
/// messages and never complete them.
fn is_past_silence_grace(silent_since: Instant, limits: &ConnectionLimits, now: Instant) -> bool {
    now.saturating_duration_since(silent_since) > limits.silence_grace
}
