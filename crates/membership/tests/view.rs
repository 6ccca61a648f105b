//! Views by hand: few members, each datagram carried by the test.

use std::net::SocketAddr;
use std::time::Duration;

use membership::word::Word;
use membership::{
    Body, Conclusion, Malformed, Out, Packet, Record, Said, Settings, Standing, View,
};
use proptest::prelude::*;

fn at(id: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + id))
}
fn record(id: u16, life: u64) -> Record {
    let word = Word {
        life: life << 20,
        incarnation: 0,
        said: Said::Joining,
        standing: Standing::Present,
    };
    Record {
        name: format!("n{id}").into(),
        site: "s".into(),
        at: at(id),
        serves: Some(at(100 + id)),
        word,
        by: 0,
    }
}

/// A few views and a network that loses what the test says.
struct Few {
    views: Vec<Option<View>>,
    now: Duration,
    draws: usize,
}

impl Few {
    fn start(count: u16) -> Few {
        let mut few = Few {
            views: Vec::new(),
            now: Duration::from_secs(1),
            draws: 0,
        };
        (0..count).for_each(|id| few.add(id, 100));
        few.run(Duration::from_secs(3), |_, _| true);
        few
    }
    fn add(&mut self, id: u16, life: u64) {
        let seeds = vec![at(0), at(1)];
        let mut view = View::new(
            Settings::default(),
            "few".into(),
            record(id, life),
            seeds,
            self.now,
        );
        view.say(Said::Up, self.now);
        self.views.push(Some(view));
    }
    fn view(&self, id: usize) -> &View {
        self.views[id].as_ref().expect("it lives")
    }
    fn deliver(&mut self, sent: Vec<Out>, passes: &dyn Fn(SocketAddr, SocketAddr) -> bool) {
        let mut queue: Vec<(SocketAddr, Packet)> = Vec::new();
        let sends = |out: Vec<Out>| {
            out.into_iter().filter_map(|o| match o {
                Out::Send(to, packet) => Some((to, packet)),
                Out::Changed(_) => None,
            })
        };
        queue.extend(sends(sent));
        while let Some((to, packet)) = queue.pop() {
            let bytes = packet.encode();
            assert!(
                bytes.len() <= Settings::default().datagram,
                "{} bytes",
                bytes.len()
            );
            let from = packet.from.as_ref().map_or(at(999), |r| r.at);
            let packet = Packet::decode(&bytes, "few").expect("what is sent can be read");
            for view in self.views.iter_mut().flatten() {
                if view.me().at == to && passes(from, to) {
                    let mut out = Vec::new();
                    self.draws += 1;
                    let draws = &mut self.draws;
                    let mut draw = |n: usize| {
                        *draws += 1;
                        (*draws * 7919) % n
                    };
                    view.hear(packet.clone(), from, self.now, &mut draw, &mut out);
                    queue.extend(sends(out));
                }
            }
        }
    }
    fn run(&mut self, long: Duration, passes: impl Fn(SocketAddr, SocketAddr) -> bool) {
        let end = self.now + long;
        while self.now < end {
            self.now += Duration::from_millis(10);
            for id in 0..self.views.len() {
                let mut out = Vec::new();
                let draws = &mut self.draws;
                let mut draw = |n: usize| {
                    *draws += 1;
                    (*draws * 7919) % n
                };
                if let Some(view) = self.views[id].as_mut().filter(|v| v.next() <= self.now) {
                    view.tick(self.now, &mut draw, &mut out);
                }
                self.deliver(out, &passes);
            }
        }
    }
}

#[test]
fn members_meet_and_hear_what_each_says() {
    let mut few = Few::start(4);
    assert!((0..4)
        .all(|id| few.view(id).present() == 4 && few.view(id).digest() == few.view(0).digest()));
    assert_eq!(few.view(2).conclusion().0, Conclusion::Whole);
    let now = few.now;
    few.views[3]
        .as_mut()
        .expect("it lives")
        .say(Said::Quiesced, now);
    few.run(Duration::from_millis(300), |_, _| true);
    for id in 0..4 {
        let (held, _) = few.view(id).member("n3").expect("known");
        assert_eq!(
            (held.word.said, held.takes_requests()),
            (Said::Quiesced, false)
        );
    }
}

#[test]
fn one_that_is_cut_off_knows_it_and_is_taken_back() {
    let mut few = Few::start(4);
    let cut = |from, to| (from == at(3)) == (to == at(3));
    // It knows by hearing nobody, long before it has given each of them up.
    few.run(Duration::from_secs(4), cut);
    assert_eq!(
        (few.view(3).conclusion().0, few.view(0).conclusion().0),
        (Conclusion::Alone, Conclusion::Whole)
    );
    few.run(Duration::from_secs(30), cut);
    assert_eq!(few.view(3).conclusion().0, Conclusion::Alone);
    assert_eq!(
        (
            few.view(0).conclusion().0,
            few.view(0).present(),
            few.view(0).lost()
        ),
        (Conclusion::Whole, 3, 1)
    );
    few.run(Duration::from_secs(5), |_, _| true);
    assert!((0..4)
        .all(|id| few.view(id).present() == 4 && few.view(id).digest() == few.view(0).digest()));
}

/// Two processes of one name: the one that came later has it, the other says nothing, and takes it up again when the
/// later one is gone without a word.
#[test]
fn two_processes_of_one_name_are_one_member() {
    let mut few = Few::start(3);
    few.add(2, 200);
    // The later one has an address of its own.
    let now = few.now;
    few.views[3].as_mut().expect("it lives").move_to(at(3), now);
    few.run(Duration::from_secs(3), |_, _| true);
    assert!(few.view(2).succeeded() && !few.view(3).succeeded());
    let (held, _) = few.view(0).member("n2").expect("known");
    assert_eq!(
        (held.at, held.word.life, few.view(0).present()),
        (at(3), 200 << 20, 3)
    );
    few.views[3] = None;
    few.run(Duration::from_secs(20), |_, _| true);
    assert!(!few.view(2).succeeded());
    let (held, _) = few.view(0).member("n2").expect("known");
    assert!(
        held.word.present() && held.at == at(2) && held.word.life > 200 << 20,
        "{held:?}"
    );
}

/// A node that was stopped accuses nobody of its own silence.
#[test]
fn one_that_was_stopped_gives_nobody_up() {
    let mut few = Few::start(5);
    let stopped = few.views[4].take();
    few.run(Duration::from_secs(30), |_, _| true);
    few.views[4] = stopped;
    few.run(Duration::from_secs(5), |_, _| true);
    assert!((0..5).all(|id| few.view(id).present() == 5 && few.view(id).lost() == 0));
}

fn some_packet() -> Packet {
    let body = Body::Ping {
        seq: 7,
        name: "n1".into(),
    };
    Packet {
        fleet: "few".into(),
        from: Some(record(0, 1)),
        body,
        news: vec![record(1, 1), record(2, 1)],
    }
}

#[test]
fn what_is_no_datagram_of_ours_is_told_apart() {
    let bytes = some_packet().encode();
    assert_eq!(Packet::decode(&bytes, "few"), Ok(some_packet()));
    assert_eq!(Packet::decode(&bytes, "another"), Err(Malformed::Fleet));
    assert_eq!(
        Packet::decode(b"GET / HTTP/1.1\r\n", "few"),
        Err(Malformed::Foreign)
    );
    assert_eq!(Packet::decode(b"", "few"), Err(Malformed::Foreign));
    assert_eq!(Packet::decode(&[0; 70_000], "few"), Err(Malformed::Garbled));
    let mut other = bytes.clone();
    other[3] += 1;
    assert_eq!(Packet::decode(&other, "few"), Err(Malformed::Version));
    // Whole, and nothing that a member can be.
    for bad in [
        record(0, 1 << 43),
        Record {
            name: "".into(),
            ..record(0, 1)
        },
        Record {
            name: "x".repeat(65).into(),
            ..record(0, 1)
        },
    ] {
        let packet = Packet {
            news: vec![bad],
            ..some_packet()
        };
        assert_eq!(
            Packet::decode(&packet.encode(), "few"),
            Err(Malformed::Bounds)
        );
    }
    let short = Packet {
        body: Body::Compare {
            sums: vec![1; 3],
            answer: false,
        },
        ..some_packet()
    };
    assert_eq!(
        Packet::decode(&short.encode(), "few"),
        Err(Malformed::Bounds)
    );
}

proptest! {
    #[test]
    fn cut_or_garbled_datagrams_are_dropped(cut in 0usize..200, place in 0usize..200, flip in 1u8..) {
        let whole = some_packet().encode();
        let cut_off = &whole[..cut.min(whole.len() - 1)];
        prop_assert!(Packet::decode(cut_off, "few").is_err());
        let mut garbled = whole.clone();
        let place = place % garbled.len();
        garbled[place] ^= flip;
        prop_assert!(Packet::decode(&garbled, "few").is_err());
    }

    /// Forged datagrams, whole and in bounds, at a high rate: the view stays in its bounds and its own member speaks on.
    #[test]
    fn forged_words_leave_a_view_that_objects(words in prop::collection::vec((0u16..6, 0u64..1 << 61, 0u32..1 << 30, 0u8..3), 1..60)) {
        let mut view = View::new(Settings { members: 4, ..Settings::default() }, "few".into(), record(0, 5), vec![], Duration::ZERO);
        view.say(Said::Up, Duration::ZERO);
        for (id, life, incarnation, standing) in words {
            let standing = [Standing::Present, Standing::Suspected, Standing::Gone][usize::from(standing)];
            let word = Word { life, incarnation, said: Said::Up, standing };
            let forged = Record { word, ..record(id, 1) };
            let packet = Packet { fleet: "few".into(), from: None, body: Body::Gossip, news: vec![forged] };
            let mut out = Vec::new();
            view.hear(packet, at(50), Duration::from_secs(1), &mut |_| 0, &mut out);
            view.tick(Duration::from_secs(1), &mut |_| 0, &mut out);
        }
        prop_assert!(view.members().count() <= 5);
        let mine = view.member("n0").expect("its own").0.word;
        prop_assert!(view.succeeded() || mine == view.me().word && mine.present());
    }
}
