//! Assembles messages from their frames: a method, a content header and content bodies.

use amq_protocol::frame::AMQPContentHeader;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::types::AMQPValue;

use super::original_message::OriginalMessage;
use super::reply::{header, COPY_NUMBER_HEADER};
use super::settlement::UnsettledDelivery;
use super::{ChannelError, Consumer, ConsumerEffect, Delivery, InvalidMessage};

/// A message whose frames are being received.
pub(super) struct IncomingMessage {
    kind: IncomingKind,
    properties: AMQPProperties,
    /// Number of body bytes not received yet; `None` before the header is received.
    remaining: Option<u64>,
    body: Vec<u8>,
    /// True if the message exceeds the size limit, so that its body is not kept.
    is_too_long: bool,
}

enum IncomingKind {
    /// A delivery from the queue.
    Delivery(basic::Deliver),
    /// A message published by this consumer that the broker could not route.
    Returned,
}

impl IncomingMessage {
    pub(super) fn delivery(deliver: basic::Deliver) -> IncomingMessage {
        IncomingMessage::new(IncomingKind::Delivery(deliver))
    }

    pub(super) fn returned() -> IncomingMessage {
        IncomingMessage::new(IncomingKind::Returned)
    }

    fn new(kind: IncomingKind) -> IncomingMessage {
        IncomingMessage {
            kind,
            properties: AMQPProperties::default(),
            remaining: None,
            body: Vec::new(),
            is_too_long: false,
        }
    }
}

impl Consumer {
    pub(super) fn receive_header(
        &mut self,
        header: AMQPContentHeader,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        let max_bytes = self.settings.max_message_bytes as u64;
        match &mut self.incoming {
            Some(message) if message.remaining.is_none() => {
                message.properties = header.properties;
                message.remaining = Some(header.body_size);
                message.is_too_long = header.body_size > max_bytes;
                self.receive_message_if_complete(effects);
            }
            _ => self.fail(ChannelError::MisplacedHeader, effects),
        }
    }

    pub(super) fn receive_body(&mut self, bytes: &[u8], effects: &mut Vec<ConsumerEffect>) {
        let length = bytes.len() as u64;
        let remaining = self
            .incoming
            .as_ref()
            .and_then(|message| message.remaining)
            .and_then(|remaining| remaining.checked_sub(length));
        let (Some(message), Some(remaining)) = (&mut self.incoming, remaining) else {
            return self.fail(ChannelError::MisplacedBody, effects);
        };
        message.remaining = Some(remaining);
        if !message.is_too_long {
            message.body.extend_from_slice(bytes);
        }
        self.receive_message_if_complete(effects);
    }

    fn receive_message_if_complete(&mut self, effects: &mut Vec<ConsumerEffect>) {
        let Some(message) = self.incoming.take_if(|m| m.remaining == Some(0)) else {
            return;
        };
        match message.kind {
            IncomingKind::Delivery(ref deliver) => {
                let (tag, is_redelivered) = (deliver.delivery_tag, deliver.redelivered);
                self.receive_delivery(tag, is_redelivered, message, effects);
            }
            IncomingKind::Returned => self.record_returned(&message.properties),
        }
    }

    fn record_returned(&mut self, properties: &AMQPProperties) {
        if let Some(AMQPValue::LongLongInt(number)) = header(properties, COPY_NUMBER_HEADER) {
            self.returned.push(number.unsigned_abs());
        }
    }

    fn receive_delivery(
        &mut self,
        tag: u64,
        is_redelivered: bool,
        message: IncomingMessage,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        let message_id = message_id(&message.properties);
        let delivery = match self.unsettled_delivery(&message, message_id.as_deref()) {
            Ok(delivery) => delivery,
            Err(reason) => {
                effects.push(ConsumerEffect::MessageRejected(reason));
                let reject = basic::Reject {
                    delivery_tag: tag,
                    requeue: false,
                };
                return self.send_basic(Basic::Reject(reject), effects);
            }
        };
        self.unsettled.insert(tag, delivery);
        effects.push(ConsumerEffect::Deliver(Delivery {
            tag,
            is_redelivered,
            message_id,
            received_in_shutdown: self.is_shutting_down,
            body: message.body,
        }));
    }

    /// Returns the delivery of a message that can be a request.
    fn unsettled_delivery(
        &self,
        message: &IncomingMessage,
        message_id: Option<&str>,
    ) -> Result<UnsettledDelivery, InvalidMessage> {
        if message.is_too_long {
            return Err(InvalidMessage::TooLong);
        }
        if self.settings.is_idempotent {
            return Ok(UnsettledDelivery::new(&message.properties, None));
        }
        if message_id.is_none() {
            return Err(InvalidMessage::NoMessageId);
        }
        let original = OriginalMessage::new(message.properties.clone(), &message.body)
            .map_err(|_| InvalidMessage::UnencodableProperties)?;
        Ok(UnsettledDelivery::new(&message.properties, Some(original)))
    }
}

/// Returns the message's id, unless it is missing or empty.
fn message_id(properties: &AMQPProperties) -> Option<String> {
    let id = properties.message_id().as_ref()?;
    Some(id.to_string()).filter(|id| !id.is_empty())
}
