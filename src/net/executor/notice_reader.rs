//! The thread that reads the executor's notices and passes them to the policy.

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

/// An event that the reader of a connection reports to the actor.
pub(super) enum ReaderEvent {
    /// The executor is up.
    Welcomed,
    /// The executor has read everything that was written before the flush request.
    Flushed,
    /// The connection has ended. This is the last event.
    Ended,
}

/// The number of the last notice read, kept across connections.
#[derive(Default)]
pub(super) struct NoticePosition(AtomicU64);

impl NoticePosition {
    pub(super) fn get(&self) -> u64 {
        self.0.load(SeqCst)
    }

    /// Advances to the number of a notice. Returns false if that notice was read before, as a
    /// reconnect may repeat notices.
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
    /// Reads until the connection ends or the receiver of the notices is disconnected.
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
                // Skips unknown notices: the protocol may add new kinds.
                Err(e) => warn!(self.log, "invalid or unknown executor notice"; "error" => %e),
            }
        }
    }

    /// Passes a notice on. Returns `Break` if its receiver is disconnected.
    fn handle_notice(&self, notice: Notice) -> ControlFlow<()> {
        match notice {
            Notice::Welcome { code, wall_ms } => self.handle_welcome(&code, wall_ms),
            Notice::Exit {
                pos,
                uid,
                code,
                content,
            } => self.handle_exit(pos, &uid, &code, content),
            Notice::Callout { pos, uid, content } => self.handle_callout(pos, &uid, content),
            Notice::Meters { echo, .. } if echo == FLUSH_ECHO => {
                self.notify_actor(ReaderEvent::Flushed)
            }
            Notice::Meters { echo, meters } => self.handle_gauges(&echo, meters),
            Notice::Bad { code, uid } => self.handle_rejected_command(&code, uid.as_deref()),
            Notice::Log { pos, code } => {
                self.position.advance(pos);
                debug!(self.log, "executor log"; "text" => code.unwrap_or_default());
                ControlFlow::Continue(())
            }
        }
    }

    fn handle_welcome(&self, code: &str, wall_ms: f64) -> ControlFlow<()> {
        let age = Duration::try_from_secs_f64(wall_ms / 1e3).unwrap_or_default();
        // Notifies the policy first: the actor sends the commands of the policy once it is
        // notified.
        self.notify_policy(PolicyMessage::ExecutorConnected {
            is_cold: code == COLD_START,
            age,
        })?;
        self.notify_actor(ReaderEvent::Welcomed)
    }

    fn handle_exit(
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

    fn handle_callout(&self, number: u64, uid: &str, content: String) -> ControlFlow<()> {
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

    fn handle_gauges(&self, echo: &str, values: Vec<f64>) -> ControlFlow<()> {
        match echo.parse() {
            Ok(tag) => self.notify_policy(PolicyMessage::GaugesRead { tag, values }),
            Err(_) => ControlFlow::Continue(()),
        }
    }

    fn handle_rejected_command(&self, code: &str, uid: Option<&str>) -> ControlFlow<()> {
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
