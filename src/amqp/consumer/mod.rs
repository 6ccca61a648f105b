//! The state machine of a consumer on its own channel. It does no I/O: it processes frames and
//! answers, and returns the frames to send and the deliveries for the policy. Every delivery is
//! settled exactly once: it stays in the table of unsettled deliveries until its settlement is
//! sent.

mod channel;
mod incoming;
mod original_message;
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
    SettingPrefetch,
    /// `basic.consume` was sent.
    Subscribing,
    /// Deliveries are received.
    Consuming,
    /// `basic.cancel` was sent; deliveries in transit are still received.
    Cancelling,
    /// No more deliveries are received; some are not settled yet.
    Cancelled,
    /// `channel.close` was sent: every delivery is settled, or the channel has failed. All frames
    /// but those that close the channel are ignored.
    Closing,
    /// The channel is closed.
    Closed,
}

/// The settings of a consumer.
#[derive(Clone, Debug)]
pub struct ConsumerSettings {
    /// The number of the consumer's channel.
    pub channel: u16,
    /// The name of the consumer's queue.
    pub queue: ShortString,
    /// Maximum number of unsettled deliveries.
    pub prefetch: u16,
    /// True if a message of this queue may run more than once.
    pub is_idempotent: bool,
    /// Maximum size of a message in bytes; longer messages are rejected.
    pub max_message_bytes: usize,
    /// Maximum size of a frame in bytes, as agreed with the broker.
    pub max_frame_bytes: usize,
}

/// A delivery for the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// The delivery tag, by which the delivery is settled.
    pub tag: u64,
    /// True if the broker has delivered the message before.
    pub is_redelivered: bool,
    /// The message's id, which serves as idempotency key.
    pub message_id: Option<String>,
    /// True if the delivery was received in a shutdown, so that it is handed back without a run.
    pub received_in_shutdown: bool,
    /// The message's body.
    pub body: Vec<u8>,
}

/// Why a message cannot be a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// The message is longer than a request may be.
    #[error("message too long")]
    TooLong,
    /// The message has no id, which is required if it must not run twice.
    #[error("no message_id on a message that must not run twice")]
    NoMessageId,
    /// The message's properties can't be encoded again, so that it could not be handed back.
    #[error("properties that can't be encoded")]
    UnencodableProperties,
}

/// Why a channel failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChannelError {
    /// The broker closed the channel.
    #[error("channel closed: {code} {text}")]
    ClosedByBroker {
        /// The broker's reply code.
        code: u16,
        /// The broker's reply text.
        text: String,
    },
    /// The broker cancelled the consumer, for example because the queue was deleted.
    #[error("consumer cancelled by the broker")]
    CancelledByBroker,
    /// The broker sent a method or frame that is not allowed in this state.
    #[error("unexpected {0}")]
    Unexpected(String),
    /// A content header was received without its method.
    #[error("content header without a method")]
    MisplacedHeader,
    /// A content body was received without its header, or is longer than the header states.
    #[error("content body without a header, or longer than announced")]
    MisplacedBody,
}

/// An effect that the owner of a consumer performs.
#[derive(Debug, PartialEq)]
pub enum ConsumerEffect {
    /// Send this frame to the broker.
    Send(Box<AMQPFrame>),
    /// Hand this delivery to the policy, which answers it exactly once.
    Deliver(Delivery),
    /// Log that a message was rejected for this reason.
    MessageRejected(InvalidMessage),
    /// Open another channel for the queue once this one is closed: it failed, or the broker cancelled
    /// the consumer. Deliveries that are no longer counted as unsettled are delivered again by the
    /// broker.
    ChannelFailed(ChannelError),
}

/// The state machine of one consumer.
pub struct Consumer {
    settings: ConsumerSettings,
    state: ChannelState,
    /// The message whose frames are being received.
    incoming: Option<IncomingMessage>,
    /// The unsettled deliveries by delivery tag.
    unsettled: HashMap<u64, UnsettledDelivery>,
    /// Number of messages published on this channel, which is the publish number of the last one.
    published: u64,
    /// Actions that follow the broker's confirmations, by publish number.
    awaiting_confirm: BTreeMap<u64, ConfirmAction>,
    /// Publish numbers of messages that the broker returned as unroutable.
    returned: Vec<u64>,
    is_shutting_down: bool,
    /// Tags of deliveries that never ran and are to be handed back once the broker has confirmed
    /// the cancel. Before that it could deliver them to this consumer again.
    awaiting_hand_back: Vec<u64>,
    /// True if deliveries can still be handed back before the process ends.
    may_hand_back: bool,
}

impl Consumer {
    /// Creates a consumer, which begins to open its channel.
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
            awaiting_hand_back: Vec::new(),
            may_hand_back: true,
        };
        consumer.send(AMQPClass::Channel(Channel::Open(Open {})), effects);
        consumer
    }

    /// Returns the state of the channel.
    pub fn channel_state(&self) -> ChannelState {
        self.state
    }

    /// Returns the number of unsettled deliveries.
    pub fn unsettled_count(&self) -> usize {
        self.unsettled.len()
    }

    /// Processes a frame that was received on this channel.
    pub fn handle_frame(&mut self, frame: AMQPFrame, effects: &mut Vec<ConsumerEffect>) {
        match frame {
            AMQPFrame::Method(_, AMQPClass::Channel(method)) => {
                self.handle_channel_method(method, effects);
            }
            _ if self.is_closing_or_closed() => {}
            AMQPFrame::Method(_, AMQPClass::Confirm(Confirm::SelectOk(_)))
                if self.state == ChannelState::Confirming =>
            {
                self.set_prefetch(effects);
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
            Basic::QosOk(_) if self.state == ChannelState::SettingPrefetch => {
                self.subscribe(effects);
            }
            Basic::ConsumeOk(_) if self.state == ChannelState::Subscribing => {
                self.state = ChannelState::Consuming;
                if self.is_shutting_down {
                    self.cancel(effects);
                }
            }
            Basic::CancelOk(_) if self.state == ChannelState::Cancelling => {
                self.handle_cancelled(effects);
            }
            // The broker cancelled the consumer before it received the consumer's own cancel.
            Basic::CancelOk(_) if self.state == ChannelState::Cancelled => {}
            Basic::Cancel(cancel) => self.handle_cancel(cancel, effects),
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

    /// Stops consuming. The channel is closed once all unsettled deliveries are answered or handed
    /// back.
    pub fn begin_shutdown(&mut self, effects: &mut Vec<ConsumerEffect>) {
        let was_shutting_down = std::mem::replace(&mut self.is_shutting_down, true);
        if !was_shutting_down && self.state == ChannelState::Consuming {
            self.cancel(effects);
        }
    }

    /// Stops handing back deliveries, shortly before the process ends: a copy whose confirmation
    /// would come too late would run beside its original. What has not been handed back stays
    /// unsettled, and the broker delivers it again.
    pub fn end_hand_backs(&mut self) {
        self.may_hand_back = false;
    }

    /// Returns whether nothing is left to do in a shutdown: the channel is closed, or what is
    /// unsettled is left to the broker.
    pub fn has_shut_down(&self) -> bool {
        let is_left_to_broker = !self.may_hand_back
            && self.awaiting_confirm.is_empty()
            && self.unsettled.len() == self.awaiting_hand_back.len();
        self.state == ChannelState::Closed || is_left_to_broker
    }

    fn send(&self, method: AMQPClass, effects: &mut Vec<ConsumerEffect>) {
        let frame = AMQPFrame::Method(self.settings.channel, method);
        effects.push(ConsumerEffect::Send(Box::new(frame)));
    }

    fn send_basic(&self, method: Basic, effects: &mut Vec<ConsumerEffect>) {
        self.send(AMQPClass::Basic(method), effects);
    }

    fn fail_unexpected(
        &mut self,
        received: &dyn std::fmt::Debug,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        self.fail(ChannelError::Unexpected(format!("{received:?}")), effects);
    }
}

/// Converts a text to a short string of the protocol, an empty one if the text is too long.
fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}
