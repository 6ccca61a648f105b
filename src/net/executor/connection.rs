//! A connection to the executor, from the handshake until it ends.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{after, bounded, never, select, Receiver};
use slog::{warn, Logger};

use super::notice_reader::{NoticePosition, NoticeReader, ReaderEvent};
use super::wire::{write_command, write_line, CommandLine, FLUSH_ECHO};
use super::Mailboxes;
use crate::net::spawn;
use crate::node::{ExecutorCommand, Limits};

/// Capacity of the queue of events from the reader to the actor.
const READER_EVENT_CAPACITY: usize = 4;

/// Reason why a connection ended.
pub(super) enum ConnectionEnd {
    /// The policy actor or the main thread has terminated.
    MailboxDisconnected,
    /// The connection broke.
    Broken {
        /// True if the executor had sent its welcome.
        was_welcomed: bool,
    },
    /// The address of the executor has changed.
    Moved {
        /// The new address.
        address: SocketAddr,
        /// True if the executor had sent its welcome.
        was_welcomed: bool,
        /// True if the executor is known to have read every command that was written.
        is_flushed: bool,
    },
}

/// An open connection, whose notices are read by a separate thread.
pub(super) struct Connection<'a> {
    stream: Arc<TcpStream>,
    reader_events: Receiver<ReaderEvent>,
    limits: &'a Limits,
    log: &'a Logger,
    was_welcomed: bool,
    /// Fires when the welcome is overdue.
    welcome_overdue: Receiver<Instant>,
}

impl<'a> Connection<'a> {
    /// Connects to the executor and joins it after the last notice read. A connection on which no
    /// welcome arrives within `welcome_timeout` ends; without a timeout it waits indefinitely.
    pub(super) fn open(
        address: SocketAddr,
        limits: &'a Limits,
        mailboxes: &Mailboxes,
        position: &Arc<NoticePosition>,
        welcome_timeout: Option<Duration>,
        log: &'a Logger,
    ) -> io::Result<Connection<'a>> {
        let stream = Arc::new(TcpStream::connect_timeout(
            &address,
            limits.connect_timeout,
        )?);
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(limits.write_timeout))?;
        let join = CommandLine::Join {
            pos: position.get(),
        };
        write_line(&stream, &join)?;
        let (events, reader_events) = bounded(READER_EVENT_CAPACITY);
        let reader = NoticeReader {
            policy: mailboxes.policy.clone(),
            position: position.clone(),
            events,
            log: log.clone(),
        };
        let (read_stream, reader_limits) = (stream.clone(), limits.clone());
        spawn("executor-read", limits.stack_bytes, move || {
            reader.run(&read_stream, &reader_limits);
        })?;
        Ok(Connection {
            stream,
            reader_events,
            limits,
            log,
            was_welcomed: false,
            welcome_overdue: welcome_timeout.map_or_else(never, after),
        })
    }

    /// Writes commands until the connection ends. If the executor moves or a write fails, this
    /// returns only after the reader has passed on everything that it read.
    pub(super) fn serve(mut self, mailboxes: &Mailboxes) -> ConnectionEnd {
        loop {
            // No command is sent before the welcome: until then the executor may not be up.
            let commands = if self.was_welcomed {
                mailboxes.commands.clone()
            } else {
                never()
            };
            select! {
                recv(self.reader_events) -> event => match event {
                    Ok(ReaderEvent::Welcomed) => {
                        self.was_welcomed = true;
                        self.welcome_overdue = never();
                    }
                    Ok(ReaderEvent::Flushed) => {}
                    Ok(ReaderEvent::Ended) | Err(_) => return self.broken(),
                },
                recv(self.welcome_overdue) -> _ => {
                    self.close();
                    return self.broken();
                }
                recv(mailboxes.moves) -> address => match address {
                    Ok(address) => return self.close_for_move(address),
                    Err(_) => return ConnectionEnd::MailboxDisconnected,
                },
                recv(commands) -> command => match command {
                    Ok(ExecutorCommand::Reconnect) => {
                        self.close();
                        return self.broken();
                    }
                    Ok(command) => {
                        if let Err(end) = self.send(&command) {
                            return end;
                        }
                    }
                    Err(_) => return ConnectionEnd::MailboxDisconnected,
                }
            }
        }
    }

    fn send(&self, command: &ExecutorCommand) -> Result<(), ConnectionEnd> {
        write_command(&self.stream, command).map_err(|e| {
            // This command and earlier ones may have arrived, in part or completely. The policy is
            // notified of the disconnect and decides which may be sent again.
            warn!(self.log, "executor write failed"; "error" => %e);
            self.close();
            self.broken()
        })
    }

    fn broken(&self) -> ConnectionEnd {
        ConnectionEnd::Broken {
            was_welcomed: self.was_welcomed,
        }
    }

    /// Stops sending commands to the old address, waits for the executor to confirm that it has
    /// read the last one, and closes the connection. New commands stay in the mailbox meanwhile.
    fn close_for_move(&self, address: SocketAddr) -> ConnectionEnd {
        let is_flushed = !self.was_welcomed || self.flush();
        self.close();
        ConnectionEnd::Moved {
            address,
            was_welcomed: self.was_welcomed,
            is_flushed,
        }
    }

    /// Returns true if the executor confirms within the move timeout that it has read everything
    /// that was written.
    fn flush(&self) -> bool {
        let request = CommandLine::Meter { echo: FLUSH_ECHO };
        if write_line(&self.stream, &request).is_err() {
            return false;
        }
        let timeout = after(self.limits.executor.move_timeout);
        loop {
            select! {
                recv(self.reader_events) -> event => match event {
                    Ok(ReaderEvent::Flushed) => return true,
                    Ok(ReaderEvent::Welcomed) => {}
                    Ok(ReaderEvent::Ended) | Err(_) => return false,
                },
                recv(timeout) -> _ => return false,
            }
        }
    }

    /// Closes the connection and waits until the reader has passed on everything that it read.
    fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        while let Ok(event) = self.reader_events.recv() {
            if matches!(event, ReaderEvent::Ended) {
                return;
            }
        }
    }
}
