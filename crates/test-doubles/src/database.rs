//! The fake of the database.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::error::{expect_ok, TestDoubleError};
use crate::http_call::read_call;
use crate::loopback_server::try_serve_connections;
use crate::waiting::lock_state;

/// A database. Clones share their state.
///
/// The first word of a call's body, up to `#`, selects how the call is handled:
///
/// - `ok`: answered immediately; `busy`, `gone`, `wrong`: rejected with 503, 409 or 500.
/// - `hold#MS`: answered after this number of milliseconds, and counted as delayed until then, even
///   if the node abandons the call.
/// - `raw#REPLY`: answered with this text unchanged; the connection stays open.
/// - `forever`: answered with a head that does not end.
/// - `break`: the connection is closed.
/// - `cut#MS`: the connection is closed without an answer after this number of milliseconds, as if
///   it broke while the call continues; counted as delayed until then.
/// - anything else, such as `silent`: not answered.
#[derive(Clone)]
pub struct FakeDatabase {
    /// The address that the database listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<DatabaseState>>,
}

/// Counts of delayed calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayedCalls {
    /// Number of calls that are delayed now.
    pub in_flight: usize,
    /// Peak number of calls delayed at the same time since the counts were last read.
    pub peak: usize,
    /// Number of delayed calls since the start.
    pub total: usize,
}

#[derive(Default)]
struct DatabaseState {
    /// Number of calls by body.
    calls: HashMap<String, usize>,
    connections: usize,
    open_connections: usize,
    unanswered: usize,
    peak_unanswered: usize,
    delayed: DelayedCalls,
    /// The first protocol violation of the node, if any.
    protocol_error: Option<String>,
}

impl FakeDatabase {
    /// Starts the database; panics if the operating system provides no socket.
    pub fn start() -> FakeDatabase {
        expect_ok(FakeDatabase::try_start())
    }

    /// Starts the database.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the operating system provides no socket.
    pub fn try_start() -> Result<FakeDatabase, TestDoubleError> {
        let state = Arc::new(Mutex::new(DatabaseState::default()));
        let shared = state.clone();
        let address = try_serve_connections(move |stream| serve_connection(&stream, &shared))?;
        Ok(FakeDatabase { address, state })
    }

    /// Returns the counts of delayed calls, and resets [`DelayedCalls::peak`] to the number of
    /// calls that are delayed now.
    pub fn read_delayed_calls(&self) -> DelayedCalls {
        let mut state = self.checked_state();
        let delayed = state.delayed;
        state.delayed.peak = delayed.in_flight;
        delayed
    }

    /// Returns the peak number of calls that were unanswered at the same time, without those
    /// delayed.
    pub fn peak_unanswered(&self) -> usize {
        self.checked_state().peak_unanswered
    }

    /// Returns the number of connections since the start.
    pub fn connection_count(&self) -> usize {
        self.checked_state().connections
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.checked_state().open_connections
    }

    /// Returns the number of calls with this body.
    pub fn call_count(&self, body: &str) -> usize {
        let state = self.checked_state();
        state.calls.get(body).copied().unwrap_or(0)
    }

    /// Checks that the node has not violated the protocol.
    ///
    /// # Errors
    /// [`TestDoubleError::Protocol`] with the first violation. The methods that read counts panic
    /// in that case.
    pub fn check_protocol(&self) -> Result<(), TestDoubleError> {
        let state = lock_state(&self.state);
        let error = state.protocol_error.clone();
        error.map_or(Ok(()), |error| Err(TestDoubleError::Protocol(error)))
    }

    fn checked_state(&self) -> MutexGuard<'_, DatabaseState> {
        expect_ok(self.check_protocol());
        lock_state(&self.state)
    }
}

fn serve_connection(stream: &TcpStream, state: &Mutex<DatabaseState>) {
    {
        let mut state = lock_state(state);
        state.connections += 1;
        state.open_connections += 1;
    }
    let result = answer_calls(stream, state);
    let mut state = lock_state(state);
    state.open_connections -= 1;
    if let Err(error) = result {
        state.protocol_error.get_or_insert(error.to_string());
    }
}

/// The handling of a connection after a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterCall {
    KeepOpen,
    Close,
}

fn answer_calls(stream: &TcpStream, state: &Mutex<DatabaseState>) -> Result<(), TestDoubleError> {
    let Ok(reading_half) = stream.try_clone() else {
        return Ok(());
    };
    let mut reader = BufReader::new(reading_half);
    while let Some(body) = read_call(&mut reader)? {
        *lock_state(state).calls.entry(body.clone()).or_default() += 1;
        if answer_call(stream, &mut reader, state, &body)? == AfterCall::Close {
            break;
        }
    }
    Ok(())
}

fn answer_call(
    stream: &TcpStream,
    reader: &mut BufReader<TcpStream>,
    state: &Mutex<DatabaseState>,
    body: &str,
) -> Result<AfterCall, TestDoubleError> {
    let (verb, argument) = body.split_once('#').unwrap_or((body, ""));
    match verb {
        "ok" => write_reply(stream, "200 OK", "", &format!("rows for {body}")),
        "hold" => {
            delay_call(state, argument);
            write_reply(stream, "200 OK", "", &format!("rows for {body}"));
        }
        "busy" => write_reply(stream, "503 Busy", "Never-Started: 1\r\n", ""),
        "gone" => write_reply(stream, "409 Conflict", "Never-Started: 1\r\n", ""),
        "wrong" => write_reply(stream, "500 Wrong", "", ""),
        "break" => return Ok(AfterCall::Close),
        "cut" => {
            delay_call(state, argument);
            return Ok(AfterCall::Close);
        }
        "raw" => write_text(stream, argument),
        "forever" => {
            write_endless_head(stream);
            return Ok(AfterCall::Close);
        }
        _ => {
            leave_unanswered(reader, state)?;
            return Ok(AfterCall::Close);
        }
    }
    Ok(AfterCall::KeepOpen)
}

/// Delays a call for the time in its argument, `MS` or `MS#...`.
fn delay_call(state: &Mutex<DatabaseState>, argument: &str) {
    {
        let delayed = &mut lock_state(state).delayed;
        delayed.in_flight += 1;
        delayed.total += 1;
        delayed.peak = delayed.peak.max(delayed.in_flight);
    }
    let ms = argument.split('#').next().and_then(|ms| ms.parse().ok());
    thread::sleep(Duration::from_millis(ms.unwrap_or(0)));
    // Decremented before the answer: the node may send the next call as soon as it has received it.
    lock_state(state).delayed.in_flight -= 1;
}

/// Waits until the node abandons a call and closes the connection.
fn leave_unanswered(
    reader: &mut BufReader<TcpStream>,
    state: &Mutex<DatabaseState>,
) -> Result<(), TestDoubleError> {
    {
        let mut state = lock_state(state);
        state.unanswered += 1;
        state.peak_unanswered = state.peak_unanswered.max(state.unanswered);
    }
    if read_call(reader)?.is_some() {
        let message = "a second call on a connection before the answer to the first";
        return Err(TestDoubleError::Protocol(message.into()));
    }
    lock_state(state).unanswered -= 1;
    Ok(())
}

fn write_reply(stream: &TcpStream, status: &str, headers: &str, body: &str) {
    let length = body.len();
    let reply = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    write_text(stream, &reply);
}

/// Writes text; an error is ignored, since the node may have closed the connection.
fn write_text(mut stream: &TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

fn write_endless_head(mut stream: &TcpStream) {
    write_text(stream, "HTTP/1.1 200 OK\r\n");
    while stream.write_all(b"X-More: and more\r\n").is_ok() {}
}
