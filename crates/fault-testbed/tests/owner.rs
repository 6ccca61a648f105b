//! Whose a connection is.
use fault_testbed::owner::owner;
use std::net::{TcpListener, TcpStream};

#[test]
fn a_connection_of_ours_is_ours() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let of = stream.local_addr().expect("bound");
    let us = [
        ("nobody".to_string(), 1),
        ("us".to_string(), std::process::id()),
    ];
    assert_eq!(owner(of, &us), Some("us".into()));
    assert_eq!(owner(of, &[]), None);
}
