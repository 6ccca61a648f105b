//! What comes between two lines of the program: bytes, connections and signals in the very moment in which it shuts, moves or
//! ends something. The front is stepped by the test, so that each comes exactly there; `docs/crossings.md` has the list.
use crossbeam_channel::{bounded, Receiver};
use protocol_gateway::net::jsonrpc::{NodeContext, ServerLoop};
use protocol_gateway::node::{Answer, Arrival, Limits, Outcome, Payload, PolicyMessage};
use protocol_gateway::wire::Site;
use protocol_gateway::Span;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_doubles::*;

const REFUSED: i64 = -32002;

fn code(answer: &Value) -> i64 {
    answer["error"]["code"].as_i64().unwrap_or(0)
}
fn body(answer: &Value) -> String {
    decode_base64(
        answer["result"]["body"]
            .as_str()
            .unwrap_or_else(|| panic!("no result: {answer}")),
    )
}

/// A front that is stepped, and the module's mailbox.
struct Stepped {
    front: ServerLoop,
    inbox: Receiver<PolicyMessage>,
    at: SocketAddr,
}

impl Stepped {
    fn new(change: impl FnOnce(&mut Limits)) -> Stepped {
        let site = Arc::new(Site::from_json(&small_site_settings()).expect("settings"));
        let mut limits = Limits::new(512);
        change(&mut limits);
        let (module, inbox) = bounded(limits.policy.mailbox);
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let at = listener.local_addr().expect("bound");
        let context = NodeContext {
            site,
            node_status: Arc::default(),
            policy: module,
        };
        let mut front =
            ServerLoop::new(context, &limits, &Logger::root(Discard, o!())).expect("a front");
        front.listen(listener, Instant::now()).expect("it listens");
        Stepped { front, inbox, at }
    }
    /// Takes steps until something holds.
    fn until(&mut self, what: &str, mut holds: impl FnMut(&mut Stepped) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(Instant::now() < end, "waited in vain: {what}");
            self.front
                .step(Some(Duration::from_millis(1)))
                .expect("a step");
        }
    }
    fn connect(&mut self) -> TestClient {
        let before = self.front.connection_count();
        let peer = TestClient::connect(self.at);
        self.until("it is accepted", |s| {
            s.front.connection_count() == before + 1
        });
        peer
    }
    /// The next request that the module hears of.
    fn arrival(&mut self) -> Arrival {
        let mut got = None;
        self.until("a request is read", |s| {
            got = s.inbox.try_recv().ok();
            got.is_some()
        });
        match got {
            Some(PolicyMessage::RequestArrived(arrival)) => *arrival,
            _ => panic!("something else came"),
        }
    }
    /// The next answer on this connection; a farewell before it is passed over.
    fn answer(&mut self, peer: &mut TestClient) -> Value {
        loop {
            self.until("something comes", |_| has_come(peer));
            let message = peer.read_message();
            if message["method"] != "farewell" {
                return message;
            }
        }
    }
    fn refuse(arrival: Arrival) {
        let outcome = Outcome::Rejected {
            retry_after: Span(0),
            is_final: false,
        };
        arrival.responder.answer(Answer {
            outcome,
            capacity_hint: None,
        });
    }
}

/// Whether something has come for this peer, an end too; nothing is taken.
fn has_come(peer: &TestClient) -> bool {
    peer.stream.set_nonblocking(true).expect("an option");
    let there = peer.stream.peek(&mut [0]).is_ok();
    peer.stream.set_nonblocking(false).expect("an option");
    there
}

// ---- closes ----

/// Guards what the machine has for the node already when it lets a connection go: the node may have been too slow to read
/// it, and it counts as the node's from the moment that it was written.
#[test]
fn what_came_before_the_parting_is_still_read() {
    let mut s = Stepped::new(|_| {});
    let mut peer = s.connect();
    peer.send_line("{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"alive\"}");
    s.front.begin_close_all(Instant::now());
    assert_eq!(peer.read_message()["id"], 5);
    assert_eq!(peer.read_message(), Value::Null);
    drop(peer);
    s.until("it is gone", |s| s.front.connection_count() == 0);
}

/// A request in the instant of an idle close is answered on that connection, which goes after the answer.
#[test]
fn a_request_in_the_instant_of_a_parting_keeps_the_connection() {
    let mut s = Stepped::new(|_| {});
    let mut peer = s.connect();
    let id = peer.send("statement-read", "serve");
    s.front.begin_close_all(Instant::now());
    let arrival = s.arrival();
    assert_eq!(s.front.connection_count(), 1);
    Stepped::refuse(arrival);
    let answer = s.answer(&mut peer);
    assert_eq!((answer["id"].as_u64(), code(&answer)), (Some(id), REFUSED));
}

/// Half a line is there when the connection goes: the answer written before is read, then comes the end, and no reset.
#[test]
fn half_a_line_at_a_close_resets_nothing() {
    let mut s = Stepped::new(|_| {});
    let mut peer = s.connect();
    peer.send_line("{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"alive\"}");
    peer.stream
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":6,")
        .expect("written");
    s.front.begin_close_all(Instant::now());
    // More of it comes while the writing side is shut already.
    peer.stream.write_all(b"\"method\":").expect("written");
    assert_eq!(peer.read_message()["id"], 5);
    let mut rest = [0; 16];
    assert_eq!(peer.stream.read(&mut rest).expect("an end, no reset"), 0);
    drop(peer);
    s.until("it is gone", |s| s.front.connection_count() == 0);
}

/// A peer that breaks the protocol with much more behind it still hears why, and is gone soon after though it sends on.
#[test]
fn a_close_over_unread_bytes_loses_no_answer_and_is_bounded() {
    let mut s = Stepped::new(|_| {});
    let mut peer = s.connect();
    // Far more than one turn reads: it is unread when the connection is closed.
    let flood = [b"nonsense\n".as_slice(), &[b'x'; 16 * 1024]].concat();
    peer.stream.write_all(&flood).expect("written");
    s.until("its writing side is shut", |_| has_come(&peer));
    assert_eq!(peer.read_message()["error"]["code"], -32700);
    let mut rest = [0; 16];
    assert_eq!(peer.stream.read(&mut rest).expect("an end, no reset"), 0);
    // One that goes on and never closes is cut by bytes or by time.
    let mut other = s.connect();
    other.stream.set_nonblocking(true).expect("an option");
    let _ = other.stream.write(b"nonsense\n");
    let bytes = vec![b'x'; 64 * 1024];
    let begun = Instant::now();
    s.until("it is cut", |s| {
        let _ = other.stream.write(&bytes);
        s.front.connection_count() <= 1
    });
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "{:?}",
        begun.elapsed()
    );
}

/// Slots run short among peers that never close: each newcomer gets one at once, though those who go would wait for their
/// peers. One whose answer was just written keeps its time, so that no reset takes it away.
#[test]
fn newcomers_find_room_among_peers_that_never_close() {
    let mut s = Stepped::new(|limits| {
        limits.front.set_max_connections(40);
        limits.front.linger_timeout = Duration::from_secs(60);
        limits.front.silence_grace = Duration::ZERO;
    });
    let mut crowd: Vec<TestClient> = Vec::new();
    for _ in 0..120 {
        let mut newcomer = TestClient::connect(s.at);
        let id = newcomer.send("statement-read", "serve");
        Stepped::refuse(s.arrival());
        assert_eq!(s.answer(&mut newcomer)["id"].as_u64(), Some(id));
        // It stays, and so do two beside it that say nothing.
        crowd.push(newcomer);
        crowd.extend((0..2).map(|_| TestClient::connect(s.at)));
    }
}

/// A peer that is shut and stays silent goes when its time is over.
#[test]
fn one_that_never_closes_is_cut_in_time() {
    let mut s = Stepped::new(|limits| limits.front.linger_timeout = Duration::from_millis(5));
    let peer = s.connect();
    s.front.begin_close_all(Instant::now());
    s.until("it is cut", |s| s.front.connection_count() == 0);
    drop(peer);
}

/// The peer ends its side behind its request: the answer is still written.
#[test]
fn a_half_closed_connection_gets_its_answer() {
    let mut s = Stepped::new(|_| {});
    let mut peer = s.connect();
    let id = peer.send("statement-read", "serve");
    peer.stream.shutdown(Shutdown::Write).expect("shut");
    let arrival = s.arrival();
    s.until("the end is read", |s| {
        s.front.step(Some(Duration::from_millis(1))).is_ok()
    });
    Stepped::refuse(arrival);
    s.until("it is gone", |s| s.front.connection_count() == 0);
    let answer = peer.read_message();
    assert_eq!((answer["id"].as_u64(), code(&answer)), (Some(id), REFUSED));
}

/// The peer resets as its answer comes: that one is lost, and nothing else is held up or left open.
#[test]
fn a_reset_as_the_answer_comes_costs_nobody_else() {
    let mut s = Stepped::new(|_| {});
    let (mut peer, mut other) = (s.connect(), s.connect());
    peer.send("statement-read", "serve");
    let arrival = s.arrival();
    let socket = socket2::SockRef::from(&peer.stream);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
    drop(peer);
    Stepped::refuse(arrival);
    s.until("it is gone", |s| s.front.connection_count() == 1);
    let id = other.send("statement-read", "serve");
    Stepped::refuse(s.arrival());
    assert_eq!(s.answer(&mut other)["id"].as_u64(), Some(id));
}

/// A request that crosses the farewell is answered like any other; only then does the connection go.
#[test]
fn a_request_that_crosses_its_farewell_is_answered() {
    // No idle time at all: the farewell follows the first answer in the same step.
    let mut s = Stepped::new(|limits| limits.listener.idle_timeout = Duration::ZERO);
    let mut peer = s.connect();
    peer.send_line("{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"alive\"}");
    s.until("the answer is there", |_| has_come(&peer));
    assert_eq!(peer.read_message()["id"], 5);
    // Written before the peer has looked for the farewell, which is there already.
    let id = peer.send("settlement-post", "serve");
    let arrival = s.arrival();
    assert_eq!(peer.read_message()["method"], "farewell");
    Stepped::refuse(arrival);
    assert_eq!(s.answer(&mut peer)["id"].as_u64(), Some(id));
}

/// A request is at the machine when the idle time and the time after the farewell are over: both look at what has come
/// before they close.
#[test]
fn a_request_in_the_instant_of_an_idle_close_is_answered() {
    let mut s = Stepped::new(|limits| {
        limits.listener.idle_timeout = Duration::ZERO;
        limits.front.goodbye_timeout = Duration::ZERO;
    });
    let mut peer = s.connect();
    // In one piece: the second one is unread as the first is answered and the times are over.
    let (first, one) = peer.format_request("statement-read", "serve", &json!({}));
    let (second, two) = peer.format_request("settlement-post", "serve", &json!({}));
    peer.send_line(&one);
    Stepped::refuse(s.arrival());
    peer.send_line(&two);
    Stepped::refuse(s.arrival());
    for id in [first, second] {
        assert_eq!(s.answer(&mut peer)["id"].as_u64(), Some(id));
    }
    s.until("it is shut", |_| has_come(&peer));
    // What comes from now on crosses the close: it is not sent on, and the peer sees the end in place of an answer.
    peer.send("settlement-post", "late");
    let mut rest = [0; 16];
    assert_eq!(peer.stream.read(&mut rest).expect("an end, no reset"), 0);
    s.until("it is read", |s| {
        let _ = peer.stream.shutdown(Shutdown::Write);
        s.front.connection_count() == 0
    });
    assert!(s.inbox.try_recv().is_err(), "it was sent on");
}

/// The peer has taken half of an answer when its connection is to go: the other half follows, and all that is owed behind it.
#[test]
fn an_answer_cut_in_the_middle_is_still_written_whole() {
    let mut s = Stepped::new(|_| {});
    let mut peer = s.connect();
    let socket = socket2::SockRef::from(&peer.stream);
    socket.set_recv_buffer_size(32 * 1024).expect("an option");
    let ids: Vec<u64> = (0..2)
        .map(|_| peer.send("statement-read", "serve"))
        .collect();
    let arrivals: Vec<Arrival> = ids.iter().map(|_| s.arrival()).collect();
    // More than the buffers between them take, and less than may wait to be written on one connection.
    let long = "x".repeat(256 * 1024);
    for arrival in arrivals {
        let outcome = Outcome::Served(Payload::from_bytes(long.as_bytes()));
        arrival.responder.answer(Answer {
            outcome,
            capacity_hint: None,
        });
        s.front.step(Some(Duration::ZERO)).expect("a step");
        s.front.begin_close_all(Instant::now());
    }
    let read = std::thread::spawn(move || {
        let mut answered: Vec<u64> = Vec::new();
        loop {
            let answer = peer.read_message();
            if answer.is_null() {
                return answered;
            }
            if answer["method"] != "farewell" {
                assert_eq!(body(&answer).len(), 256 * 1024);
                answered.push(answer["id"].as_u64().expect("an id"));
            }
        }
    });
    s.until("all is read and the peer is gone", |s| {
        s.front.connection_count() == 0
    });
    assert_eq!(read.join().expect("a peer"), ids);
}

/// Accepted by the machine and not by the front when the listener closes: taken in, and what it has written is read.
#[test]
fn who_waits_at_the_listener_as_it_closes_is_taken_in() {
    let mut s = Stepped::new(|_| {});
    let mut waiting: Vec<TestClient> = (0..40).map(|_| TestClient::connect(s.at)).collect();
    let ids: Vec<u64> = waiting
        .iter_mut()
        .map(|peer| peer.send("statement-read", "serve"))
        .collect();
    s.front.stop_listening(Instant::now());
    assert_eq!(s.front.connection_count(), 40);
    // One that comes later is refused by the machine, which proves that nothing ran.
    let late = TcpStream::connect(s.at);
    assert!(late.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused));
    for _ in &ids {
        let arrival = s.arrival();
        Stepped::refuse(arrival);
    }
    for (peer, id) in waiting.iter_mut().zip(ids) {
        assert_eq!(s.answer(peer)["id"].as_u64(), Some(id));
    }
}

/// A flood of breaches beside a true request: that is read in its turn and answered, and all the others hear an error.
#[test]
fn a_flood_beside_a_true_request_holds_nothing_up() {
    let mut s = Stepped::new(|_| {});
    let mut flood: Vec<TestClient> = (0..60).map(|_| s.connect()).collect();
    let mut true_one = s.connect();
    for peer in &mut flood {
        peer.stream
            .write_all(&b"{\"jsonrpc\":\"2.0\"\n".repeat(200))
            .expect("written");
    }
    let id = true_one.send("statement-read", "serve");
    let arrival = s.arrival();
    Stepped::refuse(arrival);
    assert_eq!(s.answer(&mut true_one)["id"].as_u64(), Some(id));
    for peer in &mut flood {
        assert_eq!(s.answer(peer)["error"]["code"], -32700);
    }
}

// ---- the process: signals and peers ----

/// A request written just before and just behind the signal, on a connection that is open: both are answered.
#[test]
fn requests_around_the_notice_to_leave_are_all_answered() {
    let mut node = Node::start();
    let mut fronts: Vec<TestClient> = (0..8).map(|_| node.connect()).collect();
    let before: Vec<u64> = fronts
        .iter_mut()
        .map(|front| front.send("settlement-post", "serve"))
        .collect();
    node.terminate();
    let behind: Vec<u64> = fronts
        .iter_mut()
        .map(|front| front.send("statement-read", "serve"))
        .collect();
    for ((front, first), second) in fronts.iter_mut().zip(before).zip(behind) {
        let mut ids = [
            front.read_answer()["id"].as_u64(),
            front.read_answer()["id"].as_u64(),
        ];
        ids.sort_unstable();
        assert_eq!(ids, [Some(first), Some(second)]);
    }
    drop(fronts);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// The notice comes while everything is in hand: a run, a call, a hold, half a line. All that was read is answered.
#[test]
fn the_notice_to_leave_with_requests_at_every_stage() {
    let mut node = Node::start();
    let (mut runs, mut calls, mut half) = (node.connect(), node.connect(), node.connect());
    let run = runs.send("settlement-post", "hang:a");
    let call = calls.send("statement-read", "call:silent");
    wait_until("both are at work", || {
        node.executor.run_count("hang:a") == 1 && node.database.call_count("silent") == 1
    });
    let (id, line) = half.format_request("statement-read", "serve", &json!({}));
    let (begin, rest) = line.split_at(line.len() / 2);
    half.stream.write_all(begin.as_bytes()).expect("written");
    node.terminate();
    wait_until("it leaves", || node.log().contains("shutting down"));
    half.stream.write_all(rest.as_bytes()).expect("written");
    half.stream.write_all(b"\n").expect("written");
    assert_eq!(half.read_answer()["id"].as_u64(), Some(id));
    node.executor.finish_run("hang:a");
    assert_eq!(runs.read_answer()["id"].as_u64(), Some(run));
    assert_eq!(calls.read_answer()["id"].as_u64(), Some(call));
    drop((runs, calls, half));
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A new configuration while the node leaves moves its peers and ends nothing early.
#[test]
fn a_new_configuration_while_the_node_leaves() {
    let mut node = Node::start();
    let mut front = node.connect();
    let run = front.send("settlement-post", "hang:a");
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    node.terminate();
    wait_until("it leaves", || node.log().contains("shutting down"));
    let moved = node_config(
        node.executor.open_second_address(),
        node.database.address,
        node.endpoint_list.address,
    );
    node.reload(&moved.to_string());
    wait_until("it is joined at the new place", || {
        node.executor.join_positions().len() == 2
    });
    // Again, and one that can't be used.
    node.reload("{\"name\":");
    wait_until("the bad one is passed over", || {
        node.log().contains("the new configuration is not used")
    });
    node.executor.finish_run("hang:a");
    let answer = front.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), body(&answer).as_str()),
        (Some(run), "late result")
    );
    drop(front);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A list that nobody answers at costs nothing: the node serves, reloads and leaves.
#[test]
fn a_list_that_is_silent_throughout() {
    // Bound and dropped: nobody listens there.
    let nowhere = std::net::UdpSocket::bind("127.0.0.1:0")
        .and_then(|s| s.local_addr())
        .expect("loopback");
    let mut node = Node::start_with(None, |config| config["members"] = json!(nowhere));
    let mut front = node.connect();
    for _ in 0..20 {
        assert_eq!(
            body(&front.request("settlement-post", "serve")),
            "done serve"
        );
    }
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
    assert_eq!(front.query_alive()["result"]["ready"], true);
    node.terminate();
    drop(front);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// The executor comes long after the node, and requests come before it: refused, never run, and served from then on.
#[test]
fn an_executor_that_comes_late() {
    let place = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let late = place.local_addr().expect("bound");
    let node = Node::start_with(None, |config| config["executor"] = json!(late));
    let mut front = node.connect();
    assert_eq!(front.query_alive()["result"]["ready"], false);
    assert_eq!(code(&front.request("settlement-post", "serve")), REFUSED);
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
    // The link is accepted, and the welcome is held until the executor is up.
    let (mut link, _) = place.accept().expect("the node connects");
    let mut lines = std::io::BufReader::new(link.try_clone().expect("a link"));
    let mut join = String::new();
    std::io::BufRead::read_line(&mut lines, &mut join).expect("a line");
    assert!(
        join.contains("\"JOIN\"") && join.contains("\"pos\":0"),
        "{join}"
    );
    assert_eq!(front.query_alive()["result"]["ready"], false);
    link.write_all(b"{\"action\":\"WELCOME\",\"code\":\"COLD\",\"wall_ms\":1}\n")
        .expect("written");
    wait_until("it is ready", || {
        front.query_alive()["result"]["ready"] == true
    });
    wait_until("the list hears", || {
        node.endpoint_list.has_report("HB n3 UP")
    });
}

/// A link that breaks between EXEC and the notice of its end, which comes again with the next link, twice.
#[test]
fn a_notice_that_comes_twice_over_a_break_is_one_answer() {
    let node = Node::start();
    let mut front = node.connect();
    let id = front.send("settlement-post", "hang:a");
    wait_until("it runs", || node.executor.run_count("hang:a") == 1);
    node.executor.break_link();
    node.executor.finish_run("hang:a");
    let answer = front.read_answer();
    assert_eq!(
        (answer["id"].as_u64(), body(&answer).as_str()),
        (Some(id), "late result")
    );
    // All notices are told once more from there on.
    node.executor.break_link();
    wait_until("it is joined again", || {
        node.executor.join_positions().len() == 3
    });
    assert_eq!(
        body(&front.request("settlement-post", "serve")),
        "done serve"
    );
    assert_eq!(
        (
            node.executor.run_count("hang:a"),
            node.executor.run_count("serve")
        ),
        (1, 1)
    );
}

/// The reply to a call comes when its run is over: it goes nowhere, and the next call is made as ever.
#[test]
fn a_reply_that_crosses_the_end_of_its_run() {
    let node = Node::start();
    let mut front = node.connect();
    front.send("statement-read", "call:hold#1700");
    wait_until("the call is made", || {
        node.database.read_delayed_calls().in_flight == 1
    });
    // Its due time comes first: 1.5 s.
    assert!(code(&front.read_answer()) != 0);
    wait_until("the reply is out", || {
        node.database.read_delayed_calls().in_flight == 0
    });
    assert_eq!(
        body(&front.request("statement-read", "call:ok")),
        "rows for ok"
    );
}

/// Two nodes with other classes, tenants and deadlines in one test: neither knows the other's, nor its times.
#[test]
fn settings_of_one_site_do_not_leak_into_another() {
    let one = Node::start();
    let two = Node::start_with(None, |config| {
        config["settings"]["lanes"] = json!([{"name": "charge-card", "promise": 200.0, "deadline": 300.0,
            "effect": "once", "lateWorth": 0.0, "window": 0.0, "worth": 4.0}]);
        config["settings"]["tenants"] = json!([{"name": "ring-line", "allowancePerS": 5.0}]);
        config["settings"]["specifics"]["classCalls"] = json!([false]);
        config["settings"]["specifics"]["classSkipWorth"] = json!([0.0]);
        config["settings"]["specifics"]["say"] = json!("off");
    });
    let (mut at_one, mut at_two) = (one.connect(), two.connect());
    let t0 = unix_ms();
    at_two.send_with_fields(
        "charge-card",
        "hang",
        &json!({"acct": "ring-line", "t0": t0}),
    );
    at_one.send("statement-read", "hang");
    let answer = at_two.read_answer();
    assert!(
        code(&answer) != 0 && unix_ms() - t0 < 600,
        "{answer} after {} ms",
        unix_ms() - t0
    );
    // No free value where the settings give none.
    assert!(
        answer["error"]["data"]["hint"].is_null()
            && at_two.query_alive()["result"]["hint"].is_null()
    );
    one.executor.finish_run("hang");
    assert_eq!(body(&at_one.read_answer()), "late result");
    assert!(!at_one.query_alive()["result"]["hint"].is_null());
    // Each turns down what only the other's settings name.
    at_one.send_with_fields("charge-card", "serve", &json!({}));
    assert_eq!(code(&at_one.read_message()), -32601);
    let mut again = one.connect();
    again.send_with_fields("statement-read", "serve", &json!({"acct": "ring-line"}));
    assert_eq!(code(&again.read_message()), -32602);
    at_two.send_with_fields("statement-read", "serve", &json!({"acct": "ring-line"}));
    assert_eq!(code(&at_two.read_message()), -32601);
}
