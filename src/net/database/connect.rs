//! Opening connections to the database.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::{SockRef, TcpKeepalive};

/// Number of TCP keepalive probes sent on an idle connection within the unreachable timeout.
const KEEPALIVE_PROBES: u32 = 3;
/// The operating system takes the interval between keepalive probes in whole seconds.
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Begins to connect, without blocking, and registers the connection for events under `token`. The
/// operating system ends the connection once the peer's host has acknowledged nothing for
/// `unreachable_timeout`; zero disables this.
///
/// # Errors
/// Returns an error if the system has no free socket or cannot reach the address. Nothing was sent.
pub(super) fn connect(
    address: SocketAddr,
    registry: &Registry,
    token: usize,
    unreachable_timeout: Duration,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    // If this fails, the call is made all the same; an unreachable host is then detected only
    // after some 15 minutes.
    let _ = set_unreachable_timeout(&stream, unreachable_timeout);
    let interest = Interest::READABLE | Interest::WRITABLE;
    registry.register(&mut stream, Token(token), interest)?;
    Ok(stream)
}

/// Makes the operating system end the connection once the peer's host has acknowledged nothing for
/// this long. Nothing else detects an unreachable host: by default the system retransmits written
/// data for some 15 minutes, and a read never returns.
fn set_unreachable_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    if timeout.is_zero() {
        return Ok(());
    }
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    // Once all written data is acknowledged, only keepalive probes detect a host that has become
    // unreachable since.
    let probe_interval = (timeout / KEEPALIVE_PROBES).max(MIN_KEEPALIVE_INTERVAL);
    let probes = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval);
    socket.set_tcp_keepalive(&probes)
}
