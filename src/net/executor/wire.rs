//! The messages of the executor's protocol: one JSON object per line. The names of fields and
//! actions are fixed by the protocol.

use std::io::{self, Write};
use std::net::TcpStream;

use serde::{Deserialize, Serialize};

use crate::node::ExecutorCommand;

/// The echo value of the gauge request that the actor sends to learn that the executor has read
/// everything written before it. The echo values of the policy are numbers.
pub(super) const FLUSH_ECHO: &str = "quiet";

/// A command to the executor.
#[derive(Serialize)]
#[serde(tag = "action", rename_all = "UPPERCASE")]
pub(super) enum CommandLine<'a> {
    /// Begins a connection; `pos` is the number of the last notice read.
    Join { pos: u64 },
    /// Runs a request.
    Exec {
        uid: &'a str,
        lane: &'a str,
        content: &'a str,
    },
    /// Stops a run.
    Kill { uid: &'a str },
    /// Passes the reply to a database call to the run that made it.
    Return { uid: &'a str, content: &'a str },
    /// Continues a run without the database call that it requested in notice `pos`.
    Bypass { uid: &'a str, pos: u64 },
    /// Requests a reading of the gauges.
    Meter { echo: &'a str },
}

/// A notice from the executor. `pos` numbers the notices that are repeated after a reconnect.
#[derive(Deserialize)]
#[serde(tag = "action", rename_all = "UPPERCASE")]
pub(super) enum Notice {
    /// The executor is up.
    Welcome { code: String, wall_ms: f64 },
    /// A run has ended.
    Exit {
        pos: u64,
        uid: String,
        code: String,
        content: Option<String>,
    },
    /// A run requests a database call.
    Callout {
        pos: u64,
        uid: String,
        content: String,
    },
    /// A reading of the gauges.
    Meters { echo: String, meters: Vec<f64> },
    /// A command was rejected.
    Bad { code: String, uid: Option<String> },
    /// A log message.
    Log { pos: u64, code: Option<String> },
}

/// Writes a command from the policy.
pub(super) fn write_command(stream: &TcpStream, command: &ExecutorCommand) -> io::Result<()> {
    match command {
        ExecutorCommand::Run {
            uid,
            class,
            payload,
        } => write_line(
            stream,
            &CommandLine::Exec {
                uid: uid.as_str(),
                lane: class,
                content: payload.as_base64(),
            },
        ),
        ExecutorCommand::Stop(uid) => write_line(stream, &CommandLine::Kill { uid: uid.as_str() }),
        ExecutorCommand::ReturnReply { uid, payload } => write_line(
            stream,
            &CommandLine::Return {
                uid: uid.as_str(),
                content: payload.as_base64(),
            },
        ),
        ExecutorCommand::SkipCall { uid, notice } => write_line(
            stream,
            &CommandLine::Bypass {
                uid: uid.as_str(),
                pos: *notice,
            },
        ),
        // Handled by the connection itself; nothing is written.
        ExecutorCommand::Reconnect => Ok(()),
        ExecutorCommand::ReadGauges { tag } => write_line(
            stream,
            &CommandLine::Meter {
                echo: &tag.to_string(),
            },
        ),
    }
}

/// Writes one line.
pub(super) fn write_line(mut stream: &TcpStream, line: &CommandLine<'_>) -> io::Result<()> {
    let mut bytes = serde_json::to_vec(line)?;
    bytes.push(b'\n');
    stream.write_all(&bytes)
}
