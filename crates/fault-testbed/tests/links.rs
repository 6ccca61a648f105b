//! The faults of links, without sockets.

use std::time::Duration;

use fault_testbed::links::StreamAction;
use fault_testbed::Links;
use proptest::prelude::*;

proptest! {
    /// Traffic on one link does not change the faults of another, and equal seeds give equal
    /// faults.
    #[test]
    fn each_link_draws_its_faults_independently(seed in any::<u64>(), other_datagrams in 0usize..20) {
        let make_lossy = |links: &mut Links| links.change_all(|faults| (faults.loss, faults.duplication) = (0.3, 0.3));
        let (mut one, mut two) = (Links::new(seed), Links::new(seed));
        make_lossy(&mut one);
        make_lossy(&mut two);
        for _ in 0..other_datagrams {
            two.transmit_datagram("c", "a");
        }
        for _ in 0..50 {
            prop_assert_eq!(one.transmit_datagram("a", "b"), two.transmit_datagram("a", "b"));
        }
    }

    #[test]
    fn delays_stay_within_their_bounds(min_ms in 0u64..50, extra_ms in 0u64..50) {
        let mut links = Links::new(1);
        let (min, max) = (Duration::from_millis(min_ms), Duration::from_millis(min_ms + extra_ms));
        links.change_link("a", "b", |faults| faults.delay = (min, max));
        for copy in (0..50).flat_map(|_| links.transmit_datagram("a", "b")) {
            prop_assert!((min..=max).contains(&copy.delay));
        }
    }
}

#[test]
fn a_blocked_link_is_one_way_and_a_cut_closes_only_open_streams() {
    let mut links = Links::new(1);
    links.change_link("a", "b", |faults| faults.is_blocked = true);
    assert!(
        links.transmit_datagram("a", "b").is_empty()
            && links.transmit_datagram("b", "a").len() == 1
    );
    let cuts_at_open = links.open_stream("b", "a");
    assert_eq!(links.transmit_bytes("a", "b", 0), StreamAction::Stall);
    assert_eq!(
        links.transmit_bytes("b", "a", cuts_at_open),
        StreamAction::Forward(Duration::ZERO)
    );
    links.cut_streams("b", "a");
    assert_eq!(
        links.transmit_bytes("b", "a", cuts_at_open),
        StreamAction::Close
    );
    let cuts_at_reopen = links.open_stream("b", "a");
    assert_eq!(
        links.transmit_bytes("b", "a", cuts_at_reopen),
        StreamAction::Forward(Duration::ZERO)
    );
}
