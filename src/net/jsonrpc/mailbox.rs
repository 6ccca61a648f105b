//! Commands from other threads to the thread of the JSON-RPC server.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

use client_listener::RequestHandle;
use crossbeam_channel::{Receiver, Sender};
use mio::Waker;

use crate::node::Answer;

/// What the server's thread is to do.
pub(super) enum ServerCommand {
    /// Send the answer to a request.
    Answer(RequestHandle, Answer),
    /// Send all clients a goodbye.
    SayGoodbye,
    /// Accept connections of this socket.
    Listen(TcpListener),
    /// Accept the connections that wait to be accepted, and stop listening.
    StopListening,
}

/// The mailbox of the server's thread. Its channel is unbounded, so that no sender waits; each request is answered once, so
/// it holds no more answers than there are open requests.
pub(super) struct Mailbox {
    sender: Sender<ServerCommand>,
    waker: Waker,
    /// The thread has been woken and has not emptied the mailbox since.
    is_woken: AtomicBool,
}

impl Mailbox {
    pub(super) fn new(sender: Sender<ServerCommand>, waker: Waker) -> Mailbox {
        Mailbox {
            sender,
            waker,
            is_woken: AtomicBool::new(false),
        }
    }

    /// Sends a command and wakes the thread.
    pub(super) fn send(&self, command: ServerCommand) {
        // Without the thread no client is left to answer, and the node ends.
        if self.sender.send(command).is_ok() && !self.is_woken.swap(true, SeqCst) {
            let _ = self.waker.wake();
        }
    }

    /// The commands in the mailbox, for the thread. A command that is sent from now on wakes it again.
    pub(super) fn drain<'a>(
        &self,
        receiver: &'a Receiver<ServerCommand>,
    ) -> impl Iterator<Item = ServerCommand> + 'a {
        self.is_woken.store(false, SeqCst);
        receiver.try_iter()
    }
}
