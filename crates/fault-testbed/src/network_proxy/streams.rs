//! Forwards the streams of connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{spawn_thread, ProxyState, OUTSIDE, POLL_INTERVAL};
use crate::connection_owner::{find_owner, KnownProcess, Owner, OwnerError};
use crate::error::lock;
use crate::links::StreamAction;

/// The time between two looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// How long a connection may wait until the process that made it is registered.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long connecting to a process may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The most bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// One direction of a connection: which link it uses, and how often that link had been cut when it was opened.
struct StreamDirection {
    from: String,
    to: String,
    cuts_at_open: u64,
}

/// How a direction of a connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The sender has closed it: the other direction goes on.
    EndOfStream,
    /// Both directions are closed.
    Closed,
}

impl ProxyState {
    /// Accepts the connections to a process.
    pub(super) fn accept_streams(self: &Arc<Self>, listener: &TcpListener, to: &str) {
        while !self.has_ended.load(SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (state, to) = (self.clone(), to.to_string());
                    // Without a thread it can't be forwarded: it is closed.
                    let _ = spawn_thread("stream", move || state.forward_connection(stream, &to));
                }
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    }

    /// Connects to the process and forwards both directions until they end.
    fn forward_connection(self: &Arc<Self>, client: TcpStream, to: &str) {
        let Some(from) = self.wait_for_owner(&client) else {
            return;
        };
        if !self.wait_until_reachable(&from, to) {
            return;
        }
        let Some(server) = self.connect_to(to) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(answers_from), Ok(answers_to)) = (server.try_clone(), client.try_clone()) else {
            return;
        };
        let state = self.clone();
        let (answering, asking) = (to.to_string(), from.clone());
        let _ = spawn_thread("stream", move || {
            state.forward_stream(answers_from, answers_to, answering, asking);
        });
        self.forward_stream(client, server, from, to.to_string());
    }

    /// Waits until the links in both directions are open, as a connection over a blocked link is never made; whether they
    /// are before the proxy ends.
    fn wait_until_reachable(&self, from: &str, to: &str) -> bool {
        while !lock(&self.links).is_open(from, to) || !lock(&self.links).is_open(to, from) {
            if self.has_ended.load(SeqCst) {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    fn connect_to(&self, name: &str) -> Option<TcpStream> {
        let target = lock(&self.processes).stream_targets.get(name).copied()?;
        TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).ok()
    }

    /// The name of the process that made a connection. A connection that is closed already has none; one of a process that
    /// stays unknown is recorded as an error of the testbed.
    fn wait_for_owner(&self, client: &TcpStream) -> Option<String> {
        let (Ok(peer), Ok(local)) = (client.peer_addr(), client.local_addr()) else {
            return None;
        };
        let deadline = Instant::now() + OWNER_TIMEOUT;
        loop {
            match find_owner(peer, local, &self.known_processes()) {
                Ok(Owner::Process(name)) => return Some(name),
                Ok(Owner::Closed) => return None,
                // A process that has only started may connect before its id is registered.
                Err(OwnerError::UnknownProcess(_)) if Instant::now() < deadline => {
                    thread::sleep(POLL_INTERVAL);
                }
                Err(error) => {
                    lock(&self.errors).push(error.to_string());
                    return None;
                }
            }
        }
    }

    /// The registered processes, and last this process itself, whose connections are those from outside the testbed.
    fn known_processes(&self) -> Vec<KnownProcess> {
        let outside = KnownProcess {
            name: OUTSIDE.into(),
            pid: std::process::id(),
        };
        lock(&self.processes)
            .pids
            .iter()
            .map(|(name, pid)| KnownProcess {
                name: name.clone(),
                pid: *pid,
            })
            .chain([outside])
            .collect()
    }

    /// Forwards one direction of a connection until its end.
    fn forward_stream(&self, mut from: TcpStream, mut to: TcpStream, name: String, peer: String) {
        let cuts_at_open = lock(&self.links).open_stream(&name, &peer);
        let direction = StreamDirection {
            from: name,
            to: peer,
            cuts_at_open,
        };
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        if self.forward_bytes(&mut from, &mut to, &direction) == StreamEnd::EndOfStream {
            let _ = to.shutdown(Shutdown::Write);
        } else {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        }
    }

    fn forward_bytes(
        &self,
        from: &mut TcpStream,
        to: &mut TcpStream,
        direction: &StreamDirection,
    ) -> StreamEnd {
        let mut buffer = vec![0; CHUNK_BYTES];
        while !self.has_ended.load(SeqCst) {
            let length = match from.read(&mut buffer) {
                Ok(0) => return StreamEnd::EndOfStream,
                Ok(length) => length,
                Err(error) if is_temporary(error.kind()) => {
                    if self.next_action(direction) == StreamAction::Close {
                        return StreamEnd::Closed;
                    }
                    continue;
                }
                Err(_) => return StreamEnd::Closed,
            };
            if !self.wait_until_forwarded(direction) || to.write_all(&buffer[..length]).is_err() {
                return StreamEnd::Closed;
            }
        }
        StreamEnd::Closed
    }

    fn next_action(&self, direction: &StreamDirection) -> StreamAction {
        lock(&self.links).transmit_bytes(&direction.from, &direction.to, direction.cuts_at_open)
    }

    /// Waits while the link stalls streams and for its delay; whether the bytes are forwarded then.
    fn wait_until_forwarded(&self, direction: &StreamDirection) -> bool {
        loop {
            match self.next_action(direction) {
                StreamAction::Forward(delay) => {
                    if !delay.is_zero() {
                        thread::sleep(delay);
                    }
                    return true;
                }
                StreamAction::Stall if !self.has_ended.load(SeqCst) => {
                    thread::sleep(POLL_INTERVAL);
                }
                StreamAction::Stall | StreamAction::Close => return false,
            }
        }
    }
}

/// Whether a read may be tried again.
fn is_temporary(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
