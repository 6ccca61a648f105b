//! Serves a connection: passes frames and answers to the consumers, and performs the effects that
//! they return.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::connection::{AMQPMethod as Method, Close, CloseOk};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::ShortString;
use crossbeam_channel::{at, select_biased};
use slog::{info, warn};

use super::super::consumer::{ChannelState, Consumer, ConsumerEffect, ConsumerSettings, Delivery};
use super::connection::{Connection, CONNECTION_CHANNEL};
use super::error::BrokerError;
use super::{BrokerActor, BrokerMessage, DeliveryAnswer};
use crate::node::{
    steady_now, Arrival, ArrivalId, CellKey, Payload, PolicyMessage, RequestUid, Responder,
};
use crate::CallerId;

/// The first caller id of queues. The caller ids of JSON-RPC clients are small numbers.
const FIRST_CALLER_ID: u64 = 1 << 32;

/// Number of low bits of a caller id for the queue's index. The broker's number is in the bits
/// above.
const QUEUE_BITS: u32 = 16;

/// The heartbeat interval if none was agreed with the broker.
const NO_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3600);

/// A connection is considered lost if nothing was received in this many of the intervals at which
/// heartbeats are sent.
const MAX_SILENT_INTERVALS: u32 = 4;

/// The reply code of a regular close.
const REPLY_SUCCESS: u16 = 200;

/// The consumers on a connection and the times of its heartbeats.
struct Session {
    consumers: Vec<Consumer>,
    effects: Vec<ConsumerEffect>,
    last_received_at: Instant,
    last_sent_at: Instant,
    is_shutting_down: bool,
}

impl Session {
    fn unsettled_count(&self) -> usize {
        self.consumers.iter().map(Consumer::unsettled_count).sum()
    }

    fn is_closed(&self) -> bool {
        self.consumers
            .iter()
            .all(|consumer| consumer.channel_state() == ChannelState::Closed)
    }

    /// Returns the consumer of a channel and its index. Channels are numbered from 1.
    fn consumer_of_channel(&mut self, channel: u16) -> Option<(usize, &mut Consumer)> {
        let index = usize::from(channel).wrapping_sub(1);
        self.consumers
            .get_mut(index)
            .map(|consumer| (index, consumer))
    }
}

impl BrokerActor {
    /// Serves a connection until it is closed for the shutdown, or ends with an error.
    pub(super) fn serve(&mut self, connection: &Connection) -> Result<(), BrokerError> {
        let mut session = self.open_session(connection)?;
        let interval = connection
            .heartbeat_interval
            .unwrap_or(NO_HEARTBEAT_INTERVAL);
        loop {
            let heartbeat_due = at(session.last_sent_at + interval);
            let silence_limit = at(session.last_received_at + interval * MAX_SILENT_INTERVALS);
            // Answers have priority over received frames.
            select_biased! {
                recv(self.mailbox.receiver) -> message => {
                    if let Ok(BrokerMessage::Answer(answer)) = message {
                        self.handle_answer(connection, &mut session, &answer)?;
                    }
                },
                recv(connection.frames) -> frame => {
                    let frame = frame.map_err(|_| BrokerError::ConnectionLost)?;
                    session.last_received_at = Instant::now();
                    self.handle_frame(connection, &mut session, frame)?;
                }
                recv(heartbeat_due) -> _ => {
                    connection.send(&[AMQPFrame::Heartbeat])?;
                    session.last_sent_at = Instant::now();
                }
                recv(silence_limit) -> _ => return Err(BrokerError::NoHeartbeat),
            }
            if connection.has_lost_answers.load(SeqCst) {
                return Err(BrokerError::AnswersLost);
            }
            if self.is_shutting_down() && !session.is_shutting_down {
                self.begin_shutdown(connection, &mut session)?;
            }
            self.set_unsettled(session.unsettled_count());
            if session.is_shutting_down && session.is_closed() {
                return self.close(connection);
            }
        }
    }

    /// Opens a channel for each queue.
    fn open_session(&mut self, connection: &Connection) -> Result<Session, BrokerError> {
        let mut effects = Vec::new();
        let mut consumers = Vec::new();
        for index in 0..self.queues.len() {
            let settings = self.consumer_settings(connection, index);
            consumers.push(Consumer::new(settings, &mut effects));
        }
        self.perform(connection, 0, &mut effects)?;
        Ok(Session {
            consumers,
            effects,
            last_received_at: Instant::now(),
            last_sent_at: Instant::now(),
            is_shutting_down: false,
        })
    }

    fn consumer_settings(&self, connection: &Connection, index: usize) -> ConsumerSettings {
        let queue = &self.queues[index];
        ConsumerSettings {
            channel: channel_number(index),
            queue: ShortString::try_new(queue.name.as_str()).unwrap_or_default(),
            prefetch: queue.prefetch,
            is_idempotent: queue.is_idempotent,
            max_message_bytes: self.shared.limits.amqp.message_bytes,
            max_frame_bytes: connection.max_frame_bytes,
        }
    }

    /// Settles a delivery, unless it was received on an earlier connection.
    fn handle_answer(
        &mut self,
        connection: &Connection,
        session: &mut Session,
        answer: &DeliveryAnswer,
    ) -> Result<(), BrokerError> {
        if answer.generation != self.generation {
            return Ok(());
        }
        let mut effects = std::mem::take(&mut session.effects);
        let Some((index, consumer)) = session.consumer_of_channel(answer.channel) else {
            return Ok(());
        };
        consumer.answer(answer.tag, &answer.answer, &mut effects);
        session.effects = effects;
        self.perform_and_record_send(connection, session, index)
    }

    fn handle_frame(
        &mut self,
        connection: &Connection,
        session: &mut Session,
        frame: AMQPFrame,
    ) -> Result<(), BrokerError> {
        match (frame.channel_id(), frame) {
            (CONNECTION_CHANNEL, AMQPFrame::Heartbeat) => Ok(()),
            (CONNECTION_CHANNEL, AMQPFrame::Method(_, AMQPClass::Connection(method))) => {
                self.handle_connection_method(connection, method)
            }
            (channel, frame) => {
                let mut effects = std::mem::take(&mut session.effects);
                let Some((index, consumer)) = session.consumer_of_channel(channel) else {
                    return Err(BrokerError::UnknownChannel(channel));
                };
                consumer.handle_frame(frame, &mut effects);
                session.effects = effects;
                self.perform_and_record_send(connection, session, index)
            }
        }
    }

    fn handle_connection_method(
        &self,
        connection: &Connection,
        method: Method,
    ) -> Result<(), BrokerError> {
        match method {
            Method::Close(close) => {
                connection.send_method(Method::CloseOk(CloseOk {}))?;
                Err(BrokerError::closed_by_broker(&close))
            }
            Method::Blocked(blocked) => {
                warn!(self.log, "broker blocks publishes"; "reason" => %blocked.reason);
                Ok(())
            }
            Method::Unblocked(_) => Ok(()),
            other => Err(BrokerError::unexpected(&other)),
        }
    }

    /// Performs the effects of a consumer, and records the time if anything was sent.
    fn perform_and_record_send(
        &mut self,
        connection: &Connection,
        session: &mut Session,
        index: usize,
    ) -> Result<(), BrokerError> {
        if self.perform(connection, index, &mut session.effects)? {
            session.last_sent_at = Instant::now();
        }
        Ok(())
    }

    /// Performs the effects of the consumer of this queue. Returns whether anything was sent.
    fn perform(
        &mut self,
        connection: &Connection,
        queue_index: usize,
        effects: &mut Vec<ConsumerEffect>,
    ) -> Result<bool, BrokerError> {
        let mut frames = Vec::new();
        let mut channel_error = None;
        for effect in effects.drain(..) {
            match effect {
                ConsumerEffect::Send(frame) => frames.push(*frame),
                ConsumerEffect::Deliver(delivery) => {
                    self.deliver(connection, queue_index, delivery)?;
                }
                ConsumerEffect::MessageRejected(reason) => {
                    let queue = &self.queues[queue_index].name;
                    warn!(self.log, "message rejected"; "reason" => %reason, "queue" => queue);
                }
                ConsumerEffect::ChannelFailed(error) => channel_error = Some(error),
            }
        }
        if !frames.is_empty() {
            connection.send(&frames)?;
        }
        match channel_error {
            Some(error) => Err(error.into()),
            None => Ok(!frames.is_empty()),
        }
    }

    /// Sends a delivery to the policy. Its arrival time is the time at which it was read.
    fn deliver(
        &mut self,
        connection: &Connection,
        queue_index: usize,
        delivery: Delivery,
    ) -> Result<(), BrokerError> {
        let uid = RequestUid::from_number(self.next_random());
        let responder = self.responder(connection, queue_index, delivery.tag);
        let queue = &self.queues[queue_index];
        let tenant = queue.tenant.as_deref();
        let caller = FIRST_CALLER_ID + (self.number << QUEUE_BITS) + queue_index as u64;
        let arrival = Arrival {
            id: ArrivalId::next(),
            uid,
            class: queue.class,
            tenant: tenant.map(|name| self.shared.site.tenant(name)),
            cell_key: tenant.map(|name| CellKey {
                tenant: name.into(),
                subject: None,
            }),
            arrived_at: steady_now(),
            caller_timeout: None,
            caller: CallerId(caller),
            is_retry: delivery.is_redelivered,
            queued_kb: queue.queued_kb,
            payload: Payload::from_bytes(&delivery.body),
            idempotency_key: delivery.message_id.map(String::into_boxed_str),
            may_have_run: delivery.is_redelivered,
            is_handed_back: delivery.received_in_shutdown,
            responder,
        };
        self.shared
            .policy
            .send(PolicyMessage::RequestArrived(Box::new(arrival)))
            .map_err(|_| BrokerError::PolicyEnded)
    }

    /// Returns a responder that sends the answer to this actor without blocking, so that the policy
    /// never waits for a broker.
    fn responder(&self, connection: &Connection, queue_index: usize, tag: u64) -> Responder {
        let generation = self.generation;
        let mailbox = self.mailbox.sender.clone();
        let has_lost_answers = connection.has_lost_answers.clone();
        Responder::new(move |answer| {
            let message = BrokerMessage::Answer(DeliveryAnswer {
                generation,
                channel: channel_number(queue_index),
                tag,
                answer,
            });
            if mailbox.try_send(message).is_err() {
                has_lost_answers.store(true, SeqCst);
            }
        })
    }

    /// Makes every consumer stop consuming.
    fn begin_shutdown(
        &mut self,
        connection: &Connection,
        session: &mut Session,
    ) -> Result<(), BrokerError> {
        session.is_shutting_down = true;
        for (index, consumer) in session.consumers.iter_mut().enumerate() {
            consumer.begin_shutdown(&mut session.effects);
            self.perform(connection, index, &mut session.effects)?;
        }
        Ok(())
    }

    /// Closes the connection once all channels are closed.
    fn close(&self, connection: &Connection) -> Result<(), BrokerError> {
        let reply_text = ShortString::try_new("leaving").unwrap_or_default();
        connection.send_method(Method::Close(Close {
            reply_code: REPLY_SUCCESS,
            reply_text,
            class_id: 0,
            method_id: 0,
        }))?;
        let deadline = Instant::now() + self.shared.limits.amqp.handshake_timeout;
        while !matches!(connection.next_method(deadline)?, Method::CloseOk(_)) {}
        info!(self.log, "broker connection closed"; "unsettled" => self.unsettled);
        Ok(())
    }
}

/// Returns the number of the channel for a queue. Channel 0 is the connection itself.
fn channel_number(queue_index: usize) -> u16 {
    queue_index as u16 + 1
}
