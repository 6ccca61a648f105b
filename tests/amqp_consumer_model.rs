//! Model-based test of the consumer of an AMQP channel, with random steps.

#[path = "common/steps.rs"]
mod steps;

use std::collections::BTreeSet;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::ShortString;
use protocol_gateway::amqp::{ChannelState, Consumer, ConsumerEffect, ConsumerSettings};
use protocol_gateway::node::{Answer, Failure, Outcome, Payload};
use protocol_gateway::Span;
use quickcheck::{Arbitrary, Gen};
use steps::check_steps;

/// A step of the broker or of the node around the consumer.
#[derive(Clone, Copy, Debug)]
enum ChannelStep {
    /// The broker answers the last request of the consumer.
    BrokerAnswer,
    /// The broker delivers a message, with or without a reply queue.
    Deliver { has_reply_to: bool },
    /// The node answers one of the deliveries in flight.
    NodeAnswer { outcome: u8, index: usize },
    /// The broker confirms one of the publishes, or rejects it.
    Confirm { index: usize, is_accepted: bool },
    /// The node begins to shut down.
    Shutdown,
    /// The node stops handing back deliveries.
    EndHandBacks,
}

impl Arbitrary for ChannelStep {
    fn arbitrary(g: &mut Gen) -> ChannelStep {
        match u8::arbitrary(g) % 17 {
            0..=4 => ChannelStep::BrokerAnswer,
            5..=8 => ChannelStep::Deliver {
                has_reply_to: bool::arbitrary(g),
            },
            9..=11 => ChannelStep::NodeAnswer {
                outcome: u8::arbitrary(g) % 4,
                index: usize::arbitrary(g),
            },
            12..=14 => ChannelStep::Confirm {
                index: usize::arbitrary(g),
                is_accepted: bool::arbitrary(g),
            },
            15 => ChannelStep::Shutdown,
            _ => ChannelStep::EndHandBacks,
        }
    }
}

/// State of one channel as the broker and the node see it.
#[derive(Default)]
struct Model {
    /// Requests of the consumer that the broker has not answered.
    requests: Vec<AMQPClass>,
    /// Tags of deliveries that are not settled.
    unsettled: BTreeSet<u64>,
    /// Tags of deliveries that the node has not answered.
    in_flight: Vec<u64>,
    /// Numbers of publishes without a confirm.
    unconfirmed: Vec<u64>,
    published: u64,
    delivered: u64,
    answered: u64,
    is_active: bool,
    may_hand_back: bool,
}

impl Model {
    /// Applies the effects of the consumer; returns false if one of them breaks a rule.
    fn apply_effects(&mut self, effects: &mut Vec<ConsumerEffect>) -> bool {
        effects.drain(..).all(|effect| match effect {
            ConsumerEffect::Deliver(delivery) => {
                self.in_flight.push(delivery.tag);
                true
            }
            ConsumerEffect::MessageRejected(_) => true,
            ConsumerEffect::ChannelFailed(_) => false,
            ConsumerEffect::Send(frame) => self.apply_frame(*frame),
        })
    }

    fn apply_frame(&mut self, frame: AMQPFrame) -> bool {
        match frame {
            AMQPFrame::Method(_, AMQPClass::Basic(method)) => self.apply_basic(method),
            AMQPFrame::Method(_, method) => {
                // No channel is closed while a delivery is unsettled.
                let is_closing = matches!(method, AMQPClass::Channel(Channel::Close(_)));
                self.requests.push(method);
                !is_closing || self.unsettled.is_empty()
            }
            _ => true,
        }
    }

    fn apply_basic(&mut self, method: Basic) -> bool {
        match method {
            // A delivery is settled once, and only after the node has answered it.
            Basic::Ack(basic::Ack {
                delivery_tag: tag,
                multiple: false,
            })
            | Basic::Reject(basic::Reject {
                delivery_tag: tag, ..
            }) => self.unsettled.remove(&tag) && !self.in_flight.contains(&tag),
            // No delivery is handed back while the broker may deliver it to this consumer.
            Basic::Nack(basic::Nack {
                delivery_tag: tag,
                multiple: false,
                ..
            }) => self.unsettled.remove(&tag) && !self.in_flight.contains(&tag) && !self.is_active,
            Basic::Publish(publish) => {
                self.published += 1;
                self.unconfirmed.push(self.published);
                // No copy is handed back while the broker may deliver it to this consumer.
                let is_copy = publish.mandatory;
                !is_copy || (!self.is_active && self.may_hand_back)
            }
            other => {
                self.requests.push(AMQPClass::Basic(other));
                true
            }
        }
    }

    /// Returns the broker's answer to the last request of the consumer.
    fn next_broker_answer(&mut self) -> Option<AMQPClass> {
        let consumer_tag = ShortString::default();
        Some(match self.requests.pop()? {
            AMQPClass::Channel(Channel::Open(_)) => {
                AMQPClass::Channel(Channel::OpenOk(channel::OpenOk {}))
            }
            AMQPClass::Channel(Channel::Close(_)) => {
                AMQPClass::Channel(Channel::CloseOk(channel::CloseOk {}))
            }
            AMQPClass::Confirm(_) => AMQPClass::Confirm(Confirm::SelectOk(confirm::SelectOk {})),
            AMQPClass::Basic(Basic::Qos(_)) => AMQPClass::Basic(Basic::QosOk(basic::QosOk {})),
            AMQPClass::Basic(Basic::Consume(_)) => {
                self.is_active = true;
                AMQPClass::Basic(Basic::ConsumeOk(basic::ConsumeOk { consumer_tag }))
            }
            AMQPClass::Basic(Basic::Cancel(_)) => {
                self.is_active = false;
                AMQPClass::Basic(Basic::CancelOk(basic::CancelOk { consumer_tag }))
            }
            _ => return None,
        })
    }
}

fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).expect("a short string")
}

/// A consumer, its pending effects, and the model that it is checked against.
struct CheckedConsumer {
    consumer: Consumer,
    effects: Vec<ConsumerEffect>,
    model: Model,
}

impl CheckedConsumer {
    fn new(is_idempotent: bool) -> CheckedConsumer {
        let settings = ConsumerSettings {
            channel: 1,
            queue: short_string("q"),
            prefetch: 9,
            is_idempotent,
            max_message_bytes: 99,
            max_frame_bytes: 4096,
        };
        let mut effects = Vec::new();
        let consumer = Consumer::new(settings, &mut effects);
        CheckedConsumer {
            consumer,
            effects,
            model: Model {
                may_hand_back: true,
                ..Model::default()
            },
        }
    }

    fn handle_method(&mut self, method: AMQPClass) {
        let frame = AMQPFrame::Method(1, method);
        self.consumer.handle_frame(frame, &mut self.effects);
    }

    fn run_step(&mut self, step: ChannelStep) {
        match step {
            ChannelStep::BrokerAnswer => {
                if let Some(answer) = self.model.next_broker_answer() {
                    self.handle_method(answer);
                }
            }
            ChannelStep::Deliver { has_reply_to } if self.model.is_active => {
                self.deliver(has_reply_to);
            }
            ChannelStep::NodeAnswer { outcome, index } if !self.model.in_flight.is_empty() => {
                self.answer(outcome, index);
            }
            ChannelStep::Confirm { index, is_accepted } if !self.model.unconfirmed.is_empty() => {
                self.confirm(index, is_accepted);
            }
            ChannelStep::Shutdown => self.consumer.begin_shutdown(&mut self.effects),
            ChannelStep::EndHandBacks => {
                self.consumer.end_hand_backs();
                self.model.may_hand_back = false;
            }
            _ => {}
        }
    }

    fn deliver(&mut self, has_reply_to: bool) {
        self.model.delivered += 1;
        self.model.unsettled.insert(self.model.delivered);
        let mut properties = AMQPProperties::default().with_message_id(short_string("k"));
        if has_reply_to {
            properties = properties.with_reply_to(short_string("k"));
        }
        let deliver = basic::Deliver {
            consumer_tag: short_string("k"),
            delivery_tag: self.model.delivered,
            redelivered: false,
            exchange: short_string("k"),
            routing_key: short_string("k"),
        };
        self.handle_method(AMQPClass::Basic(Basic::Deliver(deliver)));
        let header = AMQPContentHeader {
            class_id: 60,
            body_size: 2,
            properties,
        };
        for frame in [
            AMQPFrame::Header(1, header),
            AMQPFrame::Body(1, b"hi".to_vec()),
        ] {
            self.consumer.handle_frame(frame, &mut self.effects);
        }
    }

    fn answer(&mut self, outcome: u8, index: usize) {
        let outcome = match outcome {
            0 => Outcome::Served(Payload::from_bytes(b"yes")),
            1 => Outcome::Rejected {
                retry_after: Span(0),
                is_final: false,
            },
            2 => Outcome::Failed(Failure::GivenUp),
            _ => Outcome::Failed(Failure::MayHaveRun),
        };
        let index = index % self.model.in_flight.len();
        let tag = self.model.in_flight.swap_remove(index);
        self.model.answered += 1;
        let answer = Answer {
            outcome,
            capacity_hint: None,
        };
        self.consumer.answer(tag, &answer, &mut self.effects);
        // A second answer to the same delivery changes nothing.
        self.consumer.answer(tag, &answer, &mut self.effects);
    }

    fn confirm(&mut self, index: usize, is_accepted: bool) {
        let index = index % self.model.unconfirmed.len();
        let delivery_tag = self.model.unconfirmed.remove(index);
        let method = if is_accepted {
            Basic::Ack(basic::Ack {
                delivery_tag,
                multiple: false,
            })
        } else {
            Basic::Nack(basic::Nack {
                delivery_tag,
                multiple: false,
                requeue: false,
            })
        };
        self.handle_method(AMQPClass::Basic(method));
    }

    /// Applies the pending effects and returns whether the consumer agrees with the model.
    fn agrees_with_model(&mut self) -> bool {
        let is_valid = self.model.apply_effects(&mut self.effects);
        let is_closed = self.consumer.channel_state() == ChannelState::Closed;
        is_valid
            && self.consumer.unsettled_count() == self.model.unsettled.len()
            // At most one answer or one copy is published for each delivery.
            && self.model.published <= self.model.answered
            && (!is_closed || self.model.unsettled.is_empty())
            // The connection may end only when no publish can still be confirmed, and when every
            // delivery is answered.
            && (!self.consumer.has_shut_down()
                || (self.model.unconfirmed.is_empty() && self.model.in_flight.is_empty()))
    }
}

/// Every delivery is settled exactly once, after its answer, and a channel closes only when all are
/// settled.
#[test]
fn consumer_agrees_with_its_model() {
    fn check(steps: Vec<ChannelStep>) -> bool {
        let mut checked = CheckedConsumer::new(!steps.len().is_multiple_of(2));
        checked.model.apply_effects(&mut checked.effects)
            && steps.into_iter().all(|step| {
                checked.run_step(step);
                checked.agrees_with_model()
            })
    }
    check_steps(check);
}
