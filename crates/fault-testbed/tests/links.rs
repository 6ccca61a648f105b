//! What links do, without sockets; and plays that can't be used.

use std::time::Duration;

use fault_testbed::links::StreamAction;
use fault_testbed::scenario::Scenario;
use fault_testbed::{Links, NetworkProxy};
use proptest::prelude::*;

proptest! {
    /// Guards plays: what happens on one link does not change what another does, and equal seeds do the same.
    #[test]
    fn links_draw_for_themselves(seed in any::<u64>(), others in 0usize..20) {
        let lossy = |links: &mut Links| links.change_all(|l| (l.loss, l.duplication) = (0.3, 0.3));
        let (mut one, mut two) = (Links::new(seed), Links::new(seed));
        lossy(&mut one);
        lossy(&mut two);
        (0..others).for_each(|_| drop(two.transmit_datagram("c", "a")));
        for _ in 0..50 {
            prop_assert_eq!(one.transmit_datagram("a", "b"), two.transmit_datagram("a", "b"));
        }
    }

    #[test]
    fn delays_stay_within_their_bounds(least in 0u64..50, more in 0u64..50) {
        let mut links = Links::new(1);
        let (least, most) = (Duration::from_millis(least), Duration::from_millis(least + more));
        links.change_link("a", "b", |l| l.delay = (least, most));
        for copy in (0..50).flat_map(|_| links.transmit_datagram("a", "b")) {
            prop_assert!((least..=most).contains(&copy.delay));
        }
    }
}

#[test]
fn silence_is_one_way_and_cuts_end_only_what_is_open() {
    let mut links = Links::new(1);
    links.change_link("a", "b", |l| l.is_blocked = true);
    assert!(
        links.transmit_datagram("a", "b").is_empty()
            && links.transmit_datagram("b", "a").len() == 1
    );
    let began = links.open_stream("b", "a");
    assert_eq!(links.transmit_bytes("a", "b", 0), StreamAction::Stall);
    assert_eq!(
        links.transmit_bytes("b", "a", began),
        StreamAction::Forward(Duration::ZERO)
    );
    links.cut_streams("b", "a");
    assert_eq!(links.transmit_bytes("b", "a", began), StreamAction::Close);
    let later = links.open_stream("b", "a");
    assert_eq!(
        links.transmit_bytes("b", "a", later),
        StreamAction::Forward(Duration::ZERO)
    );
}

#[test]
fn places_off_this_machine_are_refused() {
    let switch = NetworkProxy::new(1).expect("sockets");
    assert!(switch
        .set_datagram_target("n0", "192.0.2.1:7946".parse().expect("an address"))
        .is_err());
    assert!(switch
        .set_stream_target("n0", "0.0.0.0:80".parse().expect("an address"))
        .is_err());
    assert!(switch
        .set_datagram_target("n0", "127.0.0.1:7946".parse().expect("an address"))
        .is_ok());
}

#[test]
fn plays_that_can_not_be_used_are_told_with_their_place() {
    let good = "{ version: 1, nodes: 2, steps: [{ start: [\"*\"] }, { settled: 1000 }, \"heal\", { links: { loss: 0.5 } }] }";
    assert_eq!(
        Scenario::parse("f", good)
            .expect("it can be used")
            .steps
            .len(),
        4
    );
    let cases = [
        (
            "version: 1",
            "version: 3",
            "f: version: 3 is not known here: 1 is",
        ),
        ("nodes: 2", "nodes: 1000", "f: nodes: is not from 1 to 64"),
        (
            "[\"*\"]",
            "[\"n2\"]",
            "f: steps[0]: n2 is no node of this play",
        ),
        (
            "loss: 0.5",
            "loss: 5",
            "f: steps[3]: a part is not from 0 to 1",
        ),
    ];
    for (from, to, says) in cases {
        assert_eq!(
            Scenario::parse("f", &good.replace(from, to))
                .expect_err(to)
                .to_string(),
            says
        );
    }
    let error = Scenario::parse("f", &good.replace("start", "begin"))
        .expect_err("unknown")
        .to_string();
    assert!(
        error.starts_with("f:1:") && error.contains("begin"),
        "{error}"
    );
}

/// Streams over the switch: they stall without a close and go on, one way at a time, and a cut ends what is open only.
#[test]
fn streams_stall_go_on_and_are_cut() {
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};
    let switch = NetworkProxy::new(1).expect("sockets");
    let (_, before) = switch.add_process("server").expect("sockets");
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    switch
        .set_stream_target("server", listener.local_addr().expect("bound"))
        .expect("on loopback");
    switch.set_pid("client", std::process::id());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut bytes = [0; 16];
                while let Ok(n @ 1..) = (&stream).read(&mut bytes) {
                    if (&stream).write_all(&bytes[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let connect = || {
        let stream = TcpStream::connect(before).expect("the switch listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("an option");
        stream
    };
    let echo = |mut stream: &TcpStream, text: &[u8; 4]| {
        stream.write_all(text).expect("written");
        let mut back = [0; 4];
        stream.read_exact(&mut back).map(|()| back)
    };
    let stream = connect();
    assert_eq!(echo(&stream, b"one.").expect("an echo"), *b"one.");
    switch.with_links(|links| links.change_link("server", "client", |l| l.stalls_streams = true));
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .expect("an option");
    let error = echo(&stream, b"two.").expect_err("nothing comes back, and nothing is closed");
    assert!(
        matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        ),
        "{error}"
    );
    switch.with_links(|links| links.change_link("server", "client", |l| l.stalls_streams = false));
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let mut back = [0; 4];
    (&stream)
        .read_exact(&mut back)
        .expect("it goes on where it stopped");
    assert_eq!(back, *b"two.");
    switch.with_links(|links| links.cut_streams("client", "server"));
    assert!(echo(&stream, b"last").is_err(), "cut");
    assert_eq!(
        echo(&connect(), b"new.").expect("later ones pass"),
        *b"new."
    );
}
