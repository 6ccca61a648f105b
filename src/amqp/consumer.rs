//! One consumer on one channel, apart from its socket: it takes frames and answers and says which frames go out
//! and which deliveries go to the core. Here every delivery is settled exactly once: a delivery is in the ledger
//! until its settlement is sent, and sending takes it out.

use std::collections::{BTreeMap, HashMap};

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};

use crate::node::{Answer, Failure, Outcome};

/// The AMQP class that carries content.
const BASIC: u16 = 60;
/// Marks a copy that was handed back unrun, with how often that has happened.
pub(super) const HANDED_BACK: &str = "x-mothwinch-handed-back";
/// The publish that a copy went out as, so that one that comes back unroutable is known.
const COPY: &str = "x-mothwinch-copy";
/// How an answer ended: `served`, `refused` or `failed`.
pub(super) const STATUS: &str = "x-mothwinch-status";
/// Why it failed.
pub(super) const REASON: &str = "x-mothwinch-reason";
/// How many milliseconds to stay away before the next try.
pub(super) const RETRY_AFTER: &str = "x-mothwinch-retry-after-ms";
/// Whether the request may be tried again at all without risk of a second run.
pub(super) const MAY_RETRY: &str = "x-mothwinch-may-retry";
/// The free value.
pub(super) const HINT: &str = "x-mothwinch-hint";

/// Where a channel stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// `channel.open` is out.
    Opening,
    /// `confirm.select` is out.
    Confirming,
    /// `basic.qos` is out.
    Limiting,
    /// `basic.consume` is out.
    Subscribing,
    /// Deliveries come.
    Consuming,
    /// `basic.cancel` is out; deliveries on their way still come.
    Cancelling,
    /// No more deliveries; some are not settled yet.
    Cancelled,
    /// All settled; `channel.close` is out.
    Closing,
    /// Closed.
    Closed,
}

/// What a consumer is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The channel's number.
    pub channel: u16,
    /// The queue's name.
    pub queue: ShortString,
    /// The bound on deliveries in hand.
    pub prefetch: u16,
    /// Whether what comes from it must not run twice.
    pub once: bool,
    /// The longest message taken.
    pub body: usize,
    /// The longest frame, as agreed with the broker.
    pub frame: usize,
}

/// A delivery for the core.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// What it is settled by.
    pub tag: u64,
    /// The broker has delivered it before.
    pub redelivered: bool,
    /// What names its effect.
    pub message_id: Option<String>,
    /// Pushed after the cancel: to be handed back unrun.
    pub late: bool,
    /// Its bytes.
    pub body: Vec<u8>,
}

/// What a consumer wants done.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Send this frame.
    Send(Box<AMQPFrame>),
    /// Hand this to the core; exactly one answer comes back.
    Deliver(Delivery),
    /// A message that can't be a request was rejected, for this reason.
    Malformed(&'static str),
    /// The channel is gone: nothing on it can be settled any more.
    Gone(String),
}

/// A message whose frames are still coming.
struct Partial {
    method: Content,
    properties: AMQPProperties,
    left: Option<u64>,
    body: Vec<u8>,
    too_long: bool,
}
enum Content {
    Deliver(basic::Deliver),
    Return,
}

/// A delivery that is not settled.
struct Held {
    properties: AMQPProperties,
    /// Kept for a copy, in classes that must not run twice.
    body: Vec<u8>,
    /// Its settlement waits for the confirm of a publish.
    settling: bool,
}

/// What to do with a delivery once a publish is confirmed.
#[derive(Clone, Copy)]
enum Then {
    /// It has been answered.
    Ack(u64),
    /// It has been answered, and must not be served to anyone again.
    DeadLetter(u64),
    /// A copy of it went back; if that came back or was not taken, the original goes.
    HandedBack(u64),
}

/// See the file's head.
pub struct Consumer {
    set: Settings,
    state: State,
    partial: Option<Partial>,
    ledger: HashMap<u64, Held>,
    published: u64,
    confirms: BTreeMap<u64, Then>,
    returned: Vec<u64>,
    leaving: bool,
}

fn short(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

impl Consumer {
    /// A consumer whose channel is being opened.
    pub fn new(set: Settings, out: &mut Vec<Step>) -> Consumer {
        let consumer = Consumer {
            set,
            state: State::Opening,
            partial: None,
            ledger: HashMap::new(),
            published: 0,
            confirms: BTreeMap::new(),
            returned: Vec::new(),
            leaving: false,
        };
        consumer.send(AMQPClass::Channel(Channel::Open(channel::Open {})), out);
        consumer
    }

    /// Where the channel stands.
    pub fn state(&self) -> State {
        self.state
    }
    /// Deliveries that are not settled.
    pub fn unsettled(&self) -> usize {
        self.ledger.len()
    }

    fn send(&self, method: AMQPClass, out: &mut Vec<Step>) {
        out.push(Step::Send(Box::new(AMQPFrame::Method(
            self.set.channel,
            method,
        ))));
    }
    fn basic(&self, method: Basic, out: &mut Vec<Step>) {
        self.send(AMQPClass::Basic(method), out);
    }
    fn tag(&self) -> ShortString {
        short(&format!("mothwinch-{}", self.set.channel))
    }

    /// Takes a frame of this channel.
    pub fn frame(&mut self, frame: AMQPFrame, out: &mut Vec<Step>) {
        match frame {
            AMQPFrame::Method(_, AMQPClass::Channel(method)) => self.channel(method, out),
            AMQPFrame::Method(_, AMQPClass::Confirm(Confirm::SelectOk(_)))
                if self.state == State::Confirming =>
            {
                self.state = State::Limiting;
                let qos = basic::Qos {
                    prefetch_count: self.set.prefetch,
                    global: false,
                };
                self.basic(Basic::Qos(qos), out);
            }
            AMQPFrame::Method(_, AMQPClass::Basic(method)) => self.method(method, out),
            AMQPFrame::Header(_, header) => self.header(header, out),
            AMQPFrame::Body(_, bytes) => self.body(&bytes, out),
            other => self.gone(format!("unexpected {other:?}"), out),
        }
    }

    fn gone(&mut self, why: String, out: &mut Vec<Step>) {
        if self.state != State::Closed {
            self.state = State::Closed;
            // Nothing can be settled on a dead channel; the broker delivers it all again.
            self.ledger.clear();
            self.confirms.clear();
            out.push(Step::Gone(why));
        }
    }

    fn channel(&mut self, method: Channel, out: &mut Vec<Step>) {
        match method {
            Channel::OpenOk(_) if self.state == State::Opening => {
                self.state = State::Confirming;
                self.send(
                    AMQPClass::Confirm(Confirm::Select(confirm::Select { nowait: false })),
                    out,
                );
            }
            Channel::Flow(flow) => {
                let ok = channel::FlowOk {
                    active: flow.active,
                };
                self.send(AMQPClass::Channel(Channel::FlowOk(ok)), out);
            }
            Channel::Close(close) => {
                self.send(
                    AMQPClass::Channel(Channel::CloseOk(channel::CloseOk {})),
                    out,
                );
                self.gone(
                    format!("channel closed: {} {}", close.reply_code, close.reply_text),
                    out,
                );
            }
            Channel::CloseOk(_) if self.state == State::Closing => self.state = State::Closed,
            other => self.gone(format!("unexpected {other:?}"), out),
        }
    }

    fn method(&mut self, method: Basic, out: &mut Vec<Step>) {
        match method {
            Basic::QosOk(_) if self.state == State::Limiting => {
                self.state = State::Subscribing;
                let consume = basic::Consume {
                    queue: self.set.queue.clone(),
                    consumer_tag: self.tag(),
                    no_local: false,
                    no_ack: false,
                    exclusive: false,
                    nowait: false,
                    arguments: FieldTable::default(),
                };
                self.basic(Basic::Consume(consume), out);
            }
            Basic::ConsumeOk(_) if self.state == State::Subscribing => {
                self.state = State::Consuming;
                if self.leaving {
                    self.cancel(out);
                }
            }
            Basic::CancelOk(_) if self.state == State::Cancelling => {
                self.state = State::Cancelled;
                self.finish(out);
            }
            // The broker has ended the consumer, as when the queue is deleted.
            Basic::Cancel(_) => self.gone("consumer cancelled by the broker".into(), out),
            Basic::Deliver(deliver) if self.partial.is_none() => {
                self.begin(Content::Deliver(deliver));
            }
            Basic::Return(_) if self.partial.is_none() => self.begin(Content::Return),
            Basic::Ack(ack) => self.confirmed(ack.delivery_tag, ack.multiple, true, out),
            Basic::Nack(nack) => self.confirmed(nack.delivery_tag, nack.multiple, false, out),
            other => self.gone(format!("unexpected {other:?}"), out),
        }
    }

    fn begin(&mut self, method: Content) {
        let properties = AMQPProperties::default();
        self.partial = Some(Partial {
            method,
            properties,
            left: None,
            body: Vec::new(),
            too_long: false,
        });
    }

    fn header(&mut self, header: AMQPContentHeader, out: &mut Vec<Step>) {
        let most = self.set.body as u64;
        match &mut self.partial {
            Some(partial) if partial.left.is_none() => {
                partial.properties = header.properties;
                partial.left = Some(header.body_size);
                partial.too_long = header.body_size > most;
                self.whole(out);
            }
            _ => self.gone("a header out of place".into(), out),
        }
    }

    fn body(&mut self, bytes: &[u8], out: &mut Vec<Step>) {
        let left = self.partial.as_mut().and_then(|p| p.left.as_mut());
        match left.map(|left| (left.checked_sub(bytes.len() as u64), left)) {
            Some((Some(rest), left)) => {
                *left = rest;
                if let Some(partial) = self.partial.as_mut().filter(|p| !p.too_long) {
                    partial.body.extend_from_slice(bytes);
                }
                self.whole(out);
            }
            _ => self.gone("a body out of place".into(), out),
        }
    }

    /// Takes the message that is coming, if all of it is there.
    fn whole(&mut self, out: &mut Vec<Step>) {
        let Some(partial) = self.partial.take_if(|p| p.left == Some(0)) else {
            return;
        };
        let Partial {
            method,
            properties,
            body,
            too_long,
            ..
        } = partial;
        let deliver = match method {
            Content::Deliver(deliver) => deliver,
            Content::Return => {
                if let Some(AMQPValue::LongLongInt(copy)) = header_of(&properties, COPY) {
                    self.returned.push(copy.unsigned_abs());
                }
                return;
            }
        };
        let tag = deliver.delivery_tag;
        let message_id = properties
            .message_id()
            .as_ref()
            .map(std::string::ToString::to_string)
            .filter(|id| !id.is_empty());
        let malformed = match () {
            () if too_long => Some("message too long"),
            () if self.set.once && message_id.is_none() => {
                Some("no message_id on what must not run twice")
            }
            () => None,
        };
        if let Some(why) = malformed {
            out.push(Step::Malformed(why));
            return self.basic(
                Basic::Reject(basic::Reject {
                    delivery_tag: tag,
                    requeue: false,
                }),
                out,
            );
        }
        let kept = if self.set.once {
            body.clone()
        } else {
            Vec::new()
        };
        self.ledger.insert(
            tag,
            Held {
                properties,
                body: kept,
                settling: false,
            },
        );
        let (redelivered, late) = (deliver.redelivered, self.leaving);
        out.push(Step::Deliver(Delivery {
            tag,
            redelivered,
            message_id,
            late,
            body,
        }));
    }

    // ---- answers ----

    /// Takes the core's answer to a delivery and settles it.
    pub fn answer(&mut self, tag: u64, answer: &Answer, out: &mut Vec<Step>) {
        let Some(held) = self.ledger.get_mut(&tag).filter(|held| !held.settling) else {
            return;
        };
        let reply_to = held
            .properties
            .reply_to()
            .clone()
            .filter(|to| !to.as_str().is_empty());
        let (status, body, reason, dead) = match &answer.outcome {
            Outcome::Served(body) => match body.to_bytes() {
                Some(bytes) => ("served", bytes, None, false),
                None => (
                    "failed",
                    Vec::new(),
                    Some(Failure::Internal.reason()),
                    false,
                ),
            },
            // It never ran and we are leaving: another consumer may have it.
            Outcome::Rejected { .. } | Outcome::WrongCell { .. } if self.leaving => {
                return self.hand_back(tag, out)
            }
            Outcome::Rejected { .. } | Outcome::WrongCell { .. } => {
                ("refused", Vec::new(), None, false)
            }
            Outcome::Failed(why) => (
                "failed",
                Vec::new(),
                Some(why.reason()),
                *why == Failure::MayHaveRun,
            ),
        };
        let Some(reply_to) = reply_to else {
            // A result that nobody asked for is done with; an error that nobody hears of goes to the dead letters.
            return if status == "served" {
                self.ack(tag, out);
            } else {
                self.reject(tag, false, out);
            };
        };
        held.settling = true;
        let mut headers = FieldTable::default();
        let mut put = |name: &str, value| {
            headers.insert(short(name), value);
        };
        put(STATUS, AMQPValue::LongString(status.into()));
        if let Some(reason) = reason {
            put(REASON, AMQPValue::LongString(reason.into()));
        }
        if let Some(hint) = answer.capacity_hint {
            put(HINT, AMQPValue::Double(hint));
        }
        if status != "served" {
            let after = match &answer.outcome {
                Outcome::Rejected { retry_after, .. } => retry_after.ms().ceil() as i64,
                _ => 0,
            };
            put(RETRY_AFTER, AMQPValue::LongLongInt(after));
            put(
                MAY_RETRY,
                AMQPValue::Boolean(status == "refused" || !self.set.once),
            );
        }
        let mut properties = AMQPProperties::default()
            .with_headers(headers)
            .with_type(short(status));
        if let Some(id) = held.properties.correlation_id() {
            properties = properties.with_correlation_id(id.clone());
        }
        let then = if dead {
            Then::DeadLetter(tag)
        } else {
            Then::Ack(tag)
        };
        self.publish(reply_to, false, properties, &body, then, out);
    }

    /// Gives a delivery that never ran back to its queue.
    fn hand_back(&mut self, tag: u64, out: &mut Vec<Step>) {
        if !self.set.once {
            return self.reject(tag, true, out);
        }
        // A requeue would mark it as delivered before, and then nobody may run it. A copy carries no such mark;
        // the original goes only once the broker has the copy.
        let Some(held) = self.ledger.get_mut(&tag) else {
            return;
        };
        held.settling = true;
        let times = match header_of(&held.properties, HANDED_BACK) {
            Some(AMQPValue::LongLongInt(times)) => *times,
            _ => 0,
        };
        let marks = [(HANDED_BACK, times + 1), (COPY, self.published as i64 + 1)];
        let properties = copy_of(&held.properties, marks);
        let body = std::mem::take(&mut held.body);
        self.publish(
            self.set.queue.clone(),
            true,
            properties,
            &body,
            Then::HandedBack(tag),
            out,
        );
    }

    fn publish(
        &mut self,
        routing_key: ShortString,
        mandatory: bool,
        properties: AMQPProperties,
        body: &[u8],
        then: Then,
        out: &mut Vec<Step>,
    ) {
        self.published += 1;
        self.confirms.insert(self.published, then);
        let exchange = ShortString::default();
        let publish = basic::Publish {
            exchange,
            routing_key,
            mandatory,
            immediate: false,
        };
        self.basic(Basic::Publish(publish), out);
        let header = AMQPContentHeader {
            class_id: BASIC,
            body_size: body.len() as u64,
            properties,
        };
        out.push(Step::Send(Box::new(AMQPFrame::Header(
            self.set.channel,
            header,
        ))));
        for chunk in body.chunks(self.set.frame.saturating_sub(8).max(1)) {
            out.push(Step::Send(Box::new(AMQPFrame::Body(
                self.set.channel,
                chunk.to_vec(),
            ))));
        }
    }

    /// The broker has taken publishes, or has failed to.
    fn confirmed(&mut self, number: u64, multiple: bool, taken: bool, out: &mut Vec<Step>) {
        let numbers: Vec<u64> = if multiple {
            self.confirms.range(..=number).map(|(n, _)| *n).collect()
        } else {
            vec![number]
        };
        for number in numbers {
            let came_back = self
                .returned
                .iter()
                .position(|n| *n == number)
                .map(|at| self.returned.swap_remove(at));
            match self.confirms.remove(&number) {
                // The answer is as good as given; if the broker lost it, running again would be worse.
                Some(Then::Ack(tag)) => self.ack(tag, out),
                Some(Then::DeadLetter(tag)) => self.reject(tag, false, out),
                Some(Then::HandedBack(tag)) if taken && came_back.is_none() => self.ack(tag, out),
                Some(Then::HandedBack(tag)) => self.reject(tag, true, out),
                None => {}
            }
        }
    }

    fn ack(&mut self, tag: u64, out: &mut Vec<Step>) {
        if self.ledger.remove(&tag).is_some() {
            self.basic(
                Basic::Ack(basic::Ack {
                    delivery_tag: tag,
                    multiple: false,
                }),
                out,
            );
            self.finish(out);
        }
    }

    fn reject(&mut self, tag: u64, requeue: bool, out: &mut Vec<Step>) {
        if self.ledger.remove(&tag).is_some() {
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
            self.basic(method, out);
            self.finish(out);
        }
    }

    // ---- leaving ----

    /// Stops consuming. What is in hand is answered or handed back, and then the channel closes.
    pub fn leave(&mut self, out: &mut Vec<Step>) {
        if !std::mem::replace(&mut self.leaving, true) && self.state == State::Consuming {
            self.cancel(out);
        }
    }

    fn cancel(&mut self, out: &mut Vec<Step>) {
        self.state = State::Cancelling;
        self.basic(
            Basic::Cancel(basic::Cancel {
                consumer_tag: self.tag(),
                nowait: false,
            }),
            out,
        );
    }

    fn finish(&mut self, out: &mut Vec<Step>) {
        if self.state == State::Cancelled && self.ledger.is_empty() && self.partial.is_none() {
            self.state = State::Closing;
            let (reply_code, reply_text) = (200, short("leaving"));
            let close = channel::Close {
                reply_code,
                reply_text,
                class_id: 0,
                method_id: 0,
            };
            self.send(AMQPClass::Channel(Channel::Close(close)), out);
        }
    }
}

/// The properties of a copy for the same queue, with these marks. What a broker would act on once more does not go
/// along: a user's name that is not ours closes the channel, and `CC` and `BCC` would route the message to others.
fn copy_of(of: &AMQPProperties, marks: [(&str, i64); 2]) -> AMQPProperties {
    let mut headers = FieldTable::default();
    for (name, value) in of.headers().iter().flat_map(FieldTable::inner) {
        if !["CC", "BCC"].contains(&name.as_str()) {
            headers.insert(name.clone(), value.clone());
        }
    }
    for (name, value) in marks {
        headers.insert(short(name), AMQPValue::LongLongInt(value));
    }
    let mut copy = AMQPProperties::default().with_headers(headers);
    macro_rules! keep {
        ($($get:ident $set:ident),*) => {
            $(if let Some(value) = of.$get() {
                copy = copy.$set(value.clone());
            })*
        };
    }
    keep!(content_type with_content_type, content_encoding with_content_encoding, delivery_mode with_delivery_mode);
    keep!(priority with_priority, correlation_id with_correlation_id, reply_to with_reply_to, kind with_type);
    keep!(expiration with_expiration, message_id with_message_id, timestamp with_timestamp, app_id with_app_id);
    copy
}

fn header_of<'a>(properties: &'a AMQPProperties, name: &str) -> Option<&'a AMQPValue> {
    properties
        .headers()
        .as_ref()
        .and_then(|headers| headers.inner().get(name))
}
