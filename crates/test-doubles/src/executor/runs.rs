//! The runs of the fake executor and the notices about them.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use serde_json::{json, Value};

use crate::encoding::{encode_base64, try_decode_base64};
use crate::error::TestDoubleError;

/// Default age of an executor.
const INITIAL_AGE: Duration = Duration::from_millis(5);
/// The gauge readings of an executor with idle cores, in the order of the settings.
const IDLE_GAUGES: [f64; 4] = [0.1, 1.0, 0.1, 5.0];

/// Which commands to run are lost with their link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandLoss {
    None,
    Next,
    All,
}

/// The state of an executor across all its links.
pub(super) struct ExecutorState {
    /// Number of runs by body.
    run_counts: HashMap<String, usize>,
    /// Runs in progress, by request uid.
    running: HashMap<String, Run>,
    /// Number of commands to stop a run.
    pub(super) kill_count: usize,
    /// Notice positions that links joined at.
    pub(super) join_positions: Vec<u64>,
    /// All notices so far; the first has the position 1.
    notices: Vec<String>,
    link: Option<TcpStream>,
    /// Which commands to run are lost with their link.
    pub(super) command_loss: CommandLoss,
    /// The first protocol violation of the node, if any.
    pub(super) protocol_error: Option<String>,
    /// True if no run makes progress and no command stops one.
    is_standing_still: bool,
    /// True if the link is open, but its commands are ignored and no notices are sent on it.
    pub(super) is_link_half_open: bool,
    /// Peak number of runs on the cores.
    pub(super) peak_on_cores: usize,
    /// The gauge readings that the node receives.
    pub(super) gauges: [f64; 4],
    /// Age of the executor that it reports to nodes.
    pub(super) age: Duration,
}

struct Run {
    body: String,
    waits_for_call: bool,
    /// Number of commands to stop the run.
    kills: usize,
}

impl Default for ExecutorState {
    fn default() -> ExecutorState {
        ExecutorState {
            run_counts: HashMap::new(),
            running: HashMap::new(),
            kill_count: 0,
            join_positions: Vec::new(),
            notices: Vec::new(),
            link: None,
            command_loss: CommandLoss::None,
            protocol_error: None,
            is_standing_still: false,
            is_link_half_open: false,
            peak_on_cores: 0,
            gauges: IDLE_GAUGES,
            age: INITIAL_AGE,
        }
    }
}

impl ExecutorState {
    pub(super) fn run_count(&self, body: &str) -> usize {
        self.run_counts.get(body).copied().unwrap_or(0)
    }

    pub(super) fn total_runs(&self) -> usize {
        self.run_counts.values().sum()
    }

    /// Makes a connection the link that notices go to, and sends the notices after this position.
    pub(super) fn join_link(&mut self, position: u64, link: TcpStream) {
        self.join_positions.push(position);
        self.is_link_half_open = false;
        self.link = Some(link);
        let age_ms = self.age.as_millis() as u64;
        self.write(&format!(
            "{{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":{age_ms}}}\n"
        ));
        let missed: String = self
            .notices
            .iter()
            .skip(position as usize)
            .cloned()
            .collect();
        self.write(&missed);
    }

    pub(super) fn break_link(&mut self) {
        if let Some(link) = self.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of runs on the cores, which are those that do not wait for a call.
    pub(super) fn on_cores(&self) -> usize {
        let on_cores = self.running.values().filter(|run| !run.waits_for_call);
        on_cores.count()
    }

    /// Returns the smallest number of stop commands that any run has received; `None` without runs.
    pub(super) fn fewest_kills(&self) -> Option<usize> {
        self.running.values().map(|run| run.kills).min()
    }

    pub(super) fn stand_still(&mut self) {
        self.is_standing_still = true;
    }

    /// Resumes the cores, and advances all runs as their bodies say.
    pub(super) fn resume(&mut self) {
        self.is_standing_still = false;
        let uids: Vec<String> = self.running.keys().cloned().collect();
        for uid in uids {
            self.advance_run(&uid);
        }
    }

    /// Finishes a run with this body successfully. Returns true if there was one.
    pub(super) fn finish_run(&mut self, body: &str) -> bool {
        let found = self.running.iter().find(|(_, run)| run.body == body);
        let Some(uid) = found.map(|(uid, _)| uid.clone()) else {
            return false;
        };
        self.end_run(&uid, "OK", Some("late result"));
        true
    }

    pub(super) fn handle_command(&mut self, command: &Value) -> Result<(), TestDoubleError> {
        let uid = command["uid"].as_str().unwrap_or("").to_string();
        match command["action"].as_str() {
            _ if self.is_link_half_open => {}
            Some("EXEC") if self.take_command_loss() => self.break_link(),
            Some("EXEC") if !self.running.contains_key(&uid) => {
                self.start_run(&uid, &decode_content(command)?);
            }
            Some("RETURN") if self.waits_for_call(&uid) => {
                let reply = decode_content(command)?;
                self.end_run(&uid, "OK", Some(&reply));
            }
            Some("BYPASS") if self.waits_for_call(&uid) => self.bypass_call(&uid, command)?,
            Some("KILL") => self.kill_run(&uid),
            Some("METER") => {
                let meters =
                    json!({"action": "METERS", "echo": command["echo"], "meters": self.gauges});
                self.write(&format!("{meters}\n"));
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns true if the current command to run is to be lost.
    fn take_command_loss(&mut self) -> bool {
        let is_lost = self.command_loss != CommandLoss::None;
        if self.command_loss == CommandLoss::Next {
            self.command_loss = CommandLoss::None;
        }
        is_lost
    }

    fn start_run(&mut self, uid: &str, body: &str) {
        *self.run_counts.entry(body.to_string()).or_default() += 1;
        let run = Run {
            body: body.to_string(),
            waits_for_call: false,
            kills: 0,
        };
        self.running.insert(uid.to_string(), run);
        self.peak_on_cores = self.peak_on_cores.max(self.on_cores());
        self.advance_run(uid);
    }

    /// Advances a run as its body says, unless the cores are stalled.
    fn advance_run(&mut self, uid: &str) {
        let Some(run) = self.running.get_mut(uid) else {
            return;
        };
        if self.is_standing_still || run.waits_for_call {
            return;
        }
        let body = run.body.clone();
        let (verb, argument) = body.split_once(':').unwrap_or((&body, ""));
        run.waits_for_call = verb == "call";
        match verb {
            "serve" => self.end_run(uid, "OK", Some(&format!("done {body}"))),
            "fail" => self.end_run(uid, "ERROR", None),
            "bad" => self.reject_run(uid),
            "call" => self.notify(
                json!({"action": "CALLOUT", "uid": uid, "content": encode_base64(argument)}),
            ),
            _ => {}
        }
    }

    fn kill_run(&mut self, uid: &str) {
        self.kill_count += 1;
        if let Some(run) = self.running.get_mut(uid) {
            run.kills += 1;
        }
        if !self.is_standing_still {
            self.end_run(uid, "STOPPED", None);
        }
    }

    fn reject_run(&mut self, uid: &str) {
        self.running.remove(uid);
        // A node must keep its link when it receives an unknown message or invalid JSON.
        self.write("{\"action\":\"NEWS\",\"pos\":0}\nnot JSON\n");
        let rejection = json!({"action": "BAD", "code": "EXEC", "uid": uid});
        self.write(&format!("{rejection}\n"));
    }

    /// Ends a run without its call, and with a result only if the command names the notice of that
    /// call.
    fn bypass_call(&mut self, uid: &str, command: &Value) -> Result<(), TestDoubleError> {
        let position = command["pos"].as_u64().unwrap_or(0) as usize;
        let index = position
            .checked_sub(1)
            .ok_or_else(|| TestDoubleError::Protocol(format!("no position: {command}")))?;
        let notice = self.notices.get(index);
        let is_callout =
            notice.is_some_and(|notice| notice.contains("CALLOUT") && notice.contains(uid));
        self.end_run(uid, "OK", is_callout.then_some("without the call"));
        Ok(())
    }

    fn waits_for_call(&self, uid: &str) -> bool {
        self.running.get(uid).is_some_and(|run| run.waits_for_call)
    }

    fn end_run(&mut self, uid: &str, code: &str, content: Option<&str>) {
        if self.running.remove(uid).is_none() {
            return;
        }
        let content = content.map(encode_base64);
        self.notify(
            json!({"action": "EXIT", "uid": uid, "code": code, "wall_ms": 1.0, "content": content}),
        );
    }

    /// Sends a notice with the next position, and keeps it for later links.
    fn notify(&mut self, mut notice: Value) {
        notice["pos"] = json!(self.notices.len() + 1);
        let line = format!("{notice}\n");
        self.write(&line);
        self.notices.push(line);
    }

    /// Writes to the link; an error is ignored, since the node may have closed it.
    fn write(&self, line: &str) {
        if let Some(mut link) = self.link.as_ref().filter(|_| !self.is_link_half_open) {
            let _ = link.write_all(line.as_bytes());
        }
    }
}

fn decode_content(command: &Value) -> Result<String, TestDoubleError> {
    let content = command["content"].as_str();
    let content =
        content.ok_or_else(|| TestDoubleError::Protocol(format!("no content: {command}")))?;
    try_decode_base64(content)
}
