//! The lifecycle of a consumer's channel: opening, subscribing, cancelling and closing it.

use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{FieldTable, ShortString};

use super::{short_string, ChannelError, ChannelState, Consumer, ConsumerEffect};

/// The reply code of a regular close.
const REPLY_SUCCESS: u16 = 200;

/// The reply code of a close because of a frame that is not allowed in the channel's state.
const REPLY_UNEXPECTED_FRAME: u16 = 505;

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
                self.handle_close(error, effects);
            }
            Channel::CloseOk(_) if self.state == ChannelState::Closing => {
                self.state = ChannelState::Closed;
            }
            _ if self.is_closing_or_closed() => {}
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
        self.close(REPLY_SUCCESS, "leaving", effects);
    }

    fn close(&mut self, reply_code: u16, reply_text: &str, effects: &mut Vec<ConsumerEffect>) {
        self.state = ChannelState::Closing;
        let close = channel::Close {
            reply_code,
            reply_text: short_string(reply_text),
            class_id: 0,
            method_id: 0,
        };
        self.send(AMQPClass::Channel(Channel::Close(close)), effects);
    }

    pub(super) fn is_closing_or_closed(&self) -> bool {
        matches!(self.state, ChannelState::Closing | ChannelState::Closed)
    }

    /// Processes the broker's close of the channel.
    fn handle_close(&mut self, error: ChannelError, effects: &mut Vec<ConsumerEffect>) {
        let was_open = !self.is_closing_or_closed();
        self.state = ChannelState::Closed;
        if was_open {
            self.abandon_deliveries();
            effects.push(ConsumerEffect::ChannelFailed(error));
        }
    }

    /// Processes the broker's cancel of the consumer. Its deliveries can still be settled; the
    /// channel is closed after that.
    pub(super) fn handle_cancel(
        &mut self,
        cancel: basic::Cancel,
        effects: &mut Vec<ConsumerEffect>,
    ) {
        if !cancel.nowait {
            let consumer_tag = cancel.consumer_tag;
            self.send_basic(Basic::CancelOk(basic::CancelOk { consumer_tag }), effects);
        }
        let error = ChannelError::CancelledByBroker;
        effects.push(ConsumerEffect::ChannelFailed(error));
        self.handle_cancelled(effects);
    }

    /// Processes the end of the subscription: nothing more is delivered on this channel, so what
    /// has waited for that is handed back.
    pub(super) fn handle_cancelled(&mut self, effects: &mut Vec<ConsumerEffect>) {
        self.state = ChannelState::Cancelled;
        for tag in std::mem::take(&mut self.awaiting_hand_back) {
            self.hand_back(tag, effects);
        }
        self.close_if_settled(effects);
    }

    /// Closes the channel because of a frame that is not allowed on it. Its deliveries can't be
    /// settled any more; the broker delivers them again.
    pub(super) fn fail(&mut self, error: ChannelError, effects: &mut Vec<ConsumerEffect>) {
        if self.is_closing_or_closed() {
            return;
        }
        self.abandon_deliveries();
        self.close(REPLY_UNEXPECTED_FRAME, "unexpected frame", effects);
        effects.push(ConsumerEffect::ChannelFailed(error));
    }

    fn abandon_deliveries(&mut self) {
        self.incoming = None;
        self.unsettled.clear();
        self.awaiting_confirm.clear();
        self.awaiting_hand_back.clear();
    }

    fn consumer_tag(&self) -> ShortString {
        short_string(&format!("mothwinch-{}", self.settings.channel))
    }
}
