//! A port of the machine, which speaks the executor's protocol with one process of the node.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::{json, Value};
use test_doubles::try_serve_connections;

use crate::error::SoakError;
use crate::journal::Journal;
use crate::machine::{Machine, Notice, PortId, RejectedCommand};

/// Timeout of a write to a link: if the node accepts no output for this long, the write fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct PortState {
    /// All notices so far; the first has the position 1.
    notices: Vec<String>,
    link: Option<TcpStream>,
    /// Number of links so far; commands from earlier links are ignored.
    link_number: u64,
    /// True if the current link is open but transmits nothing.
    is_half_open: bool,
    /// True if the executor sends nothing; its messages are held back until it is no longer silent.
    is_silent: bool,
    held_back: String,
}

/// A port of the machine. It continues to exist with the machine after its process has exited.
pub(crate) struct Port {
    id: PortId,
    machine: Arc<Machine>,
    journal: Arc<Journal>,
    state: Mutex<PortState>,
}

impl Port {
    /// Creates a port without links.
    pub(crate) fn new(id: PortId, machine: Arc<Machine>, journal: Arc<Journal>) -> Port {
        Port {
            id,
            machine,
            journal,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, PortState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an address of this port, which may have several.
    pub(crate) fn open_address(self: &Arc<Port>) -> Result<SocketAddr, SoakError> {
        let port = Arc::clone(self);
        let address = try_serve_connections(move |stream| port.serve(&stream))?;
        Ok(address)
    }

    /// Breaks the link.
    pub(crate) fn break_link(&self) {
        if let Some(link) = self.state().link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Leaves the current link open, but transmits nothing on it any more.
    pub(crate) fn leave_half_open(&self) {
        self.state().is_half_open = true;
    }

    /// Makes the executor silent, or ends its silence and sends the messages that were held back.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        let mut state = self.state();
        state.is_silent = is_silent;
        if !is_silent {
            let held_back = std::mem::take(&mut state.held_back);
            state.write(&held_back);
        }
    }

    /// Sends a notice about a run to the process, and keeps it for later links.
    pub(crate) fn notify(&self, notice: &Notice) {
        let mut state = self.state();
        let position = state.notices.len() + 1;
        let line = match notice {
            Notice::Exit {
                uid,
                code,
                wall_ms,
                content,
            } => {
                let content = content.as_ref().map(|text| STANDARD.encode(text));
                json!({"action": "EXIT", "pos": position, "uid": uid, "code": code, "wall_ms": wall_ms,
                       "content": content})
            }
            Notice::Callout { uid, content } => {
                json!({"action": "CALLOUT", "pos": position, "uid": uid, "content": STANDARD.encode(content)})
            }
        };
        let line = format!("{line}\n");
        state.send(&line);
        state.notices.push(line);
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let Ok(reading_half) = stream.try_clone() else {
            return;
        };
        let mut number = 0;
        let mut reader = BufReader::new(reading_half);
        let mut line = String::new();
        // A node that is killed may leave an incomplete line at the end.
        while reader.read_line(&mut line).is_ok() && line.ends_with('\n') {
            match serde_json::from_str::<Value>(&line) {
                Ok(command) if command["action"] == "JOIN" => {
                    number = self.join(stream, command["pos"].as_u64().unwrap_or(0));
                }
                Ok(command) => self.execute_command(number, &command),
                Err(error) => {
                    self.journal
                        .record_violation(format!("protocol: {error}: {line}"));
                    return;
                }
            }
            line.clear();
        }
    }

    /// Makes a connection the link, which replaces the previous one. Returns its number.
    fn join(&self, stream: &TcpStream, position: u64) -> u64 {
        let (is_cold, age) = self.machine.cold_start_and_age();
        let code = if is_cold { "COLD" } else { "WARM" };
        let welcome =
            json!({"action": "WELCOME", "code": code, "wall_ms": age.as_secs_f64() * 1e3});
        let mut state = self.state();
        state.link_number += 1;
        state.is_half_open = false;
        state.held_back.clear();
        state.link = stream.try_clone().ok();
        let missed: String = state
            .notices
            .iter()
            .skip(position as usize)
            .cloned()
            .collect();
        state.send(&format!("{welcome}\n{missed}"));
        state.link_number
    }

    fn execute_command(&self, link_number: u64, command: &Value) {
        {
            let state = self.state();
            if state.link_number != link_number || state.is_half_open {
                return;
            }
        }
        let uid = command["uid"].as_str().unwrap_or("");
        let content = || {
            let decoded = STANDARD.decode(command["content"].as_str().unwrap_or(""));
            String::from_utf8(decoded.unwrap_or_default()).unwrap_or_default()
        };
        let action = command["action"].as_str().unwrap_or("");
        let outcome = match action {
            "EXEC" => {
                let class = command["lane"].as_str().unwrap_or("");
                self.machine.run(self.id, uid, class, &content())
            }
            "KILL" => self.machine.stop(uid),
            "RETURN" => {
                self.machine.reply(uid, &content());
                Ok(None)
            }
            "METER" => {
                let meters = json!({"action": "METERS", "echo": command["echo"], "meters": self.machine.gauges()});
                self.state().send(&format!("{meters}\n"));
                Ok(None)
            }
            _ => Err(RejectedCommand),
        };
        match outcome {
            Ok(Some(notice)) => self.notify(&notice),
            Ok(None) => {}
            Err(RejectedCommand) => {
                let rejection = json!({"action": "BAD", "code": action, "uid": uid});
                self.state().send(&format!("{rejection}\n"));
            }
        }
    }
}

impl PortState {
    fn send(&mut self, lines: &str) {
        if self.is_silent {
            self.held_back.push_str(lines);
        } else {
            self.write(lines);
        }
    }

    /// Writes to the link; an error is ignored, since the node may have closed it.
    fn write(&self, lines: &str) {
        if let Some(mut link) = self.link.as_ref().filter(|_| !self.is_half_open) {
            let _ = link.write_all(lines.as_bytes());
        }
    }
}
