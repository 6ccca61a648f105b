//! A broker's actor: connects, agrees on the connection, and drives the consumers on it. When the link is lost it
//! comes back after a jittered pause; what was delivered on the old link is the broker's again.

use std::io;
use std::net::{Shutdown, TcpStream, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::connection::{self as proto, AMQPMethod as Method};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{FieldTable, ShortString};
use crossbeam_channel::{after, at, bounded, select, select_biased, Receiver, Sender};
use slog::{debug, info, warn, Logger};

use super::consumer::{Consumer, Delivery, Settings, State, Step};
use super::{codec, Shared};
use crate::inventory::BrokerQueue;
use crate::net::{spawn, Backoff};
use crate::node::{
    unix_now, Answer, Arrival, CellKey, Payload, PolicyMessage, RequestUid, Responder,
};
use crate::CallerId;

/// What a broker's actor is told.
pub(crate) enum ToConnection {
    /// The answer to a delivery, by channel and tag, of this life of the link.
    Answer(u64, u16, u64, Answer),
    /// Stop consuming.
    Leave,
}

/// Why a link ended.
enum Ended {
    /// All is settled and closed.
    Left,
    /// It broke, or the broker ended it, for this reason.
    Broken(String),
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Ended {
        Ended::Broken(e.to_string())
    }
}

/// The senders of front ends are small numbers; those of queues start here.
const FIRST_CALLER: u64 = 1 << 32;

pub(crate) struct Connection {
    number: u64,
    queues: Vec<BrokerQueue>,
    shared: Arc<Shared>,
    mailbox: Sender<ToConnection>,
    inbox: Receiver<ToConnection>,
    log: Logger,
    random: u64,
    /// Counts links, so that an answer to a delivery of an earlier one is not taken for a later one's.
    life: u64,
    unsettled: usize,
}

/// A link that has been agreed on.
struct Link {
    stream: Arc<TcpStream>,
    frames: Receiver<AMQPFrame>,
    /// Half the agreed heartbeat, at which we send one; nothing in four times that means a dead link.
    beat: Option<Duration>,
    frame: usize,
    /// Set when an answer found no room: the link is dropped, which gives everything back to the broker.
    choked: Arc<AtomicBool>,
}

impl Drop for Link {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Connection {
    pub(super) fn new(
        number: u64,
        queues: Vec<BrokerQueue>,
        shared: Arc<Shared>,
        (mailbox, inbox): (Sender<ToConnection>, Receiver<ToConnection>),
        log: Logger,
    ) -> Connection {
        let random = shared.seed ^ (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Connection {
            number,
            queues,
            shared,
            mailbox,
            inbox,
            log,
            random,
            life: 0,
            unsettled: 0,
        }
    }

    pub(super) fn run(mut self) {
        let limits = self.shared.limits.clone();
        let mut backoff = Backoff::new(limits.reconnect_backoff, limits.amqp.backoff_max);
        while !self.leaving() {
            // Nothing is taken from a broker before there is someone to serve it.
            if !self.shared.node_status.process_state().may_consume() {
                self.pause(limits.reconnect_backoff);
                continue;
            }
            self.life += 1;
            let begun = Instant::now();
            match self.link() {
                Ended::Left => break,
                Ended::Broken(why) => {
                    warn!(self.log, "broker link ended"; "why" => why, "unsettled" => self.unsettled);
                    // A broker that takes us and drops us at once is not asked again at once.
                    if begun.elapsed() > limits.amqp.backoff_max {
                        backoff.reset();
                    }
                }
            }
            self.settled(0);
            // Jitter, so that the consumers of a broker that restarts don't all come back at once.
            let pause = backoff.next_delay();
            let part = 0.5 + (self.next_random() >> 11) as f64 / (1u64 << 54) as f64;
            self.pause(pause.mul_f64(part));
        }
        self.settled(0);
        self.shared.left.fetch_sub(1, SeqCst);
    }

    fn leaving(&self) -> bool {
        self.shared.leaving.load(SeqCst)
    }

    /// Waits between links. Answers that come meanwhile belong to a link that is gone.
    fn pause(&self, time: Duration) {
        let until = after(time);
        while !self.leaving() {
            select! {
                recv(self.inbox) -> _ => {}
                recv(until) -> _ => return,
            }
        }
    }

    /// `SplitMix64`.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Keeps the front's count of what is not settled.
    fn settled(&mut self, now: usize) {
        self.shared.unsettled.fetch_add(now, SeqCst);
        self.shared.unsettled.fetch_sub(self.unsettled, SeqCst);
        self.unsettled = now;
    }

    fn link(&mut self) -> Ended {
        let link = match self.open() {
            Ok(link) => link,
            Err(ended) => return ended,
        };
        info!(self.log, "broker link up"; "queues" => self.queues.len());
        match self.serve(&link) {
            Ok(()) => Ended::Left,
            Err(ended) => ended,
        }
    }

    // ---- agreeing on a connection ----

    fn open(&self) -> Result<Link, Ended> {
        let limits = &self.shared.limits;
        let queue = &self.queues[0];
        let address = (queue.host.as_str(), queue.port).to_socket_addrs()?.next();
        let address = address.ok_or_else(|| Ended::Broken("no address".into()))?;
        let stream = Arc::new(TcpStream::connect_timeout(
            &address,
            limits.connect_timeout,
        )?);
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(limits.write_timeout))?;
        let (tell, frames) = bounded(limits.amqp.frame_queue);
        let (from, most, at_once) = (stream.clone(), limits.amqp.frame_bytes, limits.read_bytes);
        let log = self.log.clone();
        // The codec follows nested tables down; a frame's length bounds how deep they go.
        spawn("amqp-read", limits.amqp.stack_bytes, move || {
            let mut from = io::BufReader::with_capacity(at_once, &*from);
            loop {
                match codec::read(&mut from, most) {
                    Ok(frame) => {
                        if tell.send(frame).is_err() {
                            return;
                        }
                    }
                    Err(e) => return debug!(log, "broker read ended"; "error" => %e),
                }
            }
        })?;
        let mut link = Link {
            stream,
            frames,
            beat: None,
            frame: most,
            choked: Arc::default(),
        };
        link.send(&[AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1())])?;
        let until = Instant::now() + limits.amqp.handshake_timeout;
        let Method::Start(start) = link.next_method(until)? else {
            return Err(unexpected("start"));
        };
        let mechanisms = start.mechanisms.to_string();
        if !mechanisms.split(' ').any(|name| name == "PLAIN") {
            return Err(Ended::Broken(format!(
                "the broker offers no PLAIN, only {mechanisms}"
            )));
        }
        let short = |text: &str| ShortString::try_new(text).unwrap_or_default();
        link.method(Method::StartOk(proto::StartOk {
            client_properties: FieldTable::default(),
            mechanism: short("PLAIN"),
            response: format!("\0{}\0{}", queue.username, queue.password).into(),
            locale: short("en_US"),
        }))?;
        let Method::Tune(tune) = link.next_method(until)? else {
            return Err(unexpected("tune"));
        };
        // Zero means no limit; else the smaller holds.
        let least = |theirs: u32, ours: u32| if theirs == 0 { ours } else { theirs.min(ours) };
        let frame_max = least(tune.frame_max, limits.amqp.frame_bytes as u32);
        let heartbeat = least(
            tune.heartbeat.into(),
            limits.amqp.heartbeat_interval.as_secs() as u32,
        ) as u16;
        let channel_max = least(tune.channel_max.into(), self.queues.len() as u32) as u16;
        if usize::from(channel_max) < self.queues.len() {
            return Err(Ended::Broken(format!(
                "the broker allows {channel_max} channels"
            )));
        }
        link.method(Method::TuneOk(proto::TuneOk {
            channel_max,
            frame_max,
            heartbeat,
        }))?;
        link.method(Method::Open(proto::Open {
            virtual_host: short(&queue.vhost),
        }))?;
        let Method::OpenOk(_) = link.next_method(until)? else {
            return Err(unexpected("open-ok"));
        };
        link.frame = frame_max as usize;
        link.beat = Some(Duration::from_secs(heartbeat.into()) / 2).filter(|beat| !beat.is_zero());
        Ok(link)
    }

    // ---- serving ----

    fn serve(&mut self, link: &Link) -> Result<(), Ended> {
        let mut steps = Vec::new();
        let settings = |(at, queue): (usize, &BrokerQueue)| Settings {
            channel: at as u16 + 1,
            queue: ShortString::try_new(queue.name.as_str()).unwrap_or_default(),
            prefetch: queue.prefetch,
            once: !queue.is_idempotent,
            body: self.shared.limits.amqp.message_bytes,
            frame: link.frame,
        };
        let mut consumers: Vec<Consumer> = self
            .queues
            .iter()
            .enumerate()
            .map(|q| Consumer::new(settings(q), &mut steps))
            .collect();
        self.carry_out(link, 0, &mut steps)?;
        let far = Duration::from_secs(3600);
        let (mut heard, mut sent) = (Instant::now(), Instant::now());
        let mut left = false;
        loop {
            let beat = at(sent + link.beat.unwrap_or(far));
            let dead = at(heard + link.beat.unwrap_or(far) * 4);
            // Answers go out before more is taken in.
            select_biased! {
                recv(self.inbox) -> msg => if let Ok(ToConnection::Answer(life, channel, tag, answer)) = msg {
                    let at = usize::from(channel).wrapping_sub(1);
                    if let Some(consumer) = consumers.get_mut(at).filter(|_| life == self.life) {
                        consumer.answer(tag, &answer, &mut steps);
                        if self.carry_out(link, at, &mut steps)? {
                            sent = Instant::now();
                        }
                    }
                },
                recv(link.frames) -> frame => {
                    let frame = frame.map_err(|_| Ended::Broken("connection lost".into()))?;
                    heard = Instant::now();
                    match (frame.channel_id(), frame) {
                        (0, AMQPFrame::Heartbeat) => {}
                        (0, AMQPFrame::Method(_, AMQPClass::Connection(method))) => self.connection(link, method)?,
                        (channel, frame) => {
                            let at = usize::from(channel).wrapping_sub(1);
                            let Some(consumer) = consumers.get_mut(at) else {
                                return Err(Ended::Broken(format!("a frame on channel {channel}")));
                            };
                            consumer.frame(frame, &mut steps);
                            if self.carry_out(link, at, &mut steps)? {
                                sent = Instant::now();
                            }
                        }
                    }
                }
                recv(beat) -> _ => {
                    link.send(&[AMQPFrame::Heartbeat])?;
                    sent = Instant::now();
                }
                recv(dead) -> _ => return Err(Ended::Broken("no heartbeat".into())),
            }
            if link.choked.load(SeqCst) {
                return Err(Ended::Broken("answers found no room".into()));
            }
            if self.leaving() && !std::mem::replace(&mut left, true) {
                for (at, consumer) in consumers.iter_mut().enumerate() {
                    consumer.leave(&mut steps);
                    self.carry_out(link, at, &mut steps)?;
                }
            }
            self.settled(consumers.iter().map(Consumer::unsettled).sum());
            if left && consumers.iter().all(|c| c.state() == State::Closed) {
                return self.close(link);
            }
        }
    }

    /// Does what a consumer wants; true if anything was sent.
    fn carry_out(&mut self, link: &Link, at: usize, steps: &mut Vec<Step>) -> Result<bool, Ended> {
        let mut frames = Vec::new();
        let mut gone = None;
        for step in steps.drain(..) {
            match step {
                Step::Send(frame) => frames.push(*frame),
                Step::Deliver(delivery) => self.deliver(link, at, delivery)?,
                Step::Malformed(why) => {
                    let queue = &self.queues[at].name;
                    warn!(self.log, "message rejected"; "why" => why, "queue" => queue);
                }
                Step::Gone(why) => gone = Some(why),
            }
        }
        if !frames.is_empty() {
            link.send(&frames)?;
        }
        match gone {
            Some(why) => Err(Ended::Broken(why)),
            None => Ok(!frames.is_empty()),
        }
    }

    /// Hands a delivery to the core. Its arrival is now: that is when it was read.
    fn deliver(&mut self, link: &Link, at: usize, delivery: Delivery) -> Result<(), Ended> {
        let uid = RequestUid::from_number(self.next_random());
        let queue = &self.queues[at];
        let (life, channel, tag) = (self.life, at as u16 + 1, delivery.tag);
        let (mailbox, choked) = (self.mailbox.clone(), link.choked.clone());
        let responder = Responder::new(move |answer| {
            // The module never waits for a broker.
            if mailbox
                .try_send(ToConnection::Answer(life, channel, tag, answer))
                .is_err()
            {
                choked.store(true, SeqCst);
            }
        });
        let arrival = Arrival {
            uid,
            class: queue.class,
            tenant: queue
                .tenant
                .as_deref()
                .map(|name| self.shared.site.tenant(name)),
            cell_key: queue.tenant.as_deref().map(|name| CellKey {
                tenant: name.into(),
                subject: None,
            }),
            arrived_at: unix_now(),
            caller_timeout: None,
            caller: CallerId(FIRST_CALLER + (self.number << 16) + at as u64),
            is_retry: delivery.redelivered,
            queued_kb: queue.queued_kb,
            payload: Payload::from_bytes(&delivery.body),
            idempotency_key: delivery.message_id.map(String::into_boxed_str),
            may_have_run: delivery.redelivered,
            is_handed_back: delivery.late,
            responder,
        };
        let sent = self
            .shared
            .policy
            .send(PolicyMessage::RequestArrived(Box::new(arrival)));
        sent.map_err(|_| Ended::Broken("the module is gone".into()))
    }

    fn connection(&self, link: &Link, method: Method) -> Result<(), Ended> {
        match method {
            Method::Close(close) => {
                link.method(Method::CloseOk(proto::CloseOk {}))?;
                Err(Ended::Broken(format!(
                    "closed by the broker: {} {}",
                    close.reply_code, close.reply_text
                )))
            }
            Method::Blocked(blocked) => {
                warn!(self.log, "the broker takes no publishes"; "why" => %blocked.reason);
                Ok(())
            }
            Method::Unblocked(_) => Ok(()),
            other => Err(Ended::Broken(format!("unexpected {other:?}"))),
        }
    }

    fn close(&mut self, link: &Link) -> Result<(), Ended> {
        let reply_text = ShortString::try_new("leaving").unwrap_or_default();
        link.method(Method::Close(proto::Close {
            reply_code: 200,
            reply_text,
            class_id: 0,
            method_id: 0,
        }))?;
        let until = Instant::now() + self.shared.limits.amqp.handshake_timeout;
        while !matches!(link.next_method(until)?, Method::CloseOk(_)) {}
        info!(self.log, "broker link closed"; "unsettled" => self.unsettled);
        Ok(())
    }
}

fn unexpected(wanted: &str) -> Ended {
    Ended::Broken(format!("the broker did not send {wanted}"))
}

impl Link {
    fn send(&self, frames: &[AMQPFrame]) -> io::Result<()> {
        codec::write(&*self.stream, frames)
    }
    fn method(&self, method: Method) -> io::Result<()> {
        self.send(&[AMQPFrame::Method(0, AMQPClass::Connection(method))])
    }
    /// The next method of the connection itself.
    fn next_method(&self, until: Instant) -> Result<Method, Ended> {
        loop {
            select! {
                recv(self.frames) -> frame => match frame {
                    Ok(AMQPFrame::Method(0, AMQPClass::Connection(Method::Close(close)))) => {
                        let _ = self.method(Method::CloseOk(proto::CloseOk {}));
                        return Err(Ended::Broken(format!("refused: {} {}", close.reply_code, close.reply_text)));
                    }
                    Ok(AMQPFrame::Method(0, AMQPClass::Connection(method))) => return Ok(method),
                    Ok(AMQPFrame::Heartbeat) => {}
                    Ok(other) => return Err(Ended::Broken(format!("unexpected {other:?}"))),
                    Err(_) => return Err(Ended::Broken("connection lost".into())),
                },
                recv(at(until)) -> _ => return Err(Ended::Broken("no answer in time".into())),
            }
        }
    }
}
