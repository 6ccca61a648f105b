//! The platform's front: JSON-RPC 2.0, one message a line. One thread accepts, reads, frames, answers and keeps the
//! timers of all connections, see `events`; a connection's states, and who goes when slots run short, are decided in the
//! crate `connections`. Two threads a connection, as the house style has it, cost a starved node all its
//! time in task switches: `docs/front.md` has the figures.
//!
//! Slots are for those that use them. A connection on which nothing sensible comes is closed soon, one that breaks the
//! protocol at once, and when slots run short the one goes that has been silent or unused the longest. None goes
//! while a request of a peer that keeps the protocol is open on it.

mod events;
mod message;

use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender};
use mio::Waker;
use slog::Logger;

use super::spawn;
use crate::node::{Answer, Limits, NodeStatus, PolicyMessage};
use crate::wire::Site;
pub use events::{Core, Events};

/// What the front's thread is told.
enum Out {
    /// The answer to the request of this id on the connection of this number.
    Answer(usize, u64, Answer),
    /// Say farewell on each connection.
    Farewell,
    /// Listen here.
    Open(TcpListener),
    /// Take what waits to be accepted, and stop listening.
    Close,
}

/// The mailbox of the front's thread. No sender ever waits: each request is answered once, so it holds no more than
/// there are requests open.
struct Mailbox {
    sender: Sender<Out>,
    waker: Waker,
    /// The thread has been woken and has not looked since.
    woken: AtomicBool,
}

impl Mailbox {
    fn tell(&self, out: Out) {
        // Without a thread there is nobody left to answer, and the node leaves.
        if self.sender.send(out).is_ok() && !self.woken.swap(true, SeqCst) {
            let _ = self.waker.wake();
        }
    }
    /// What it holds, for the thread: whoever tells it more from now on wakes it again.
    fn empty<'a>(&self, inbox: &'a Receiver<Out>) -> impl Iterator<Item = Out> + 'a {
        self.woken.store(false, SeqCst);
        inbox.try_iter()
    }
}

/// What the others may know of the front's thread.
#[derive(Default)]
struct Counts {
    /// Requests read whose answer is not written.
    open: AtomicUsize,
    /// Connections on which something waits to be written.
    unsent: AtomicUsize,
    connections: AtomicUsize,
    /// It accepts, or is about to.
    listening: AtomicBool,
}

/// The front, as the node's main thread knows it.
pub struct Front {
    mailbox: Arc<Mailbox>,
    counts: Arc<Counts>,
}

impl Front {
    /// Starts the front's thread; it takes nobody in before [`Front::listen`].
    pub fn start(
        site: Arc<Site>,
        limits: &Limits,
        node_status: &Arc<NodeStatus>,
        policy: &Sender<PolicyMessage>,
        log: &Logger,
    ) -> io::Result<Front> {
        let core = Core {
            site,
            node_status: node_status.clone(),
            policy: policy.clone(),
        };
        let events = Events::new(core, limits, log)?;
        let (mailbox, counts) = (events.mailbox(), events.counts());
        spawn("front", limits.stack_bytes, move || events.run())?;
        Ok(Front { mailbox, counts })
    }

    /// Accepts connections here.
    pub fn listen(&self, listener: TcpListener) {
        self.counts.listening.store(true, SeqCst);
        self.mailbox.tell(Out::Open(listener));
    }
    /// Requests read and not yet answered on the wire, and connections with something left to write.
    pub fn open(&self) -> usize {
        self.counts.open.load(SeqCst) + self.counts.unsent.load(SeqCst)
    }
    /// Whether some may still wait to be accepted.
    pub fn listening(&self) -> bool {
        self.counts.listening.load(SeqCst)
    }
    /// Open connections.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(SeqCst)
    }
    /// Says farewell on each connection.
    pub fn farewell(&self) {
        self.mailbox.tell(Out::Farewell);
    }
    /// Takes in those that wait to be accepted, and stops listening.
    pub fn close(&self) {
        self.mailbox.tell(Out::Close);
    }
}
