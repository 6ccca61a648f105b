//! A stand-in broker: queues in memory, spoken to by AMQP 0-9-1 frames. It counts what is settled, and how often a
//! rule of the protocol is broken.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::connection::{self, AMQPMethod as Method};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};
use crossbeam_channel::{unbounded, RecvTimeoutError};
use protocol_gateway::amqp::codec;

use super::{lock, serve_connections, ScratchFile};

pub(crate) const READS: &str = "reads";
pub(crate) const POSTS: &str = "posts";

/// A message, in a queue or as a reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Message {
    pub body: String,
    pub properties: AMQPProperties,
    pub redelivered: bool,
}

impl Message {
    /// A request with an id of its own that wants its answer at `answers`.
    pub(crate) fn new(body: &str) -> Message {
        let short = |text: String| ShortString::try_new(text).expect("short");
        let properties = AMQPProperties::default()
            .with_message_id(short(format!("key of {body}")))
            .with_reply_to(short("answers".into()))
            .with_correlation_id(short(format!("about {body}")));
        Message {
            body: body.into(),
            properties,
            redelivered: false,
        }
    }
    /// The same without a place to send the answer to.
    pub(crate) fn without_reply(body: &str) -> Message {
        let id = Message::new(body)
            .properties
            .message_id()
            .clone()
            .expect("an id");
        let properties = AMQPProperties::default().with_message_id(id);
        Message {
            body: body.into(),
            properties,
            redelivered: false,
        }
    }
    pub(crate) fn redelivered(mut self) -> Message {
        self.redelivered = true;
        self
    }
    pub(crate) fn header(&self, name: &str) -> Option<&AMQPValue> {
        self.properties.headers().as_ref()?.inner().get(name)
    }
    /// A header that holds a text.
    pub(crate) fn text(&self, name: &str) -> String {
        match self.header(name) {
            Some(AMQPValue::LongString(text)) => text.to_string(),
            _ => String::new(),
        }
    }
    pub(crate) fn correlation(&self) -> String {
        self.properties
            .correlation_id()
            .as_ref()
            .map(std::string::ToString::to_string)
            .unwrap_or_default()
    }
}

/// What the broker has seen. Tests read it under the lock.
#[derive(Default)]
pub(crate) struct Seen {
    pub ready: HashMap<String, VecDeque<Message>>,
    pub replies: Vec<Message>,
    pub dead: Vec<Message>,
    pub acked: usize,
    pub requeued: usize,
    pub unacked: usize,
    pub most_unacked: usize,
    pub connections: usize,
    pub consumers: usize,
    pub heartbeats: usize,
    /// Settlements of what was not owed, channels closed with something owed.
    pub violations: Vec<String>,
    /// Pushed between a cancel and its answer.
    pub push_on_cancel: Vec<(String, Message)>,
    /// Offered to consumers, in seconds; with 1 the broker is silent, too.
    pub heartbeat: u16,
    /// Copies that go back to their queue can't be routed.
    pub unroutable: bool,
    /// Publishes are never confirmed while this stands.
    pub hold_confirms: bool,
    links: Vec<TcpStream>,
}

#[derive(Clone)]
pub(crate) struct Broker {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Broker {
    pub(crate) fn start() -> Broker {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = seen.clone();
        let address = serve_connections(move |stream| Link::new(stream, shared.clone()).run());
        Broker { address, seen }
    }
    /// An inventory with a queue of reads and one of posts at this broker.
    pub(crate) fn inventory(&self, prefetch: u16) -> ScratchFile {
        let text = format!(
            "all:\n  vars: {{host: 127.0.0.1, port: {}, vhost: billing, username: guest, prefetch: {prefetch},\n         \
             password_env: TEST_AMQP_PASSWORD, tenant: alpenergia}}\n  hosts:\n    \
             a: {{queue: {READS}, class: statement-read}}\n    b: {{queue: {POSTS}, class: settlement-post}}\n",
            self.address.port()
        );
        ScratchFile::new("inventory.yaml", &text)
    }
    pub(crate) fn publish(&self, queue: &str, message: Message) {
        self.with(|seen| {
            seen.ready
                .entry(queue.into())
                .or_default()
                .push_back(message);
        });
    }
    pub(crate) fn with<T>(&self, look: impl FnOnce(&mut Seen) -> T) -> T {
        look(&mut lock(&self.seen))
    }
    /// Breaks all links.
    pub(crate) fn break_links(&self) {
        self.with(|seen| {
            for link in seen.links.drain(..) {
                let _ = link.shutdown(Shutdown::Both);
            }
        });
    }
}

/// A publish whose frames are still coming: its header's properties and size, and the body so far.
type Coming = (basic::Publish, Option<(AMQPProperties, u64)>, Vec<u8>);

struct Consumer {
    queue: String,
    prefetch: usize,
    active: bool,
    next_tag: u64,
    unacked: BTreeMap<u64, Message>,
    published: u64,
    coming: Option<Coming>,
}

struct Link {
    stream: TcpStream,
    seen: Arc<Mutex<Seen>>,
    channels: BTreeMap<u16, Consumer>,
}

fn short(text: &str) -> ShortString {
    ShortString::try_new(text).expect("short")
}

impl Link {
    fn new(stream: TcpStream, seen: Arc<Mutex<Seen>>) -> Link {
        Link {
            stream,
            seen,
            channels: BTreeMap::new(),
        }
    }
    fn send(&self, frames: &[AMQPFrame]) {
        // A link that is gone shows at the reader.
        let _ = codec::write(&self.stream, frames);
    }
    fn reply(&self, channel: u16, class: AMQPClass) {
        self.send(&[AMQPFrame::Method(channel, class)]);
    }
    fn content(&self, channel: u16, method: Basic, message: &Message) {
        let body = message.body.clone().into_bytes();
        let (body_size, properties) = (body.len() as u64, message.properties.clone());
        let header = AMQPContentHeader {
            class_id: 60,
            body_size,
            properties,
        };
        let mut frames = vec![
            AMQPFrame::Method(channel, AMQPClass::Basic(method)),
            AMQPFrame::Header(channel, header),
        ];
        frames.extend(
            body.chunks(4000)
                .map(|chunk| AMQPFrame::Body(channel, chunk.to_vec())),
        );
        self.send(&frames);
    }

    fn run(mut self) {
        let mut head = [0; 8];
        if std::io::Read::read_exact(&mut (&self.stream), &mut head).is_err()
            || &head != b"AMQP\0\0\x09\x01"
        {
            return;
        }
        lock(&self.seen).connections += 1;
        lock(&self.seen)
            .links
            .push(self.stream.try_clone().expect("a link"));
        let (tell, frames) = unbounded();
        let mut from = self.stream.try_clone().expect("a link");
        thread::spawn(move || {
            while codec::read(&mut from, 1 << 20).is_ok_and(|frame| tell.send(frame).is_ok()) {}
        });
        let (server_properties, mechanisms) = (FieldTable::default(), "AMQPLAIN PLAIN".into());
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties,
            mechanisms,
            locales: "en_US".into(),
        };
        self.reply(0, AMQPClass::Connection(Method::Start(start)));
        loop {
            match frames.recv_timeout(Duration::from_millis(2)) {
                Ok(frame) => self.frame(frame),
                Err(RecvTimeoutError::Timeout) => self.deliver(),
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        // What was not settled is delivered again, and marked.
        let mut seen = lock(&self.seen);
        for consumer in self.channels.into_values() {
            seen.unacked -= consumer.unacked.len();
            for mut message in consumer.unacked.into_values().rev() {
                message.redelivered = true;
                seen.ready
                    .entry(consumer.queue.clone())
                    .or_default()
                    .push_front(message);
            }
        }
    }

    fn frame(&mut self, frame: AMQPFrame) {
        match frame {
            AMQPFrame::Heartbeat => lock(&self.seen).heartbeats += 1,
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.connection(method),
            AMQPFrame::Method(channel, AMQPClass::Channel(Channel::Open(_))) => {
                let queue = String::new();
                let (prefetch, published, next_tag) = (0, 0, 1);
                let (active, unacked, coming) = (false, BTreeMap::new(), None);
                let consumer = Consumer {
                    queue,
                    prefetch,
                    active,
                    next_tag,
                    unacked,
                    published,
                    coming,
                };
                self.channels.insert(channel, consumer);
                self.reply(
                    channel,
                    AMQPClass::Channel(Channel::OpenOk(channel::OpenOk {})),
                );
            }
            AMQPFrame::Method(channel, AMQPClass::Channel(Channel::Close(_))) => {
                let owed = self
                    .channels
                    .remove(&channel)
                    .map_or(0, |c| c.unacked.len());
                if owed > 0 {
                    lock(&self.seen)
                        .violations
                        .push(format!("closed with {owed} unsettled"));
                }
                self.reply(
                    channel,
                    AMQPClass::Channel(Channel::CloseOk(channel::CloseOk {})),
                );
            }
            AMQPFrame::Method(channel, AMQPClass::Confirm(Confirm::Select(_))) => {
                self.reply(
                    channel,
                    AMQPClass::Confirm(Confirm::SelectOk(confirm::SelectOk {})),
                );
            }
            AMQPFrame::Method(channel, AMQPClass::Basic(method)) => self.basic(channel, method),
            AMQPFrame::Header(channel, header) => {
                if let Some((_, head, _)) = self
                    .channels
                    .get_mut(&channel)
                    .and_then(|c| c.coming.as_mut())
                {
                    *head = Some((header.properties, header.body_size));
                }
                self.published(channel);
            }
            AMQPFrame::Body(channel, bytes) => {
                if let Some((_, _, body)) = self
                    .channels
                    .get_mut(&channel)
                    .and_then(|c| c.coming.as_mut())
                {
                    body.extend(bytes);
                }
                self.published(channel);
            }
            other => lock(&self.seen)
                .violations
                .push(format!("unexpected {other:?}")),
        }
    }

    fn connection(&mut self, method: Method) {
        let answer = match method {
            Method::StartOk(start) if start.response.as_bytes() == b"\0guest\0guest" => {
                let heartbeat = lock(&self.seen).heartbeat;
                Method::Tune(connection::Tune {
                    channel_max: 0,
                    frame_max: 4096,
                    heartbeat,
                })
            }
            Method::StartOk(_) => {
                let (reply_code, reply_text) = (403, short("ACCESS_REFUSED"));
                Method::Close(connection::Close {
                    reply_code,
                    reply_text,
                    class_id: 0,
                    method_id: 0,
                })
            }
            Method::Open(open) => {
                assert_eq!(open.virtual_host.as_str(), "billing");
                Method::OpenOk(connection::OpenOk {})
            }
            Method::Close(_) => Method::CloseOk(connection::CloseOk {}),
            _ => return,
        };
        self.reply(0, AMQPClass::Connection(answer));
    }

    fn basic(&mut self, channel: u16, method: Basic) {
        let Some(consumer) = self.channels.get_mut(&channel) else {
            return;
        };
        let answer = match method {
            Basic::Qos(qos) => {
                consumer.prefetch = qos.prefetch_count.into();
                Basic::QosOk(basic::QosOk {})
            }
            Basic::Consume(consume) => {
                consumer.queue = consume.queue.to_string();
                consumer.active = true;
                lock(&self.seen).consumers += 1;
                Basic::ConsumeOk(basic::ConsumeOk {
                    consumer_tag: consume.consumer_tag,
                })
            }
            Basic::Cancel(cancel) => {
                // What a broker had on its way when the cancel came.
                let queue = consumer.queue.clone();
                let mut pushed = Vec::new();
                lock(&self.seen).push_on_cancel.retain(|(to, message)| {
                    let keep = *to != queue;
                    if !keep {
                        pushed.push(message.clone());
                    }
                    keep
                });
                for message in pushed {
                    self.push(channel, message);
                }
                if let Some(consumer) = self.channels.get_mut(&channel) {
                    consumer.active = false;
                }
                Basic::CancelOk(basic::CancelOk {
                    consumer_tag: cancel.consumer_tag,
                })
            }
            Basic::Publish(publish) => {
                consumer.coming = Some((publish, None, Vec::new()));
                return;
            }
            Basic::Ack(ack) => {
                return self.settle(channel, ack.delivery_tag, |seen, _, _| seen.acked += 1)
            }
            Basic::Reject(reject) => {
                return self.settle(channel, reject.delivery_tag, back(reject.requeue))
            }
            Basic::Nack(nack) => {
                return self.settle(channel, nack.delivery_tag, back(nack.requeue))
            }
            other => {
                return lock(&self.seen)
                    .violations
                    .push(format!("unexpected {other:?}"))
            }
        };
        self.reply(channel, AMQPClass::Basic(answer));
    }

    fn settle(&mut self, channel: u16, tag: u64, how: impl FnOnce(&mut Seen, &str, Message)) {
        let Some(consumer) = self.channels.get_mut(&channel) else {
            return;
        };
        let mut seen = lock(&self.seen);
        match consumer.unacked.remove(&tag) {
            Some(message) => {
                seen.unacked -= 1;
                how(&mut seen, &consumer.queue, message);
            }
            None => seen
                .violations
                .push(format!("delivery {tag} settled that was not owed")),
        }
    }

    fn push(&mut self, channel: u16, message: Message) {
        let Some(consumer) = self.channels.get_mut(&channel) else {
            return;
        };
        let delivery_tag = consumer.next_tag;
        consumer.next_tag += 1;
        consumer.unacked.insert(delivery_tag, message.clone());
        let (consumer_tag, redelivered) =
            (short(&format!("mothwinch-{channel}")), message.redelivered);
        let (exchange, routing_key) = (ShortString::default(), short(&consumer.queue));
        let deliver = basic::Deliver {
            consumer_tag,
            delivery_tag,
            redelivered,
            exchange,
            routing_key,
        };
        let mut seen = lock(&self.seen);
        seen.unacked += 1;
        seen.most_unacked = seen.most_unacked.max(consumer.unacked.len());
        drop(seen);
        self.content(channel, Basic::Deliver(deliver), &message);
    }

    fn deliver(&mut self) {
        let channels: Vec<u16> = self.channels.keys().copied().collect();
        for channel in channels {
            while let Some(consumer) = self
                .channels
                .get(&channel)
                .filter(|c| c.active && c.unacked.len() < c.prefetch)
            {
                let next = lock(&self.seen)
                    .ready
                    .get_mut(&consumer.queue)
                    .and_then(VecDeque::pop_front);
                let Some(message) = next else { break };
                self.push(channel, message);
            }
        }
    }

    /// Takes a publish once it is whole: a request into its queue, an answer among the replies.
    fn published(&mut self, channel: u16) {
        let Some(consumer) = self.channels.get_mut(&channel) else {
            return;
        };
        let whole = |(_, head, body): &mut Coming| {
            head.as_ref()
                .is_some_and(|(_, size)| *size == body.len() as u64)
        };
        let Some((publish, Some((properties, _)), body)) = consumer.coming.take_if(whole) else {
            return;
        };
        consumer.published += 1;
        let ack = basic::Ack {
            delivery_tag: consumer.published,
            multiple: false,
        };
        let body = String::from_utf8(body).expect("utf-8");
        let message = Message {
            body,
            properties,
            redelivered: false,
        };
        let key = publish.routing_key.to_string();
        let mut seen = lock(&self.seen);
        if properties_user(&message).is_some_and(|user| user != "guest") {
            seen.violations
                .push("a publish under another user's name".into());
        }
        let (came_back, confirm) = (publish.mandatory && seen.unroutable, !seen.hold_confirms);
        if !came_back && [READS, POSTS].contains(&key.as_str()) {
            seen.ready
                .entry(key)
                .or_default()
                .push_back(message.clone());
        } else if !came_back {
            seen.replies.push(message.clone());
        }
        drop(seen);
        if came_back {
            let (reply_code, reply_text) = (312, short("NO_ROUTE"));
            let (exchange, routing_key) = (publish.exchange, publish.routing_key);
            let back = basic::Return {
                reply_code,
                reply_text,
                exchange,
                routing_key,
            };
            self.content(channel, Basic::Return(back), &message);
        }
        if confirm {
            self.reply(channel, AMQPClass::Basic(Basic::Ack(ack)));
        }
    }
}

fn properties_user(message: &Message) -> Option<&str> {
    message
        .properties
        .user_id()
        .as_ref()
        .map(ShortString::as_str)
}

fn back(requeue: bool) -> impl FnOnce(&mut Seen, &str, Message) {
    move |seen, queue, mut message| {
        if requeue {
            seen.requeued += 1;
            message.redelivered = true;
            seen.ready
                .entry(queue.into())
                .or_default()
                .push_front(message);
        } else {
            seen.dead.push(message);
        }
    }
}
