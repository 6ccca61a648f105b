//! A connection to the fake broker: answers the client's frames and delivers messages.

use std::collections::{BTreeMap, VecDeque};
use std::io::Read;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::connection::{self, AMQPMethod as Method};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{FieldTable, ShortString};
use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError};
use protocol_gateway::amqp::codec;

use super::channel::{BrokerChannel, PartialPublish};
use super::message::{short_string, Message};
use super::{BrokerState, ChannelFault, POSTS, READS};
use crate::doubles::lock;

/// Class id of the content headers of `basic` methods.
const BASIC_CLASS_ID: u16 = 60;
/// Method id of `basic.consume`.
const CONSUME_METHOD_ID: u16 = 20;
/// Reply code of a regular close.
const REPLY_SUCCESS: u16 = 200;
/// Reply code of a close because of a queue that does not exist.
const REPLY_NOT_FOUND: u16 = 404;
/// Size of the largest frame that is read.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the largest body frame that is sent.
const BODY_FRAME_BYTES: usize = 4000;

/// A connection and its channels.
pub(super) struct BrokerConnection {
    stream: TcpStream,
    state: Arc<Mutex<BrokerState>>,
    channels: BTreeMap<u16, BrokerChannel>,
}

impl BrokerConnection {
    pub(super) fn new(stream: TcpStream, state: Arc<Mutex<BrokerState>>) -> BrokerConnection {
        BrokerConnection {
            stream,
            state,
            channels: BTreeMap::new(),
        }
    }

    /// Serves the connection until the client closes it.
    pub(super) fn run(mut self) {
        let mut header = [0; 8];
        if (&self.stream).read_exact(&mut header).is_err() || &header != b"AMQP\0\0\x09\x01" {
            return;
        }
        let link = self.stream.try_clone().expect("a link");
        lock(&self.state).connections += 1;
        lock(&self.state).links.push(link);
        let frames = self.spawn_reader();
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties: FieldTable::default(),
            mechanisms: "AMQPLAIN PLAIN".into(),
            locales: "en_US".into(),
        };
        self.reply(0, AMQPClass::Connection(Method::Start(start)));
        loop {
            match frames.recv_timeout(Duration::from_millis(2)) {
                Ok(frame) => self.handle_frame(frame),
                Err(RecvTimeoutError::Timeout) => {
                    self.cause_channel_faults();
                    self.deliver_ready();
                }
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        self.requeue_unsettled();
    }

    fn spawn_reader(&self) -> Receiver<AMQPFrame> {
        let (sender, frames) = unbounded();
        let mut stream = self.stream.try_clone().expect("a link");
        thread::spawn(move || {
            while codec::read(&mut stream, MAX_FRAME_BYTES)
                .is_ok_and(|frame| sender.send(frame).is_ok())
            {}
        });
        frames
    }

    /// Returns unsettled messages to their queues, marked as redelivered.
    fn requeue_unsettled(self) {
        let mut state = lock(&self.state);
        for channel in self.channels.into_values() {
            state.requeue_unsettled(channel);
        }
    }

    fn send(&self, frames: &[AMQPFrame]) {
        // The reader detects a broken connection.
        let _ = codec::write(&self.stream, frames);
    }

    fn reply(&self, channel: u16, class: AMQPClass) {
        self.send(&[AMQPFrame::Method(channel, class)]);
    }

    fn send_content(&self, channel: u16, method: Basic, message: &Message) {
        let body = message.body.clone().into_bytes();
        let header = AMQPContentHeader {
            class_id: BASIC_CLASS_ID,
            body_size: body.len() as u64,
            properties: message.properties.clone(),
        };
        let mut frames = vec![
            AMQPFrame::Method(channel, AMQPClass::Basic(method)),
            AMQPFrame::Header(channel, header),
        ];
        frames.extend(
            body.chunks(BODY_FRAME_BYTES)
                .map(|chunk| AMQPFrame::Body(channel, chunk.to_vec())),
        );
        self.send(&frames);
    }

    fn record_violation(&self, violation: String) {
        lock(&self.state).violations.push(violation);
    }

    fn handle_frame(&mut self, frame: AMQPFrame) {
        match frame {
            AMQPFrame::Heartbeat => lock(&self.state).heartbeats += 1,
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.handle_connection(method),
            AMQPFrame::Method(id, AMQPClass::Channel(Channel::Open(_))) => {
                self.channels.insert(id, BrokerChannel::default());
                let open_ok = Channel::OpenOk(channel::OpenOk {});
                self.reply(id, AMQPClass::Channel(open_ok));
            }
            AMQPFrame::Method(id, AMQPClass::Channel(Channel::Close(close))) => {
                self.close_channel(id, close.reply_code);
            }
            AMQPFrame::Method(_, AMQPClass::Channel(Channel::CloseOk(_))) => {}
            AMQPFrame::Method(id, AMQPClass::Confirm(Confirm::Select(_))) => {
                let select_ok = Confirm::SelectOk(confirm::SelectOk {});
                self.reply(id, AMQPClass::Confirm(select_ok));
            }
            AMQPFrame::Method(id, AMQPClass::Basic(method)) => self.handle_basic(id, method),
            AMQPFrame::Header(id, header) => {
                if let Some(channel) = self.channels.get_mut(&id) {
                    channel.add_header(header.properties, header.body_size);
                }
                self.accept_complete_publish(id);
            }
            AMQPFrame::Body(id, bytes) => {
                if let Some(channel) = self.channels.get_mut(&id) {
                    channel.add_body(bytes);
                }
                self.accept_complete_publish(id);
            }
            other => self.record_violation(format!("unexpected {other:?}")),
        }
    }

    fn handle_connection(&mut self, method: Method) {
        let answer = match method {
            Method::StartOk(start) if start.response.as_bytes() == b"\0guest\0guest" => {
                let heartbeat = lock(&self.state).heartbeat;
                Method::Tune(connection::Tune {
                    channel_max: 0,
                    frame_max: 4096,
                    heartbeat,
                })
            }
            Method::StartOk(_) => Method::Close(connection::Close {
                reply_code: 403,
                reply_text: short_string("ACCESS_REFUSED"),
                class_id: 0,
                method_id: 0,
            }),
            Method::Open(open) => {
                assert_eq!(open.virtual_host.as_str(), "billing");
                Method::OpenOk(connection::OpenOk {})
            }
            Method::Close(_) => Method::CloseOk(connection::CloseOk {}),
            _ => return,
        };
        self.reply(0, AMQPClass::Connection(answer));
    }

    /// Processes the client's close of a channel. A channel that has not failed is closed only when
    /// nothing on it is unsettled.
    fn close_channel(&mut self, id: u16, reply_code: u16) {
        if let Some(channel) = self.channels.remove(&id) {
            let unsettled = channel.unacked.len();
            if reply_code == REPLY_SUCCESS && unsettled > 0 {
                self.record_violation(format!("closed with {unsettled} unsettled"));
            }
            lock(&self.state).requeue_unsettled(channel);
        }
        let close_ok = Channel::CloseOk(channel::CloseOk {});
        self.reply(id, AMQPClass::Channel(close_ok));
    }

    /// Closes a channel whose queue does not exist.
    fn reject_consumer(&mut self, id: u16, queue: &str) {
        self.channels.remove(&id);
        lock(&self.state).rejected_consumers += 1;
        let close = channel::Close {
            reply_code: REPLY_NOT_FOUND,
            reply_text: short_string(&format!("NOT_FOUND - no queue '{queue}'")),
            class_id: BASIC_CLASS_ID,
            method_id: CONSUME_METHOD_ID,
        };
        self.reply(id, AMQPClass::Channel(Channel::Close(close)));
    }

    /// Causes the faults that are still to happen on the channels of this connection.
    fn cause_channel_faults(&mut self) {
        let ids: Vec<u16> = self.channels.keys().copied().collect();
        for id in ids {
            while let Some(fault) = self.take_channel_fault(id) {
                self.cause_channel_fault(id, fault);
            }
        }
    }

    fn take_channel_fault(&self, id: u16) -> Option<ChannelFault> {
        let channel = self.channels.get(&id).filter(|c| c.is_active)?;
        let mut state = lock(&self.state);
        let faults = &mut state.channel_faults;
        let index = faults.iter().position(|(q, _)| *q == channel.queue)?;
        Some(faults.remove(index).1)
    }

    fn cause_channel_fault(&mut self, id: u16, fault: ChannelFault) {
        let method = match fault {
            ChannelFault::ConsumerCancelled => {
                if let Some(channel) = self.channels.get_mut(&id) {
                    channel.is_active = false;
                }
                Basic::Cancel(basic::Cancel {
                    consumer_tag: short_string(&format!("mothwinch-{id}")),
                    nowait: true,
                })
            }
            ChannelFault::UnexpectedMethod => Basic::QosOk(basic::QosOk {}),
        };
        self.reply(id, AMQPClass::Basic(method));
    }

    fn handle_basic(&mut self, id: u16, method: Basic) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        match method {
            Basic::Qos(qos) => {
                channel.prefetch = qos.prefetch_count.into();
                self.reply(id, AMQPClass::Basic(Basic::QosOk(basic::QosOk {})));
            }
            Basic::Consume(consume) => {
                let queue = consume.queue.as_str();
                if lock(&self.state).missing_queues.contains(queue) {
                    return self.reject_consumer(id, queue);
                }
                channel.queue = consume.queue.to_string();
                channel.is_active = true;
                lock(&self.state).consumers += 1;
                let consumer_tag = consume.consumer_tag;
                let consume_ok = Basic::ConsumeOk(basic::ConsumeOk { consumer_tag });
                self.reply(id, AMQPClass::Basic(consume_ok));
            }
            Basic::Cancel(cancel) => self.cancel_consumer(id, cancel.consumer_tag),
            Basic::Publish(publish) => {
                channel.partial_publish = Some(PartialPublish::new(publish));
            }
            Basic::Ack(ack) => {
                self.settle_delivery(id, ack.delivery_tag, |state, _, _| state.acked += 1);
            }
            Basic::Reject(reject) => {
                self.settle_delivery(id, reject.delivery_tag, return_message(reject.requeue));
            }
            Basic::Nack(nack) => {
                self.settle_delivery(id, nack.delivery_tag, return_message(nack.requeue));
            }
            other => self.record_violation(format!("unexpected {other:?}")),
        }
    }

    /// Delivers the messages that a broker would have sent before it received the cancel, and ends
    /// the consumer.
    fn cancel_consumer(&mut self, id: u16, consumer_tag: ShortString) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        if lock(&self.state).ignores_cancels {
            lock(&self.state).ignored_cancels += 1;
            return;
        }
        let mut in_transit = Vec::new();
        lock(&self.state).push_on_cancel.retain(|(queue, message)| {
            let is_other_queue = *queue != channel.queue;
            if !is_other_queue {
                in_transit.push(message.clone());
            }
            is_other_queue
        });
        for message in in_transit {
            self.deliver(id, &message);
        }
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.is_active = false;
        }
        let cancel_ok = Basic::CancelOk(basic::CancelOk { consumer_tag });
        self.reply(id, AMQPClass::Basic(cancel_ok));
    }

    fn settle_delivery(
        &mut self,
        id: u16,
        delivery_tag: u64,
        apply: impl FnOnce(&mut BrokerState, &str, Message),
    ) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        let mut state = lock(&self.state);
        match channel.unacked.remove(&delivery_tag) {
            Some(message) => {
                state.unacked -= 1;
                apply(&mut state, &channel.queue, message);
            }
            None => state.violations.push(format!(
                "delivery {delivery_tag} settled that was not unsettled"
            )),
        }
    }

    fn deliver(&mut self, id: u16, message: &Message) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        let deliver = basic::Deliver {
            consumer_tag: short_string(&format!("mothwinch-{id}")),
            delivery_tag: channel.add_delivery(message.clone()),
            redelivered: message.redelivered,
            exchange: ShortString::default(),
            routing_key: short_string(&channel.queue),
        };
        let mut state = lock(&self.state);
        state.unacked += 1;
        state.most_unacked = state.most_unacked.max(channel.unacked.len());
        drop(state);
        self.send_content(id, Basic::Deliver(deliver), message);
    }

    /// Delivers waiting messages to each consumer, up to its prefetch.
    fn deliver_ready(&mut self) {
        let ids: Vec<u16> = self.channels.keys().copied().collect();
        for id in ids {
            while let Some(message) = self.take_ready(id) {
                self.deliver(id, &message);
            }
        }
    }

    fn take_ready(&self, id: u16) -> Option<Message> {
        let channel = self.channels.get(&id)?;
        if !channel.is_active || channel.unacked.len() >= channel.prefetch {
            return None;
        }
        lock(&self.state)
            .ready
            .get_mut(&channel.queue)
            .and_then(VecDeque::pop_front)
    }

    /// Accepts a publish if it is complete: a request goes into its queue, an answer to the
    /// replies.
    fn accept_complete_publish(&mut self, id: u16) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        let Some((publish, message, delivery_tag)) = channel.take_complete_publish() else {
            return;
        };
        let queue = publish.routing_key.to_string();
        let mut state = lock(&self.state);
        let user_id = message.properties.user_id().as_ref();
        if user_id.is_some_and(|user| user.as_str() != "guest") {
            state
                .violations
                .push("a publish under another user's name".into());
        }
        let is_returned = publish.mandatory && state.unroutable;
        let is_confirmed = !state.hold_confirms;
        if !is_returned && [READS, POSTS].contains(&queue.as_str()) {
            state.copies += 1;
            state
                .ready
                .entry(queue)
                .or_default()
                .push_back(message.clone());
        } else if !is_returned {
            state.replies.push(message.clone());
        }
        drop(state);
        if is_returned {
            let returned = basic::Return {
                reply_code: 312,
                reply_text: short_string("NO_ROUTE"),
                exchange: publish.exchange,
                routing_key: publish.routing_key,
            };
            self.send_content(id, Basic::Return(returned), &message);
        }
        if is_confirmed {
            let ack = basic::Ack {
                delivery_tag,
                multiple: false,
            };
            self.reply(id, AMQPClass::Basic(Basic::Ack(ack)));
        }
    }
}

/// Returns what a rejection does with its message: back to the head of its queue, or to the dead
/// letters.
fn return_message(requeue: bool) -> impl FnOnce(&mut BrokerState, &str, Message) {
    move |state, queue, mut message| {
        if requeue {
            state.requeued += 1;
            message.redelivered = true;
            state
                .ready
                .entry(queue.into())
                .or_default()
                .push_front(message);
        } else {
            state.dead_letters.push(message);
        }
    }
}
