//! Which connections are evicted when slots run short.
use connections::{ConnectionId, ConnectionLimits, Eviction, IdleConnections, IdleKind, Idleness};
use std::time::{Duration, Instant};

fn close(connection: usize) -> Eviction {
    Eviction::Close(ConnectionId(connection))
}
fn say_goodbye(connection: usize) -> Eviction {
    Eviction::SayGoodbye(ConnectionId(connection))
}

/// Closing connections are evicted before silent ones, silent ones before used ones, of the used ones the longest idle, and
/// none with an open request.
#[test]
fn evicts_those_least_likely_to_be_used_again_first() {
    let limits = ConnectionLimits {
        reserved_slots: 2,
        max_idle_connections: 2,
        ..ConnectionLimits::new(8)
    };
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut idle_connections = IdleConnections::default();
    let set = |idle_connections: &mut IdleConnections, connection, kind, ms| {
        let since = at(ms);
        idle_connections.update(ConnectionId(connection), Some(Idleness { kind, since }));
    };
    let unset = |idle_connections: &mut IdleConnections, connection| {
        idle_connections.update(ConnectionId(connection), None);
    };
    for (connection, kind, ms) in [
        (1, IdleKind::Idle, 5),
        (2, IdleKind::Idle, 3),
        (3, IdleKind::Silent, 10),
        (4, IdleKind::Silent, 900),
    ] {
        set(&mut idle_connections, connection, kind, ms);
    }
    // Two too many; one has been silent for so long that it is no client, one has only just connected.
    assert_eq!(
        idle_connections.choose_evictions(4, &limits, at(1000)),
        [close(3), say_goodbye(4)]
    );
    set(&mut idle_connections, 4, IdleKind::Closing, 1000);
    assert_eq!(
        idle_connections.choose_evictions(4, &limits, at(1000)),
        [close(3)]
    );
    // Slots run short: the closing one is the first.
    assert_eq!(
        idle_connections.choose_evictions(6, &limits, at(1000)),
        [close(4), close(3)]
    );
    for connection in [3, 4] {
        unset(&mut idle_connections, connection);
    }
    assert_eq!(
        idle_connections.choose_evictions(6, &limits, at(1000)),
        [close(2)]
    );
    // A fresh connection is not evicted before one that has been idle for longer.
    set(&mut idle_connections, 5, IdleKind::Silent, 900);
    assert_eq!(
        idle_connections.choose_evictions(6, &limits, at(1000)),
        [close(2), say_goodbye(5)]
    );
    assert_eq!(
        idle_connections.choose_evictions(6, &limits, at(1300)),
        [close(5)]
    );
    unset(&mut idle_connections, 5);
    // A connection with an open request stays.
    unset(&mut idle_connections, 2);
    assert_eq!(
        idle_connections.choose_evictions(6, &limits, at(1000)),
        [close(1)]
    );
    unset(&mut idle_connections, 1);
    assert_eq!(idle_connections.choose_evictions(6, &limits, at(1000)), []);
}
