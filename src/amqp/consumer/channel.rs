//! The lifecycle of a consumer's channel: opening, subscribing, cancelling and closing it.

use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{FieldTable, ShortString};

use super::{short_string, ChannelError, ChannelState, Consumer, ConsumerEffect};

/// The reply code of a regular close.
const REPLY_SUCCESS: u16 = 200;

impl Consumer {
    pub(super) fn handle_channel_method(
        &mut self,
        method: Channel,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        match method {
            Channel::OpenOk(_) if self.state == ChannelState::Opening => {
                self.request_confirms(effects);
            }
            Channel::Flow(flow) => {
                let flow_ok = channel::FlowOk {
                    active: flow.active,
                };
                self.send(AMQPClass::Channel(Channel::FlowOk(flow_ok)), effects);
            }
            Channel::Close(close) => {
                let close_ok = Channel::CloseOk(channel::CloseOk {});
                self.send(AMQPClass::Channel(close_ok), effects);
                let error = ChannelError::ClosedByBroker {
                    code: close.reply_code,
                    text: close.reply_text.to_string(),
                };
                self.fail(error, effects);
            }
            Channel::CloseOk(_) if self.state == ChannelState::Closing => {
                self.state = ChannelState::Closed;
            }
            other => self.fail_unexpected(&other, effects),
        }
    }

    fn request_confirms(&mut self, effects: &mut Vec<ConsumerEffect>) {
        self.state = ChannelState::Confirming;
        let select = confirm::Select { nowait: false };
        self.send(AMQPClass::Confirm(Confirm::Select(select)), effects);
    }

    pub(super) fn set_prefetch(&mut self, effects: &mut Vec<ConsumerEffect>) {
        self.state = ChannelState::SettingPrefetch;
        let qos = basic::Qos {
            prefetch_count: self.settings.prefetch,
            global: false,
        };
        self.send_basic(Basic::Qos(qos), effects);
    }

    pub(super) fn subscribe(&mut self, effects: &mut Vec<ConsumerEffect>) {
        self.state = ChannelState::Subscribing;
        let consume = basic::Consume {
            queue: self.settings.queue.clone(),
            consumer_tag: self.consumer_tag(),
            no_local: false,
            no_ack: false,
            exclusive: false,
            nowait: false,
            arguments: FieldTable::default(),
        };
        self.send_basic(Basic::Consume(consume), effects);
    }

    pub(super) fn cancel(&mut self, effects: &mut Vec<ConsumerEffect>) {
        self.state = ChannelState::Cancelling;
        let cancel = basic::Cancel {
            consumer_tag: self.consumer_tag(),
            nowait: false,
        };
        self.send_basic(Basic::Cancel(cancel), effects);
    }

    /// Closes the channel once it is cancelled and every delivery is settled.
    pub(super) fn close_if_settled(&mut self, effects: &mut Vec<ConsumerEffect>) {
        if self.state != ChannelState::Cancelled
            || !self.unsettled.is_empty()
            || self.incoming.is_some()
        {
            return;
        }
        self.state = ChannelState::Closing;
        let close = channel::Close {
            reply_code: REPLY_SUCCESS,
            reply_text: short_string("leaving"),
            class_id: 0,
            method_id: 0,
        };
        self.send(AMQPClass::Channel(Channel::Close(close)), effects);
    }

    fn consumer_tag(&self) -> ShortString {
        short_string(&format!("mothwinch-{}", self.settings.channel))
    }
}
