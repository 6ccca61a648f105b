//! Abandoned calls, and calls whose connections broke, count until the database has ended them.

#[path = "common/call_pool.rs"]
mod call_pool;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use call_pool::{uid, TestPool, LONG_TIMEOUT};
use protocol_gateway::node::RequestUid;
use socket2::{SockFilter, SockRef};
use test_doubles::{wait_until, FakeDatabase};

/// Guards the database's quota against abandoned calls that it has not ended. They used to be
/// assumed to have ended after 200 ms. An abandoned call counts until the database has closed its
/// side, has replied, or has replied to a later call of the same request.
#[test]
fn abandoned_call_counts_until_the_database_has_ended_it() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |_| {});
    let abandon = |body: &str| {
        assert_eq!(pool.call(body, Duration::from_millis(30)), "unknown");
        assert_eq!(pool.unconfirmed.get(), 1, "{body}");
    };
    // The database reads the end of its input and closes the connection.
    abandon("silent");
    pool.wait_for_unconfirmed(0);
    // It continues the call, and only its reply shows that the call has ended.
    abandon("hold#400");
    pool.wait_for_unconfirmed(0);
    assert_eq!(database.read_delayed_calls().in_flight, 0);
    // A second call for the same request ends the first.
    abandon("hold#15000");
    assert_eq!(pool.call("ok", LONG_TIMEOUT), "rows for ok");
    pool.wait_for_unconfirmed(0);
}

/// A connection that breaks does not show that the database has ended the call. The end of its run
/// does.
#[test]
fn call_on_a_broken_connection_counts_until_its_run_has_ended() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |_| {});
    assert_eq!(pool.call("break", LONG_TIMEOUT), "unknown");
    assert_eq!(pool.unconfirmed.get(), 1);
    pool.calls.run_ended(uid());
    pool.wait_for_unconfirmed(0);
}

/// Guards the database's quota where connections break before anything has shown that it ignores
/// closes. Their calls were permanently assumed to have ended with their runs (soak with
/// conditions, seed 1064).
#[test]
fn call_on_a_broken_connection_counts_again_once_a_close_is_ignored() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| {
        limits.database.close_reaction = Duration::from_millis(20);
        limits.database.ignored_close_time = LONG_TIMEOUT;
    });
    assert_eq!(pool.call("break", LONG_TIMEOUT), "unknown");
    pool.calls.run_ended(uid());
    pool.wait_for_unconfirmed(0);
    // The database continues another call although its connection is closed.
    let other = RequestUid::from_number(8);
    let result = pool.call_for(other, "hold#15000", Duration::from_millis(30));
    assert_eq!(result, "unknown");
    pool.wait_for_unconfirmed(2);
}

/// Guards the database's quota where connections break while it has stopped replying and no close
/// has been ignored yet. Their calls were assumed to have ended with their runs (soak with
/// conditions, seeds 1061, 1064 and 1079).
#[test]
fn call_on_a_broken_connection_of_a_silent_database_occupies_its_slot() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| {
        limits.database.ignored_close_time = LONG_TIMEOUT;
    });
    assert_eq!(pool.call("hold#100", LONG_TIMEOUT), "rows for hold#100");
    let silent = RequestUid::from_number(8);
    assert_eq!(pool.call_for(silent, "cut#1500", LONG_TIMEOUT), "unknown");
    pool.calls.run_ended(silent);
    // The end of the run is handled before a later call ends, whose connection breaks at once.
    assert_eq!(pool.call("break", LONG_TIMEOUT), "unknown");
    assert_eq!(pool.unconfirmed.get(), 2);
    // A database that replies is no longer silent.
    let other = RequestUid::from_number(9);
    assert_eq!(pool.call_for(other, "ok", LONG_TIMEOUT), "rows for ok");
    assert_eq!(pool.call_for(other, "break", LONG_TIMEOUT), "unknown");
    assert_eq!(pool.unconfirmed.get(), 3);
    pool.calls.run_ended(other);
    pool.wait_for_unconfirmed(2);
}

/// Guards the database's quota where connections break soon after it has stopped replying. Their
/// calls were permanently assumed to have ended with their runs, as the silence was not yet known
/// (soak with conditions, seed 1061).
#[test]
fn call_on_a_broken_connection_counts_again_once_a_silence_is_known() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| {
        limits.database.ignored_close_time = LONG_TIMEOUT;
    });
    assert_eq!(pool.call("hold#400", LONG_TIMEOUT), "rows for hold#400");
    let silent = RequestUid::from_number(8);
    assert_eq!(pool.call_for(silent, "break", LONG_TIMEOUT), "unknown");
    pool.calls.run_ended(silent);
    pool.wait_for_unconfirmed(0);
    let other = RequestUid::from_number(9);
    assert_eq!(pool.call_for(other, "cut#4000", LONG_TIMEOUT), "unknown");
    assert_eq!(pool.unconfirmed.get(), 2);
}

/// Calls whose connections broke before any reply keep occupying their slots except one. In that
/// slot, a new call shows whether the database is silent. All slots used to be released at once
/// (soak with conditions, seed 1061). A reply releases them.
#[test]
fn call_after_broken_connections_shows_whether_the_database_is_silent() {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| {
        limits.database.ignored_close_time = LONG_TIMEOUT;
    });
    assert_eq!(pool.call("hold#400", LONG_TIMEOUT), "rows for hold#400");
    for number in [8, 9, 10] {
        let broken = RequestUid::from_number(number);
        assert_eq!(pool.call_for(broken, "break", LONG_TIMEOUT), "unknown");
        pool.calls.run_ended(broken);
    }
    let last = RequestUid::from_number(11);
    assert_eq!(pool.call_for(last, "cut#1200", LONG_TIMEOUT), "unknown");
    assert_eq!(pool.unconfirmed.get(), 3);
    assert_eq!(pool.call("ok", LONG_TIMEOUT), "rows for ok");
    pool.calls.run_ended(last);
    pool.wait_for_unconfirmed(0);
}

/// Accepts the next connection and reads one call on it.
fn accept_call(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().expect("a connection");
    assert!(stream.read(&mut [0; 1024]).expect("a call") > 0);
    stream
}

/// Guards the database's quota where connections break right after calls were abandoned. The ends
/// of the abandoned calls' connections were treated as the database's reaction, and their slots
/// were released 200 ms later (soak with conditions, seed 1061).
#[test]
fn end_of_a_closed_connection_as_another_breaks_is_not_a_reaction() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let database = thread::spawn(move || {
        // Sets the usual duration of calls, so that the last one does not show a silence.
        let mut first = accept_call(&listener);
        thread::sleep(Duration::from_millis(400));
        let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows";
        first.write_all(reply).expect("a reply");
        drop([accept_call(&listener), accept_call(&listener)]);
        let last = accept_call(&listener);
        thread::sleep(Duration::from_millis(1200));
        drop(last);
    });
    let pool = TestPool::start(address, |limits| {
        limits.database.ignored_close_time = LONG_TIMEOUT;
    });
    assert_eq!(pool.call("first", LONG_TIMEOUT), "rows");
    let (closed, broken, last) = (8, 9, 10);
    for (number, timeout) in [
        (closed, Duration::from_millis(30)),
        (broken, LONG_TIMEOUT),
        (last, LONG_TIMEOUT),
    ] {
        let uid = RequestUid::from_number(number);
        assert_eq!(pool.call_for(uid, "call", timeout), "unknown");
        pool.calls.run_ended(uid);
    }
    database.join().expect("all calls");
    // The count includes the last call and one of the two calls whose connections ended together.
    // The slot of the other one is left for a new call.
    assert_eq!(pool.unconfirmed.get(), 2);
}

/// Makes the operating system drop all data received on a connection, as if its machine were
/// unreachable.
fn drop_received_data(stream: &TcpStream) {
    const RETURN_NO_BYTES: SockFilter = SockFilter::new(0x06, 0, 0, 0);
    let socket = SockRef::from(stream);
    socket
        .attach_filter(&[RETURN_NO_BYTES])
        .expect("a socket filter");
}

/// Guards the slot of a call at a database whose machine has become unreachable. It was occupied
/// until the system timed out the connection, after some 15 minutes. The machine may become
/// unreachable before or after it has acknowledged the close.
#[test]
fn abandoned_call_does_not_count_for_ever_once_the_database_is_unreachable() {
    for acknowledges_close in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address = listener.local_addr().expect("bound");
        let (unreachable_sender, unreachable) = mpsc::channel();
        let database = thread::spawn(move || {
            let mut stream = accept_call(&listener);
            if acknowledges_close {
                assert_eq!(stream.read(&mut [0; 16]).expect("the close"), 0);
            }
            drop_received_data(&stream);
            unreachable_sender.send(()).expect("the test waits");
            stream
        });
        let pool = TestPool::start(address, |limits| {
            limits.database.ignored_close_time = Duration::from_secs(3);
        });
        assert_eq!(pool.call("call", Duration::from_millis(300)), "unknown");
        unreachable.recv().expect("the database is unreachable");
        assert_eq!(pool.unconfirmed.get(), 1);
        pool.calls.run_ended(uid());
        pool.wait_for_unconfirmed(0);
        drop(database.join().expect("the connection"));
    }
}

/// Starts a pool with one abandoned call whose close the database ignored before the connection
/// broke.
fn start_pool_with_broken_closed_connection(ignored_close_time: Duration) -> TestPool {
    let database = FakeDatabase::start();
    let pool = TestPool::start(database.address, |limits| {
        limits.database.close_reaction = Duration::from_millis(20);
        limits.database.ignored_close_time = ignored_close_time;
    });
    assert_eq!(pool.call("cut#400", Duration::from_millis(30)), "unknown");
    wait_until("its connection has broken", || {
        database.open_connections() == 0
    });
    pool
}

/// Guards against 1.06 times the calls that the node's share allows, as connections broke at a
/// database that ignored closes (soak, seed 37: three of nine runs of the soak).
///
/// The calls had been abandoned more than a second before, and the database had not reacted to the
/// close of their connections. When the connections broke, their ends were treated as its reaction,
/// and the calls counted as ended while it continued them. All slots were released at once, and the
/// mean of old and new calls exceeded the share.
#[test]
fn late_end_of_a_closed_connection_does_not_show_the_end_of_its_call() {
    let pool = start_pool_with_broken_closed_connection(LONG_TIMEOUT);
    pool.calls.run_ended(uid());
    let other = RequestUid::from_number(8);
    assert_eq!(pool.call_for(other, "ok", LONG_TIMEOUT), "rows for ok");
    assert_eq!(pool.unconfirmed.get(), 1);
    // A later call of the same request ends it.
    assert_eq!(pool.call("ok", LONG_TIMEOUT), "rows for ok");
    pool.wait_for_unconfirmed(0);
}

/// A slot is released in the end even if nothing ever shows that the call has ended.
#[test]
fn call_whose_end_can_not_be_shown_counts_for_a_limited_time() {
    let pool = start_pool_with_broken_closed_connection(Duration::from_millis(100));
    assert_eq!(pool.unconfirmed.get(), 1);
    pool.calls.run_ended(uid());
    pool.wait_for_unconfirmed(0);
}
