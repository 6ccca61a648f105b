//! Views of a few members. The test itself delivers or drops each datagram.

use std::net::SocketAddr;
use std::time::Duration;

use membership::{
    AdvertisedStatus, Body, Effect, Liveness, MemberRecord, MemberState, MembershipView, Packet,
    PartitionStatus, Settings,
};
use proptest::prelude::*;

fn address(id: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + id))
}

fn record(id: u16, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: format!("n{id}").into(),
        site: "s".into(),
        address: address(id),
        client_address: Some(address(100 + id)),
        state: MemberState {
            incarnation: incarnation << 20,
            version: 0,
            status: AdvertisedStatus::Joining,
            liveness: Liveness::Alive,
        },
        suspected_by: 0,
    }
}

/// Pseudo-random numbers that are the same in each run.
struct PseudoRandomIndices(usize);

impl PseudoRandomIndices {
    fn next(&mut self, bound: usize) -> usize {
        self.0 += 1;
        (self.0 * 7919) % bound
    }
}

fn all_links(_from: SocketAddr, _to: SocketAddr) -> bool {
    true
}

/// A few views, and a network that drops the datagrams that the test selects.
struct SmallFleet {
    views: Vec<Option<MembershipView>>,
    now: Duration,
    random: PseudoRandomIndices,
}

impl SmallFleet {
    /// Starts members and runs them until they know each other.
    fn start(count: u16) -> SmallFleet {
        let mut fleet = SmallFleet {
            views: Vec::new(),
            now: Duration::from_secs(1),
            random: PseudoRandomIndices(0),
        };
        for id in 0..count {
            fleet.add(id, 100);
        }
        fleet.run(Duration::from_secs(3), all_links);
        fleet
    }

    fn add(&mut self, id: u16, incarnation: u64) {
        let seeds = vec![address(0), address(1)];
        let mut view = MembershipView::new(
            Settings::default(),
            "few".into(),
            record(id, incarnation),
            seeds,
            self.now,
        );
        view.advertise_status(AdvertisedStatus::Up, self.now);
        self.views.push(Some(view));
    }

    fn view(&self, index: usize) -> &MembershipView {
        self.views[index].as_ref().expect("the member is running")
    }

    fn view_mut(&mut self, index: usize) -> &mut MembershipView {
        self.views[index].as_mut().expect("the member is running")
    }

    /// Delivers datagrams, and those that are sent in answer, if `is_open` lets them pass from one
    /// address to another.
    fn deliver(&mut self, effects: Vec<Effect>, is_open: &dyn Fn(SocketAddr, SocketAddr) -> bool) {
        let mut in_transit = sent_packets(effects);
        while let Some((to, packet)) = in_transit.pop() {
            let bytes = packet.encode();
            let len = bytes.len();
            assert!(len <= Settings::default().max_datagram_len, "{len} bytes");
            let from = packet.sender.as_ref().map_or(address(999), |r| r.address);
            let packet = Packet::decode(&bytes, "few").expect("a sent datagram can be decoded");
            for view in self.views.iter_mut().flatten() {
                if view.own_record().address == to && is_open(from, to) {
                    let mut effects = Vec::new();
                    let random = &mut self.random;
                    let mut index = |bound| random.next(bound);
                    view.handle_packet(packet.clone(), from, self.now, &mut index, &mut effects);
                    in_transit.extend(sent_packets(effects));
                }
            }
        }
    }

    fn run(&mut self, duration: Duration, is_open: impl Fn(SocketAddr, SocketAddr) -> bool) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(10);
            for index in 0..self.views.len() {
                let mut effects = Vec::new();
                let random = &mut self.random;
                let view = self.views[index].as_mut();
                if let Some(view) = view.filter(|view| view.next_deadline() <= self.now) {
                    let mut index = |bound| random.next(bound);
                    view.handle_timers(self.now, &mut index, &mut effects);
                }
                self.deliver(effects, &is_open);
            }
        }
    }

    fn assert_all_agree(&self, count: usize) {
        for index in 0..count {
            assert_eq!(self.view(index).present_count(), count);
            assert_eq!(self.view(index).digest(), self.view(0).digest());
        }
    }
}

fn sent_packets(effects: Vec<Effect>) -> Vec<(SocketAddr, Packet)> {
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Send { to, packet } => Some((to, packet)),
            Effect::MemberChanged(_) => None,
        })
        .collect()
}

#[test]
fn members_discover_each_other_and_their_statuses() {
    let mut fleet = SmallFleet::start(4);
    fleet.assert_all_agree(4);
    assert_eq!(fleet.view(2).partition_status(), PartitionStatus::Majority);
    let now = fleet.now;
    fleet
        .view_mut(3)
        .advertise_status(AdvertisedStatus::Quiesced, now);
    fleet.run(Duration::from_millis(300), all_links);
    for index in 0..4 {
        let record = fleet.view(index).member("n3").expect("the member is known");
        assert_eq!(record.state.status, AdvertisedStatus::Quiesced);
        assert!(!record.accepts_requests());
    }
}

#[test]
fn a_disconnected_member_is_isolated_and_rejoins() {
    let mut fleet = SmallFleet::start(4);
    let is_within_one_side = |from, to| (from == address(3)) == (to == address(3));
    // Receiving nothing, it becomes isolated long before it has declared each of the others dead.
    fleet.run(Duration::from_secs(4), is_within_one_side);
    assert_eq!(fleet.view(3).partition_status(), PartitionStatus::Isolated);
    assert_eq!(fleet.view(0).partition_status(), PartitionStatus::Majority);
    fleet.run(Duration::from_secs(30), is_within_one_side);
    assert_eq!(fleet.view(3).partition_status(), PartitionStatus::Isolated);
    let other = fleet.view(0);
    assert_eq!(other.partition_status(), PartitionStatus::Majority);
    assert_eq!((other.present_count(), other.lost_count()), (3, 1));
    fleet.run(Duration::from_secs(5), all_links);
    fleet.assert_all_agree(4);
}

/// If two processes have the same name, the later one keeps it. The earlier one sends nothing, and
/// takes the name back when the later one has terminated without leaving.
#[test]
fn the_later_of_two_processes_with_one_name_is_the_member() {
    let mut fleet = SmallFleet::start(3);
    fleet.add(2, 200);
    // The later process has its own address.
    let now = fleet.now;
    fleet.view_mut(3).set_address(address(3), now);
    fleet.run(Duration::from_secs(3), all_links);
    assert!(fleet.view(2).is_superseded());
    assert!(!fleet.view(3).is_superseded());
    assert_eq!(fleet.view(0).present_count(), 3);
    let record = fleet.view(0).member("n2").expect("the member is known");
    assert_eq!(record.address, address(3));
    assert_eq!(record.state.incarnation, 200 << 20);
    fleet.views[3] = None;
    fleet.run(Duration::from_secs(20), all_links);
    assert!(!fleet.view(2).is_superseded());
    let record = fleet.view(0).member("n2").expect("the member is known");
    assert!(record.state.is_present(), "{record:?}");
    assert_eq!(record.address, address(2));
    assert!(record.state.incarnation > 200 << 20, "{record:?}");
}

#[test]
fn a_node_that_was_paused_declares_no_member_dead() {
    let mut fleet = SmallFleet::start(5);
    let paused = fleet.views[4].take();
    fleet.run(Duration::from_secs(30), all_links);
    fleet.views[4] = paused;
    fleet.run(Duration::from_secs(5), all_links);
    for index in 0..5 {
        let view = fleet.view(index);
        assert_eq!((view.present_count(), view.lost_count()), (5, 0));
    }
}

fn any_liveness() -> impl Strategy<Value = Liveness> {
    (0usize..3).prop_map(|index| [Liveness::Alive, Liveness::Suspect, Liveness::Dead][index])
}

proptest! {
    /// Many forged datagrams, intact and in bounds: the view stays in its bounds and keeps its own
    /// state.
    #[test]
    fn forged_records_are_refuted_and_bounded(
        forged in prop::collection::vec(
            (0u16..6, 0u64..1 << 61, 0u32..1 << 30, any_liveness()),
            1..60,
        )
    ) {
        let settings = Settings { max_members: 4, ..Settings::default() };
        let now = Duration::from_secs(1);
        let mut view =
            MembershipView::new(settings, "few".into(), record(0, 5), vec![], Duration::ZERO);
        view.advertise_status(AdvertisedStatus::Up, Duration::ZERO);
        for (id, incarnation, version, liveness) in forged {
            let status = AdvertisedStatus::Up;
            let state = MemberState { incarnation, version, status, liveness };
            let packet = Packet {
                fleet: "few".into(),
                sender: None,
                body: Body::Gossip,
                updates: vec![MemberRecord { state, ..record(id, 1) }],
            };
            let mut effects = Vec::new();
            view.handle_packet(packet, address(50), now, &mut |_| 0, &mut effects);
            view.handle_timers(now, &mut |_| 0, &mut effects);
        }
        prop_assert!(view.members().count() <= 5);
        let own = view.member("n0").expect("the view contains its own record").state;
        let keeps_own_state = own == view.own_record().state && own.is_present();
        prop_assert!(view.is_superseded() || keeps_own_state);
    }
}
