//! The endpoint list actor: reports the node's state to the service that maintains the list.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use crossbeam_channel::{after, select, Receiver};
use lifecycle::EndpointReport;
use slog::{warn, Logger};

use crate::node::{Limits, NodeStatus};

/// Number of checks of the state per report interval while there is nothing to report, so that the
/// first report is not delayed for long.
const CHECKS_PER_INTERVAL: u32 = 20;

/// A message to the endpoint list actor.
pub enum EndpointListMessage {
    /// The state of the process has changed and must be reported immediately.
    StateChanged,
    /// The address of the service has changed.
    AddressChanged(SocketAddr),
}

/// Sends the reports that the state of the process requires until the mailbox is disconnected; see
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
        Err(e) => return warn!(log, "cannot bind a socket for endpoint reports"; "error" => %e),
    };
    loop {
        let status = status_word(node_status.process_state().endpoint_report());
        if let Some(status) = status {
            // Reports have no reply; the next report makes up for a lost one.
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
                        Err(e) => warn!(log, "cannot bind a socket for the new address of the endpoint list"; "error" => %e),
                    }
                }
                Err(_) => return,
            },
            recv(after(delay)) -> _ => {}
        }
    }
}

/// Returns the status word of the protocol; `None` if nothing is to be reported.
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
