//! Which connections go when slots run short.
use connections::{Bounds, Go, Room, Unused};
use std::time::{Duration, Instant};

/// Guards the slots: those told to go before the silent, the silent before the used, of the used the longest idle,
/// and none with a request open.
#[test]
fn the_least_missed_go_first() {
    let bounds = Bounds {
        spare: 2,
        unused: 2,
        ..Bounds::new(8)
    };
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut room = Room::default();
    for (number, kind, ms) in [
        (1, Unused::Idle, 5),
        (2, Unused::Idle, 3),
        (3, Unused::Silent, 10),
        (4, Unused::Silent, 900),
    ] {
        room.set(number, Some((kind, at(ms))));
    }
    // Two too many; one has been silent long enough to be no front end, one has only just come.
    assert_eq!(
        room.make(4, &bounds, at(1000)),
        [(3, Go::Part), (4, Go::Farewell)]
    );
    room.set(4, Some((Unused::Leaving, at(1000))));
    assert_eq!(room.make(4, &bounds, at(1000)), [(3, Go::Part)]);
    // Slots run short: the one told to go is the first.
    assert_eq!(
        room.make(6, &bounds, at(1000)),
        [(4, Go::Part), (3, Go::Part)]
    );
    for number in [3, 4] {
        room.set(number, None);
    }
    assert_eq!(room.make(6, &bounds, at(1000)), [(2, Go::Part)]);
    // One that has only just come does not go before one on which nothing came for longer.
    room.set(5, Some((Unused::Silent, at(900))));
    assert_eq!(
        room.make(6, &bounds, at(1000)),
        [(2, Go::Part), (5, Go::Farewell)]
    );
    assert_eq!(room.make(6, &bounds, at(1300)), [(5, Go::Part)]);
    room.set(5, None);
    // A request on it: it stays.
    room.set(2, None);
    assert_eq!(room.make(6, &bounds, at(1000)), [(1, Go::Part)]);
    room.set(1, None);
    assert_eq!(room.make(6, &bounds, at(1000)), []);
}
