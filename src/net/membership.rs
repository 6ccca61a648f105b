//! The actor of the list: it reports the node to the membership service.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use crossbeam_channel::{after, select, Receiver};
use lifecycle::EndpointReport;
use slog::{warn, Logger};

use crate::node::{Limits, NodeStatus};

/// What the list's actor is told.
pub enum Report {
    /// The state has changed: what it asks for is not to wait for the next turn.
    Changed,
    /// The service is here now.
    To(SocketAddr),
}

/// Reports until its mailbox is gone, what the state of the process asks for: see [`ProcessState::endpoint_report`].
///
/// [`ProcessState::endpoint_report`]: lifecycle::ProcessState::endpoint_report
pub fn run(
    mut to: SocketAddr,
    name: &str,
    limits: &Limits,
    node_status: &Arc<NodeStatus>,
    inbox: &Receiver<Report>,
    log: &Logger,
) {
    let mut socket = match bind(to) {
        Ok(socket) => socket,
        Err(e) => return warn!(log, "no socket for the list"; "error" => %e),
    };
    loop {
        let word = match node_status.process_state().endpoint_report() {
            EndpointReport::Nothing => None,
            EndpointReport::Up => Some("UP"),
            EndpointReport::Out => Some("OUT"),
        };
        if let Some(word) = word {
            // No answer comes, and a lost report is made good by the next one.
            if let Err(e) = socket.send_to(format!("HB {name} {word}").as_bytes(), to) {
                warn!(log, "report not sent"; "error" => %e);
            }
        }
        // Until the executor is up there is nothing to report, but the first report should not wait long.
        let pause = if word.is_some() {
            limits.report_interval
        } else {
            limits.report_interval / 20
        };
        select! {
            recv(inbox) -> msg => match msg {
                Ok(Report::Changed) => {}
                Ok(Report::To(moved)) => {
                    to = moved;
                    match bind(to) {
                        Ok(fresh) => socket = fresh,
                        Err(e) => warn!(log, "no new socket for the list"; "error" => %e),
                    }
                }
                Err(_) => return,
            },
            recv(after(pause)) -> _ => {}
        }
    }
}

fn bind(to: SocketAddr) -> io::Result<UdpSocket> {
    let from: IpAddr = match to.ip() {
        IpAddr::V4(ip) if ip.is_loopback() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    UdpSocket::bind((from, 0))
}
