//! The errors that prevent or end a connection to a broker.

use std::io;

use amq_protocol::protocol::connection::Close;
use thiserror::Error;

/// Why a connection to a broker could not be made, or ended.
#[derive(Debug, Error)]
pub(super) enum BrokerError {
    /// Connecting or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The broker's host name does not resolve to an address.
    #[error("the broker's host name does not resolve to an address")]
    NoAddress,
    /// The broker does not offer PLAIN, the only authentication that the node supports.
    #[error("the broker does not offer PLAIN authentication, only {0}")]
    NoPlainAuthentication(String),
    /// The broker allows fewer channels than there are queues.
    #[error("the broker allows {0} channels")]
    TooFewChannels(u16),
    /// The next method of the handshake was not this one.
    #[error("the broker did not send {0}")]
    MissingMethod(&'static str),
    /// The broker closed the connection in the handshake or while it was being closed.
    #[error("rejected by the broker: {code} {text}")]
    Rejected { code: u16, text: String },
    /// The broker closed the connection.
    #[error("closed by the broker: {code} {text}")]
    ClosedByBroker { code: u16, text: String },
    /// The broker sent a method or frame that is not allowed in this state.
    #[error("unexpected {0}")]
    Unexpected(String),
    /// The broker sent a frame on a channel that is not open.
    #[error("frame on channel {0}, which is not open")]
    UnknownChannel(u16),
    /// The thread that reads frames has ended.
    #[error("connection lost")]
    ConnectionLost,
    /// The broker did not answer in time.
    #[error("timed out waiting for the broker")]
    TimedOut,
    /// The broker sent nothing for several heartbeat intervals.
    #[error("no frame or heartbeat received")]
    NoHeartbeat,
    /// The mailbox was full and answers were lost. Dropping the connection makes the broker deliver
    /// everything unsettled again.
    #[error("mailbox full, answers lost")]
    AnswersLost,
    /// The policy's actor has ended.
    #[error("the policy has ended")]
    PolicyEnded,
}

impl BrokerError {
    pub(super) fn rejected(close: &Close) -> BrokerError {
        BrokerError::Rejected {
            code: close.reply_code,
            text: close.reply_text.to_string(),
        }
    }

    pub(super) fn closed_by_broker(close: &Close) -> BrokerError {
        BrokerError::ClosedByBroker {
            code: close.reply_code,
            text: close.reply_text.to_string(),
        }
    }

    pub(super) fn unexpected(received: &impl std::fmt::Debug) -> BrokerError {
        BrokerError::Unexpected(format!("{received:?}"))
    }
}
