//! Tests of the event loop with a server that echoes lines: `ask TEXT` is a request that is
//! answered in the same step, `bad` a protocol violation. Requests that cross with a close are
//! tested through the node's server in `tests/connection_races.rs`.
use client_listener::{
    ClientHandler, ClientListener, ClientMessage, ListenerSettings, LiveLimits, RequestHandle,
    TimerMode,
};
use connections::ConnectionLimits;
use mio::net::TcpListener;
use slog::{o, Discard, Logger};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

#[derive(Default)]
struct EchoHandler {
    /// True if the timers of all connections are checked at the end of each step.
    checks_timers: bool,
}

impl ClientHandler for EchoHandler {
    type ConnectionData = usize;
    type Request = String;

    fn parse_line(&self, line: &[u8]) -> ClientMessage<String> {
        let line = String::from_utf8_lossy(line);
        match line.split_once(' ') {
            Some(("ask", text)) => ClientMessage::Request(1, text.to_string()),
            _ if line == "bad" => ClientMessage::Malformed("violation\n".into()),
            _ => ClientMessage::HealthCheck(0),
        }
    }
    fn health_answer(&self, _id: u64, _now: Instant) -> String {
        "healthy\n".into()
    }
    fn line_too_long_answer(&self) -> String {
        "too long\n".into()
    }
    fn duplicate_id_answer(&self) -> String {
        "duplicate\n".into()
    }
    fn too_many_requests_answer(&self, _id: u64) -> String {
        "too many\n".into()
    }
    fn handle_request(
        &mut self,
        clients: &mut ClientListener<EchoHandler>,
        handle: RequestHandle,
        request: String,
        now: Instant,
    ) {
        let count = clients.connection_data(handle.connection).expect("open");
        *count += 1;
        let line = format!("{count} {request}\n");
        assert!(clients.close_request(handle, now));
        clients.enqueue_line(handle.connection, &line, now);
        clients.flush_answers(&[handle.connection], now);
    }
    fn after_turns(&mut self, clients: &mut ClientListener<EchoHandler>, now: Instant) {
        if self.checks_timers {
            clients.check_all_timers(self, now);
        }
    }
    fn connection_rejected(&self, _error: &io::Error) {}
}

struct TestLimits {
    max_connections: usize,
}

impl LiveLimits for TestLimits {
    fn idle_timeout(&self) -> Duration {
        Duration::ZERO
    }
    fn max_connections(&self) -> usize {
        self.max_connections
    }
}

struct Server {
    clients: ClientListener<EchoHandler>,
    handler: EchoHandler,
    address: SocketAddr,
}

impl Server {
    fn start(timer_mode: TimerMode, limits: ConnectionLimits) -> Server {
        let live_limits = TestLimits {
            max_connections: limits.max_connections,
        };
        let settings = ListenerSettings {
            limits,
            max_events: 16,
            read_buffer_bytes: 64,
            accepts_per_step: 4,
            final_accept_rounds: 4,
            accept_retry_pause: Duration::from_millis(5),
            max_total_unsent_bytes: usize::MAX,
            close_notice_line: "close notice\n",
            is_close_notice_limited: true,
            writes_on_every_event: false,
            timer_mode,
        };
        let log = Logger::root(Discard, o!());
        let mut clients =
            ClientListener::new(settings, Box::new(live_limits), &log).expect("a listener");
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let socket = TcpListener::bind(loopback).expect("loopback");
        let address = socket.local_addr().expect("bound");
        clients.listen(socket, Instant::now()).expect("registered");
        Server {
            clients,
            handler: EchoHandler::default(),
            address,
        }
    }
    fn step(&mut self) {
        self.clients
            .step(&mut self.handler, Some(Duration::from_millis(1)))
            .expect("a step");
    }
    fn connect(&mut self) -> TcpStream {
        let count = self.clients.connection_count();
        let stream = TcpStream::connect(self.address).expect("connected");
        stream.set_nonblocking(true).expect("an option");
        while self.clients.connection_count() == count {
            self.step();
        }
        stream
    }
    /// Runs steps until the client has received as much text as expected or its connection has
    /// ended. Returns true if it has received exactly the expected text.
    fn receives(&mut self, client: &mut TcpStream, expected: &str) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        let (mut received, mut buffer) = (String::new(), [0; 64]);
        while received.len() < expected.len() {
            assert!(
                Instant::now() < deadline,
                "received only {received:?} of {expected:?}"
            );
            self.step();
            match client.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => received.push_str(&String::from_utf8_lossy(&buffer[..count])),
                Err(_) => {}
            }
        }
        received == expected
    }
    /// Runs steps until the client's connection has ended.
    fn wait_for_close(&mut self, client: &mut TcpStream) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !matches!(client.read(&mut [0; 64]), Ok(0)) {
            assert!(Instant::now() < deadline, "the connection stays open");
            self.step();
        }
    }
}

#[test]
fn requests_are_answered_in_order_and_counted_for_each_connection() {
    let mut server = Server::start(TimerMode::OnRequest, ConnectionLimits::new(40));
    let (mut first, mut second) = (server.connect(), server.connect());
    let lines: String = (0..20).map(|n| format!("ask {n}\n")).collect();
    first.write_all(lines.as_bytes()).expect("written");
    let answers: String = (0..20).map(|n| format!("{} {n}\n", n + 1)).collect();
    assert!(server.receives(&mut first, &answers));
    second.write_all(b"ask a\nhealth\n").expect("written");
    assert!(server.receives(&mut second, "1 a\nhealthy\n"));
    let counters = server.clients.counters();
    assert_eq!(counters.connections.load(SeqCst), 2);
    assert_eq!(counters.open_requests.load(SeqCst), 0);
    assert_eq!(counters.unsent_connections.load(SeqCst), 0);
    assert!(!server.clients.has_unsent_bytes());
}

#[test]
fn a_violation_is_answered_and_closes_its_connection_only() {
    let mut server = Server::start(TimerMode::OnRequest, ConnectionLimits::new(40));
    let (mut first, mut second) = (server.connect(), server.connect());
    first.write_all(b"bad\nask unread\n").expect("written");
    assert!(server.receives(&mut first, "violation\n"));
    server.wait_for_close(&mut first);
    second.write_all(b"ask a\n").expect("written");
    assert!(server.receives(&mut second, "1 a\n"));
}

#[test]
fn timers_are_checked_according_to_the_mode() {
    for (mode, checks_timers) in [(TimerMode::Exact, false), (TimerMode::OnRequest, true)] {
        let mut server = Server::start(mode, ConnectionLimits::new(40));
        server.handler.checks_timers = checks_timers;
        let mut client = server.connect();
        client.write_all(b"ask a\n").expect("written");
        // The idle timeout is zero: the close notice follows the answer.
        assert!(
            server.receives(&mut client, "1 a\nclose notice\n"),
            "{mode:?}"
        );
    }
    let mut server = Server::start(TimerMode::OnRequest, ConnectionLimits::new(40));
    let mut client = server.connect();
    client.write_all(b"ask a\n").expect("written");
    assert!(server.receives(&mut client, "1 a\n"));
    for _ in 0..20 {
        server.step();
    }
    assert!(client.read(&mut [0; 64]).is_err(), "nothing was sent");
}

#[test]
fn an_idle_connection_is_evicted_for_a_new_one() {
    let limits = ConnectionLimits {
        reserved_slots: 0,
        max_idle_connections: 40,
        ..ConnectionLimits::new(2)
    };
    let mut server = Server::start(TimerMode::OnRequest, limits);
    let mut first = server.connect();
    first.write_all(b"ask a\n").expect("written");
    assert!(server.receives(&mut first, "1 a\n"));
    // Until the linger timeout has passed, a reset could still destroy the answer.
    std::thread::sleep(ConnectionLimits::new(2).linger_timeout);
    let mut second = server.connect();
    second.write_all(b"ask b\n").expect("written");
    assert!(server.receives(&mut second, "1 b\n"));
    let mut third = TcpStream::connect(server.address).expect("connected");
    third.set_nonblocking(true).expect("an option");
    third.write_all(b"ask c\n").expect("written");
    assert!(server.receives(&mut third, "1 c\n"));
    server.wait_for_close(&mut first);
    assert_eq!(server.clients.connection_count(), 2);
}

#[test]
fn pending_connections_are_accepted_before_the_socket_closes() {
    let mut server = Server::start(TimerMode::OnRequest, ConnectionLimits::new(40));
    let mut waiting: Vec<TcpStream> = (0..6)
        .map(|_| TcpStream::connect(server.address).expect("connected"))
        .collect();
    server
        .clients
        .stop_listening(&mut server.handler, Instant::now());
    assert_eq!(server.clients.connection_count(), 6);
    assert!(TcpStream::connect(server.address).is_err());
    for client in &mut waiting {
        client.set_nonblocking(true).expect("an option");
        client.write_all(b"ask a\n").expect("written");
        assert!(server.receives(client, "1 a\n"));
    }
}
