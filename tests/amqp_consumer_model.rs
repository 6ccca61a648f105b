//! The consumer of a queue against a model of its channel, by random steps.

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

const CHANNEL: u16 = 1;
const BASIC_CLASS: u16 = 60;

/// One event at the consumer.
#[derive(Clone, Debug)]
enum Step {
    /// The broker answers the last method that was sent to it.
    BrokerReply,
    /// The broker delivers a message, with a reply queue or without.
    Deliver { has_reply_to: bool },
    /// The policy answers one of the unanswered deliveries.
    Answer { outcome: u8, selector: usize },
    /// The broker confirms one of the publishes, or rejects it.
    Confirm { selector: usize, is_accepted: bool },
    /// The node shuts down.
    BeginShutdown,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 16 {
            0..=4 => Step::BrokerReply,
            5..=8 => Step::Deliver {
                has_reply_to: bool::arbitrary(g),
            },
            9..=11 => Step::Answer {
                outcome: u8::arbitrary(g) % 4,
                selector: usize::arbitrary(g),
            },
            12..=14 => Step::Confirm {
                selector: usize::arbitrary(g),
                is_accepted: bool::arbitrary(g),
            },
            _ => Step::BeginShutdown,
        }
    }
}

/// The broker's and the policy's side of one channel.
#[derive(Default)]
struct Model {
    /// Methods that the broker has not answered.
    unanswered_methods: Vec<AMQPClass>,
    /// Deliveries that are not settled.
    unsettled: BTreeSet<u64>,
    /// Deliveries that the policy has not answered.
    unanswered: Vec<u64>,
    /// Publishes that the broker has not confirmed.
    unconfirmed: Vec<u64>,
    published: u64,
    delivered: u64,
    answered: u64,
    is_subscribed: bool,
}

impl Model {
    /// Applies the consumer's effects; false if one breaks a rule.
    fn apply(&mut self, effects: &mut Vec<ConsumerEffect>) -> bool {
        effects.drain(..).all(|effect| match effect {
            ConsumerEffect::Deliver(delivery) => {
                self.unanswered.push(delivery.tag);
                true
            }
            ConsumerEffect::MessageRejected(_) => true,
            ConsumerEffect::ChannelFailed(_) => false,
            ConsumerEffect::Send(frame) => self.receive_frame(*frame),
        })
    }

    fn receive_frame(&mut self, frame: AMQPFrame) -> bool {
        match frame {
            AMQPFrame::Method(_, AMQPClass::Basic(method)) => self.receive_basic(method),
            AMQPFrame::Method(_, method) => {
                // No channel is closed while a delivery on it is not settled.
                let is_close = matches!(method, AMQPClass::Channel(Channel::Close(_)));
                self.unanswered_methods.push(method);
                !is_close || self.unsettled.is_empty()
            }
            _ => true,
        }
    }

    fn receive_basic(&mut self, method: Basic) -> bool {
        match method {
            // Settled once, and only after the policy has answered.
            Basic::Ack(basic::Ack {
                delivery_tag: tag,
                multiple: false,
            })
            | Basic::Nack(basic::Nack {
                delivery_tag: tag,
                multiple: false,
                ..
            })
            | Basic::Reject(basic::Reject {
                delivery_tag: tag, ..
            }) => self.unsettled.remove(&tag) && !self.unanswered.contains(&tag),
            Basic::Publish(_) => {
                self.published += 1;
                self.unconfirmed.push(self.published);
                true
            }
            other => {
                self.unanswered_methods.push(AMQPClass::Basic(other));
                true
            }
        }
    }

    /// The broker's reply to the last unanswered method.
    fn reply(&mut self) -> Option<AMQPClass> {
        let consumer_tag = ShortString::default();
        Some(match self.unanswered_methods.pop()? {
            AMQPClass::Channel(Channel::Open(_)) => {
                AMQPClass::Channel(Channel::OpenOk(channel::OpenOk {}))
            }
            AMQPClass::Channel(Channel::Close(_)) => {
                AMQPClass::Channel(Channel::CloseOk(channel::CloseOk {}))
            }
            AMQPClass::Confirm(_) => AMQPClass::Confirm(Confirm::SelectOk(confirm::SelectOk {})),
            AMQPClass::Basic(Basic::Qos(_)) => AMQPClass::Basic(Basic::QosOk(basic::QosOk {})),
            AMQPClass::Basic(Basic::Consume(_)) => {
                self.is_subscribed = true;
                AMQPClass::Basic(Basic::ConsumeOk(basic::ConsumeOk { consumer_tag }))
            }
            AMQPClass::Basic(Basic::Cancel(_)) => {
                self.is_subscribed = false;
                AMQPClass::Basic(Basic::CancelOk(basic::CancelOk { consumer_tag }))
            }
            _ => return None,
        })
    }
}

/// The consumer with the model beside it.
struct Harness {
    consumer: Consumer,
    effects: Vec<ConsumerEffect>,
    model: Model,
}

impl Harness {
    fn new(is_idempotent: bool) -> Harness {
        let settings = ConsumerSettings {
            channel: CHANNEL,
            queue: short_string("q"),
            prefetch: 9,
            is_idempotent,
            max_message_bytes: 99,
            max_frame_bytes: 4096,
        };
        let mut effects = Vec::new();
        Harness {
            consumer: Consumer::new(settings, &mut effects),
            effects,
            model: Model::default(),
        }
    }

    /// Carries out a step; whether the consumer kept the rules.
    fn step(&mut self, step: &Step) -> bool {
        match *step {
            Step::BrokerReply => {
                if let Some(reply) = self.model.reply() {
                    self.receive_method(reply);
                }
            }
            Step::Deliver { has_reply_to } if self.model.is_subscribed => {
                self.deliver(has_reply_to);
            }
            Step::Answer { outcome, selector } if !self.model.unanswered.is_empty() => {
                self.answer(outcome, selector);
            }
            Step::Confirm {
                selector,
                is_accepted,
            } if !self.model.unconfirmed.is_empty() => self.confirm(selector, is_accepted),
            Step::BeginShutdown => self.consumer.begin_shutdown(&mut self.effects),
            _ => {}
        }
        self.check()
    }

    fn check(&mut self) -> bool {
        let model = &mut self.model;
        model.apply(&mut self.effects)
            && self.consumer.unsettled_count() == model.unsettled.len()
            // One reply, or one copy, is published for a delivery at most.
            && model.published <= model.answered
            && (self.consumer.channel_state() != ChannelState::Closed
                || model.unsettled.is_empty())
    }

    fn receive(&mut self, frame: AMQPFrame) {
        self.consumer.handle_frame(frame, &mut self.effects);
    }

    fn receive_method(&mut self, method: AMQPClass) {
        self.receive(AMQPFrame::Method(CHANNEL, method));
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
        self.receive_method(AMQPClass::Basic(Basic::Deliver(deliver)));
        let header = AMQPContentHeader {
            class_id: BASIC_CLASS,
            body_size: 2,
            properties,
        };
        self.receive(AMQPFrame::Header(CHANNEL, header));
        self.receive(AMQPFrame::Body(CHANNEL, b"hi".to_vec()));
    }

    fn answer(&mut self, outcome: u8, selector: usize) {
        let outcome = match outcome {
            0 => Outcome::Served(Payload::from_bytes(b"yes")),
            1 => Outcome::Rejected {
                retry_after: Span(0),
                is_final: false,
            },
            2 => Outcome::Failed(Failure::GivenUp),
            _ => Outcome::Failed(Failure::MayHaveRun),
        };
        let index = selector % self.model.unanswered.len();
        let tag = self.model.unanswered.swap_remove(index);
        self.model.answered += 1;
        let answer = Answer {
            outcome,
            capacity_hint: None,
        };
        self.consumer.answer(tag, &answer, &mut self.effects);
        // A second answer to the same delivery changes nothing.
        self.consumer.answer(tag, &answer, &mut self.effects);
    }

    fn confirm(&mut self, selector: usize, is_accepted: bool) {
        let index = selector % self.model.unconfirmed.len();
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
        self.receive_method(AMQPClass::Basic(method));
    }
}

fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).expect("short")
}

fn consumer_keeps_the_rules(steps: Vec<Step>) -> bool {
    let mut harness = Harness::new(!steps.len().is_multiple_of(2));
    harness.model.apply(&mut harness.effects) && steps.into_iter().all(|step| harness.step(&step))
}

/// Every delivery is settled exactly once, after its answer, and a channel closes only when all are settled.
#[test]
fn a_consumer_settles_as_the_model_does() {
    check_steps(consumer_keeps_the_rules);
}
