//! The thread that reads the executor's notices and hands them to the policy.

use std::net::{Shutdown, TcpStream};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use slog::{debug, warn, Logger};

use super::wire::{Notice, FLUSH_ECHO};
use crate::net::LineReader;
use crate::node::{Limits, Payload, PolicyMessage, RequestUid, RunReport};

const COLD_START: &str = "COLD";
const RUN_SUCCEEDED: &str = "OK";
const RUN_STOPPED: &str = "STOPPED";
const RUN_NEVER_STARTED: &str = "MOOT";
const REJECTED_RUN: &str = "EXEC";

/// What the reader of a connection tells the actor.
pub(super) enum ReaderEvent {
    /// The executor is up.
    Welcomed,
    /// All that was written before the actor asked for this has been read.
    Flushed,
    /// The connection has ended, and nothing follows.
    Ended,
}

/// The number of the last notice read, kept over connections.
#[derive(Default)]
pub(super) struct NoticePosition(AtomicU64);

impl NoticePosition {
    pub(super) fn get(&self) -> u64 {
        self.0.load(SeqCst)
    }

    /// Advances to the number of a notice; false if it was read before, as notices may be repeated after a reconnect.
    fn advance(&self, number: u64) -> bool {
        self.0.fetch_max(number, SeqCst) < number
    }
}

/// Reads the notices of one connection.
pub(super) struct NoticeReader {
    pub(super) policy: Sender<PolicyMessage>,
    pub(super) position: Arc<NoticePosition>,
    pub(super) events: Sender<ReaderEvent>,
    pub(super) log: Logger,
}

impl NoticeReader {
    /// Reads until the connection ends or nobody receives the notices.
    pub(super) fn run(self, stream: &TcpStream, limits: &Limits) {
        self.read_all(stream, limits);
        let _ = stream.shutdown(Shutdown::Both);
        let _ = self.events.send(ReaderEvent::Ended);
    }

    fn read_all(&self, stream: &TcpStream, limits: &Limits) {
        let mut lines = LineReader::new(stream, limits.executor.line_bytes, limits.read_bytes);
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(e) => return debug!(self.log, "executor read failed"; "error" => %e),
            };
            match serde_json::from_slice(line) {
                Ok(notice) => {
                    if self.handle_notice(notice).is_break() {
                        return;
                    }
                }
                // Kinds of notices may be added; an unknown one is skipped.
                Err(e) => warn!(self.log, "executor notice not understood"; "error" => %e),
            }
        }
    }

    /// Hands a notice on; breaks once nobody receives it.
    fn handle_notice(&self, notice: Notice) -> ControlFlow<()> {
        match notice {
            Notice::Welcome { code, wall_ms } => self.welcome(&code, wall_ms),
            Notice::Exit {
                pos,
                uid,
                code,
                content,
            } => self.run_ended(pos, &uid, &code, content),
            Notice::Callout { pos, uid, content } => self.call_requested(pos, &uid, content),
            Notice::Meters { echo, .. } if echo == FLUSH_ECHO => {
                self.notify_actor(ReaderEvent::Flushed)
            }
            Notice::Meters { echo, meters } => self.gauges_read(&echo, meters),
            Notice::Bad { code, uid } => self.command_rejected(&code, uid.as_deref()),
            Notice::Log { pos, code } => {
                self.position.advance(pos);
                debug!(self.log, "executor log"; "text" => code.unwrap_or_default());
                ControlFlow::Continue(())
            }
        }
    }

    fn welcome(&self, code: &str, wall_ms: f64) -> ControlFlow<()> {
        let age = Duration::try_from_secs_f64(wall_ms / 1e3).unwrap_or_default();
        // The policy first: its commands are sent only once the actor is notified too.
        self.notify_policy(PolicyMessage::ExecutorConnected {
            is_cold: code == COLD_START,
            age,
        })?;
        self.notify_actor(ReaderEvent::Welcomed)
    }

    fn run_ended(
        &self,
        number: u64,
        uid: &str,
        code: &str,
        content: Option<String>,
    ) -> ControlFlow<()> {
        if !self.position.advance(number) {
            return ControlFlow::Continue(());
        }
        let report = match (code, content) {
            (RUN_SUCCEEDED, Some(content)) => RunReport::Succeeded(Payload::from_base64(content)),
            (RUN_STOPPED, _) => RunReport::Stopped,
            (RUN_NEVER_STARTED, _) => RunReport::NeverStarted,
            _ => RunReport::Failed,
        };
        match RequestUid::parse(uid) {
            Some(uid) => self.notify_policy(PolicyMessage::RunEnded { uid, report }),
            None => ControlFlow::Continue(()),
        }
    }

    fn call_requested(&self, number: u64, uid: &str, content: String) -> ControlFlow<()> {
        if !self.position.advance(number) {
            return ControlFlow::Continue(());
        }
        match RequestUid::parse(uid) {
            Some(uid) => self.notify_policy(PolicyMessage::CallRequested {
                uid,
                notice: number,
                payload: Payload::from_base64(content),
            }),
            None => ControlFlow::Continue(()),
        }
    }

    fn gauges_read(&self, echo: &str, values: Vec<f64>) -> ControlFlow<()> {
        match echo.parse() {
            Ok(tag) => self.notify_policy(PolicyMessage::GaugesRead { tag, values }),
            Err(_) => ControlFlow::Continue(()),
        }
    }

    fn command_rejected(&self, code: &str, uid: Option<&str>) -> ControlFlow<()> {
        debug!(self.log, "executor rejected a command"; "command" => code, "uid" => uid.unwrap_or(""));
        let rejected_run = uid
            .and_then(RequestUid::parse)
            .filter(|_| code == REJECTED_RUN);
        match rejected_run {
            Some(uid) => self.notify_policy(PolicyMessage::RunRejected(uid)),
            None => ControlFlow::Continue(()),
        }
    }

    fn notify_policy(&self, message: PolicyMessage) -> ControlFlow<()> {
        match self.policy.send(message) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }

    fn notify_actor(&self, event: ReaderEvent) -> ControlFlow<()> {
        match self.events.send(event) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}
