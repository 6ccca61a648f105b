//! A consumer on a channel of its own, without a socket: it processes frames and answers, and returns the frames to send
//! and the deliveries for the policy. It settles every delivery exactly once: a delivery is in the table of unsettled ones
//! until its settlement is sent.

mod channel;
mod incoming;
mod reply;
mod settlement;

use std::collections::{BTreeMap, HashMap};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPMethod as Basic;
use amq_protocol::protocol::channel::{AMQPMethod as Channel, Open};
use amq_protocol::protocol::confirm::AMQPMethod as Confirm;
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::ShortString;
use thiserror::Error;

use incoming::IncomingMessage;
use settlement::{ConfirmAction, UnsettledDelivery};

/// The state of a consumer's channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelState {
    /// `channel.open` was sent.
    Opening,
    /// `confirm.select` was sent.
    Confirming,
    /// `basic.qos` was sent.
    Limiting,
    /// `basic.consume` was sent.
    Subscribing,
    /// Deliveries are received.
    Consuming,
    /// `basic.cancel` was sent; deliveries on their way are still received.
    Cancelling,
    /// No more deliveries are received; some are not settled yet.
    Cancelled,
    /// Every delivery is settled and `channel.close` was sent.
    Closing,
    /// The channel is closed.
    Closed,
}

/// The settings of a consumer.
#[derive(Clone, Debug)]
pub struct ConsumerSettings {
    /// The number of its channel.
    pub channel: u16,
    /// The name of its queue.
    pub queue: ShortString,
    /// The most deliveries that may be unsettled at once.
    pub prefetch: u16,
    /// Whether a message of this queue may run more than once.
    pub is_idempotent: bool,
    /// The most bytes of a message that is not rejected.
    pub max_message_bytes: usize,
    /// The most bytes of a frame, as agreed with the broker.
    pub max_frame_bytes: usize,
}

/// A delivery for the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// The tag by which it is settled.
    pub tag: u64,
    /// Whether the broker has delivered it before.
    pub is_redelivered: bool,
    /// The message's id, which serves as idempotency key.
    pub message_id: Option<String>,
    /// Whether it came after the cancel: it is handed back without a run.
    pub is_late: bool,
    /// The message's body.
    pub body: Vec<u8>,
}

/// Why a message cannot be a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// It is longer than a request may be.
    #[error("message too long")]
    TooLong,
    /// It has no id, which a message that must not run twice needs.
    #[error("no message_id on what must not run twice")]
    NoMessageId,
}

/// Why a channel failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChannelError {
    /// The broker closed it.
    #[error("channel closed: {code} {text}")]
    ClosedByBroker {
        /// The broker's reply code.
        code: u16,
        /// The broker's reply text.
        text: String,
    },
    /// The broker ended the consumer, as when the queue is deleted.
    #[error("consumer cancelled by the broker")]
    CancelledByBroker,
    /// The broker sent what is not allowed in this state.
    #[error("unexpected {0}")]
    Unexpected(String),
    /// A content header without its method.
    #[error("a header out of place")]
    MisplacedHeader,
    /// A content body without its header, or longer than it.
    #[error("a body out of place")]
    MisplacedBody,
}

/// What the owner of a consumer is to do.
#[derive(Debug, PartialEq)]
pub enum ConsumerEffect {
    /// Send this frame.
    Send(Box<AMQPFrame>),
    /// Hand this delivery to the policy, which answers it exactly once.
    Deliver(Delivery),
    /// Log that a message was rejected for this reason.
    MessageRejected(InvalidMessage),
    /// End the connection: the channel failed, and nothing on it can be settled any more.
    ChannelFailed(ChannelError),
}

/// The state machine of one consumer.
pub struct Consumer {
    settings: ConsumerSettings,
    state: ChannelState,
    /// The message whose frames are being received.
    incoming: Option<IncomingMessage>,
    /// By delivery tag.
    unsettled: HashMap<u64, UnsettledDelivery>,
    /// Messages published on this channel, which number them.
    published: u64,
    /// What follows the broker's confirmation of a publish, by its number.
    awaiting_confirm: BTreeMap<u64, ConfirmAction>,
    /// Numbers of publishes that the broker returned as unroutable.
    returned: Vec<u64>,
    is_shutting_down: bool,
}

impl Consumer {
    /// A consumer whose channel is being opened.
    pub fn new(settings: ConsumerSettings, effects: &mut Vec<ConsumerEffect>) -> Consumer {
        let consumer = Consumer {
            settings,
            state: ChannelState::Opening,
            incoming: None,
            unsettled: HashMap::new(),
            published: 0,
            awaiting_confirm: BTreeMap::new(),
            returned: Vec::new(),
            is_shutting_down: false,
        };
        consumer.send(AMQPClass::Channel(Channel::Open(Open {})), effects);
        consumer
    }

    /// The state of the channel.
    pub fn channel_state(&self) -> ChannelState {
        self.state
    }

    /// The number of deliveries that are not settled.
    pub fn unsettled_count(&self) -> usize {
        self.unsettled.len()
    }

    /// Processes a frame that was received on this channel.
    pub fn handle_frame(&mut self, frame: AMQPFrame, effects: &mut Vec<ConsumerEffect>) {
        match frame {
            AMQPFrame::Method(_, AMQPClass::Channel(method)) => {
                self.handle_channel_method(method, effects);
            }
            AMQPFrame::Method(_, AMQPClass::Confirm(Confirm::SelectOk(_)))
                if self.state == ChannelState::Confirming =>
            {
                self.limit_deliveries(effects);
            }
            AMQPFrame::Method(_, AMQPClass::Basic(method)) => {
                self.handle_basic_method(method, effects);
            }
            AMQPFrame::Header(_, header) => self.receive_header(header, effects),
            AMQPFrame::Body(_, bytes) => self.receive_body(&bytes, effects),
            other => self.fail_unexpected(&other, effects),
        }
    }

    fn handle_basic_method(&mut self, method: Basic, effects: &mut Vec<ConsumerEffect>) {
        match method {
            Basic::QosOk(_) if self.state == ChannelState::Limiting => self.subscribe(effects),
            Basic::ConsumeOk(_) if self.state == ChannelState::Subscribing => {
                self.state = ChannelState::Consuming;
                if self.is_shutting_down {
                    self.cancel(effects);
                }
            }
            Basic::CancelOk(_) if self.state == ChannelState::Cancelling => {
                self.state = ChannelState::Cancelled;
                self.close_if_settled(effects);
            }
            Basic::Cancel(_) => self.fail(ChannelError::CancelledByBroker, effects),
            Basic::Deliver(deliver) if self.incoming.is_none() => {
                self.incoming = Some(IncomingMessage::delivery(deliver));
            }
            Basic::Return(_) if self.incoming.is_none() => {
                self.incoming = Some(IncomingMessage::returned());
            }
            Basic::Ack(ack) => {
                self.handle_confirm(ack.delivery_tag, ack.multiple, true, effects);
            }
            Basic::Nack(nack) => {
                self.handle_confirm(nack.delivery_tag, nack.multiple, false, effects);
            }
            other => self.fail_unexpected(&other, effects),
        }
    }

    /// Stops consuming. Unsettled deliveries are answered or handed back, and then the channel closes.
    pub fn begin_shutdown(&mut self, effects: &mut Vec<ConsumerEffect>) {
        let was_shutting_down = std::mem::replace(&mut self.is_shutting_down, true);
        if !was_shutting_down && self.state == ChannelState::Consuming {
            self.cancel(effects);
        }
    }

    fn send(&self, method: AMQPClass, effects: &mut Vec<ConsumerEffect>) {
        let frame = AMQPFrame::Method(self.settings.channel, method);
        effects.push(ConsumerEffect::Send(Box::new(frame)));
    }

    fn send_basic(&self, method: Basic, effects: &mut Vec<ConsumerEffect>) {
        self.send(AMQPClass::Basic(method), effects);
    }

    /// Ends the channel. Nothing can be settled on it any more; the broker delivers everything again.
    fn fail(&mut self, error: ChannelError, effects: &mut Vec<ConsumerEffect>) {
        if self.state == ChannelState::Closed {
            return;
        }
        self.state = ChannelState::Closed;
        self.unsettled.clear();
        self.awaiting_confirm.clear();
        effects.push(ConsumerEffect::ChannelFailed(error));
    }

    fn fail_unexpected(
        &mut self,
        received: &dyn std::fmt::Debug,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        self.fail(ChannelError::Unexpected(format!("{received:?}")), effects);
    }
}

/// A short string of the protocol; empty if the text is too long for one.
fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}
