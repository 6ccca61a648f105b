//! Forwards connections as two streams, one per direction.

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

/// Interval at which a listener is polled for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum time until the process that opened a connection is registered.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for connecting to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are forwarded at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// A direction of a connection.
struct StreamDirection {
    from: String,
    to: String,
    /// Number of cuts of the link when the connection was opened.
    cuts_at_open: u64,
}

/// How a direction of a connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The sender has closed it. The other direction continues.
    EndOfStream,
    /// Both directions are closed.
    Closed,
}

impl ProxyState {
    /// Accepts the connections to a process until the proxy ends.
    pub(super) fn accept_streams(self: &Arc<Self>, listener: &TcpListener, to: &str) {
        while !self.has_ended.load(SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (state, to) = (self.clone(), to.to_string());
                    // If no thread can be created, the connection is closed.
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
        let (Ok(response_source), Ok(response_destination)) =
            (server.try_clone(), client.try_clone())
        else {
            return;
        };
        let state = self.clone();
        let (server_name, client_name) = (to.to_string(), from.clone());
        let _ = spawn_thread("stream", move || {
            state.forward_stream(
                response_source,
                response_destination,
                server_name,
                client_name,
            );
        });
        self.forward_stream(client, server, from, to.to_string());
    }

    /// Waits until the links in both directions are open, as no connection can be established over
    /// a blocked link. Returns false if the proxy ends before that.
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

    /// Returns the name of the process that opened a connection. `None` if the connection has been
    /// closed already. A process that remains unknown is recorded as an error of the testbed.
    fn wait_for_owner(&self, client: &TcpStream) -> Option<String> {
        let (Ok(peer), Ok(local)) = (client.peer_addr(), client.local_addr()) else {
            return None;
        };
        let deadline = Instant::now() + OWNER_TIMEOUT;
        loop {
            match find_owner(peer, local, &self.known_processes()) {
                Ok(Owner::Process(name)) => return Some(name),
                Ok(Owner::Closed) => return None,
                // A process that has just started may connect before its id is registered.
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

    /// Returns the registered processes, and last this process itself, whose connections are those
    /// from outside the testbed.
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

    /// Forwards one direction of a connection until it ends.
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
        let mut buffer = vec![0; MAX_CHUNK_BYTES];
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

    /// Waits while the link stalls streams, and for its delay. Returns true if the bytes may then
    /// be forwarded.
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

/// Returns true if a read may be retried after this error.
fn is_temporary(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
