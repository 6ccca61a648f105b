//! The database's lanes and the book's promises, in this process and with limits of the test's own.

mod stand_ins;

use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use mothwinch::net::{database, Lines};
use mothwinch::node::{Answer, Body, Call, CallResult, Failure, Limits, Msg, Outcome, Reply, Rid};
use mothwinch::RequestId;
use slog::{o, Discard, Logger};
use stand_ins::{until, Database};

struct Pool {
    calls: Sender<Call>,
    done: Receiver<Msg>,
}

impl Pool {
    fn start(to: std::net::SocketAddr, change: impl FnOnce(&mut Limits)) -> Pool {
        let mut limits = Limits::new(1024);
        change(&mut limits);
        let ((calls, inbox), (module, done)) = (bounded(8), bounded(8));
        database::start(to, &limits, &inbox, &module, &Logger::root(Discard, o!())).expect("threads");
        Pool { calls, done }
    }
    /// Makes a call and tells how it ended.
    fn call(&self, body: &str, limit: Duration) -> String {
        let (rid, body) = (Rid::from_number(7), Body::from_bytes(body.as_bytes()));
        self.calls.send(Call { id: RequestId(1), rid, body, limit }).expect("a pool");
        match self.done.recv_timeout(Duration::from_secs(20)).expect("an end") {
            Msg::CallDone(RequestId(1), CallResult::Reply(body), _) => {
                String::from_utf8(body.to_bytes().expect("base64")).expect("utf-8")
            }
            Msg::CallDone(_, CallResult::NeverRan, _) => "never ran".into(),
            Msg::CallDone(_, CallResult::Unknown, _) => "unknown".into(),
            _ => panic!("not the end of a call"),
        }
    }
}

const LONG: Duration = Duration::from_secs(20);

#[test]
fn each_reply_means_what_the_protocol_says() {
    let database = Database::start();
    let pool = Pool::start(database.address, |limits| limits.database_lanes = 1);
    for (body, end) in [
        ("ok", "rows for ok"),
        ("busy", "never ran"),
        ("gone", "never ran"),
        ("wrong", "unknown"),
        ("break", "unknown"),
        ("ok#2", "rows for ok#2"),
    ] {
        assert_eq!(pool.call(body, LONG), end, "{body}");
        assert_eq!(database.calls(body), 1, "{body}");
    }
}

#[test]
fn a_call_that_takes_too_long_is_given_up_and_its_connection_closed() {
    let database = Database::start();
    let pool = Pool::start(database.address, |limits| limits.database_lanes = 1);
    assert_eq!(pool.call("silent", Duration::from_millis(30)), "unknown");
    until("its connection is closed", || database.open() == 0);
    assert_eq!(pool.call("ok", LONG), "rows for ok");
}

/// Guards against a call on a connection that the database is about to close as idle: it would prove nothing.
#[test]
fn connections_are_used_again_and_go_before_the_database_closes_them() {
    let database = Database::start();
    let pool = Pool::start(database.address, |limits| {
        limits.database_lanes = 1;
        limits.database_idle = Duration::from_millis(300);
    });
    for n in 0..3 {
        pool.call(&format!("ok#{n}"), LONG);
    }
    assert_eq!(database.connections(), 1);
    until("the idle one is closed", || database.open() == 0);
    pool.call("ok#4", LONG);
    assert_eq!(database.connections(), 2);
    assert!(Limits::new(1024).database_idle < Duration::from_secs(10));
}

#[test]
fn a_refused_connection_proves_that_no_call_ran() {
    // No other test listens at this address, so the port stays closed.
    let address = TcpListener::bind("127.0.0.77:0").expect("loopback").local_addr().expect("bound");
    let pool = Pool::start(address, |limits| limits.database_lanes = 1);
    assert_eq!(pool.call("ok", LONG), "never ran");
}

/// Guards "exactly one answer": a right to answer that is lost on some path answers by itself.
#[test]
fn a_reply_answers_once_also_when_it_is_dropped() {
    let (tell, told) = mpsc::channel();
    let reply = || {
        let tell = tell.clone();
        Reply::new(move |answer| tell.send(answer.outcome).expect("a listener"))
    };
    reply().give(Answer { outcome: Outcome::Failed(Failure::Run), hint: None });
    drop(reply());
    let all: Vec<Outcome> = told.try_iter().collect();
    assert_eq!(all, [Outcome::Failed(Failure::Run), Outcome::Failed(Failure::Internal)]);
}

#[test]
fn lines_are_whole_and_bounded() {
    let mut lines = Lines::new(&b"one\ntwo\r\n\n12345678\ncut off"[..], 8, 5);
    for want in [&b"one"[..], b"two", b"", b"12345678"] {
        assert_eq!(lines.next_line().expect("a line"), Some(want));
    }
    assert_eq!(lines.next_line().expect("the end"), None);
    assert!(Lines::new(&b"123456789\n"[..], 8, 5).next_line().is_err());
}
