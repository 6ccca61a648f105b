//! Races of the close of a connection or listener with input, new connections and resets. The test
//! steps the server, so that each event comes exactly at the close; `docs/crossings.md` lists the
//! cases.

#[path = "common/answers.rs"]
mod answers;
#[path = "common/stepped_server.rs"]
mod stepped_server;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use answers::{error_code, result_body, REJECTED};
use protocol_gateway::node::{Answer, Arrival, Outcome, Payload};
use serde_json::{json, Value};
use stepped_server::{has_input, SteppedServer};
use test_doubles::{small_site_settings, TestClient};

/// Input that the kernel has received before the server closes the connection is handled, even if
/// the server was too slow to read it before the close.
#[test]
fn input_received_before_a_close_is_still_answered() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut peer = stepped.connect();
    peer.send_line("{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"alive\"}");
    stepped.server.begin_close_all(Instant::now());
    assert_eq!(peer.read_message()["id"], 5);
    assert_eq!(peer.read_message(), Value::Null);
    drop(peer);
    stepped.step_until("the connection is closed", |stepped| {
        stepped.server.connection_count() == 0
    });
}

/// A request at the moment of an idle close is answered on its connection, which closes after the
/// answer.
#[test]
fn request_at_the_moment_of_a_close_keeps_the_connection_until_its_answer() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut peer = stepped.connect();
    let id = peer.send("statement-read", "serve");
    stepped.server.begin_close_all(Instant::now());
    let arrival = stepped.next_arrival();
    assert_eq!(stepped.server.connection_count(), 1);
    SteppedServer::reject(arrival);
    let answer = stepped.next_answer(&mut peer);
    assert_eq!(
        (answer["id"].as_u64(), error_code(&answer)),
        (Some(id), REJECTED)
    );
}

/// A partial line has arrived when the connection closes: the peer reads the answer written before
/// and the end of the stream, and no reset.
#[test]
fn partial_line_at_a_close_causes_no_reset() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut peer = stepped.connect();
    peer.send_line("{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"alive\"}");
    peer.stream
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":6,")
        .expect("the write succeeds");
    stepped.server.begin_close_all(Instant::now());
    // More of the line arrives after the server has shut down its write side.
    peer.stream
        .write_all(b"\"method\":")
        .expect("the write succeeds");
    assert_eq!(peer.read_message()["id"], 5);
    let mut rest = [0; 16];
    assert_eq!(peer.stream.read(&mut rest).expect("an end, no reset"), 0);
    drop(peer);
    stepped.step_until("the connection is closed", |stepped| {
        stepped.server.connection_count() == 0
    });
}

/// A peer that violates the protocol and has sent much more input still gets the error. It is
/// disconnected within a bounded time even if it continues to send.
#[test]
fn close_with_unread_input_loses_no_answer_and_is_bounded() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut peer = stepped.connect();
    // Far more than the server reads in one turn: the rest is unread when the connection closes.
    let flood = [b"nonsense\n".as_slice(), &[b'x'; 16 * 1024]].concat();
    peer.stream.write_all(&flood).expect("the write succeeds");
    stepped.step_until("the error is received", |_| has_input(&peer));
    assert_eq!(peer.read_message()["error"]["code"], -32700);
    let mut rest = [0; 16];
    assert_eq!(peer.stream.read(&mut rest).expect("an end, no reset"), 0);
    // A peer that continues to send and never closes is disconnected by a limit of bytes or of
    // time.
    let mut other = stepped.connect();
    other
        .stream
        .set_nonblocking(true)
        .expect("the socket option is set");
    let _ = other.stream.write(b"nonsense\n");
    let bytes = vec![b'x'; 64 * 1024];
    let started_at = Instant::now();
    stepped.step_until("the peer is disconnected", |stepped| {
        let _ = other.stream.write(&bytes);
        stepped.server.connection_count() <= 1
    });
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}

/// Connection slots run short because peers never close. Each new connection still gets a slot at
/// once, although closing connections would linger for their peers. A connection whose answer was
/// just written still lingers, so that no reset destroys the answer.
#[test]
fn new_connections_are_accepted_among_peers_that_never_close() {
    let mut stepped = SteppedServer::new(|limits| {
        limits.client_connections.set_max_connections(40);
        limits.client_connections.linger_timeout = Duration::from_secs(60);
        limits.client_connections.silence_grace = Duration::ZERO;
    });
    let mut open: Vec<TestClient> = Vec::new();
    for _ in 0..120 {
        let mut new_client = TestClient::connect(stepped.address);
        let id = new_client.send("statement-read", "serve");
        SteppedServer::reject(stepped.next_arrival());
        assert_eq!(
            stepped.next_answer(&mut new_client)["id"].as_u64(),
            Some(id)
        );
        // This connection stays open, and so do two more that send nothing.
        open.push(new_client);
        open.extend((0..2).map(|_| TestClient::connect(stepped.address)));
    }
}

/// A peer that stays silent after the server has shut down its write side is disconnected after the
/// linger timeout.
#[test]
fn peer_that_never_closes_is_disconnected_after_the_linger_timeout() {
    let mut stepped = SteppedServer::new(|limits| {
        limits.client_connections.linger_timeout = Duration::from_millis(5);
    });
    let peer = stepped.connect();
    stepped.server.begin_close_all(Instant::now());
    stepped.step_until("the peer is disconnected", |stepped| {
        stepped.server.connection_count() == 0
    });
    drop(peer);
}

/// The peer shuts down its write side after its request: the answer is still written.
#[test]
fn half_closed_connection_gets_its_answer() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut peer = stepped.connect();
    let id = peer.send("statement-read", "serve");
    peer.stream
        .shutdown(Shutdown::Write)
        .expect("the write side is shut down");
    let arrival = stepped.next_arrival();
    stepped.step_until("the end of the stream is read", |stepped| {
        stepped.server.step(Some(Duration::from_millis(1))).is_ok()
    });
    SteppedServer::reject(arrival);
    stepped.step_until("the connection is closed", |stepped| {
        stepped.server.connection_count() == 0
    });
    let answer = peer.read_message();
    assert_eq!(
        (answer["id"].as_u64(), error_code(&answer)),
        (Some(id), REJECTED)
    );
}

/// The peer resets its connection before its answer: the answer is lost, and no other connection is
/// delayed or left open.
#[test]
fn reset_before_an_answer_affects_no_other_connection() {
    let mut stepped = SteppedServer::new(|_| {});
    let (mut peer, mut other) = (stepped.connect(), stepped.connect());
    peer.send("statement-read", "serve");
    let arrival = stepped.next_arrival();
    let open_request = arrival.id;
    let socket = socket2::SockRef::from(&peer.stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("the socket option is set");
    drop(peer);
    SteppedServer::reject(arrival);
    stepped.step_until("the connection is closed", |stepped| {
        stepped.server.connection_count() == 1
    });
    assert_eq!(stepped.next_disconnect(), [open_request]);
    let id = other.send("statement-read", "serve");
    SteppedServer::reject(stepped.next_arrival());
    assert_eq!(stepped.next_answer(&mut other)["id"].as_u64(), Some(id));
}

/// A request that is sent before the peer reads the close notice is answered like any other; the
/// connection closes after that.
#[test]
fn request_that_crosses_the_close_notice_is_answered() {
    // With an idle timeout of zero, the close notice follows the first answer in the same step.
    let mut stepped = SteppedServer::new(|limits| limits.listener.idle_timeout = Duration::ZERO);
    let mut peer = stepped.connect();
    peer.send_line("{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"alive\"}");
    stepped.step_until("the answer is received", |_| has_input(&peer));
    assert_eq!(peer.read_message()["id"], 5);
    // Written before the peer reads the close notice, which it has already received.
    let id = peer.send("settlement-post", "serve");
    let arrival = stepped.next_arrival();
    assert_eq!(peer.read_message()["method"], "farewell");
    SteppedServer::reject(arrival);
    assert_eq!(stepped.next_answer(&mut peer)["id"].as_u64(), Some(id));
}

/// A request has reached the machine when the idle timeout and the close notice timeout expire: the
/// server reads the pending input before it closes.
#[test]
fn request_at_the_moment_of_an_idle_close_is_answered() {
    let mut stepped = SteppedServer::new(|limits| {
        limits.listener.idle_timeout = Duration::ZERO;
        limits.client_connections.close_notice_timeout = Duration::ZERO;
    });
    let mut peer = stepped.connect();
    // The second request is unread when the first is answered and the timeouts expire.
    let (first, one) = peer.format_request("statement-read", "serve", &json!({}));
    let (second, two) = peer.format_request("settlement-post", "serve", &json!({}));
    peer.send_line(&one);
    SteppedServer::reject(stepped.next_arrival());
    peer.send_line(&two);
    SteppedServer::reject(stepped.next_arrival());
    for id in [first, second] {
        assert_eq!(stepped.next_answer(&mut peer)["id"].as_u64(), Some(id));
    }
    stepped.step_until("the end of the stream is received", |_| has_input(&peer));
    // A later request crosses the close: it is not forwarded, and the peer reads the end of the
    // stream instead of an answer.
    peer.send("settlement-post", "late");
    let mut rest = [0; 16];
    assert_eq!(peer.stream.read(&mut rest).expect("an end, no reset"), 0);
    stepped.step_until("the connection is closed", |stepped| {
        let _ = peer.stream.shutdown(Shutdown::Write);
        stepped.server.connection_count() == 0
    });
    assert!(
        stepped.mailbox.try_recv().is_err(),
        "the late request was forwarded"
    );
}

/// An answer is partly written when its connection is to close: the rest of it and all other
/// answers are written before the close.
#[test]
fn partly_written_answer_is_completed_before_the_close() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut peer = stepped.connect();
    let socket = socket2::SockRef::from(&peer.stream);
    socket
        .set_recv_buffer_size(32 * 1024)
        .expect("the socket option is set");
    let ids: Vec<u64> = (0..2)
        .map(|_| peer.send("statement-read", "serve"))
        .collect();
    let arrivals: Vec<Arrival> = ids.iter().map(|_| stepped.next_arrival()).collect();
    // More than the socket buffers hold, and less than may be queued on one connection.
    let long = "x".repeat(256 * 1024);
    for arrival in arrivals {
        let outcome = Outcome::Served(Payload::from_bytes(long.as_bytes()));
        arrival.responder.answer(Answer {
            outcome,
            capacity_hint: None,
        });
        stepped
            .server
            .step(Some(Duration::ZERO))
            .expect("the step succeeds");
        stepped.server.begin_close_all(Instant::now());
    }
    let reader = std::thread::spawn(move || {
        let mut answered: Vec<u64> = Vec::new();
        loop {
            let answer = peer.read_message();
            if answer.is_null() {
                return answered;
            }
            if answer["method"] != "farewell" {
                assert_eq!(result_body(&answer).len(), 256 * 1024);
                answered.push(answer["id"].as_u64().expect("an id"));
            }
        }
    });
    stepped.step_until(
        "the peer has read all answers and disconnected",
        |stepped| stepped.server.connection_count() == 0,
    );
    assert_eq!(reader.join().expect("the reader has not panicked"), ids);
}

/// Connections that are in the kernel's accept queue when the listener closes are accepted, and
/// their input is read.
#[test]
fn connections_in_the_accept_queue_are_served_when_the_listener_closes() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut waiting: Vec<TestClient> = (0..40)
        .map(|_| TestClient::connect(stepped.address))
        .collect();
    let ids: Vec<u64> = waiting
        .iter_mut()
        .map(|peer| peer.send("statement-read", "serve"))
        .collect();
    stepped.server.stop_listening(Instant::now());
    assert_eq!(stepped.server.connection_count(), 40);
    // A later connection is refused by the kernel, which proves that no request of it ran.
    let late = TcpStream::connect(stepped.address);
    assert!(late.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused));
    for _ in &ids {
        let arrival = stepped.next_arrival();
        SteppedServer::reject(arrival);
    }
    for (peer, id) in waiting.iter_mut().zip(ids) {
        assert_eq!(stepped.next_answer(peer)["id"].as_u64(), Some(id));
    }
}

/// A valid request during a flood of protocol violations on other connections is read in its turn
/// and answered; all others get an error.
#[test]
fn flood_of_protocol_violations_does_not_delay_a_valid_request() {
    let mut stepped = SteppedServer::new(|_| {});
    let mut flood: Vec<TestClient> = (0..60).map(|_| stepped.connect()).collect();
    let mut valid = stepped.connect();
    for peer in &mut flood {
        peer.stream
            .write_all(&b"{\"jsonrpc\":\"2.0\"\n".repeat(200))
            .expect("the write succeeds");
    }
    let id = valid.send("statement-read", "serve");
    let arrival = stepped.next_arrival();
    SteppedServer::reject(arrival);
    assert_eq!(stepped.next_answer(&mut valid)["id"].as_u64(), Some(id));
    for peer in &mut flood {
        assert_eq!(stepped.next_answer(peer)["error"]["code"], -32700);
    }
}

/// Guards against a request that gets the answer to another: a client cancels a request and sends
/// the next one under the same id, while the policy has already answered the first.
#[test]
fn answer_to_a_cancelled_request_is_not_given_to_the_next_one_with_its_id() {
    let mut settings = small_site_settings();
    settings["specifics"]["tellsGone"] = json!(true);
    let mut stepped = SteppedServer::with_settings(&settings, |_| {});
    let mut peer = stepped.connect();
    let (id, first) = peer.format_request("statement-read", "serve", &Value::Null);
    let second = first.replace("\"rid\":\"0", "\"rid\":\"1");
    assert_ne!(first, second);
    peer.send_line(&first);
    let cancelled = stepped.next_arrival();
    peer.cancel(id);
    peer.send_line(&second);
    assert_eq!(stepped.next_cancellation(), cancelled.id);
    let next = stepped.next_arrival();
    SteppedServer::reject(cancelled);
    let served = Answer {
        outcome: Outcome::Served(Payload::from_bytes(b"second")),
        capacity_hint: None,
    };
    next.responder.answer(served);
    let answer = stepped.next_answer(&mut peer);
    assert_eq!(
        (answer["id"].as_u64(), result_body(&answer).as_str()),
        (Some(id), "second")
    );
}
