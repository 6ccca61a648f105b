//! The listener's server in the test's own thread: it does nothing but in the steps that the test takes.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver};
use protocol_gateway::net::jsonrpc::{NodeContext, ServerLoop};
use protocol_gateway::node::{Answer, Arrival, Limits, Outcome, PolicyMessage};
use protocol_gateway::wire::Site;
use protocol_gateway::Span;
use serde_json::Value;
use slog::{o, Discard, Logger};
use test_doubles::{small_site_settings, TestClient};

/// A server that the test steps, and the policy's mailbox.
pub(crate) struct SteppedServer {
    pub server: ServerLoop,
    pub mailbox: Receiver<PolicyMessage>,
    pub address: SocketAddr,
}

impl SteppedServer {
    /// Starts a server on loopback with these changes to its limits.
    pub(crate) fn new(change: impl FnOnce(&mut Limits)) -> SteppedServer {
        let site = Arc::new(Site::from_json(&small_site_settings()).expect("settings"));
        let mut limits = Limits::new(512);
        change(&mut limits);
        let (policy, mailbox) = bounded(limits.policy.mailbox);
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address = listener.local_addr().expect("bound");
        let context = NodeContext {
            site,
            node_status: Arc::default(),
            policy,
        };
        let mut server =
            ServerLoop::new(context, &limits, &Logger::root(Discard, o!())).expect("a server");
        server.listen(listener, Instant::now()).expect("it listens");
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
            assert!(Instant::now() < end, "waited in vain: {what}");
            self.server
                .step(Some(Duration::from_millis(1)))
                .expect("a step");
        }
    }

    /// Connects a client and waits until the server has accepted it.
    pub(crate) fn connect(&mut self) -> TestClient {
        let before = self.server.connection_count();
        let peer = TestClient::connect(self.address);
        self.step_until("it is accepted", |stepped| {
            stepped.server.connection_count() == before + 1
        });
        peer
    }

    /// The next request that reaches the policy.
    pub(crate) fn next_arrival(&mut self) -> Arrival {
        let mut got = None;
        self.step_until("a request is read", |stepped| {
            got = stepped.mailbox.try_recv().ok();
            got.is_some()
        });
        match got {
            Some(PolicyMessage::RequestArrived(arrival)) => *arrival,
            _ => panic!("something else came"),
        }
    }

    /// The next answer on this connection; a goodbye before it is skipped.
    pub(crate) fn next_answer(&mut self, peer: &mut TestClient) -> Value {
        loop {
            self.step_until("a message comes", |_| has_input(peer));
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

/// Whether a message or the end of the connection has come for this peer; reads nothing.
pub(crate) fn has_input(peer: &TestClient) -> bool {
    peer.stream.set_nonblocking(true).expect("an option");
    let is_readable = peer.stream.peek(&mut [0]).is_ok();
    peer.stream.set_nonblocking(false).expect("an option");
    is_readable
}
