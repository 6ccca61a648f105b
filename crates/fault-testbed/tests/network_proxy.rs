//! Streams over the network proxy.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use fault_testbed::NetworkProxy;

/// Maximum time that a test waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a stalled stream must not deliver bytes.
const STALL_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that echoes all bytes, as the process `server` of the proxy. Returns the address
/// at which the proxy makes it reachable.
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
    stream
        .set_read_timeout(Some(timeout))
        .expect("the timeout is valid");
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

/// Streams over the proxy stall in one direction without being closed, and continue later. A cut
/// closes open streams only.
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
    set_read_timeout(&stream, STALL_READ_TIMEOUT);
    let error = exchange(&stream, *b"two.")
        .expect_err("no bytes are received, and the stream is not closed");
    assert!(
        matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        "{error}"
    );
    set_stalled(false);
    set_read_timeout(&stream, READ_TIMEOUT);
    let continued = read_four(&stream).expect("the stream continues where it stalled");
    assert_eq!(continued, *b"two.");
    proxy.with_links(|links| links.cut_streams("client", "server"));
    assert!(exchange(&stream, *b"last").is_err(), "the stream was cut");
    let reopened = connect(server);
    assert_eq!(
        exchange(&reopened, *b"new.").expect("a stream that is opened later is not cut"),
        *b"new."
    );
}
