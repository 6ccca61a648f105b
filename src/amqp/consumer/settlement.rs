//! Settles deliveries: publishes replies and copies, and settles a delivery once the broker has
//! confirmed the publish.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::types::{AMQPValue, ShortString};

use super::original_message::OriginalMessage;
use super::reply::{
    copy_properties, header, Reply, ReplyStatus, COPY_NUMBER_HEADER, HANDED_BACK_HEADER,
};
use super::{ChannelState, Consumer, ConsumerEffect};
use crate::node::{Answer, Outcome};

/// The id of the class `basic`, whose methods carry content.
pub(super) const BASIC_CLASS: u16 = 60;

/// Number of bytes of a frame around its payload.
const FRAME_OVERHEAD_BYTES: usize = 8;

/// A delivery that is not settled.
pub(super) struct UnsettledDelivery {
    /// The queue for the reply, if there is one.
    reply_to: Option<ShortString>,
    correlation_id: Option<ShortString>,
    /// The message for a copy, if it must not run twice. Other messages are requeued.
    original: Option<OriginalMessage>,
    /// True if the settlement is waiting for the confirmation of a publish, or of the cancel.
    is_settling: bool,
}

impl UnsettledDelivery {
    /// Creates a delivery of a message with these properties, which are not kept.
    pub(super) fn new(
        properties: &AMQPProperties,
        original: Option<OriginalMessage>,
    ) -> UnsettledDelivery {
        let reply_to = properties.reply_to().clone();
        UnsettledDelivery {
            reply_to: reply_to.filter(|queue| !queue.as_str().is_empty()),
            correlation_id: properties.correlation_id().clone(),
            original,
            is_settling: false,
        }
    }
}

/// The action on the delivery with this tag once a publish is confirmed.
#[derive(Clone, Copy)]
pub(super) enum ConfirmAction {
    /// Acknowledge the delivery, which was answered.
    Ack(u64),
    /// Dead-letter the delivery, which was answered and must not run again.
    DeadLetter(u64),
    /// Acknowledge the delivery, of which a copy was published. Requeue it if the copy was returned
    /// or not accepted.
    HandBack(u64),
}

/// A message to publish.
struct OutgoingMessage<'a> {
    routing_key: ShortString,
    /// True if the broker is to return the message if it can't route it to a queue.
    is_mandatory: bool,
    properties: AMQPProperties,
    body: &'a [u8],
}

impl Consumer {
    /// Settles a delivery with its answer. A second answer to the same delivery has no effect.
    pub fn answer(&mut self, tag: u64, answer: &Answer, effects: &mut Vec<ConsumerEffect>) {
        let Some(delivery) = self.unsettled.get_mut(&tag).filter(|d| !d.is_settling) else {
            return;
        };
        let never_ran = matches!(
            answer.outcome,
            Outcome::Rejected { .. } | Outcome::WrongCell { .. }
        );
        if never_ran && self.is_shutting_down {
            // Another consumer can run it.
            return self.hand_back(tag, effects);
        }
        let reply = Reply::new(&answer.outcome);
        let Some(reply_to) = delivery.reply_to.clone() else {
            // Without a reply queue, a result is dropped. An error is dead-lettered, as no client
            // would receive it.
            return match reply.status {
                ReplyStatus::Served => self.ack(tag, effects),
                ReplyStatus::Rejected | ReplyStatus::Failed => self.reject(tag, false, effects),
            };
        };
        delivery.is_settling = true;
        let is_idempotent = self.settings.is_idempotent;
        let message = OutgoingMessage {
            routing_key: reply_to,
            is_mandatory: false,
            properties: reply.properties(answer, delivery.correlation_id.as_ref(), is_idempotent),
            body: &reply.body,
        };
        let action = if reply.may_have_run() {
            ConfirmAction::DeadLetter(tag)
        } else {
            ConfirmAction::Ack(tag)
        };
        self.publish(message, action, effects);
    }

    /// Returns a delivery that never ran to its queue, once the broker has confirmed the cancel.
    /// Until then the broker may deliver what is returned to this consumer again.
    pub(super) fn hand_back(&mut self, tag: u64, effects: &mut Vec<ConsumerEffect>) {
        let Some(delivery) = self.unsettled.get_mut(&tag) else {
            return;
        };
        delivery.is_settling = true;
        if self.state != ChannelState::Cancelled || !self.may_hand_back {
            self.awaiting_hand_back.push(tag);
        } else {
            match delivery.original.take() {
                Some(original) => self.publish_copy(tag, &original, effects),
                None => self.reject(tag, true, effects),
            }
        }
    }

    /// Publishes a copy of a delivery to its queue. A message that must not run twice is not
    /// requeued: a requeued message is marked as redelivered, and then no consumer may run it, while
    /// a copy has no such mark. The original is settled only once the broker has the copy.
    fn publish_copy(
        &mut self,
        tag: u64,
        original: &OriginalMessage,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        let Some(properties) = original.properties() else {
            return self.reject(tag, true, effects);
        };
        let hand_back_count = match header(&properties, HANDED_BACK_HEADER) {
            Some(AMQPValue::LongLongInt(hand_back_count)) => *hand_back_count,
            _ => 0,
        };
        let added_headers = [
            (HANDED_BACK_HEADER, hand_back_count + 1),
            (COPY_NUMBER_HEADER, self.published as i64 + 1),
        ];
        let message = OutgoingMessage {
            routing_key: self.settings.queue.clone(),
            is_mandatory: true,
            properties: copy_properties(&properties, added_headers),
            body: original.body(),
        };
        self.publish(message, ConfirmAction::HandBack(tag), effects);
    }

    fn publish(
        &mut self,
        message: OutgoingMessage<'_>,
        action: ConfirmAction,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        self.published += 1;
        self.awaiting_confirm.insert(self.published, action);
        let publish = basic::Publish {
            exchange: ShortString::default(),
            routing_key: message.routing_key,
            mandatory: message.is_mandatory,
            immediate: false,
        };
        self.send_basic(Basic::Publish(publish), effects);
        let channel = self.settings.channel;
        let header = AMQPContentHeader {
            class_id: BASIC_CLASS,
            body_size: message.body.len() as u64,
            properties: message.properties,
        };
        let header = AMQPFrame::Header(channel, header);
        effects.push(ConsumerEffect::Send(Box::new(header)));
        let max_payload = self
            .settings
            .max_frame_bytes
            .saturating_sub(FRAME_OVERHEAD_BYTES);
        for chunk in message.body.chunks(max_payload.max(1)) {
            let body = AMQPFrame::Body(channel, chunk.to_vec());
            effects.push(ConsumerEffect::Send(Box::new(body)));
        }
    }

    /// Processes the broker's confirmation that it has accepted a publish, or that it could not
    /// accept it. With `is_multiple`, the confirmation applies to all publishes up to this number.
    pub(super) fn handle_confirm(
        &mut self,
        number: u64,
        is_multiple: bool,
        is_accepted: bool,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        let numbers: Vec<u64> = if is_multiple {
            let confirmed = self.awaiting_confirm.range(..=number);
            confirmed.map(|(number, _)| *number).collect()
        } else {
            vec![number]
        };
        for number in numbers {
            let was_returned = self.remove_returned(number);
            let Some(action) = self.awaiting_confirm.remove(&number) else {
                continue;
            };
            match action {
                // The reply counts as sent even if the broker did not accept it: running the
                // request again would be worse than a lost reply.
                ConfirmAction::Ack(tag) => self.ack(tag, effects),
                ConfirmAction::DeadLetter(tag) => self.reject(tag, false, effects),
                ConfirmAction::HandBack(tag) if is_accepted && !was_returned => {
                    self.ack(tag, effects);
                }
                ConfirmAction::HandBack(tag) => self.reject(tag, true, effects),
            }
        }
    }

    /// Removes this publish from those that the broker returned. Returns whether it was one of
    /// them.
    fn remove_returned(&mut self, number: u64) -> bool {
        let position = self.returned.iter().position(|n| *n == number);
        position
            .map(|index| self.returned.swap_remove(index))
            .is_some()
    }

    fn ack(&mut self, tag: u64, effects: &mut Vec<ConsumerEffect>) {
        let ack = basic::Ack {
            delivery_tag: tag,
            multiple: false,
        };
        self.send_settlement(tag, Basic::Ack(ack), effects);
    }

    /// Requeues a delivery or dead-letters it.
    fn reject(&mut self, tag: u64, requeue: bool, effects: &mut Vec<ConsumerEffect>) {
        let method = if requeue {
            Basic::Nack(basic::Nack {
                delivery_tag: tag,
                multiple: false,
                requeue,
            })
        } else {
            Basic::Reject(basic::Reject {
                delivery_tag: tag,
                requeue,
            })
        };
        self.send_settlement(tag, method, effects);
    }

    /// Sends the settlement of a delivery, unless it is settled.
    fn send_settlement(&mut self, tag: u64, method: Basic, effects: &mut Vec<ConsumerEffect>) {
        if self.unsettled.remove(&tag).is_some() {
            self.send_basic(method, effects);
            self.close_if_settled(effects);
        }
    }
}
