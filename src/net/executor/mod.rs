//! The executor actor: maintains one connection, writes commands to it and reads notices from it.

mod connection;
mod notice_reader;
mod wire;

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;

use crossbeam_channel::{after, select, Receiver, Sender};
use slog::{debug, info, Logger};

use super::Backoff;
use crate::node::{ExecutorCommand, Limits, PolicyMessage};
use connection::{Connection, ConnectionEnd};
use notice_reader::NoticePosition;

/// The channels between the executor actor and other threads.
pub struct Mailboxes {
    /// Commands from the policy.
    pub commands: Receiver<ExecutorCommand>,
    /// Changes of the executor's address.
    pub moves: Receiver<SocketAddr>,
    /// Receiver of the notices.
    pub policy: Sender<PolicyMessage>,
}

/// Maintains a connection to the executor until a mailbox is disconnected.
pub fn run(address: SocketAddr, limits: &Limits, mailboxes: &Mailboxes, log: &Logger) {
    let mut actor = ExecutorActor {
        address,
        backoff: Backoff::new(limits.reconnect_backoff, limits.reconnect_backoff_max),
        position: Arc::default(),
        has_been_up: false,
        limits,
        mailboxes,
        log,
    };
    while actor.run_connection().is_continue() {}
}

struct ExecutorActor<'a> {
    address: SocketAddr,
    backoff: Backoff,
    position: Arc<NoticePosition>,
    /// True if the executor has been up before. Until then a connection may wait for its welcome
    /// without a timeout.
    has_been_up: bool,
    limits: &'a Limits,
    mailboxes: &'a Mailboxes,
    log: &'a Logger,
}

impl ExecutorActor<'_> {
    /// Connects and serves the connection until it ends. Returns `Break` if the actor must
    /// terminate.
    fn run_connection(&mut self) -> ControlFlow<()> {
        let connection = Connection::open(
            self.address,
            self.limits,
            self.mailboxes,
            &self.position,
            self.has_been_up
                .then_some(self.limits.executor.welcome_timeout),
            self.log,
        );
        match connection.map(|connection| connection.serve(self.mailboxes)) {
            Ok(ConnectionEnd::MailboxDisconnected) => return ControlFlow::Break(()),
            Ok(ConnectionEnd::Moved {
                address,
                was_welcomed,
                is_flushed,
            }) => {
                self.has_been_up |= was_welcomed;
                return self.follow_move(address, is_flushed);
            }
            Ok(ConnectionEnd::Broken { was_welcomed }) => {
                info!(self.log, "executor connection ended");
                if was_welcomed {
                    self.has_been_up = true;
                    self.backoff.reset();
                    self.notify_disconnected()?;
                }
            }
            Err(e) => debug!(self.log, "executor connection failed"; "error" => %e),
        }
        self.wait_to_reconnect()
    }

    /// Changes the address; the next connection is made there without delay.
    fn follow_move(&mut self, address: SocketAddr, is_flushed: bool) -> ControlFlow<()> {
        info!(self.log, "executor moved"; "to" => %address, "flushed" => is_flushed);
        self.address = address;
        self.backoff.reset();
        // If the executor has read everything that was written, no command is in doubt.
        if is_flushed {
            return ControlFlow::Continue(());
        }
        self.notify_disconnected()
    }

    /// Waits until the backoff expires or the address changes. Commands remain in the mailbox: they
    /// have not been sent, so they can be sent on the next connection.
    fn wait_to_reconnect(&mut self) -> ControlFlow<()> {
        select! {
            recv(self.mailboxes.moves) -> address => match address {
                Ok(address) => self.address = address,
                Err(_) => return ControlFlow::Break(()),
            },
            recv(after(self.backoff.next_delay())) -> _ => {}
        }
        ControlFlow::Continue(())
    }

    fn notify_disconnected(&self) -> ControlFlow<()> {
        match self
            .mailboxes
            .policy
            .send(PolicyMessage::ExecutorDisconnected)
        {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}
