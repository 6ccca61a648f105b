//! The sockets between the processes: one for datagrams and one for streams before each process, over which all others
//! reach it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use test_doubles::lock;

use crate::connection_owner::{find_owner, KnownProcess, Owner, OwnerError};
use crate::links::{Links, Stream};

/// Stack of a thread that carries bytes.
const STACK: usize = 128 * 1024;
/// Between looks of a thread at whether it is still wanted, and of a stalled stream at whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// How long a connection may wait until the process that made it is registered.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// The name on links of whatever is not a process of the testbed.
const OUTSIDE: &str = "outside";

/// The processes as the switch knows them.
#[derive(Default)]
struct Known {
    /// Whose datagrams come from there.
    senders: BTreeMap<SocketAddr, String>,
    /// Where those for a process go.
    datagrams: BTreeMap<String, SocketAddr>,
    /// Where streams to a process go.
    streams: BTreeMap<String, SocketAddr>,
    processes: BTreeMap<String, u32>,
    /// Processes that anybody may send to, faults or not.
    open: BTreeSet<String>,
}

struct Late {
    at: Instant,
    order: u64,
    to: String,
    bytes: Vec<u8>,
}
impl PartialEq for Late {
    fn eq(&self, other: &Late) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Late {}
impl PartialOrd for Late {
    fn partial_cmp(&self, other: &Late) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Late {
    fn cmp(&self, other: &Late) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Shared {
    links: Mutex<Links>,
    known: Mutex<Known>,
    late: Mutex<(BinaryHeap<Reverse<Late>>, u64)>,
    later: Condvar,
    out: UdpSocket,
    ended: AtomicBool,
    /// What went wrong in the testbed itself.
    errors: Mutex<Vec<String>>,
}

/// Carries all that goes between the processes of a rig. Its threads end with the value.
pub struct Switch(Arc<Shared>);

impl Drop for Switch {
    fn drop(&mut self) {
        self.0.ended.store(true, SeqCst);
        self.0.later.notify_all();
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(body)
        .map(drop)
}

/// Refuses any place that is not on this machine.
fn loopback(at: SocketAddr) -> io::Result<SocketAddr> {
    if at.ip().is_loopback() {
        Ok(at)
    } else {
        Err(io::Error::new(
            ErrorKind::InvalidInput,
            format!("{at} is not on loopback"),
        ))
    }
}

impl Switch {
    /// A switch that nobody is connected to.
    pub fn new(seed: u64) -> io::Result<Switch> {
        let shared = Arc::new(Shared {
            links: Mutex::new(Links::new(seed)),
            known: Mutex::default(),
            late: Mutex::default(),
            later: Condvar::new(),
            out: UdpSocket::bind("127.0.0.1:0")?,
            ended: AtomicBool::new(false),
            errors: Mutex::default(),
        });
        let own = shared.clone();
        spawn("late", move || own.carry_late())?;
        Ok(Switch(shared))
    }
    /// The links, to put faults on them.
    pub fn links<T>(&self, change: impl FnOnce(&mut Links) -> T) -> T {
        change(&mut lock(&self.0.links))
    }
    /// Errors of the testbed itself so far, such as a connection whose process is not known: a fault on its link could not be
    /// applied.
    pub fn errors(&self) -> Vec<String> {
        lock(&self.0.errors).clone()
    }
    /// Places before a process: where others send it datagrams, and where they connect to it.
    pub fn connect(&self, name: &str) -> io::Result<(SocketAddr, SocketAddr)> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(LOOK * 5))?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let at = (socket.local_addr()?, listener.local_addr()?);
        let (shared, to) = (self.0.clone(), name.to_string());
        spawn("datagrams", move || shared.carry_datagrams(&socket, &to))?;
        let (shared, to) = (self.0.clone(), name.to_string());
        spawn("streams", move || shared.accept(&listener, &to))?;
        Ok(at)
    }
    /// Anybody may send to this process, also from addresses that the switch does not know.
    pub fn open(&self, name: &str) {
        lock(&self.0.known).open.insert(name.into());
    }
    /// A process runs under this id.
    pub fn runs(&self, name: &str, pid: u32) {
        lock(&self.0.known).processes.insert(name.into(), pid);
    }
    /// Where the process itself hears datagrams, which are its own sender's address as well.
    pub fn hears(&self, name: &str, at: SocketAddr) -> io::Result<()> {
        let at = loopback(at)?;
        let mut known = lock(&self.0.known);
        known.senders.retain(|_, who| who != name);
        known.senders.insert(at, name.into());
        known.datagrams.insert(name.into(), at);
        Ok(())
    }
    /// Where the process itself takes connections.
    pub fn serves(&self, name: &str, at: SocketAddr) -> io::Result<()> {
        lock(&self.0.known)
            .streams
            .insert(name.into(), loopback(at)?);
        Ok(())
    }
}

impl Shared {
    fn carry_datagrams(&self, socket: &UdpSocket, to: &str) {
        let mut bytes = vec![0; 65_536];
        while !self.ended.load(SeqCst) {
            let Ok((n, source)) = socket.recv_from(&mut bytes) else {
                continue;
            };
            let known = lock(&self.known);
            let outside = || known.open.contains(to).then(|| OUTSIDE.to_string());
            let from = known.senders.get(&source).cloned().or_else(outside);
            drop(known);
            // What comes from nobody that we know is a process that has only begun.
            let Some(from) = from else { continue };
            for copy in lock(&self.links).datagram(&from, to) {
                let mut bytes = bytes[..n].to_vec();
                if let Some((place, by)) = copy.garbled.filter(|_| n > 0) {
                    bytes[place % n] ^= by;
                }
                if copy.after.is_zero() {
                    self.deliver(to, &bytes);
                } else {
                    let mut late = lock(&self.late);
                    late.1 += 1;
                    let order = late.1;
                    late.0.push(Reverse(Late {
                        at: Instant::now() + copy.after,
                        order,
                        to: to.into(),
                        bytes,
                    }));
                    self.later.notify_one();
                }
            }
        }
    }
    fn deliver(&self, to: &str, bytes: &[u8]) {
        let at = lock(&self.known).datagrams.get(to).copied();
        if let Some(at) = at {
            // Nobody there: it is lost, as it would be.
            let _ = self.out.send_to(bytes, at);
        }
    }
    fn carry_late(&self) {
        let mut late = lock(&self.late);
        while !self.ended.load(SeqCst) {
            let now = Instant::now();
            if late.0.peek().is_some_and(|Reverse(l)| l.at <= now) {
                if let Some(Reverse(due)) = late.0.pop() {
                    drop(late);
                    self.deliver(&due.to, &due.bytes);
                    late = lock(&self.late);
                }
                continue;
            }
            let wait = late
                .0
                .peek()
                .map_or(LOOK * 5, |Reverse(l)| l.at.saturating_duration_since(now));
            late = match self.later.wait_timeout(late, wait) {
                Ok((late, _)) => late,
                Err(_) => return,
            };
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, to: &str) {
        while !self.ended.load(SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (shared, to) = (self.clone(), to.to_string());
                    // Without a thread it can't be carried: it is closed.
                    let _ = spawn("stream", move || shared.carry_stream(stream, &to));
                }
                Err(_) => thread::sleep(LOOK / 10),
            }
        }
    }
    fn carry_stream(self: &Arc<Self>, from: TcpStream, to: &str) {
        let Some(who) = self.wait_for_owner(&from) else {
            return;
        };
        // A connection to one that can't be reached is not made, and nobody is told.
        while !lock(&self.links).passes(&who, to) || !lock(&self.links).passes(to, &who) {
            if self.ended.load(SeqCst) {
                return;
            }
            thread::sleep(LOOK);
        }
        let at = lock(&self.known).streams.get(to).copied();
        let Some(there) =
            at.and_then(|at| TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok())
        else {
            return;
        };
        let _ = (from.set_nodelay(true), there.set_nodelay(true));
        let (Ok(back_from), Ok(back_there)) = (there.try_clone(), from.try_clone()) else {
            return;
        };
        let (shared, back, forth) = (
            self.clone(),
            (to.to_string(), who.clone()),
            (who, to.to_string()),
        );
        let _ = spawn("stream", move || shared.pump(back_from, back_there, &back));
        self.pump(from, there, &forth);
    }
    /// The name of the process that made a connection. A connection that is closed already has none; one of a process that
    /// stays unknown is recorded as an error of the testbed.
    fn wait_for_owner(&self, from: &TcpStream) -> Option<String> {
        let (Ok(peer), Ok(own)) = (from.peer_addr(), from.local_addr()) else {
            return None;
        };
        let deadline = Instant::now() + OWNER_TIMEOUT;
        loop {
            match find_owner(peer, own, &self.known_processes()) {
                Ok(Owner::Process(name)) => return Some(name),
                Ok(Owner::Closed) => return None,
                // A process that has only begun may connect before its id is registered.
                Err(OwnerError::UnknownProcess(_)) if Instant::now() < deadline => {
                    thread::sleep(LOOK);
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
        lock(&self.known)
            .processes
            .iter()
            .map(|(name, pid)| KnownProcess {
                name: name.clone(),
                pid: *pid,
            })
            .chain([outside])
            .collect()
    }
    /// Carries one direction of a stream until its end.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, (a, b): &(String, String)) {
        let began = lock(&self.links).begin(a, b);
        let _ = from.set_read_timeout(Some(LOOK));
        let mut bytes = vec![0; 16 * 1024];
        let cut = loop {
            if self.ended.load(SeqCst) {
                break true;
            }
            let n = match from.read(&mut bytes) {
                Ok(0) => break false,
                Ok(n) => n,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) =>
                {
                    if lock(&self.links).stream(a, b, began) == Stream::Cut {
                        break true;
                    }
                    continue;
                }
                Err(_) => break true,
            };
            let passes = loop {
                let verdict = lock(&self.links).stream(a, b, began);
                match verdict {
                    Stream::Pass(after) => {
                        if !after.is_zero() {
                            thread::sleep(after);
                        }
                        break true;
                    }
                    Stream::Stall if !self.ended.load(SeqCst) => thread::sleep(LOOK),
                    Stream::Stall | Stream::Cut => break false,
                }
            };
            if !passes || to.write_all(&bytes[..n]).is_err() {
                break true;
            }
        };
        if cut {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        } else {
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}
