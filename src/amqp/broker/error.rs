//! Why a connection to a broker ended.

use std::io;

use amq_protocol::protocol::connection::Close;
use thiserror::Error;

use super::super::consumer::ChannelError;

/// Why a connection to a broker could not be made, or ended.
#[derive(Debug, Error)]
pub(super) enum BrokerError {
    /// Connecting or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The broker's name has no address.
    #[error("no address")]
    NoAddress,
    /// The broker supports no authentication that the node does.
    #[error("the broker offers no PLAIN, only {0}")]
    NoPlainAuthentication(String),
    /// The broker allows fewer channels than there are queues.
    #[error("the broker allows {0} channels")]
    TooFewChannels(u16),
    /// The handshake continued otherwise than with this method.
    #[error("the broker did not send {0}")]
    MissingMethod(&'static str),
    /// The broker closed the connection in the handshake or while it was being closed.
    #[error("refused: {code} {text}")]
    Rejected { code: u16, text: String },
    /// The broker closed the connection.
    #[error("closed by the broker: {code} {text}")]
    ClosedByBroker { code: u16, text: String },
    /// The broker sent what is not allowed at this point.
    #[error("unexpected {0}")]
    Unexpected(String),
    /// The broker sent a frame on a channel that is not open.
    #[error("a frame on channel {0}")]
    UnknownChannel(u16),
    /// A consumer's channel failed.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// Reading ended.
    #[error("connection lost")]
    ConnectionLost,
    /// The broker did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The broker sent nothing for several heartbeat intervals.
    #[error("no heartbeat")]
    NoHeartbeat,
    /// The mailbox was full and answers were lost: without the connection everything is delivered again.
    #[error("no capacity for answers")]
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
