//! The sockets between the processes. Each process has one for datagrams and one for streams, by
//! which all other processes reach it.

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

/// Stack size of a thread that forwards traffic, in bytes.
const THREAD_STACK_BYTES: usize = 128 * 1024;
/// Interval at which a thread checks whether the proxy has ended, and whether a stalled stream may
/// continue.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that a receiving thread blocks.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// The name on links of senders and clients that are not processes of the testbed.
const OUTSIDE: &str = "outside";

/// The addresses by which the proxy makes a process reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAddresses {
    /// The address to which others send datagrams for it.
    pub datagrams: SocketAddr,
    /// The address to which others connect.
    pub streams: SocketAddr,
}

/// The addresses and process ids that are registered with the proxy.
#[derive(Default)]
struct Processes {
    /// The names of processes, by the address from which they send datagrams.
    senders: BTreeMap<SocketAddr, String>,
    /// The address at which each process receives datagrams.
    datagram_targets: BTreeMap<String, SocketAddr>,
    /// The address at which each process accepts connections.
    stream_targets: BTreeMap<String, SocketAddr>,
    /// The process ids.
    pids: BTreeMap<String, u32>,
    /// Processes that accept datagrams from unknown addresses.
    accept_unknown_senders: BTreeSet<String>,
}

/// The state that the threads of a proxy share.
struct ProxyState {
    links: Mutex<Links>,
    processes: Mutex<Processes>,
    delayed: DelayedDatagrams,
    /// The socket from which datagrams are forwarded.
    outgoing_socket: UdpSocket,
    has_ended: AtomicBool,
    /// Errors of the proxy itself, because of which a fault could not be applied.
    errors: Mutex<Vec<String>>,
}

/// Forwards all traffic between the processes of a testbed, with the faults of its links. Its
/// threads end after it is dropped.
pub struct NetworkProxy(Arc<ProxyState>);

impl NetworkProxy {
    /// Creates a proxy without processes. Faults are drawn from this seed.
    ///
    /// # Errors
    /// A socket or a thread can't be created.
    pub fn new(seed: u64) -> io::Result<NetworkProxy> {
        let state = Arc::new(ProxyState {
            links: Mutex::new(Links::new(seed)),
            processes: Mutex::default(),
            delayed: DelayedDatagrams::default(),
            outgoing_socket: UdpSocket::bind("127.0.0.1:0")?,
            has_ended: AtomicBool::new(false),
            errors: Mutex::default(),
        });
        let shared = state.clone();
        spawn_thread("delayed", move || shared.deliver_delayed_datagrams())?;
        Ok(NetworkProxy(state))
    }

    /// Calls `change` with the links and returns its result.
    pub fn with_links<T>(&self, change: impl FnOnce(&mut Links) -> T) -> T {
        change(&mut lock(&self.0.links))
    }

    /// Returns the errors of the proxy itself so far, such as a connection whose process is not
    /// known. The faults of its link could then not be applied.
    pub fn errors(&self) -> Vec<String> {
        lock(&self.0.errors).clone()
    }

    /// Adds a process, and opens the addresses by which others reach it.
    ///
    /// # Errors
    /// A socket or a thread can't be created.
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

    /// Allows a process to receive datagrams from addresses that are not registered.
    pub fn accept_unknown_senders(&self, name: &str) {
        let mut processes = lock(&self.0.processes);
        processes.accept_unknown_senders.insert(name.into());
    }

    /// Sets the process id of a process.
    pub fn set_pid(&self, name: &str, pid: u32) {
        lock(&self.0.processes).pids.insert(name.into(), pid);
    }

    /// Sets the address at which the process itself receives datagrams. It sends from the same
    /// address.
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

    /// Sets the address at which the process itself accepts connections.
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
        .stack_size(THREAD_STACK_BYTES)
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
