//! The faults of links without sockets, streams over the network proxy, and scenario files that are rejected.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use fault_testbed::links::StreamAction;
use fault_testbed::scenario::Scenario;
use fault_testbed::{Links, NetworkProxy};
use proptest::prelude::*;

proptest! {
    /// Traffic on one link does not change the faults of another, and equal seeds have equal faults.
    #[test]
    fn each_link_draws_its_faults_independently(seed in any::<u64>(), other_datagrams in 0usize..20) {
        let lossy = |links: &mut Links| links.change_all(|faults| (faults.loss, faults.duplication) = (0.3, 0.3));
        let (mut one, mut two) = (Links::new(seed), Links::new(seed));
        lossy(&mut one);
        lossy(&mut two);
        for _ in 0..other_datagrams {
            two.transmit_datagram("c", "a");
        }
        for _ in 0..50 {
            prop_assert_eq!(one.transmit_datagram("a", "b"), two.transmit_datagram("a", "b"));
        }
    }

    #[test]
    fn delays_stay_within_their_bounds(least in 0u64..50, more in 0u64..50) {
        let mut links = Links::new(1);
        let (least, most) = (Duration::from_millis(least), Duration::from_millis(least + more));
        links.change_link("a", "b", |faults| faults.delay = (least, most));
        for copy in (0..50).flat_map(|_| links.transmit_datagram("a", "b")) {
            prop_assert!((least..=most).contains(&copy.delay));
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

#[test]
fn addresses_not_on_loopback_are_rejected() {
    let proxy = NetworkProxy::new(1).expect("sockets");
    assert!(proxy
        .set_datagram_target("n0", "192.0.2.1:7946".parse().expect("an address"))
        .is_err());
    assert!(proxy
        .set_stream_target("n0", "0.0.0.0:80".parse().expect("an address"))
        .is_err());
    assert!(proxy
        .set_datagram_target("n0", "127.0.0.1:7946".parse().expect("an address"))
        .is_ok());
}

#[test]
fn errors_in_a_scenario_file_name_their_field_or_line() {
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
    for (from, to, message) in cases {
        assert_eq!(
            Scenario::parse("f", &good.replace(from, to))
                .expect_err(to)
                .to_string(),
            message
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

/// The longest that a test waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a stalled stream is watched for bytes that should not come.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that echoes all bytes as the process `server` of the proxy; returns where it is reached.
fn start_echo_server(proxy: &NetworkProxy) -> SocketAddr {
    let addresses = proxy.add_process("server").expect("sockets");
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    proxy
        .set_stream_target("server", listener.local_addr().expect("bound"))
        .expect("on loopback");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || echo_all(&stream));
        }
    });
    addresses.streams
}

fn echo_all(mut stream: &TcpStream) {
    let mut bytes = [0; 16];
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        if stream.write_all(&bytes[..n]).is_err() {
            return;
        }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the proxy listens");
    set_read_timeout(&stream, READ_TIMEOUT);
    stream
}

fn set_read_timeout(stream: &TcpStream, timeout: Duration) {
    stream.set_read_timeout(Some(timeout)).expect("an option");
}

/// Sends four bytes and reads four back.
fn exchange(mut stream: &TcpStream, text: [u8; 4]) -> io::Result<[u8; 4]> {
    stream.write_all(&text).expect("written");
    read_four(stream)
}

fn read_four(mut stream: &TcpStream) -> io::Result<[u8; 4]> {
    let mut bytes = [0; 4];
    stream.read_exact(&mut bytes).map(|()| bytes)
}

/// Streams over the proxy stall in one direction without a close and continue; a cut closes open streams only.
#[test]
fn streams_stall_continue_and_are_cut() {
    let proxy = NetworkProxy::new(1).expect("sockets");
    let server = start_echo_server(&proxy);
    proxy.set_pid("client", std::process::id());
    let set_stalled = |stalls: bool| {
        proxy.with_links(|links| {
            links.change_link("server", "client", |faults| faults.stalls_streams = stalls);
        });
    };
    let stream = connect(server);
    assert_eq!(exchange(&stream, *b"one.").expect("an echo"), *b"one.");
    set_stalled(true);
    set_read_timeout(&stream, STALL_TIMEOUT);
    let error = exchange(&stream, *b"two.").expect_err("nothing comes back, and nothing is closed");
    assert!(
        matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        "{error}"
    );
    set_stalled(false);
    set_read_timeout(&stream, READ_TIMEOUT);
    let continued = read_four(&stream).expect("it continues where it stopped");
    assert_eq!(continued, *b"two.");
    proxy.with_links(|links| links.cut_streams("client", "server"));
    assert!(exchange(&stream, *b"last").is_err(), "cut");
    let reopened = connect(server);
    assert_eq!(
        exchange(&reopened, *b"new.").expect("later ones pass"),
        *b"new."
    );
}
