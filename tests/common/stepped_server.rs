//! The listener's server on the test's thread: it makes progress only in the steps that the test
//! runs.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver};
use protocol_gateway::net::jsonrpc::{NodeContext, ServerLoop};
use protocol_gateway::node::{Answer, Arrival, ArrivalId, Limits, Outcome, PolicyMessage};
use protocol_gateway::wire::Site;
use protocol_gateway::Span;
use serde_json::Value;
use slog::{o, Discard, Logger};
use test_doubles::{small_site_settings, TestClient};

/// A server that the test steps, and the mailbox of the policy.
pub(crate) struct SteppedServer {
    pub server: ServerLoop,
    pub mailbox: Receiver<PolicyMessage>,
    pub address: SocketAddr,
}

impl SteppedServer {
    /// Starts a server on loopback with these changes to its limits.
    pub(crate) fn new(change: impl FnOnce(&mut Limits)) -> SteppedServer {
        SteppedServer::with_settings(&small_site_settings(), change)
    }

    /// Starts a server on loopback for a site with these settings, and with these changes to its
    /// limits.
    pub(crate) fn with_settings(
        settings: &Value,
        change: impl FnOnce(&mut Limits),
    ) -> SteppedServer {
        let site = Arc::new(Site::from_json(settings).expect("the settings are valid"));
        let mut limits = Limits::new(512);
        change(&mut limits);
        let (policy, mailbox) = bounded(limits.policy.mailbox);
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds");
        let address = listener.local_addr().expect("the socket is bound");
        let context = NodeContext {
            site,
            node_status: Arc::default(),
            policy,
        };
        let mut server = ServerLoop::new(context, &limits, &Logger::root(Discard, o!()))
            .expect("the server is created");
        server
            .listen(listener, Instant::now())
            .expect("the server listens");
        SteppedServer {
            server,
            mailbox,
            address,
        }
    }

    /// Steps the server until the condition holds.
    pub(crate) fn step_until(
        &mut self,
        what: &str,
        mut holds: impl FnMut(&mut SteppedServer) -> bool,
    ) {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(
                Instant::now() < end,
                "timed out after 20 s waiting until {what}"
            );
            self.server
                .step(Some(Duration::from_millis(1)))
                .expect("the step succeeds");
        }
    }

    /// Connects a client and waits until the server has accepted it.
    pub(crate) fn connect(&mut self) -> TestClient {
        let before = self.server.connection_count();
        let peer = TestClient::connect(self.address);
        self.step_until("the connection is accepted", |stepped| {
            stepped.server.connection_count() == before + 1
        });
        peer
    }

    /// Steps the server until a request reaches the policy, and returns the request.
    pub(crate) fn next_arrival(&mut self) -> Arrival {
        match self.next_message() {
            PolicyMessage::RequestArrived(arrival) => *arrival,
            _ => panic!("expected a request"),
        }
    }

    /// Steps the server until a cancellation reaches the policy, and returns the arrival that it
    /// names.
    pub(crate) fn next_cancellation(&mut self) -> ArrivalId {
        match self.next_message() {
            PolicyMessage::CallerStoppedWaiting(arrival) => arrival,
            _ => panic!("expected a cancellation"),
        }
    }

    /// Steps the server until the policy learns that a connection has closed, and returns the
    /// arrivals of the requests that were open on it.
    pub(crate) fn next_disconnect(&mut self) -> Vec<ArrivalId> {
        match self.next_message() {
            PolicyMessage::ClientDisconnected(arrivals) => arrivals,
            _ => panic!("expected the end of a connection"),
        }
    }

    fn next_message(&mut self) -> PolicyMessage {
        let mut message = None;
        self.step_until("a message reaches the policy", |stepped| {
            message = stepped.mailbox.try_recv().ok();
            message.is_some()
        });
        message.expect("a message was received")
    }

    /// Steps the server until an answer arrives on this connection, and returns it; skips a close
    /// notice.
    pub(crate) fn next_answer(&mut self, peer: &mut TestClient) -> Value {
        loop {
            self.step_until("the peer receives a message", |_| has_input(peer));
            let message = peer.read_message();
            if message["method"] != "farewell" {
                return message;
            }
        }
    }

    /// Answers a request as rejected.
    pub(crate) fn reject(arrival: Arrival) {
        let outcome = Outcome::Rejected {
            retry_after: Span(0),
            is_final: false,
        };
        arrival.responder.answer(Answer {
            outcome,
            capacity_hint: None,
        });
    }
}

/// Returns whether a message or the end of the connection has arrived for this peer, without
/// reading it.
pub(crate) fn has_input(peer: &TestClient) -> bool {
    peer.stream
        .set_nonblocking(true)
        .expect("the socket option is set");
    let is_readable = peer.stream.peek(&mut [0]).is_ok();
    peer.stream
        .set_nonblocking(false)
        .expect("the socket option is set");
    is_readable
}
