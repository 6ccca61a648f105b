//! The actor of the list: it reports the node to the membership service.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use crossbeam_channel::{after, select, Receiver};
use slog::{warn, Logger};

use crate::node::{Board, Limits};

/// What the list's actor is told.
pub enum Report {
    /// Leave the list.
    Out,
}

/// Reports until its mailbox is gone: `UP` from the executor's start on, `OUT` from the notice to leave on.
pub fn run(
    to: SocketAddr,
    name: &str,
    limits: &Limits,
    board: &Arc<Board>,
    inbox: &Receiver<Report>,
    log: &Logger,
) {
    let socket = match UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).or_else(|_| UdpSocket::bind("0.0.0.0:0")) {
        Ok(socket) => socket,
        Err(e) => return warn!(log, "no socket for the list"; "error" => %e),
    };
    let mut state = "UP";
    loop {
        if board.serving() {
            // No answer comes, and a lost report is made good by the next one.
            if let Err(e) = socket.send_to(format!("HB {name} {state}").as_bytes(), to) {
                warn!(log, "report not sent"; "error" => %e);
            }
        }
        // Until the executor is up there is nothing to report, but the first report should not wait long.
        let pause = if board.serving() { limits.report } else { limits.report / 20 };
        select! {
            recv(inbox) -> msg => match msg {
                Ok(Report::Out) => state = "OUT",
                Err(_) => return,
            },
            recv(after(pause)) -> _ => {}
        }
    }
}
