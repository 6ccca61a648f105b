//! A small AMQP 0-9-1 broker with one work queue and one reply queue, for consumers that settle by
//! ack, nack and reject, and publish with confirms to the default exchange.
#![allow(dead_code)]

use super::common::{unix_ms, Record};
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

pub const QUEUE: &str = "submissions";
const REPLIES: &str = "replies";
const CHANNEL: u16 = 1;

#[derive(Clone)]
struct Message {
    id: String,
    correlation: String,
    body: Vec<u8>,
    redelivered: bool,
    /// Headers as a consumer's copy had them, in the wire's form.
    headers: Vec<u8>,
}

/// A reply of a consumer: its correlation id, its type and the time at which it was published.
#[derive(Clone, Debug)]
pub struct Reply {
    pub correlation: String,
    pub status: String,
    pub at_ms: u64,
}

struct Consumer {
    stream: TcpStream,
    tag: Option<String>,
    prefetch: usize,
    last_delivery: u64,
    unacked: BTreeMap<u64, Message>,
    published: u64,
}

#[derive(Default)]
struct State {
    queue: VecDeque<Message>,
    consumers: BTreeMap<u64, Consumer>,
    next_consumer: u64,
    replies: Vec<Reply>,
    dead_letters: Vec<String>,
}

#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

/// A message that a consumer publishes, while its frames are read.
struct Incoming {
    routing_key: String,
    properties: Properties,
    size: u64,
    body: Vec<u8>,
}

#[derive(Default)]
struct Properties {
    headers: Vec<u8>,
    correlation: String,
    message_id: String,
    kind: String,
}

fn short(text: &str) -> Vec<u8> {
    let mut bytes = vec![text.len() as u8];
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn long(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn frame(kind: u8, channel: u16, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&channel.to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(0xCE);
    bytes
}

fn method(channel: u16, class: u16, number: u16, arguments: &[u8]) -> Vec<u8> {
    let mut payload = class.to_be_bytes().to_vec();
    payload.extend_from_slice(&number.to_be_bytes());
    payload.extend_from_slice(arguments);
    frame(1, channel, &payload)
}

/// Reads a short string at this position and moves the position behind it.
fn take_short(bytes: &[u8], position: &mut usize) -> String {
    let length = usize::from(bytes[*position]);
    let text = &bytes[*position + 1..*position + 1 + length];
    *position += 1 + length;
    String::from_utf8_lossy(text).into_owned()
}

fn number_at(bytes: &[u8], position: usize) -> u64 {
    u64::from_be_bytes(bytes[position..position + 8].try_into().unwrap())
}

fn read_properties(payload: &[u8]) -> (u64, Properties) {
    let flags = u16::from_be_bytes([payload[12], payload[13]]);
    let mut position = 14;
    let mut properties = Properties::default();
    for bit in (2..16).rev().filter(|bit| flags >> bit & 1 == 1) {
        match bit {
            13 => {
                let length = u32::from_be_bytes(payload[position..position + 4].try_into().unwrap());
                let end = position + 4 + length as usize;
                properties.headers = payload[position + 4..end].to_vec();
                position = end;
            }
            11 | 12 => position += 1,
            6 => position += 8,
            10 => properties.correlation = take_short(payload, &mut position),
            7 => properties.message_id = take_short(payload, &mut position),
            5 => properties.kind = take_short(payload, &mut position),
            _ => drop(take_short(payload, &mut position)),
        }
    }
    (number_at(payload, 4), properties)
}

impl Broker {
    pub fn start(record: &Record) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let broker = Broker {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            record: record.clone(),
        };
        let served = broker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let broker = served.clone();
                thread::spawn(move || broker.serve(stream));
            }
        });
        broker
    }

    /// Publishes a message of a client, which wants its reply in the reply queue.
    pub fn publish(&self, message_id: &str, correlation: &str, body: &[u8]) {
        self.record.line(&format!("client: published message_id {message_id} correlation_id {correlation}"));
        let mut state = self.state.lock().unwrap();
        state.queue.push_back(Message {
            id: message_id.into(),
            correlation: correlation.into(),
            body: body.to_vec(),
            redelivered: false,
            headers: Vec::new(),
        });
        self.deliver(&mut state);
    }

    /// Returns the replies with this correlation id.
    pub fn replies(&self, correlation: &str) -> Vec<Reply> {
        let state = self.state.lock().unwrap();
        let replies = state.replies.iter().filter(|r| r.correlation == correlation);
        replies.cloned().collect()
    }

    /// Delivers waiting messages as far as the prefetches allow.
    fn deliver(&self, state: &mut State) {
        let State { queue, consumers, .. } = state;
        for consumer in consumers.values_mut() {
            let Some(tag) = consumer.tag.clone() else { continue };
            while consumer.unacked.len() < consumer.prefetch {
                let Some(message) = queue.pop_front() else { return };
                consumer.last_delivery += 1;
                let mut arguments = short(&tag);
                arguments.extend_from_slice(&consumer.last_delivery.to_be_bytes());
                arguments.push(u8::from(message.redelivered));
                arguments.extend(short(""));
                arguments.extend(short(QUEUE));
                let mut bytes = method(CHANNEL, 60, 60, &arguments);
                bytes.extend(content(&message));
                let _ = consumer.stream.write_all(&bytes);
                consumer.unacked.insert(consumer.last_delivery, message);
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = {
            let mut state = self.state.lock().unwrap();
            state.next_consumer += 1;
            let number = state.next_consumer;
            let Ok(writer) = stream.try_clone() else { return };
            let consumer = Consumer {
                stream: writer,
                tag: None,
                prefetch: 1,
                last_delivery: 0,
                unacked: BTreeMap::new(),
                published: 0,
            };
            state.consumers.insert(number, consumer);
            number
        };
        self.read_frames(number, stream);
        let mut state = self.state.lock().unwrap();
        if let Some(consumer) = state.consumers.remove(&number) {
            for (_, mut message) in consumer.unacked.into_iter().rev() {
                message.redelivered = true;
                state.queue.push_front(message);
            }
        }
        self.deliver(&mut state);
    }

    fn read_frames(&self, number: u64, mut stream: TcpStream) {
        let mut header = [0; 8];
        if stream.read_exact(&mut header).is_err() || header != *b"AMQP\0\0\x09\x01" {
            return;
        }
        let mut start = vec![0, 9];
        start.extend(long(""));
        start.extend(long("PLAIN"));
        start.extend(long("en_US"));
        let _ = stream.write_all(&method(0, 10, 10, &start));
        let mut incoming: Option<Incoming> = None;
        let mut head = [0; 7];
        while stream.read_exact(&mut head).is_ok() {
            let length = u32::from_be_bytes(head[3..7].try_into().unwrap()) as usize;
            let mut payload = vec![0; length + 1];
            if stream.read_exact(&mut payload).is_err() {
                return;
            }
            payload.pop();
            match head[0] {
                1 => self.handle_method(number, &payload, &mut incoming),
                2 => {
                    if let Some(message) = &mut incoming {
                        (message.size, message.properties) = read_properties(&payload);
                    }
                }
                3 => {
                    if let Some(message) = &mut incoming {
                        message.body.extend_from_slice(&payload);
                    }
                }
                _ => continue,
            }
            if head[0] != 1 && incoming.as_ref().is_some_and(|m| m.body.len() as u64 >= m.size) {
                if let Some(message) = incoming.take() {
                    self.receive(number, message);
                }
            }
        }
    }

    fn handle_method(&self, number: u64, payload: &[u8], incoming: &mut Option<Incoming>) {
        let class = u16::from_be_bytes([payload[0], payload[1]]);
        let id = u16::from_be_bytes([payload[2], payload[3]]);
        let arguments = &payload[4..];
        let mut state = self.state.lock().unwrap();
        let Some(consumer) = state.consumers.get_mut(&number) else { return };
        let mut reply = |channel, class, id, arguments: &[u8]| {
            let _ = consumer.stream.write_all(&method(channel, class, id, arguments));
        };
        match (class, id) {
            // start-ok: tune with 10 channels, frames of 8192 bytes, no heartbeat
            (10, 11) => reply(0, 10, 30, &[0, 10, 0, 0, 0x20, 0, 0, 0]),
            (10, 40) => reply(0, 10, 41, &[0]),
            (10, 50) => reply(0, 10, 51, &[]),
            (20, 10) => reply(CHANNEL, 20, 11, &[0, 0, 0, 0]),
            (20, 40) => reply(CHANNEL, 20, 41, &[]),
            (85, 10) => reply(CHANNEL, 85, 11, &[]),
            (60, 10) => {
                reply(CHANNEL, 60, 11, &[]);
                consumer.prefetch = usize::from(u16::from_be_bytes([arguments[4], arguments[5]]));
            }
            (60, 20) => {
                let mut position = 2;
                take_short(arguments, &mut position);
                let tag = take_short(arguments, &mut position);
                reply(CHANNEL, 60, 21, &short(&tag));
                consumer.tag = Some(tag);
                self.record.line(&format!("broker: consumer {number} subscribed"));
            }
            (60, 30) => {
                let tag = consumer.tag.take().unwrap_or_default();
                let _ = consumer.stream.write_all(&method(CHANNEL, 60, 31, &short(&tag)));
                self.record.line(&format!("broker: consumer {number} cancelled"));
            }
            (60, 40) => {
                let mut position = 2;
                take_short(arguments, &mut position);
                *incoming = Some(Incoming {
                    routing_key: take_short(arguments, &mut position),
                    properties: Properties::default(),
                    size: u64::MAX,
                    body: Vec::new(),
                });
            }
            (60, 80) => {
                consumer.unacked.remove(&number_at(arguments, 0));
            }
            (60, 90 | 120) => {
                let requeues = if id == 90 { arguments[8] & 1 == 1 } else { arguments[8] >> 1 & 1 == 1 };
                if let Some(mut message) = consumer.unacked.remove(&number_at(arguments, 0)) {
                    self.record.line(&format!("broker: message {} settled, requeued {requeues}", message.id));
                    if requeues {
                        message.redelivered = true;
                        state.queue.push_back(message);
                    } else {
                        state.dead_letters.push(message.id);
                    }
                }
            }
            _ => {}
        }
        self.deliver(&mut state);
    }

    /// Takes a message that a consumer published, and confirms it.
    fn receive(&self, number: u64, message: Incoming) {
        let properties = message.properties;
        let mut state = self.state.lock().unwrap();
        if message.routing_key == REPLIES {
            self.record.line(&format!(
                "broker: reply correlation_id {} {}", properties.correlation, properties.kind
            ));
            state.replies.push(Reply {
                correlation: properties.correlation,
                status: properties.kind,
                at_ms: unix_ms(),
            });
        } else {
            self.record.line(&format!("broker: copy of message {}", properties.message_id));
            state.queue.push_back(Message {
                id: properties.message_id,
                correlation: properties.correlation,
                body: message.body,
                redelivered: false,
                headers: properties.headers,
            });
        }
        if let Some(consumer) = state.consumers.get_mut(&number) {
            consumer.published += 1;
            let mut arguments = consumer.published.to_be_bytes().to_vec();
            arguments.push(0);
            let _ = consumer.stream.write_all(&method(CHANNEL, 60, 80, &arguments));
        }
        self.deliver(&mut state);
    }
}

/// Returns the content header and body of a message: headers, correlation id, reply queue, id.
fn content(message: &Message) -> Vec<u8> {
    let mut payload = 60u16.to_be_bytes().to_vec();
    payload.extend_from_slice(&[0, 0]);
    payload.extend_from_slice(&(message.body.len() as u64).to_be_bytes());
    let has_headers = !message.headers.is_empty();
    let flags: u16 = u16::from(has_headers) << 13 | 1 << 10 | 1 << 9 | 1 << 7;
    payload.extend_from_slice(&flags.to_be_bytes());
    if has_headers {
        payload.extend_from_slice(&(message.headers.len() as u32).to_be_bytes());
        payload.extend_from_slice(&message.headers);
    }
    payload.extend(short(&message.correlation));
    payload.extend(short(REPLIES));
    payload.extend(short(&message.id));
    let mut bytes = frame(2, CHANNEL, &payload);
    bytes.extend(frame(3, CHANNEL, &message.body));
    bytes
}
