//! An AMQP 0-9-1 broker with queues in memory, as its specification says; written for these cases.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::{cannot_run, Record};

/// The queue of replies, which the partners read.
pub const REPLIES: &str = "replies";

#[derive(Clone)]
pub struct Message {
    /// The correlation id, by which a partner knows its message again.
    pub id: String,
    /// The property `type`; replies have their status there.
    pub kind: String,
    header: Vec<u8>,
    pub body: Vec<u8>,
    is_redelivered: bool,
}

impl Message {
    /// A message of a partner, which is its message id and its correlation id, with a queue for the reply.
    pub fn request(id: &str, body: &str) -> Message {
        let mut header = Vec::new();
        header.extend(60u16.to_be_bytes());
        header.extend(0u16.to_be_bytes());
        header.extend((body.len() as u64).to_be_bytes());
        // delivery-mode, correlation-id, reply-to, message-id
        header.extend((1u16 << 12 | 1 << 10 | 1 << 9 | 1 << 7).to_be_bytes());
        header.push(2);
        short(&mut header, id);
        short(&mut header, REPLIES);
        short(&mut header, id);
        Message {
            id: id.into(),
            kind: String::new(),
            header,
            body: body.into(),
            is_redelivered: false,
        }
    }
}

/// Bytes of headers in a large message: with the other properties they fit the smallest frame that this program agrees on.
const HEADER_BYTES: usize = 8100;

impl Message {
    /// A message with headers of some 8 KB that hold tables in tables; each holds one field, whose name is `name`.
    pub fn with_nested_headers(id: &str, body: &str, name: &str) -> Message {
        let mut headers = Vec::new();
        while headers.len() + name.len() + 6 <= HEADER_BYTES {
            let mut table = Vec::new();
            short(&mut table, name);
            table.push(b'F');
            table.extend((headers.len() as u32).to_be_bytes());
            table.extend(&headers);
            headers = table;
        }
        Message::request(id, body).with_headers(&headers)
    }

    /// A message with headers of some 8 KB in one table.
    pub fn with_flat_headers(id: &str, body: &str) -> Message {
        let mut headers = Vec::new();
        for number in 0.. {
            let mut field = Vec::new();
            short(&mut field, &format!("x-{number}"));
            field.push(b't');
            field.push(1);
            if headers.len() + field.len() > HEADER_BYTES {
                break;
            }
            headers.extend(field);
        }
        Message::request(id, body).with_headers(&headers)
    }

    /// A message whose correlation id is `id` and one more byte, which is no UTF-8.
    pub fn with_unreadable_id(id: &str, body: &str) -> Message {
        let mut message = Message::request(id, body);
        // Behind the class, weight, body size, flags and delivery mode stands the correlation id.
        let at = 15;
        message.header[at] += 1;
        message.header.insert(at + 1 + id.len(), 0xE0);
        message
    }

    fn with_headers(mut self, headers: &[u8]) -> Message {
        let flags = u16::from_be_bytes([self.header[12], self.header[13]]) | 1 << 13;
        let mut header = self.header[..12].to_vec();
        header.extend(flags.to_be_bytes());
        header.extend((headers.len() as u32).to_be_bytes());
        header.extend(headers);
        header.extend(&self.header[14..]);
        self.header = header;
        self
    }
}

#[derive(Default)]
struct State {
    queues: HashMap<String, VecDeque<Message>>,
    replies: Vec<(Message, Instant)>,
    dead_letters: Vec<Message>,
    /// First delivery of each message to a consumer.
    delivered: HashMap<String, Instant>,
    connections: usize,
    /// After a cancel, goes on pushing for this long before it answers.
    pushes_after_cancel: Duration,
    /// Copies of messages that were published to a queue of requests.
    copies: usize,
}

#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct Consuming {
    queue: Option<String>,
    tag: String,
    prefetch: u16,
    next_delivery: u64,
    unacked: BTreeMap<u64, Message>,
    published: u64,
    /// The publish whose content is being received: routing key, header, bytes to come, body.
    publish: Option<(String, Vec<u8>, u64, Vec<u8>)>,
    confirms: VecDeque<(Instant, u64)>,
    /// When the cancel is answered.
    cancel_ok_at: Option<Instant>,
    is_closed: bool,
}

impl Broker {
    /// Starts a broker with these queues, which confirms a publish after `confirm_after`.
    pub fn start(queues: &[&str], confirm_after: Duration, record: &Record) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no socket"));
        let address = listener
            .local_addr()
            .unwrap_or_else(|_| cannot_run("no socket"));
        let queues = queues
            .iter()
            .map(|q| (q.to_string(), VecDeque::new()))
            .collect();
        let state = Arc::new(Mutex::new(State {
            queues,
            ..State::default()
        }));
        let broker = Broker { address, state };
        let (accepting, record) = (broker.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (broker, record) = (accepting.clone(), record.clone());
                thread::spawn(move || broker.serve(stream, confirm_after, &record));
            }
        });
        broker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn publish(&self, queue: &str, message: Message) {
        if let Some(queue) = self.lock().queues.get_mut(queue) {
            queue.push_back(message);
        }
    }

    /// Returns the replies with this correlation id, as their status and the time of each.
    pub fn replies(&self, id: &str) -> Vec<(String, Instant)> {
        let state = self.lock();
        state
            .replies
            .iter()
            .filter(|(m, _)| m.id == id)
            .map(|(m, at)| (m.kind.clone(), *at))
            .collect()
    }

    /// From now on goes on pushing for this long after a cancel.
    pub fn push_after_cancel(&self, duration: Duration) {
        self.lock().pushes_after_cancel = duration;
    }

    pub fn copies(&self) -> usize {
        self.lock().copies
    }

    pub fn is_dead_lettered(&self, id: &str) -> bool {
        self.lock().dead_letters.iter().any(|m| m.id == id)
    }

    /// Returns the time of the first delivery of a message.
    pub fn delivered_at(&self, id: &str) -> Option<Instant> {
        self.lock().delivered.get(id).copied()
    }

    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    fn serve(&self, mut stream: TcpStream, confirm_after: Duration, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut hello = [0; 8];
        if stream.read_exact(&mut hello).is_err() || &hello != b"AMQP\0\0\x09\x01" {
            return;
        }
        {
            let mut state = self.lock();
            state.connections += 1;
            record.line(&format!("broker: connection {}", state.connections));
        }
        let Ok(mut reading) = stream.try_clone() else {
            return;
        };
        let (frames, inbox) = channel();
        thread::spawn(move || {
            while let Some(frame) = read_frame(&mut reading) {
                if frames.send(frame).is_err() {
                    return;
                }
            }
        });
        let mut start = vec![0, 9];
        long(&mut start, "");
        long(&mut start, "PLAIN");
        long(&mut start, "en_US");
        method(&mut stream, 0, 10, 10, &start);
        let mut channels: BTreeMap<u16, Consuming> = BTreeMap::new();
        loop {
            match inbox.recv_timeout(Duration::from_millis(1)) {
                Ok((kind, id, payload)) => {
                    if !self.handle(
                        &mut stream,
                        &mut channels,
                        kind,
                        id,
                        &payload,
                        confirm_after,
                        record,
                    ) {
                        break;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            let now = Instant::now();
            for (id, channel) in &mut channels {
                while channel.confirms.front().is_some_and(|(at, _)| *at <= now) {
                    let (_, number) = channel.confirms.pop_front().unwrap_or((now, 0));
                    let mut ack = number.to_be_bytes().to_vec();
                    ack.push(0);
                    method(&mut stream, *id, 60, 80, &ack);
                }
                if channel.cancel_ok_at.is_some_and(|at| at <= now) {
                    channel.cancel_ok_at = None;
                    let mut ok = Vec::new();
                    short(&mut ok, &std::mem::take(&mut channel.tag));
                    method(&mut stream, *id, 60, 31, &ok);
                }
                self.deliver(&mut stream, *id, channel, record);
            }
        }
        record.line("broker: a connection has ended");
        let mut state = self.lock();
        for channel in channels.into_values() {
            let Some(queue) = channel.queue.and_then(|q| state.queues.get_mut(&q)) else {
                continue;
            };
            for mut message in channel.unacked.into_values().rev() {
                message.is_redelivered = true;
                queue.push_front(message);
            }
        }
    }

    fn deliver(&self, stream: &mut TcpStream, id: u16, channel: &mut Consuming, record: &Record) {
        let Some(queue) = channel.queue.clone().filter(|_| !channel.tag.is_empty()) else {
            return;
        };
        while channel.unacked.len() < usize::from(channel.prefetch) {
            let mut state = self.lock();
            let Some(message) = state.queues.get_mut(&queue).and_then(VecDeque::pop_front) else {
                return;
            };
            state
                .delivered
                .entry(message.id.clone())
                .or_insert_with(Instant::now);
            drop(state);
            channel.next_delivery += 1;
            let tag = channel.next_delivery;
            let again = if message.is_redelivered {
                " (redelivered)"
            } else {
                ""
            };
            record.line(&format!(
                "broker: delivers {} of {queue}{again}",
                message.id
            ));
            let mut deliver = Vec::new();
            short(&mut deliver, &channel.tag);
            deliver.extend(tag.to_be_bytes());
            deliver.push(u8::from(message.is_redelivered));
            short(&mut deliver, "");
            short(&mut deliver, &queue);
            method(stream, id, 60, 60, &deliver);
            frame(stream, 2, id, &message.header);
            if !message.body.is_empty() {
                frame(stream, 3, id, &message.body);
            }
            channel.unacked.insert(tag, message);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn handle(
        &self,
        stream: &mut TcpStream,
        channels: &mut BTreeMap<u16, Consuming>,
        kind: u8,
        id: u16,
        payload: &[u8],
        confirm_after: Duration,
        record: &Record,
    ) -> bool {
        if kind == 8 {
            return true;
        }
        if kind == 2 || kind == 3 {
            let Some(channel) = channels.get_mut(&id) else {
                return true;
            };
            if let Some((_, header, left, body)) = &mut channel.publish {
                if kind == 2 {
                    *header = payload.to_vec();
                    *left = u64::from_be_bytes(payload[4..12].try_into().unwrap_or_default());
                } else {
                    *left = left.saturating_sub(payload.len() as u64);
                    body.extend(payload);
                }
            }
            self.finish_publish(channel, confirm_after, record);
            return true;
        }
        let code = (
            u16::from_be_bytes([payload[0], payload[1]]),
            u16::from_be_bytes([payload[2], payload[3]]),
        );
        let mut rest = &payload[4..];
        match code {
            (10, 11) => {
                let mut tune = 0u16.to_be_bytes().to_vec();
                tune.extend(131_072u32.to_be_bytes());
                tune.extend(60u16.to_be_bytes());
                method(stream, 0, 10, 30, &tune);
            }
            (10, 40) => method(stream, 0, 10, 41, &[0]),
            (10, 50) => {
                method(stream, 0, 10, 51, &[]);
                return false;
            }
            (10, 51) => return false,
            (20, 10) => {
                channels.insert(id, Consuming::default());
                method(stream, id, 20, 11, &[0, 0, 0, 0]);
            }
            (20, 40) => {
                channels.remove(&id);
                method(stream, id, 20, 41, &[]);
            }
            (85, 10) => method(stream, id, 85, 11, &[]),
            _ => {}
        }
        let Some(channel) = channels.get_mut(&id).filter(|c| !c.is_closed) else {
            return true;
        };
        match code {
            (60, 10) => {
                channel.prefetch = u16::from_be_bytes([rest[4], rest[5]]);
                method(stream, id, 60, 11, &[]);
            }
            (60, 20) => {
                rest = &rest[2..];
                let queue = take_short(&mut rest);
                let tag = take_short(&mut rest);
                if !self.lock().queues.contains_key(&queue) {
                    // The specification's channel exception for a queue that does not exist.
                    record.line(&format!(
                        "broker: no queue {queue}: channel {id} closed with 404"
                    ));
                    let mut close = 404u16.to_be_bytes().to_vec();
                    short(&mut close, &format!("NOT_FOUND - no queue '{queue}'"));
                    close.extend(60u16.to_be_bytes());
                    close.extend(20u16.to_be_bytes());
                    channel.is_closed = true;
                    method(stream, id, 20, 40, &close);
                    return true;
                }
                let mut ok = Vec::new();
                short(&mut ok, &tag);
                method(stream, id, 60, 21, &ok);
                (channel.queue, channel.tag) = (Some(queue), tag);
            }
            (60, 30) => {
                let pushing = self.lock().pushes_after_cancel;
                record.line("broker: a consumer cancels");
                channel.cancel_ok_at = Some(Instant::now() + pushing);
            }
            (60, 40) => {
                rest = &rest[2..];
                let _ = take_short(&mut rest);
                let key = take_short(&mut rest);
                channel.publish = Some((key, Vec::new(), 1, Vec::new()));
            }
            (60, 80 | 90 | 120) => {
                let tag = u64::from_be_bytes(rest[..8].try_into().unwrap_or_default());
                let Some(mut message) = channel.unacked.remove(&tag) else {
                    return true;
                };
                let requeue = match code.1 {
                    90 => rest[8] & 1 != 0,
                    120 => rest[8] & 2 != 0,
                    _ => false,
                };
                let word = if code.1 == 80 {
                    "acknowledged"
                } else if requeue {
                    "requeued"
                } else {
                    "dead-lettered"
                };
                record.line(&format!("broker: {} {word}", message.id));
                let mut state = self.lock();
                if requeue {
                    message.is_redelivered = true;
                    let queue = channel.queue.clone().unwrap_or_default();
                    state.queues.entry(queue).or_default().push_front(message);
                } else if code.1 != 80 {
                    state.dead_letters.push(message);
                }
            }
            _ => {}
        }
        true
    }

    fn finish_publish(&self, channel: &mut Consuming, confirm_after: Duration, record: &Record) {
        let is_complete = channel
            .publish
            .as_ref()
            .is_some_and(|(_, h, left, _)| !h.is_empty() && *left == 0);
        let Some((key, header, _, body)) = channel.publish.take_if(|_| is_complete) else {
            return;
        };
        channel.published += 1;
        channel
            .confirms
            .push_back((Instant::now() + confirm_after, channel.published));
        let (id, kind) = properties(&header);
        record.line(&format!("broker: a message for {key}: {id} {kind}"));
        let message = Message {
            id,
            kind,
            header,
            body,
            is_redelivered: false,
        };
        let mut state = self.lock();
        if key == REPLIES {
            state.replies.push((message, Instant::now()));
        } else if state.queues.contains_key(&key) {
            state.copies += 1;
            state.queues.entry(key).or_default().push_back(message);
        }
    }
}

/// Returns the correlation id and the type of a content header.
fn properties(header: &[u8]) -> (String, String) {
    let flags = u16::from_be_bytes([header[12], header[13]]);
    let mut rest = &header[14..];
    let (mut id, mut kind) = (String::new(), String::new());
    for bit in (0..16).rev().filter(|bit| flags & (1 << bit) != 0) {
        match bit {
            13 => {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                rest = &rest[4 + length..];
            }
            12 | 11 => rest = &rest[1..],
            6 => rest = &rest[8..],
            10 => id = take_short(&mut rest),
            5 => kind = take_short(&mut rest),
            _ => {
                let _ = take_short(&mut rest);
            }
        }
    }
    (id, kind)
}

fn short(out: &mut Vec<u8>, text: &str) {
    out.push(text.len() as u8);
    out.extend(text.as_bytes());
}

fn long(out: &mut Vec<u8>, text: &str) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text.as_bytes());
}

fn take_short(rest: &mut &[u8]) -> String {
    let length = usize::from(rest[0]);
    let text = String::from_utf8_lossy(&rest[1..=length]).into_owned();
    *rest = &rest[1 + length..];
    text
}

fn method(stream: &mut TcpStream, channel: u16, class: u16, method: u16, arguments: &[u8]) {
    let mut payload = class.to_be_bytes().to_vec();
    payload.extend(method.to_be_bytes());
    payload.extend(arguments);
    frame(stream, 1, channel, &payload);
}

fn frame(stream: &mut TcpStream, kind: u8, channel: u16, payload: &[u8]) {
    let mut out = vec![kind];
    out.extend(channel.to_be_bytes());
    out.extend((payload.len() as u32).to_be_bytes());
    out.extend(payload);
    out.push(0xCE);
    let _ = stream.write_all(&out);
}

fn read_frame(stream: &mut TcpStream) -> Option<(u8, u16, Vec<u8>)> {
    let mut head = [0; 7];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[3], head[4], head[5], head[6]]) as usize;
    if length > 1 << 20 {
        return None;
    }
    let mut payload = vec![0; length + 1];
    stream.read_exact(&mut payload).ok()?;
    payload.pop();
    Some((head[0], u16::from_be_bytes([head[1], head[2]]), payload))
}
