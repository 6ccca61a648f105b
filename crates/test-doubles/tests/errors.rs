//! Failures of the test doubles are returned as errors, and protocol violations of a node are
//! detected.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use test_doubles::{FakeDatabase, FakeExecutor, TestClient, TestDoubleError};

/// Writes text to a server, and waits until the server closes the connection.
fn send_and_wait_for_close(address: std::net::SocketAddr, text: &str) {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(text.as_bytes()).expect("written");
    let mut answer = Vec::new();
    // Closing with unread bytes may reset the connection.
    let _ = stream.read_to_end(&mut answer);
}

#[test]
fn a_request_on_a_connection_that_was_closed_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let mut client =
        TestClient::try_connect(listener.local_addr().expect("bound")).expect("it listens");
    let (server, _) = listener.accept().expect("a connection");
    drop(server);
    let first = client.try_request("statement-read", "serve");
    assert!(
        matches!(
            first,
            Err(TestDoubleError::ConnectionClosed | TestDoubleError::Io { .. })
        ),
        "{first:?}"
    );
    let second = client.try_request("statement-read", "serve");
    assert!(
        matches!(
            second,
            Err(TestDoubleError::ConnectionClosed | TestDoubleError::Io { .. })
        ),
        "{second:?}"
    );
}

#[test]
fn an_answer_to_another_request_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let mut client =
        TestClient::try_connect(listener.local_addr().expect("bound")).expect("it listens");
    let (mut server, _) = listener.accept().expect("a connection");
    server
        .write_all(b"{\"id\":7,\"result\":{}}\n")
        .expect("written");
    let answer = client.try_request("statement-read", "serve");
    assert!(
        matches!(answer, Err(TestDoubleError::UnexpectedAnswer(_))),
        "{answer:?}"
    );
}

#[test]
fn a_connection_to_a_closed_port_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let client = TestClient::try_connect(address);
    assert!(matches!(client, Err(TestDoubleError::Io { .. })));
}

#[test]
fn the_database_detects_a_call_without_a_request_uid() {
    let database = FakeDatabase::start();
    database.check_protocol().expect("nothing was sent");
    let call = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
    send_and_wait_for_close(database.address, call);
    let checked = database.check_protocol();
    assert!(
        matches!(checked, Err(TestDoubleError::Protocol(_))),
        "{checked:?}"
    );
}

#[test]
fn the_database_detects_a_second_call_before_the_answer_to_the_first() {
    let database = FakeDatabase::start();
    let call =
        "POST / HTTP/1.1\r\nRequest-Ref: 0123456789abcdef\r\nContent-Length: 6\r\n\r\nsilent";
    send_and_wait_for_close(database.address, &call.repeat(2));
    let checked = database.check_protocol();
    assert!(
        matches!(checked, Err(TestDoubleError::Protocol(_))),
        "{checked:?}"
    );
}

#[test]
fn the_executor_detects_a_command_that_is_not_json() {
    let executor = FakeExecutor::start();
    let join = "{\"action\":\"JOIN\",\"pos\":0}\n";
    send_and_wait_for_close(executor.address, &format!("{join}EXEC\n"));
    assert!(matches!(
        executor.try_total_runs(),
        Err(TestDoubleError::Protocol(_))
    ));
}

/// A node that is killed may leave an incomplete line.
#[test]
fn the_executor_ignores_an_incomplete_command_at_the_end_of_a_link() {
    let executor = FakeExecutor::start();
    let mut link = TcpStream::connect(executor.address).expect("it listens");
    link.write_all(b"{\"action\":\"JOIN\",\"pos\":0}\n{\"action\":")
        .expect("written");
    link.shutdown(std::net::Shutdown::Write).expect("open");
    test_doubles::wait_until("the link has joined", || executor.join_positions() == [0]);
    executor
        .check_protocol()
        .expect("an incomplete line is not a command");
}
