//! The owner of the other end of a connection, also while many other sockets are opened and closed.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use fault_testbed::connection_owner::{find_owner, KnownProcess, Owner, OwnerError};

fn process(name: &str, pid: u32) -> KnownProcess {
    KnownProcess {
        name: name.into(),
        pid,
    }
}

/// Returns this process, after another one that owns none of its sockets.
fn known_processes() -> [KnownProcess; 2] {
    [process("init", 1), process("us", std::process::id())]
}

fn connect(to: SocketAddr) -> (TcpStream, SocketAddr) {
    let stream = TcpStream::connect(to).expect("the listener accepts");
    let local = stream.local_addr().expect("bound");
    (stream, local)
}

#[test]
fn a_connection_belongs_to_the_process_that_has_its_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let remote = listener.local_addr().expect("bound");
    let (_stream, local) = connect(remote);
    assert_eq!(
        find_owner(local, remote, &known_processes()).expect("the kernel answers"),
        Owner::Process("us".into())
    );
}

#[test]
fn an_open_connection_of_no_known_process_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let remote = listener.local_addr().expect("bound");
    let (_stream, local) = connect(remote);
    let error = find_owner(local, remote, &[]).expect_err("no process is known");
    assert!(
        matches!(error, OwnerError::UnknownProcess(from) if from == local),
        "{error}"
    );
}

#[test]
fn a_closed_connection_has_no_owner() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let remote = listener.local_addr().expect("bound");
    let (stream, local) = connect(remote);
    drop(stream);
    assert_eq!(
        find_owner(local, remote, &known_processes()).expect("the kernel answers"),
        Owner::Closed
    );
}

/// An earlier implementation read `/proc/net/tcp`, and missed sockets while others were opened and
/// closed.
#[test]
fn the_owner_is_found_while_20_000_other_connections_open_and_close() {
    const CONNECTING_THREADS: usize = 4;
    const CONNECTIONS_PER_THREAD: usize = 20_000 / CONNECTING_THREADS;
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let remote = listener.local_addr().expect("bound");
    let (_stream, local) = connect(remote);
    let running = Arc::new(AtomicUsize::new(CONNECTING_THREADS));
    let others: Vec<_> = (0..CONNECTING_THREADS)
        .map(|_| {
            let running = running.clone();
            thread::spawn(move || {
                let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
                let to = listener.local_addr().expect("bound");
                for _ in 0..CONNECTIONS_PER_THREAD {
                    let client = TcpStream::connect(to).expect("the listener accepts");
                    let server = listener.accept().expect("a connection is pending");
                    drop((client, server));
                }
                running.fetch_sub(1, Ordering::SeqCst);
            })
        })
        .collect();
    let mut lookups = 0;
    while running.load(Ordering::SeqCst) > 0 || lookups == 0 {
        assert_eq!(
            find_owner(local, remote, &known_processes()).expect("the kernel answers"),
            Owner::Process("us".into()),
            "lookup {lookups}"
        );
        lookups += 1;
    }
    for other in others {
        other.join().expect("no thread panicked");
    }
}
