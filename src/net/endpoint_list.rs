//! The endpoint list's actor: it reports the node to the service that keeps the list.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use crossbeam_channel::{after, select, Receiver};
use lifecycle::EndpointReport;
use slog::{warn, Logger};

use crate::node::{Limits, NodeStatus};

/// While there is nothing to report, the state is checked this many times in a report interval: the first report should
/// not wait long.
const CHECKS_PER_INTERVAL: u32 = 20;

/// A message to the endpoint list's actor.
pub enum EndpointListMessage {
    /// The state of the process has changed: report it at once.
    StateChanged,
    /// The service has moved to this address.
    AddressChanged(SocketAddr),
}

/// Sends the reports that the state of the process asks for, until the mailbox is disconnected; see
/// [`ProcessState::endpoint_report`].
///
/// [`ProcessState::endpoint_report`]: lifecycle::ProcessState::endpoint_report
pub fn run(
    mut address: SocketAddr,
    name: &str,
    limits: &Limits,
    node_status: &Arc<NodeStatus>,
    inbox: &Receiver<EndpointListMessage>,
    log: &Logger,
) {
    let mut socket = match bind_for(address) {
        Ok(socket) => socket,
        Err(e) => return warn!(log, "no socket for the endpoint list"; "error" => %e),
    };
    loop {
        let status = status_word(node_status.process_state().endpoint_report());
        if let Some(status) = status {
            // There is no reply, and the next report makes up for a lost one.
            if let Err(e) = socket.send_to(format!("HB {name} {status}").as_bytes(), address) {
                warn!(log, "endpoint report not sent"; "error" => %e);
            }
        }
        let delay = match status {
            Some(_) => limits.report_interval,
            None => limits.report_interval / CHECKS_PER_INTERVAL,
        };
        select! {
            recv(inbox) -> message => match message {
                Ok(EndpointListMessage::StateChanged) => {}
                Ok(EndpointListMessage::AddressChanged(new_address)) => {
                    address = new_address;
                    match bind_for(address) {
                        Ok(new_socket) => socket = new_socket,
                        Err(e) => warn!(log, "no new socket for the endpoint list"; "error" => %e),
                    }
                }
                Err(_) => return,
            },
            recv(after(delay)) -> _ => {}
        }
    }
}

/// The status in a report, as the protocol spells it; `None` if nothing is to be reported.
fn status_word(report: EndpointReport) -> Option<&'static str> {
    match report {
        EndpointReport::Nothing => None,
        EndpointReport::Up => Some("UP"),
        EndpointReport::Out => Some("OUT"),
    }
}

/// Binds a socket that can send to this address.
fn bind_for(address: SocketAddr) -> io::Result<UdpSocket> {
    let local: IpAddr = match address.ip() {
        IpAddr::V4(ip) if ip.is_loopback() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    UdpSocket::bind((local, 0))
}
