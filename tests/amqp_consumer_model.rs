//! Models of the states of connections, against which random steps are checked.

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

#[derive(Clone, Debug)]
enum Queue {
    /// The broker answers whatever is asked of it.
    Broker,
    Deliver(bool),
    /// The core answers one of the deliveries in hand: how, and which.
    Answer(u8, usize),
    /// The broker confirms one of the publishes, or turns it down.
    Confirm(usize, bool),
    Leave,
}
impl Arbitrary for Queue {
    fn arbitrary(g: &mut Gen) -> Queue {
        match u8::arbitrary(g) % 16 {
            0..=4 => Queue::Broker,
            5..=8 => Queue::Deliver(bool::arbitrary(g)),
            9..=11 => Queue::Answer(u8::arbitrary(g) % 4, usize::arbitrary(g)),
            12..=14 => Queue::Confirm(usize::arbitrary(g), bool::arbitrary(g)),
            _ => Queue::Leave,
        }
    }
}

/// The broker's and the core's side of one channel.
#[derive(Default)]
struct Model {
    /// What the consumer waits to hear.
    asked: Vec<AMQPClass>,
    /// Delivered and not settled, answers owed by the core, publishes not confirmed.
    owed: BTreeSet<u64>,
    in_hand: Vec<u64>,
    publishes: Vec<u64>,
    published: u64,
    delivered: u64,
    answered: u64,
    active: bool,
}

impl Model {
    /// Takes what the consumer wants done; false if it breaks a rule.
    fn take(&mut self, steps: &mut Vec<ConsumerEffect>) -> bool {
        steps.drain(..).all(|step| match step {
            ConsumerEffect::Deliver(delivery) => {
                self.in_hand.push(delivery.tag);
                true
            }
            ConsumerEffect::MessageRejected(_) => true,
            ConsumerEffect::ChannelFailed(_) => false,
            ConsumerEffect::Send(frame) => match *frame {
                AMQPFrame::Method(_, AMQPClass::Basic(method)) => match method {
                    // Settled once, and only after the core has answered.
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
                    }) => self.owed.remove(&tag) && !self.in_hand.contains(&tag),
                    Basic::Publish(_) => {
                        self.published += 1;
                        self.publishes.push(self.published);
                        true
                    }
                    other => {
                        self.asked.push(AMQPClass::Basic(other));
                        true
                    }
                },
                AMQPFrame::Method(_, method) => {
                    // No channel is closed while anything is owed on it.
                    let closing = matches!(method, AMQPClass::Channel(Channel::Close(_)));
                    self.asked.push(method);
                    !closing || self.owed.is_empty()
                }
                _ => true,
            },
        })
    }

    /// The broker's answer to what was asked.
    fn answer(&mut self) -> Option<AMQPClass> {
        let consumer_tag = ShortString::default();
        Some(match self.asked.pop()? {
            AMQPClass::Channel(Channel::Open(_)) => {
                AMQPClass::Channel(Channel::OpenOk(channel::OpenOk {}))
            }
            AMQPClass::Channel(Channel::Close(_)) => {
                AMQPClass::Channel(Channel::CloseOk(channel::CloseOk {}))
            }
            AMQPClass::Confirm(_) => AMQPClass::Confirm(Confirm::SelectOk(confirm::SelectOk {})),
            AMQPClass::Basic(Basic::Qos(_)) => AMQPClass::Basic(Basic::QosOk(basic::QosOk {})),
            AMQPClass::Basic(Basic::Consume(_)) => {
                self.active = true;
                AMQPClass::Basic(Basic::ConsumeOk(basic::ConsumeOk { consumer_tag }))
            }
            AMQPClass::Basic(Basic::Cancel(_)) => {
                self.active = false;
                AMQPClass::Basic(Basic::CancelOk(basic::CancelOk { consumer_tag }))
            }
            _ => return None,
        })
    }
}

/// Every delivery is settled exactly once, after its answer, and a channel closes only when nothing is owed.
#[test]
fn a_consumer_settles_as_the_model_does() {
    fn check(steps: Vec<Queue>) -> bool {
        let queue = ShortString::try_new("q").expect("short");
        let set = ConsumerSettings {
            channel: 1,
            queue,
            prefetch: 9,
            is_idempotent: !steps.len().is_multiple_of(2),
            max_message_bytes: 99,
            max_frame_bytes: 4096,
        };
        let (mut out, mut model) = (Vec::new(), Model::default());
        let mut consumer = Consumer::new(set, &mut out);
        model.take(&mut out)
            && steps.into_iter().all(|step| {
                match step {
                    Queue::Broker => {
                        if let Some(answer) = model.answer() {
                            consumer.handle_frame(AMQPFrame::Method(1, answer), &mut out);
                        }
                    }
                    Queue::Deliver(reply) if model.active => {
                        model.delivered += 1;
                        model.owed.insert(model.delivered);
                        let name = || ShortString::try_new("k").expect("short");
                        let mut properties = AMQPProperties::default().with_message_id(name());
                        if reply {
                            properties = properties.with_reply_to(name());
                        }
                        let deliver = basic::Deliver {
                            consumer_tag: name(),
                            delivery_tag: model.delivered,
                            redelivered: false,
                            exchange: name(),
                            routing_key: name(),
                        };
                        let method = AMQPClass::Basic(Basic::Deliver(deliver));
                        let header = AMQPContentHeader {
                            class_id: 60,
                            body_size: 2,
                            properties,
                        };
                        consumer.handle_frame(AMQPFrame::Method(1, method), &mut out);
                        consumer.handle_frame(AMQPFrame::Header(1, header), &mut out);
                        consumer.handle_frame(AMQPFrame::Body(1, b"hi".to_vec()), &mut out);
                    }
                    Queue::Answer(how, which) if !model.in_hand.is_empty() => {
                        let outcome = match how {
                            0 => Outcome::Served(Payload::from_bytes(b"yes")),
                            1 => Outcome::Rejected {
                                retry_after: Span(0),
                                is_final: false,
                            },
                            2 => Outcome::Failed(Failure::GivenUp),
                            _ => Outcome::Failed(Failure::MayHaveRun),
                        };
                        let tag = model.in_hand.swap_remove(which % model.in_hand.len());
                        model.answered += 1;
                        let answer = Answer {
                            outcome,
                            capacity_hint: None,
                        };
                        consumer.answer(tag, &answer, &mut out);
                        // A second answer to the same delivery changes nothing.
                        consumer.answer(tag, &answer, &mut out);
                    }
                    Queue::Confirm(which, taken) if !model.publishes.is_empty() => {
                        let delivery_tag = model.publishes.remove(which % model.publishes.len());
                        let method = if taken {
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
                        consumer
                            .handle_frame(AMQPFrame::Method(1, AMQPClass::Basic(method)), &mut out);
                    }
                    Queue::Leave => consumer.begin_shutdown(&mut out),
                    _ => {}
                }
                let rules = model.take(&mut out) && consumer.unsettled_count() == model.owed.len();
                // One answer, or one copy, is published for a delivery at most.
                let rules = rules && model.published <= model.answered;
                rules && (consumer.channel_state() != ChannelState::Closed || model.owed.is_empty())
            })
    }
    check_steps(check);
}
