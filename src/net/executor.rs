//! The executor's actor: holds the one link, writes commands, reads notices.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{after, bounded, never, select, Receiver, Sender};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn, Logger};

use super::{spawn, Backoff, Lines};
use crate::node::{ExecutorCommand, Limits, Payload, PolicyMessage, RequestUid, RunReport};

#[derive(Serialize)]
#[serde(tag = "action", rename_all = "UPPERCASE")]
enum Command<'a> {
    Join {
        pos: u64,
    },
    Exec {
        uid: &'a str,
        lane: &'a str,
        content: &'a str,
    },
    Kill {
        uid: &'a str,
    },
    Return {
        uid: &'a str,
        content: &'a str,
    },
    Bypass {
        uid: &'a str,
        pos: u64,
    },
    Meter {
        echo: &'a str,
    },
}

#[derive(Deserialize)]
#[serde(tag = "action", rename_all = "UPPERCASE")]
enum Notice {
    Welcome {
        code: String,
        wall_ms: f64,
    },
    Exit {
        pos: u64,
        uid: String,
        code: String,
        content: Option<String>,
    },
    Callout {
        pos: u64,
        uid: String,
        content: String,
    },
    Meters {
        echo: String,
        meters: Vec<f64>,
    },
    Bad {
        code: String,
        uid: Option<String>,
    },
    Log {
        pos: u64,
        code: Option<String>,
    },
}

/// What the reader of a link tells the actor.
enum FromReader {
    Welcome,
    /// All that was written before the actor asked for this has been read.
    Quiet,
    Ended,
}

/// The word under which the actor itself asks for the gauges before it leaves a link: the module's are numbers.
const QUIET: &str = "quiet";

/// What an executor's actor is given at its start.
pub struct Mailboxes {
    /// Commands.
    pub commands: Receiver<ExecutorCommand>,
    /// Where the executor is from now on.
    pub moves: Receiver<SocketAddr>,
    /// Where notices go.
    pub policy: Sender<PolicyMessage>,
}

/// Keeps the link up until the mailbox is gone.
pub fn run(mut to: SocketAddr, limits: &Limits, mailboxes: &Mailboxes, log: &Logger) {
    let mut backoff = Backoff::new(limits.reconnect_backoff, limits.reconnect_backoff_max);
    let position = Arc::new(Position::default());
    loop {
        match link(to, limits, mailboxes, &position, log) {
            Ok(Gone::Module) => return,
            Ok(Gone::Moved { moved, clean }) => {
                info!(log, "executor moved"; "to" => %moved, "clean" => clean);
                to = moved;
                backoff.reset();
                // Where all that was written is known to have been read, nothing is in doubt.
                if !clean
                    && mailboxes
                        .policy
                        .send(PolicyMessage::ExecutorDisconnected)
                        .is_err()
                {
                    return;
                }
                continue;
            }
            Ok(Gone::Executor { welcomed }) => {
                info!(log, "executor link ended");
                if welcomed {
                    backoff.reset();
                    if mailboxes
                        .policy
                        .send(PolicyMessage::ExecutorDisconnected)
                        .is_err()
                    {
                        return;
                    }
                }
            }
            Err(e) => debug!(log, "executor link"; "error" => %e),
        }
        // Commands wait in the mailbox meanwhile: they have not been sent, so they may be sent later.
        select! {
            recv(mailboxes.moves) -> moved => match moved {
                Ok(moved) => to = moved,
                Err(_) => return,
            },
            recv(after(backoff.pause())) -> _ => {}
        }
    }
}

enum Gone {
    Module,
    Executor { welcomed: bool },
    Moved { moved: SocketAddr, clean: bool },
}

fn link(
    to: SocketAddr,
    limits: &Limits,
    mailboxes: &Mailboxes,
    position: &Arc<Position>,
    log: &Logger,
) -> io::Result<Gone> {
    let Mailboxes {
        commands: inbox,
        moves,
        policy,
    } = mailboxes;
    let stream = Arc::new(TcpStream::connect_timeout(&to, limits.connect_timeout)?);
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limits.write_timeout))?;
    write(
        &stream,
        &Command::Join {
            pos: position.get(),
        },
    )?;
    let (tell, told) = bounded(4);
    let reader = Reader {
        policy: policy.clone(),
        position: position.clone(),
        tell,
        log: log.clone(),
    };
    let (from, most, at_once) = (
        stream.clone(),
        limits.executor.line_bytes,
        limits.read_bytes,
    );
    spawn("executor-read", limits.stack_bytes, move || {
        reader.run(&from, most, at_once);
    })?;
    // What the reader has read comes before the news of what became of the link.
    let end = || {
        let _ = stream.shutdown(Shutdown::Both);
        while told
            .recv()
            .is_ok_and(|msg| !matches!(msg, FromReader::Ended))
        {}
    };
    let mut welcomed = false;
    loop {
        // Nothing is sent before the welcome: until then the executor may not be up.
        let commands = if welcomed { inbox.clone() } else { never() };
        select! {
            recv(told) -> msg => match msg {
                Ok(FromReader::Welcome) => welcomed = true,
                Ok(FromReader::Quiet) => {}
                Ok(FromReader::Ended) | Err(_) => return Ok(Gone::Executor { welcomed }),
            },
            recv(moves) -> moved => {
                let Ok(moved) = moved else { return Ok(Gone::Module) };
                // The old place takes nothing new. Commands wait until it says that it has read the last one.
                let clean = !welcomed || quiet(&stream, &told, limits);
                end();
                return Ok(Gone::Moved { moved, clean });
            }
            recv(commands) -> msg => {
                let Ok(command) = msg else { return Ok(Gone::Module) };
                if let Err(e) = send(&stream, &command) {
                    // It may have arrived in part or in whole, like those before it: the module is told of the
                    // break and decides what may be sent again.
                    warn!(log, "executor write"; "error" => %e);
                    end();
                    return Ok(Gone::Executor { welcomed });
                }
            }
        }
    }
}

/// Whether the executor says in time that it has read all that was written.
fn quiet(stream: &TcpStream, told: &Receiver<FromReader>, limits: &Limits) -> bool {
    if write(stream, &Command::Meter { echo: QUIET }).is_err() {
        return false;
    }
    let late = after(limits.executor.move_timeout);
    loop {
        select! {
            recv(told) -> msg => match msg {
                Ok(FromReader::Quiet) => return true,
                Ok(FromReader::Welcome) => {}
                Ok(FromReader::Ended) | Err(_) => return false,
            },
            recv(late) -> _ => return false,
        }
    }
}

fn send(stream: &TcpStream, command: &ExecutorCommand) -> io::Result<()> {
    match command {
        ExecutorCommand::Run {
            uid: rid,
            class: lane,
            payload: body,
        } => write(
            stream,
            &Command::Exec {
                uid: rid.as_str(),
                lane,
                content: body.as_base64(),
            },
        ),
        ExecutorCommand::Stop(rid) => write(stream, &Command::Kill { uid: rid.as_str() }),
        ExecutorCommand::ReturnReply {
            uid: rid,
            payload: body,
        } => write(
            stream,
            &Command::Return {
                uid: rid.as_str(),
                content: body.as_base64(),
            },
        ),
        ExecutorCommand::SkipCall {
            uid: rid,
            notice: pos,
        } => write(
            stream,
            &Command::Bypass {
                uid: rid.as_str(),
                pos: *pos,
            },
        ),
        ExecutorCommand::ReadGauges { tag } => write(
            stream,
            &Command::Meter {
                echo: &tag.to_string(),
            },
        ),
    }
}

fn write(mut stream: &TcpStream, command: &Command<'_>) -> io::Result<()> {
    let mut line = serde_json::to_vec(command)?;
    line.push(b'\n');
    stream.write_all(&line)
}

struct Reader {
    policy: Sender<PolicyMessage>,
    position: Arc<Position>,
    tell: Sender<FromReader>,
    log: Logger,
}

impl Reader {
    fn run(self, from: &TcpStream, most: usize, at_once: usize) {
        let mut lines = Lines::new(from, most, at_once);
        loop {
            match lines.next_line() {
                Ok(Some(line)) => match serde_json::from_slice(line) {
                    Ok(notice) => {
                        if self.notice(notice).is_none() {
                            break;
                        }
                    }
                    // Kinds of notices may be added; what is not understood is passed over.
                    Err(e) => warn!(self.log, "executor notice not understood"; "error" => %e),
                },
                Ok(None) => break,
                Err(e) => {
                    debug!(self.log, "executor read"; "error" => %e);
                    break;
                }
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = self.tell.send(FromReader::Ended);
    }

    /// Hands a notice on; none once nobody listens.
    fn notice(&self, notice: Notice) -> Option<()> {
        let msg = match notice {
            Notice::Welcome { code, wall_ms } => {
                let age = Duration::try_from_secs_f64(wall_ms / 1e3).unwrap_or_default();
                // The module first: its commands go out only once the actor has heard as well.
                self.policy
                    .send(PolicyMessage::ExecutorConnected {
                        is_cold: code == "COLD",
                        age,
                    })
                    .ok()?;
                return self.tell.send(FromReader::Welcome).ok();
            }
            Notice::Exit {
                pos,
                uid,
                code,
                content,
            } => {
                if !self.position.advance(pos) {
                    return Some(());
                }
                let end = match (code.as_str(), content) {
                    ("OK", Some(content)) => RunReport::Succeeded(Payload::from_base64(content)),
                    ("STOPPED", _) => RunReport::Stopped,
                    ("MOOT", _) => RunReport::NeverStarted,
                    _ => RunReport::Failed,
                };
                let Some(rid) = RequestUid::parse(&uid) else {
                    return Some(());
                };
                PolicyMessage::RunEnded {
                    uid: rid,
                    report: end,
                }
            }
            Notice::Callout { pos, uid, content } => {
                if !self.position.advance(pos) {
                    return Some(());
                }
                let Some(rid) = RequestUid::parse(&uid) else {
                    return Some(());
                };
                PolicyMessage::CallRequested {
                    uid: rid,
                    notice: pos,
                    payload: Payload::from_base64(content),
                }
            }
            Notice::Meters { echo, .. } if echo == QUIET => {
                return self.tell.send(FromReader::Quiet).ok()
            }
            Notice::Meters { echo, meters } => match echo.parse() {
                Ok(tag) => PolicyMessage::GaugesRead {
                    tag,
                    values: meters,
                },
                Err(_) => return Some(()),
            },
            Notice::Bad { code, uid } => {
                debug!(self.log, "executor: not carried out"; "command" => &code, "uid" => uid.as_deref().unwrap_or(""));
                match uid
                    .as_deref()
                    .and_then(RequestUid::parse)
                    .filter(|_| code == "EXEC")
                {
                    Some(rid) => PolicyMessage::RunRejected(rid),
                    None => return Some(()),
                }
            }
            Notice::Log { pos, code } => {
                self.position.advance(pos);
                debug!(self.log, "executor"; "says" => code.unwrap_or_default());
                return Some(());
            }
        };
        self.policy.send(msg).ok()
    }
}

/// The number of the last notice read, kept over links.
#[derive(Default)]
struct Position(AtomicU64);

impl Position {
    fn get(&self) -> u64 {
        self.0.load(SeqCst)
    }
    /// Whether this notice is new: after a break some may come again.
    fn advance(&self, to: u64) -> bool {
        self.0.fetch_max(to, SeqCst) < to
    }
}
