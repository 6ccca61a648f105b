//! Handles the messages of the JSON-RPC server's clients: passes requests to the policy, whose
//! answers arrive through the mailbox.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use client_listener::protocol::INVALID_REQUEST;
use client_listener::{ClientHandler, ClientListener, ClientMessage, RequestHandle};
use crossbeam_channel::Receiver;
use mio::net::TcpStream;
use slog::{info, warn, Logger};

use super::answer::{answer_line, health_line, too_many_requests_line, violation_line};
use super::mailbox::{Mailbox, ServerCommand};
use super::message::{parse_line, ClassifiedRequest};
use super::server_loop::NodeContext;
use crate::node::{ArrivalId, PolicyMessage, RateLimitedLog, Responder};

/// The JSON-RPC handler of the client listener.
pub(super) struct RequestHandler {
    pub(super) context: NodeContext,
    pub(super) mailbox: Arc<Mailbox>,
    pub(super) commands: Receiver<ServerCommand>,
    pub(super) log: Logger,
    /// For log lines that any client can trigger.
    pub(super) rate_limited_log: RateLimitedLog,
}

/// Open requests of a connection by the id that the client gave them.
type OpenRequests = HashMap<u64, ArrivalId>;

impl ClientHandler for RequestHandler {
    type ConnectionData = OpenRequests;
    type Request = ClassifiedRequest;

    fn parse_line(&self, line: &[u8]) -> ClientMessage<ClassifiedRequest> {
        parse_line(line, &self.context.site)
    }

    fn health_answer(&self, id: u64, _now: Instant) -> String {
        let status = &self.context.node_status;
        health_line(id, status.is_healthy(), status.capacity_hint())
    }

    fn line_too_long_answer(&self) -> String {
        violation_line(None, INVALID_REQUEST, "a line is too long")
    }

    fn duplicate_id_answer(&self) -> String {
        violation_line(None, INVALID_REQUEST, "a request with this id is open")
    }

    fn too_many_requests_answer(&self, id: u64) -> String {
        too_many_requests_line(id)
    }

    fn handle_request(
        &mut self,
        clients: &mut ClientListener<Self>,
        handle: RequestHandle,
        request: ClassifiedRequest,
        _now: Instant,
    ) {
        let mailbox = self.mailbox.clone();
        let id = ArrivalId::next();
        let responder = Responder::new(move |answer| {
            mailbox.send(ServerCommand::Answer {
                handle,
                arrival: id,
                answer,
            });
        });
        let site = &self.context.site;
        let arrival = request
            .params
            .into_arrival(id, request.class, site, responder);
        if let Some(open_requests) = clients.connection_data(handle.connection) {
            open_requests.insert(handle.id, id);
        }
        // Fails only if the policy's thread has terminated, and then the node terminates as well.
        let _ = self
            .context
            .policy
            .send(PolicyMessage::RequestArrived(Box::new(arrival)));
    }

    fn cancel_request(
        &mut self,
        clients: &mut ClientListener<Self>,
        handle: RequestHandle,
        now: Instant,
    ) {
        // The request has been answered, or there was none with this id.
        let Some(arrival) = remove_open_request(clients, handle) else {
            return;
        };
        clients.abandon_request(handle, now);
        let _ = self
            .context
            .policy
            .send(PolicyMessage::CallerStoppedWaiting(arrival));
    }

    fn before_turns(&mut self, clients: &mut ClientListener<Self>, now: Instant) {
        let mailbox = self.mailbox.clone();
        let commands = self.commands.clone();
        let mut answered = Vec::new();
        for command in mailbox.drain(&commands) {
            match command {
                ServerCommand::Answer {
                    handle,
                    arrival,
                    answer,
                } => {
                    if Self::close_answered(clients, handle, arrival, now) {
                        let line = answer_line(handle.id, &answer);
                        clients.enqueue_line(handle.connection, &line, now);
                        answered.push(handle.connection);
                    }
                }
                ServerCommand::SendCloseNotices => clients.send_close_notice_to_all(now),
                ServerCommand::Listen(socket) => {
                    if let Err(e) = listen_on(clients, socket, now) {
                        // Not caused by anything that a client does.
                        warn!(self.log, "JSON-RPC server: listen failed"; "error" => %e);
                    }
                }
                ServerCommand::StopListening => clients.stop_listening(self, now),
            }
        }
        clients.flush_answers(&answered, now);
    }

    fn connection_lost(&mut self, open_requests: OpenRequests) {
        let arrivals = open_requests.into_values().collect();
        let _ = self
            .context
            .policy
            .send(PolicyMessage::ClientDisconnected(arrivals));
    }

    fn connection_rejected(&self, error: &io::Error) {
        self.rate_limited_log.log(
            |suppressed| warn!(self.log, "client connection rejected"; "error" => %error, "more" => suppressed),
        );
    }

    fn protocol_violated(&self, peer: &TcpStream, answer: &str) {
        self.rate_limited_log.log(|suppressed| {
            let peer = peer.peer_addr().map(|a| a.to_string()).unwrap_or_default();
            info!(self.log, "client violated the protocol"; "peer" => peer, "answer" => answer.trim_end(), "more" => suppressed);
        });
    }
}

impl RequestHandler {
    /// Records that a request is answered. Returns false if its client no longer waits for it. At a
    /// site whose clients cancel, the same id may by then stand for another request.
    fn close_answered(
        clients: &mut ClientListener<Self>,
        handle: RequestHandle,
        arrival: ArrivalId,
        now: Instant,
    ) -> bool {
        let open_requests = clients.connection_data(handle.connection);
        let open = open_requests.and_then(|requests| requests.get(&handle.id));
        if open != Some(&arrival) {
            return false;
        }
        remove_open_request(clients, handle);
        clients.close_request(handle, now)
    }
}

fn remove_open_request(
    clients: &mut ClientListener<RequestHandler>,
    handle: RequestHandle,
) -> Option<ArrivalId> {
    let open_requests = clients.connection_data(handle.connection)?;
    let arrival = open_requests.remove(&handle.id);
    if open_requests.is_empty() {
        // Most connections are idle, and an empty map would keep its memory.
        *open_requests = OpenRequests::default();
    }
    arrival
}

/// Starts accepting connections on this socket.
pub(super) fn listen_on(
    clients: &mut ClientListener<RequestHandler>,
    socket: std::net::TcpListener,
    now: Instant,
) -> io::Result<()> {
    socket.set_nonblocking(true)?;
    clients.listen(mio::net::TcpListener::from_std(socket), now)
}
