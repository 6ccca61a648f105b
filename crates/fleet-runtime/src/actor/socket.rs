//! The actor's UDP socket. Binds it, even while another process still uses the address, and counts
//! and logs dropped datagrams.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use membership::{Body, Packet};
use mio::net::UdpSocket;
use mio::{Interest, Poll};
use slog::{debug, warn, Logger};

use crate::config::Config;

use super::SOCKET;

/// Interval between attempts to bind the configured address while another process uses it.
pub(super) const REBIND_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

pub(super) struct FleetSocket {
    /// `None` while another process uses the only address that other members know.
    socket: Option<UdpSocket>,
    /// Time of the next attempt to bind the configured address. `None` once it is bound.
    rebind_at: Option<Instant>,
    dropped_datagrams: u64,
    drop_logged_at: Option<Instant>,
    log: Logger,
}

impl FleetSocket {
    /// Binds the configured address. While the process that this one replaces still uses it, a
    /// temporary port is bound instead. If the configuration advertises an address, no socket is
    /// bound until then, as others could not learn a second address.
    pub(super) fn bind(config: &Config, poll: &Poll, log: &Logger) -> io::Result<FleetSocket> {
        let mut rebind_at = None;
        let socket = match bind_udp(config.listen, poll) {
            Ok(socket) => Some(socket),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                rebind_at = Some(Instant::now() + REBIND_INTERVAL);
                let temporary = SocketAddr::new(config.listen.ip(), 0);
                match config.advertise {
                    Some(_) => None,
                    None => Some(bind_udp(temporary, poll)?),
                }
            }
            Err(e) => return Err(e),
        };
        Ok(FleetSocket {
            socket,
            rebind_at,
            dropped_datagrams: 0,
            drop_logged_at: None,
            log: log.clone(),
        })
    }

    pub(super) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Returns the address of the socket. `None` while there is no socket.
    pub(super) fn local_address(&self) -> io::Result<Option<SocketAddr>> {
        self.socket.as_ref().map(UdpSocket::local_addr).transpose()
    }

    pub(super) fn rebind_at(&self) -> Option<Instant> {
        self.rebind_at
    }

    /// Tries to bind the configured address again if that is due. Returns true if this call has
    /// bound it.
    pub(super) fn rebind_if_due(&mut self, listen: SocketAddr, poll: &Poll) -> bool {
        let now = Instant::now();
        if self.rebind_at.is_none_or(|rebind_at| rebind_at > now) {
            return false;
        }
        let Ok(socket) = bind_udp(listen, poll) else {
            self.rebind_at = Some(now + REBIND_INTERVAL);
            return false;
        };
        self.socket = Some(socket);
        self.rebind_at = None;
        true
    }

    /// Receives a datagram. Returns [`ErrorKind::WouldBlock`] if there is none or no socket.
    pub(super) fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        match &self.socket {
            Some(socket) => socket.recv_from(buffer),
            None => Err(ErrorKind::WouldBlock.into()),
        }
    }

    /// Sends a datagram. A datagram that can't be sent is lost, which the protocols tolerate.
    pub(super) fn send(&self, to: SocketAddr, mut packet: Packet) {
        if let Body::QueryReply { summary, .. } = &mut packet.body {
            summary.dropped = self.dropped_datagrams;
        }
        let Some(socket) = &self.socket else {
            return;
        };
        if let Err(e) = socket.send_to(&packet.encode(), to) {
            debug!(self.log, "datagram not sent"; "to" => %to, "error" => %e);
        }
    }

    /// Counts a dropped datagram, and logs at most one per [`DROP_LOG_INTERVAL`].
    pub(super) fn record_drop(&mut self, source: SocketAddr, reason: &dyn fmt::Display) {
        self.dropped_datagrams += 1;
        let now = Instant::now();
        let is_log_due = self
            .drop_logged_at
            .is_none_or(|logged_at| now.duration_since(logged_at) >= DROP_LOG_INTERVAL);
        if is_log_due {
            self.drop_logged_at = Some(now);
            warn!(self.log, "datagram dropped"; "from" => %source, "reason" => %reason,
                "total" => self.dropped_datagrams);
        }
    }
}

fn bind_udp(address: SocketAddr, poll: &Poll) -> io::Result<UdpSocket> {
    let mut socket = UdpSocket::bind(address)?;
    poll.registry()
        .register(&mut socket, SOCKET, Interest::READABLE)?;
    Ok(socket)
}
