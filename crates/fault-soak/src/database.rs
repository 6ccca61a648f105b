//! The test double of the database, which checks the number of calls of the nodes.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_doubles::try_serve_connections;

use crate::client::NODE_SHIFT;
use crate::error::SoakError;
use crate::journal::Journal;
use crate::plan::{CALLS_WINDOW, LINGER};
use crate::window::MeanWindow;

/// Duration of a call in milliseconds.
const CALL_MS: std::ops::Range<u64> = 10..60;
/// Factor of the duration of calls at a slow database.
const SLOW_CALL_FACTOR: u64 = 20;
/// Duration in milliseconds of a call at a database that ignores closes.
const CLOSE_IGNORING_CALL_MS: std::ops::Range<u64> = 2000..6000;
/// Time between two checks of a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// The current faults of the database.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DatabaseFaults {
    /// True if calls take longer.
    pub(crate) is_slow: bool,
    /// True if a call continues when its connection is closed.
    pub(crate) ignores_close: bool,
    /// True if calls are not answered.
    pub(crate) is_silent: bool,
}

struct DatabaseState {
    faults: DatabaseFaults,
    /// Number of calls in progress.
    calls: usize,
    /// Number of the last call of each request, which ends an earlier call of the same request.
    last_calls: HashMap<String, u64>,
    next_call: u64,
    /// Latest end of the calls that ignore a close.
    close_ignoring_until: Option<Instant>,
    connections: HashMap<u64, TcpStream>,
    window: MeanWindow,
    peak_share: f64,
    has_reported_overload: bool,
    ticked_at: Instant,
    rng: ChaCha8Rng,
}

/// Returns true if the run of this request waits for a call.
type WaitsForCall = dyn Fn(&str) -> bool + Send + Sync;

/// A node as seen by the database.
pub(crate) struct DatabaseUser {
    pub(crate) journal: Arc<Journal>,
    pub(crate) waits_for_call: Box<WaitsForCall>,
}

/// The database of a soak run, which its nodes share.
pub(crate) struct Database {
    quota: f64,
    users: Vec<DatabaseUser>,
    state: Mutex<DatabaseState>,
}

struct Call {
    uid: String,
    body: String,
}

/// How a call ended.
enum CallEnd {
    /// The call has completed, and is answered unless the database is silent.
    Done,
    /// The connection was closed, the run no longer waits for the call, or a later call of the
    /// request replaced it.
    Abandoned,
}

impl Database {
    /// Creates a database that can sustain this mean number of calls.
    pub(crate) fn new(quota: f64, seed: u64, users: Vec<DatabaseUser>) -> Arc<Database> {
        Arc::new(Database {
            quota,
            users,
            state: Mutex::new(DatabaseState {
                faults: DatabaseFaults::default(),
                calls: 0,
                last_calls: HashMap::new(),
                next_call: 0,
                close_ignoring_until: None,
                connections: HashMap::new(),
                window: MeanWindow::new(CALLS_WINDOW),
                peak_share: 0.0,
                has_reported_overload: false,
                ticked_at: Instant::now(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, DatabaseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn user(&self, uid: &str) -> Option<&DatabaseUser> {
        let number = u64::from_str_radix(uid, 16).ok()?;
        self.users.get((number >> NODE_SHIFT) as usize)
    }

    fn waits_for_call(&self, uid: &str) -> bool {
        let user = self.user(uid);
        user.is_some_and(|user| (user.waits_for_call)(uid))
    }

    /// Starts to accept connections, and returns the address.
    pub(crate) fn open(self: &Arc<Database>) -> Result<SocketAddr, SoakError> {
        let database = Arc::clone(self);
        let address = try_serve_connections(move |stream| database.serve(&stream))?;
        Ok(address)
    }

    /// Changes the faults.
    pub(crate) fn set_faults(&self, change: impl FnOnce(&mut DatabaseFaults)) {
        change(&mut self.state().faults);
    }

    /// Breaks all connections with a call. The calls on them are abandoned.
    pub(crate) fn break_connections(&self) {
        for connection in self.state().connections.values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns true if calls that ignore a close may still be in progress.
    pub(crate) fn has_close_ignoring_calls(&self) -> bool {
        let now = Instant::now();
        self.state()
            .close_ignoring_until
            .is_some_and(|until| now < until)
    }

    /// Returns the highest mean number of calls so far, as a share of what the database can
    /// sustain.
    pub(crate) fn peak_share(&self) -> f64 {
        self.state().peak_share
    }

    /// Advances the database by the time since the last tick, and checks the number of calls.
    pub(crate) fn tick(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(state.ticked_at);
        state.ticked_at = now;
        let calls = state.calls as f64;
        state.window.add(elapsed, calls);
        let share = state.window.mean() / self.quota;
        state.peak_share = state.peak_share.max(share);
        if share > 1.0 && !state.has_reported_overload {
            state.has_reported_overload = true;
            let text = format!(
                "overload: {:.2} calls on average, the quota of the nodes is {:.2}",
                state.window.mean(),
                self.quota
            );
            if let Some(first) = self.users.first() {
                first.journal.record_violation(text);
            }
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(reading_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading_half);
        while let Some(call) = read_call(&mut reader) {
            if !self.waits_for_call(&call.uid) {
                write_reply(stream, "409 Conflict", "Never-Started: 1\r\n", "");
                continue;
            }
            let number = self.start_call(&call, stream);
            let end = self.wait_for_call_end(&call, number, stream);
            self.end_call(number);
            match end {
                CallEnd::Abandoned => return,
                CallEnd::Done if self.state().faults.is_silent => {
                    wait_for_close(stream);
                    return;
                }
                CallEnd::Done => {
                    let reply = format!("rows for {}", call.body);
                    if let Some(user) = self.user(&call.uid) {
                        user.journal.set_reply(&call.uid, &reply);
                    }
                    write_reply(stream, "200 OK", "", &reply);
                }
            }
        }
    }

    fn start_call(&self, call: &Call, stream: &TcpStream) -> u64 {
        let mut state = self.state();
        state.next_call += 1;
        let number = state.next_call;
        state.calls += 1;
        state.last_calls.insert(call.uid.clone(), number);
        if let Ok(connection) = stream.try_clone() {
            state.connections.insert(number, connection);
        }
        number
    }

    fn end_call(&self, number: u64) {
        let mut state = self.state();
        state.calls -= 1;
        state.connections.remove(&number);
    }

    /// Waits until a call has completed or is abandoned.
    fn wait_for_call_end(&self, call: &Call, number: u64, stream: &TcpStream) -> CallEnd {
        let (until, notices_close) = {
            let mut state = self.state();
            let faults = state.faults;
            let factor = if faults.is_slow { SLOW_CALL_FACTOR } else { 1 };
            let ms = if faults.ignores_close {
                state.rng.random_range(CLOSE_IGNORING_CALL_MS)
            } else {
                state.rng.random_range(CALL_MS) * factor
            };
            let until = Instant::now() + Duration::from_millis(ms);
            if faults.ignores_close {
                state.close_ignoring_until = state.close_ignoring_until.max(Some(until));
            }
            (until, !faults.ignores_close)
        };
        while Instant::now() < until {
            let is_replaced = self.state().last_calls.get(&call.uid) != Some(&number);
            let is_abandoned =
                notices_close && (is_closed(stream) || !self.waits_for_call(&call.uid));
            if is_replaced || is_abandoned {
                let linger_ms = self.state().rng.random_range(0..LINGER.as_millis() as u64);
                thread::sleep(Duration::from_millis(linger_ms));
                return CallEnd::Abandoned;
            }
            thread::sleep(POLL_INTERVAL);
        }
        CallEnd::Done
    }
}

/// Returns true if the connection is closed.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let is_closed = match stream.peek(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    is_closed
}

fn wait_for_close(stream: &TcpStream) {
    while !is_closed(stream) {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads the next call; `None` at the end of the connection.
fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut uid = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(": ").unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "request-ref" => uid = value.to_string(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Call { uid, body })
}

/// Writes a reply; an error is ignored, since the node may have closed the connection.
fn write_reply(mut stream: &TcpStream, status: &str, headers: &str, body: &str) {
    let length = body.len();
    let reply = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(reply.as_bytes());
}
