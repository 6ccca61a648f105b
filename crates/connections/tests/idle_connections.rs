//! Tests of the choice of connections to evict when slots run short.
use connections::{ConnectionId, ConnectionLimits, Eviction, IdleConnections, IdleKind, Idleness};
use std::time::{Duration, Instant};

fn close(connection: usize) -> Eviction {
    Eviction::Close(ConnectionId(connection))
}
fn send_close_notice(connection: usize) -> Eviction {
    Eviction::SendCloseNotice(ConnectionId(connection))
}

/// The idle connections under test. Times are in milliseconds after `start`.
struct Table {
    limits: ConnectionLimits,
    start: Instant,
    idle_connections: IdleConnections,
}

impl Table {
    fn new() -> Table {
        Table {
            limits: ConnectionLimits {
                reserved_slots: 2,
                max_idle_connections: 2,
                ..ConnectionLimits::new(8)
            },
            start: Instant::now(),
            idle_connections: IdleConnections::default(),
        }
    }
    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }
    fn set(&mut self, connection: usize, kind: IdleKind, ms: u64) {
        let since = self.at(ms);
        self.idle_connections
            .update(ConnectionId(connection), Some(Idleness { kind, since }));
    }
    fn unset(&mut self, connection: usize) {
        self.idle_connections.update(ConnectionId(connection), None);
    }
    fn evictions(&self, open_connections: usize, ms: u64) -> Vec<Eviction> {
        self.idle_connections
            .choose_evictions(open_connections, &self.limits, self.at(ms))
    }
}

/// Closing connections are evicted before silent ones, silent ones before used ones, and used ones
/// longest idle first. A connection with an open request is never evicted.
#[test]
fn evicts_those_least_likely_to_be_used_again_first() {
    let mut table = Table::new();
    table.set(1, IdleKind::Idle, 5);
    table.set(2, IdleKind::Idle, 3);
    table.set(3, IdleKind::Silent, 10);
    table.set(4, IdleKind::Silent, 900);
    // Two more connections are idle than are kept: one has been silent for longer than the grace
    // period, one is new.
    assert_eq!(table.evictions(4, 1000), [close(3), send_close_notice(4)]);
    table.set(4, IdleKind::Closing, 1000);
    assert_eq!(table.evictions(4, 1000), [close(3)]);
    // Slots run short: the closing connection is evicted first.
    assert_eq!(table.evictions(6, 1000), [close(4), close(3)]);
    table.unset(3);
    table.unset(4);
    assert_eq!(table.evictions(6, 1000), [close(2)]);
    // A new connection is not evicted before one that has been idle for longer.
    table.set(5, IdleKind::Silent, 900);
    assert_eq!(table.evictions(6, 1000), [close(2), send_close_notice(5)]);
    assert_eq!(table.evictions(6, 1300), [close(5)]);
    table.unset(5);
    // A connection with an open request is not evicted.
    table.unset(2);
    assert_eq!(table.evictions(6, 1000), [close(1)]);
    table.unset(1);
    assert_eq!(table.evictions(6, 1000), []);
}
