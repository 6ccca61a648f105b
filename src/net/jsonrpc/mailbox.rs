//! Commands from other threads to the thread of the JSON-RPC server.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

use client_listener::RequestHandle;
use crossbeam_channel::{Receiver, Sender};
use mio::Waker;

use crate::node::{Answer, ArrivalId};

/// A command to the server's thread.
pub(super) enum ServerCommand {
    /// Sends the answer to a request.
    Answer {
        /// The connection of the request, and its id there.
        handle: RequestHandle,
        /// The arrival that is answered.
        arrival: ArrivalId,
        /// The answer.
        answer: Answer,
    },
    /// Sends a close notice to all clients.
    SendCloseNotices,
    /// Starts accepting connections on this socket.
    Listen(TcpListener),
    /// Accepts the connections that wait to be accepted, and stops listening.
    StopListening,
}

/// The mailbox of the server's thread. Its channel is unbounded, so that senders never block. It
/// holds no more answers than there are open requests, as each request is answered once.
pub(super) struct Mailbox {
    sender: Sender<ServerCommand>,
    waker: Waker,
    /// True if the thread has been woken and has not emptied the mailbox since.
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
        // If the thread has terminated, there is no client left to answer and the node terminates.
        if self.sender.send(command).is_ok() && !self.is_woken.swap(true, SeqCst) {
            let _ = self.waker.wake();
        }
    }

    /// Returns the commands in the mailbox, for the thread. Commands sent after this call wake the
    /// thread again.
    pub(super) fn drain<'a>(
        &self,
        receiver: &'a Receiver<ServerCommand>,
    ) -> impl Iterator<Item = ServerCommand> + 'a {
        self.is_woken.store(false, SeqCst);
        receiver.try_iter()
    }
}
