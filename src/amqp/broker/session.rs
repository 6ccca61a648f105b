//! Serves a connection: passes frames and answers to the consumers, and performs the effects that
//! they return.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::connection::{AMQPMethod as Method, Close, CloseOk};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::ShortString;
use crossbeam_channel::{at, never, select_biased, Receiver};
use slog::{info, warn};

use super::super::consumer::{ChannelError, ConsumerEffect, ConsumerSettings};
use super::connection::{Connection, CONNECTION_CHANNEL};
use super::delivery::channel_number;
use super::error::BrokerError;
use super::queue_channel::QueueChannel;
use super::{BrokerActor, BrokerMessage, DeliveryAnswer};
use crate::net::Backoff;

/// The heartbeat interval if none was agreed with the broker.
const NO_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3600);

/// A connection is considered lost if nothing was received in this many of the intervals at which
/// heartbeats are sent.
const MAX_SILENT_INTERVALS: u32 = 4;

/// The reply code of a regular close.
const REPLY_SUCCESS: u16 = 200;

/// The channels on a connection and the times of its heartbeats.
struct Session {
    /// The channel of each queue.
    channels: Vec<QueueChannel>,
    effects: Vec<ConsumerEffect>,
    last_received_at: Instant,
    last_sent_at: Instant,
    is_shutting_down: bool,
    /// Time in a shutdown from which on no delivery is handed back any more; `None` before the
    /// shutdown and once that time has passed.
    hand_backs_end_at: Option<Instant>,
}

impl Session {
    fn unsettled_count(&self) -> usize {
        let channels = self.channels.iter();
        channels
            .map(|channel| channel.consumer.unsettled_count())
            .sum()
    }

    fn has_shut_down(&self) -> bool {
        self.channels
            .iter()
            .all(|channel| channel.consumer.has_shut_down())
    }

    fn end_hand_backs(&mut self) {
        self.hand_backs_end_at = None;
        for channel in &mut self.channels {
            channel.consumer.end_hand_backs();
        }
    }

    /// Returns the index of the queue of this channel.
    fn queue_index(&self, channel: u16) -> Option<usize> {
        let index = usize::from(channel).wrapping_sub(1);
        Some(index).filter(|index| *index < self.channels.len())
    }

    /// Returns a channel that receives a message when the next failed channel is to be opened
    /// again. In a shutdown, none is.
    fn next_reopen(&self) -> Receiver<Instant> {
        if self.is_shutting_down {
            return never();
        }
        let due = self.channels.iter().filter_map(QueueChannel::reopen_due);
        due.min().map_or_else(never, at)
    }
}

/// The result of performing the effects of a consumer.
struct Performed {
    /// True if a frame was sent.
    has_sent: bool,
    /// Why the consumer's channel failed, if it did.
    channel_error: Option<ChannelError>,
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
            let next_reopen = session.next_reopen();
            let hand_backs_end = session.hand_backs_end_at.map_or_else(never, at);
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
                recv(next_reopen) -> _ => self.reopen_channels(connection, &mut session)?,
                recv(hand_backs_end) -> _ => session.end_hand_backs(),
            }
            if connection.has_lost_answers.load(SeqCst) {
                return Err(BrokerError::AnswersLost);
            }
            if self.is_shutting_down() && !session.is_shutting_down {
                self.begin_shutdown(connection, &mut session)?;
            }
            self.set_unsettled(session.unsettled_count());
            if session.is_shutting_down && session.has_shut_down() {
                return self.close(connection);
            }
        }
    }

    /// Opens a channel for each queue.
    fn open_session(&mut self, connection: &Connection) -> Result<Session, BrokerError> {
        let mut session = Session {
            channels: Vec::new(),
            effects: Vec::new(),
            last_received_at: Instant::now(),
            last_sent_at: Instant::now(),
            is_shutting_down: false,
            hand_backs_end_at: None,
        };
        let backoff_min = self.shared.limits.reconnect_backoff;
        let backoff_max = self.shared.limits.amqp.backoff_max;
        for index in 0..self.queues.len() {
            let settings = self.consumer_settings(connection, index);
            let generation = self.next_generation();
            let backoff = Backoff::new(backoff_min, backoff_max);
            let effects = &mut session.effects;
            let channel = QueueChannel::open(settings, generation, backoff, backoff_max, effects);
            session.channels.push(channel);
            self.perform_of_queue(connection, &mut session, index)?;
        }
        Ok(session)
    }

    /// Opens the failed channels again whose time has come.
    fn reopen_channels(
        &mut self,
        connection: &Connection,
        session: &mut Session,
    ) -> Result<(), BrokerError> {
        for index in 0..session.channels.len() {
            let due = session.channels[index].reopen_due();
            if due.is_some_and(|due| due <= Instant::now()) {
                let settings = self.consumer_settings(connection, index);
                let generation = self.next_generation();
                session.channels[index].reopen(settings, generation, &mut session.effects);
                self.perform_of_queue(connection, session, index)?;
            }
        }
        Ok(())
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
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

    /// Settles a delivery, unless it was received before its channel was last opened.
    fn handle_answer(
        &mut self,
        connection: &Connection,
        session: &mut Session,
        answer: &DeliveryAnswer,
    ) -> Result<(), BrokerError> {
        let Some(index) = session.queue_index(answer.channel) else {
            return Ok(());
        };
        let channel = &mut session.channels[index];
        if channel.generation != answer.generation {
            return Ok(());
        }
        let effects = &mut session.effects;
        channel.consumer.answer(answer.tag, &answer.answer, effects);
        self.perform_of_queue(connection, session, index)
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
                let index = session.queue_index(channel);
                let index = index.ok_or(BrokerError::UnknownChannel(channel))?;
                let consumer = &mut session.channels[index].consumer;
                consumer.handle_frame(frame, &mut session.effects);
                self.perform_of_queue(connection, session, index)
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

    /// Performs the effects of the consumer of this queue. Records the time if anything was sent,
    /// and has a channel that has failed opened again later.
    fn perform_of_queue(
        &mut self,
        connection: &Connection,
        session: &mut Session,
        index: usize,
    ) -> Result<(), BrokerError> {
        let generation = session.channels[index].generation;
        let performed = self.perform(connection, index, generation, &mut session.effects)?;
        if performed.has_sent {
            session.last_sent_at = Instant::now();
        }
        if let Some(error) = performed.channel_error {
            let delay = session.channels[index].schedule_reopen(self.next_jitter());
            warn!(self.log, "broker channel failed"; "queue" => &self.queues[index].name,
                "error" => %error, "reopen_after_ms" => delay.as_millis() as u64);
        }
        Ok(())
    }

    fn perform(
        &mut self,
        connection: &Connection,
        queue_index: usize,
        generation: u64,
        effects: &mut Vec<ConsumerEffect>,
    ) -> Result<Performed, BrokerError> {
        let mut frames = Vec::new();
        let mut channel_error = None;
        for effect in effects.drain(..) {
            match effect {
                ConsumerEffect::Send(frame) => frames.push(*frame),
                ConsumerEffect::Deliver(delivery) => {
                    let responder =
                        self.responder(connection, queue_index, generation, delivery.tag);
                    self.deliver(queue_index, delivery, responder)?;
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
        Ok(Performed {
            has_sent: !frames.is_empty(),
            channel_error,
        })
    }

    /// Makes every consumer stop consuming.
    fn begin_shutdown(
        &mut self,
        connection: &Connection,
        session: &mut Session,
    ) -> Result<(), BrokerError> {
        session.is_shutting_down = true;
        session.hand_backs_end_at = self.shared.hand_backs_end_at.get().copied();
        for index in 0..session.channels.len() {
            let consumer = &mut session.channels[index].consumer;
            consumer.begin_shutdown(&mut session.effects);
            self.perform_of_queue(connection, session, index)?;
        }
        Ok(())
    }

    /// Closes the connection. The broker delivers again what is still unsettled.
    fn close(&self, connection: &Connection) -> Result<(), BrokerError> {
        let reply_text = ShortString::try_new("leaving").unwrap_or_default();
        connection.send_method(Method::Close(Close {
            reply_code: REPLY_SUCCESS,
            reply_text,
            class_id: 0,
            method_id: 0,
        }))?;
        let deadline = Instant::now() + self.shared.limits.amqp.handshake_timeout;
        connection.wait_for_close_ok(deadline)?;
        info!(self.log, "broker connection closed"; "unsettled" => self.unsettled);
        Ok(())
    }
}
