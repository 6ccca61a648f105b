//! The sockets between the processes: before each process one for datagrams and one for streams, over which all others
//! reach it.

mod datagrams;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::error::lock;
use crate::links::Links;
use datagrams::DelayedDatagrams;

/// The stack of a thread that forwards traffic, in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// The time between two checks of a thread whether the proxy has ended, and of a stalled stream whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest that a receiving thread blocks.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// The name on links of whatever is not a process of the testbed.
const OUTSIDE: &str = "outside";

/// The addresses before a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAddresses {
    /// Where others send it datagrams.
    pub datagrams: SocketAddr,
    /// Where others connect to it.
    pub streams: SocketAddr,
}

/// The processes as the proxy knows them, by name.
#[derive(Default)]
struct Processes {
    /// The processes by the address that their datagrams come from.
    senders: BTreeMap<SocketAddr, String>,
    /// Where the datagrams for a process go.
    datagram_targets: BTreeMap<String, SocketAddr>,
    /// Where the streams to a process go.
    stream_targets: BTreeMap<String, SocketAddr>,
    /// Process ids.
    pids: BTreeMap<String, u32>,
    /// Processes that take datagrams from unknown addresses.
    accept_unknown_senders: BTreeSet<String>,
}

/// What the threads of a proxy share.
struct ProxyState {
    links: Mutex<Links>,
    processes: Mutex<Processes>,
    delayed: DelayedDatagrams,
    out: UdpSocket,
    has_ended: AtomicBool,
    /// Errors of the testbed itself.
    errors: Mutex<Vec<String>>,
}

/// Forwards all traffic between the processes of a testbed, with the faults of its links. Its threads end with the value.
pub struct NetworkProxy(Arc<ProxyState>);

impl NetworkProxy {
    /// A proxy without processes, its faults drawn from this seed.
    ///
    /// # Errors
    /// The system's, where it provides no socket or thread.
    pub fn new(seed: u64) -> io::Result<NetworkProxy> {
        let state = Arc::new(ProxyState {
            links: Mutex::new(Links::new(seed)),
            processes: Mutex::default(),
            delayed: DelayedDatagrams::default(),
            out: UdpSocket::bind("127.0.0.1:0")?,
            has_ended: AtomicBool::new(false),
            errors: Mutex::default(),
        });
        let shared = state.clone();
        spawn_thread("delayed", move || shared.deliver_delayed_datagrams())?;
        Ok(NetworkProxy(state))
    }

    /// Calls `change` with the links, to change their faults.
    pub fn with_links<T>(&self, change: impl FnOnce(&mut Links) -> T) -> T {
        change(&mut lock(&self.0.links))
    }

    /// Errors of the testbed itself so far, such as a connection whose process is not known: a fault on its link could not be
    /// applied.
    pub fn errors(&self) -> Vec<String> {
        lock(&self.0.errors).clone()
    }

    /// Opens the addresses before a process.
    ///
    /// # Errors
    /// The system's, where it provides no socket or thread.
    pub fn add_process(&self, name: &str) -> io::Result<ProxyAddresses> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addresses = ProxyAddresses {
            datagrams: socket.local_addr()?,
            streams: listener.local_addr()?,
        };
        let (state, to) = (self.0.clone(), name.to_string());
        spawn_thread("datagrams", move || state.forward_datagrams(&socket, &to))?;
        let (state, to) = (self.0.clone(), name.to_string());
        spawn_thread("streams", move || state.accept_streams(&listener, &to))?;
        Ok(addresses)
    }

    /// Lets a process take datagrams from addresses that the proxy does not know.
    pub fn accept_unknown_senders(&self, name: &str) {
        let mut processes = lock(&self.0.processes);
        processes.accept_unknown_senders.insert(name.into());
    }

    /// Sets the id under which a process runs.
    pub fn set_pid(&self, name: &str, pid: u32) {
        lock(&self.0.processes).pids.insert(name.into(), pid);
    }

    /// Sets where the process itself receives datagrams, which is the address it sends from as well.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidInput`] for an address that is not on loopback.
    pub fn set_datagram_target(&self, name: &str, target: SocketAddr) -> io::Result<()> {
        let target = check_loopback(target)?;
        let mut processes = lock(&self.0.processes);
        processes.senders.retain(|_, sender| sender != name);
        processes.senders.insert(target, name.into());
        processes.datagram_targets.insert(name.into(), target);
        Ok(())
    }

    /// Sets where the process itself accepts connections.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidInput`] for an address that is not on loopback.
    pub fn set_stream_target(&self, name: &str, target: SocketAddr) -> io::Result<()> {
        let target = check_loopback(target)?;
        let mut processes = lock(&self.0.processes);
        processes.stream_targets.insert(name.into(), target);
        Ok(())
    }
}

impl Drop for NetworkProxy {
    fn drop(&mut self) {
        self.0.has_ended.store(true, SeqCst);
        self.0.delayed.wake();
    }
}

fn spawn_thread(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body)
        .map(drop)
}

fn check_loopback(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.ip().is_loopback() {
        return Ok(address);
    }
    let message = format!("{address} is not on loopback");
    Err(io::Error::new(ErrorKind::InvalidInput, message))
}
