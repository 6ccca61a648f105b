//! The database call pool in the test's process, with limits that each test sets.
#![allow(dead_code)] // Each test program uses a part of it.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver};
use protocol_gateway::net::{database, PeerAddress};
use protocol_gateway::node::{
    CallResult, DatabaseCall, Limits, Payload, PolicyMessage, RequestUid,
};
use protocol_gateway::RequestId;
use slog::{o, Discard, Logger};

/// A call pool and the messages that it has sent to the policy.
pub(crate) struct TestPool {
    pub(crate) calls: database::CallSender,
    policy_inbox: Receiver<PolicyMessage>,
    /// Number of abandoned calls that may still be in progress, as last reported.
    pub(crate) unconfirmed: Cell<usize>,
}

/// Returns the uid of the request that calls are made for by default.
pub(crate) fn uid() -> RequestUid {
    RequestUid::from_number(7)
}

impl TestPool {
    /// Starts a pool of calls to this address, with changed limits.
    pub(crate) fn start(
        address: std::net::SocketAddr,
        change: impl FnOnce(&mut Limits),
    ) -> TestPool {
        let mut limits = Limits::new(1024);
        change(&mut limits);
        let (policy, policy_inbox) = bounded(8);
        let log = Logger::root(Discard, o!());
        let calls = database::start(
            &Arc::new(PeerAddress::new(address)),
            None,
            &limits,
            &policy,
            &log,
        )
        .expect("the pool's threads start");
        TestPool {
            calls,
            policy_inbox,
            unconfirmed: Cell::new(0),
        }
    }

    /// Waits for the next message of the pool.
    pub(crate) fn next_message(&self) -> PolicyMessage {
        let message = self.policy_inbox.recv_timeout(Duration::from_secs(20));
        let message = message.expect("the pool sends a message");
        if let PolicyMessage::UnconfirmedCallsChanged(count) = message {
            self.unconfirmed.set(count);
        }
        message
    }

    /// Waits until the pool reports this number of abandoned calls that may still be in progress.
    pub(crate) fn wait_for_unconfirmed(&self, count: usize) {
        while self.unconfirmed.get() != count {
            self.next_message();
        }
    }

    /// Makes a call for the request of [`uid`] and returns its outcome.
    pub(crate) fn call(&self, body: &str, timeout: Duration) -> String {
        self.call_for(uid(), body, timeout)
    }

    /// Makes a call for a request and returns its outcome.
    pub(crate) fn call_for(&self, uid: RequestUid, body: &str, timeout: Duration) -> String {
        let payload = Payload::from_bytes(body.as_bytes());
        assert!(
            self.calls.try_send(DatabaseCall {
                id: RequestId(1),
                uid,
                payload,
                timeout
            }),
            "the mailbox is full"
        );
        let mut message = self.next_message();
        while matches!(message, PolicyMessage::UnconfirmedCallsChanged(_)) {
            message = self.next_message();
        }
        match message {
            PolicyMessage::CallEnded {
                id: RequestId(1),
                result: CallResult::Reply(body),
                ..
            } => String::from_utf8(body.to_bytes().expect("base64")).expect("utf-8"),
            PolicyMessage::CallEnded {
                result: CallResult::NeverRan,
                ..
            } => "never ran".into(),
            PolicyMessage::CallEnded {
                result: CallResult::Unknown,
                ..
            } => "unknown".into(),
            _ => panic!("expected the end of a call"),
        }
    }
}

/// Longer than any test waits for a call.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(20);
