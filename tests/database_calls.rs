//! The database call pool, responders and line readers, in the test's process and with limits that
//! each test sets.

#[path = "common/call_pool.rs"]
mod call_pool;

use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use call_pool::{TestPool, LONG_TIMEOUT};
use protocol_gateway::net::LineReader;
use protocol_gateway::node::{Answer, Failure, Outcome, Responder};
use test_doubles::{unix_ms, wait_until, FakeDatabase};

#[test]
fn each_reply_has_the_meaning_of_the_protocol() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| limits.database.connections = 1);
    for (body, end) in [
        ("ok", "rows for ok"),
        ("busy", "never ran"),
        ("gone", "never ran"),
        ("wrong", "unknown"),
        ("break", "unknown"),
        ("ok#2", "rows for ok#2"),
    ] {
        assert_eq!(pool.call(body, LONG_TIMEOUT), end, "{body}");
        assert_eq!(database.call_count(body), 1, "{body}");
    }
}

#[test]
fn call_that_times_out_closes_its_connection() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| limits.database.connections = 1);
    assert_eq!(pool.call("silent", Duration::from_millis(30)), "unknown");
    wait_until("its connection is closed", || {
        database.open_connections() == 0
    });
    assert_eq!(pool.call("ok", LONG_TIMEOUT), "rows for ok");
}

/// Guards against a reply being given to the wrong call: a 1xx response before the reply, or a copy
/// of the reply or noise after it, used to be given to the next call on the connection.
#[test]
fn surplus_bytes_of_a_reply_are_not_given_to_the_next_call() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| limits.database.connections = 1);
    let reply = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows";
    for n in 0..3 {
        let before = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        for (early, late) in [
            (before, ""),
            ("", reply),
            ("", "\u{1}\u{2}noise"),
            (before, reply),
        ] {
            assert_eq!(
                pool.call(&format!("raw#{early}{reply}{late}"), LONG_TIMEOUT),
                "rows"
            );
            assert_eq!(
                pool.call(&format!("ok#{n}"), LONG_TIMEOUT),
                format!("rows for ok#{n}")
            );
        }
    }
    wait_until("no connection stays open", || {
        database.open_connections() == 0
    });
}

/// Guards against an invalid or incomplete reply that occupies a connection until the call's
/// timeout, as it once did, while other calls wait. No part of such a reply is passed to the run.
#[test]
fn invalid_reply_ends_its_call_early_with_unknown_outcome() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| limits.database.connections = 1);
    let ok = |heads: &str| format!("raw#HTTP/1.1 200 OK\r\n{heads}\r\nrows");
    let invalid_replies = [
        "raw#\u{1}\u{2}\u{3} noise \r\n\r\n".to_string(),
        "raw#HTTP/1.1 200 OK\r\nContent-Le".into(),
        "forever".into(),
        ok(""),
        ok("Content-Length: -4\r\n"),
        ok("Content-Length: +4\r\n"),
        ok("Content-Length: four\r\n"),
        ok("Content-Length: 4\r\nContent-Length: 3\r\n"),
        ok("Content-Length: 9\r\n"),
        ok("Content-Length: 3221225472\r\n"),
        ok("Content-Length: 99999999999999999999999\r\n"),
        ok("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
        "raw#HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n".into(),
    ];
    for body in invalid_replies {
        let started_at = unix_ms();
        assert_eq!(pool.call(&body, LONG_TIMEOUT), "unknown", "{body:?}");
        assert!(
            unix_ms() - started_at < 5000,
            "{body:?} took {} ms of 20 s",
            unix_ms() - started_at
        );
    }
    assert_eq!(pool.call("ok", LONG_TIMEOUT), "rows for ok");
}

#[test]
fn refused_connection_proves_that_no_call_ran() {
    // No other test binds this loopback address, so the port stays closed.
    let address = TcpListener::bind("127.0.0.77:0")
        .expect("bind to loopback succeeds")
        .local_addr()
        .expect("the socket is bound");
    let pool = TestPool::start(address, |limits| limits.database.connections = 1);
    assert_eq!(pool.call("ok", LONG_TIMEOUT), "never ran");
}

/// Guards the rule that each request gets exactly one answer: a responder that is dropped without
/// an answer sends one.
#[test]
fn a_responder_answers_once_also_when_it_is_dropped() {
    let (outcomes, received) = mpsc::channel();
    let responder = || {
        let outcomes = outcomes.clone();
        Responder::new(move |answer| outcomes.send(answer.outcome).expect("the receiver is open"))
    };
    responder().answer(Answer {
        outcome: Outcome::Failed(Failure::RunFailed),
        capacity_hint: None,
    });
    drop(responder());
    let all: Vec<Outcome> = received.try_iter().collect();
    assert_eq!(
        all,
        [
            Outcome::Failed(Failure::RunFailed),
            Outcome::Failed(Failure::Internal)
        ]
    );
}

#[test]
fn lines_are_complete_and_bounded() {
    let mut lines = LineReader::new(&b"one\ntwo\r\n\n12345678\ncut off"[..], 8, 5);
    for expected in [&b"one"[..], b"two", b"", b"12345678"] {
        assert_eq!(lines.next_line().expect("a line"), Some(expected));
    }
    assert_eq!(lines.next_line().expect("the end"), None);
    assert!(LineReader::new(&b"123456789\n"[..], 8, 5)
        .next_line()
        .is_err());
}
