//! The socket of a connection to a broker, with a thread that reads its frames.

use std::io;
use std::net::{Shutdown, TcpStream, ToSocketAddrs};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::connection::{AMQPMethod as Method, CloseOk};
use amq_protocol::protocol::AMQPClass;
use crossbeam_channel::{at, bounded, select, Receiver, Sender};
use slog::{debug, Logger};

use super::super::codec;
use super::error::BrokerError;
use crate::inventory::BrokerQueue;
use crate::net::spawn;
use crate::node::Limits;

/// The channel of methods that concern the connection itself.
pub(super) const CONNECTION_CHANNEL: u16 = 0;

/// A connection to a broker. It is closed when it is dropped.
pub(super) struct Connection {
    stream: Arc<TcpStream>,
    pub(super) frames: Receiver<AMQPFrame>,
    /// The interval at which heartbeats are sent, half the agreed one; `None` if there are no
    /// heartbeats.
    pub(super) heartbeat_interval: Option<Duration>,
    /// Maximum size of a frame in bytes.
    pub(super) max_frame_bytes: usize,
    /// Set if the mailbox was full when an answer was sent. The connection is then dropped, so that
    /// the broker delivers everything unsettled again.
    pub(super) has_lost_answers: Arc<AtomicBool>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Connection {
    /// Connects to the broker of this queue and starts the thread that reads its frames.
    pub(super) fn open(
        queue: &BrokerQueue,
        limits: &Limits,
        log: &Logger,
    ) -> Result<Connection, BrokerError> {
        let mut addresses = (queue.host.as_str(), queue.port).to_socket_addrs()?;
        let address = addresses.next().ok_or(BrokerError::NoAddress)?;
        let stream = TcpStream::connect_timeout(&address, limits.connect_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(limits.write_timeout))?;
        let stream = Arc::new(stream);
        let (sender, frames) = bounded(limits.amqp.frame_queue);
        let (read_stream, read_limits, log) = (stream.clone(), limits.clone(), log.clone());
        // The codec recurses into nested tables. The length of a frame bounds their depth.
        spawn("amqp-read", limits.amqp.stack_bytes, move || {
            read_frames(&read_stream, &read_limits, &sender, &log);
        })?;
        Ok(Connection {
            stream,
            frames,
            heartbeat_interval: None,
            max_frame_bytes: limits.amqp.frame_bytes,
            has_lost_answers: Arc::default(),
        })
    }

    /// Sends frames.
    pub(super) fn send(&self, frames: &[AMQPFrame]) -> io::Result<()> {
        codec::write(&*self.stream, frames)
    }

    /// Sends a method of the connection itself.
    pub(super) fn send_method(&self, method: Method) -> io::Result<()> {
        self.send(&[AMQPFrame::Method(
            CONNECTION_CHANNEL,
            AMQPClass::Connection(method),
        )])
    }

    /// Waits until `deadline` for the next method of the connection itself.
    pub(super) fn next_method(&self, deadline: Instant) -> Result<Method, BrokerError> {
        loop {
            match self.next_frame(deadline)? {
                AMQPFrame::Method(CONNECTION_CHANNEL, AMQPClass::Connection(method)) => {
                    return self.check_not_closed(method);
                }
                AMQPFrame::Heartbeat => {}
                other => return Err(BrokerError::unexpected(&other)),
            }
        }
    }

    /// Waits until `deadline` for the answer to a close of the connection. Everything else that the
    /// broker still sends is ignored.
    pub(super) fn wait_for_close_ok(&self, deadline: Instant) -> Result<(), BrokerError> {
        loop {
            let AMQPFrame::Method(CONNECTION_CHANNEL, AMQPClass::Connection(method)) =
                self.next_frame(deadline)?
            else {
                continue;
            };
            if let Method::CloseOk(_) = self.check_not_closed(method)? {
                return Ok(());
            }
        }
    }

    fn next_frame(&self, deadline: Instant) -> Result<AMQPFrame, BrokerError> {
        select! {
            recv(self.frames) -> frame => frame.map_err(|_| BrokerError::ConnectionLost),
            recv(at(deadline)) -> _ => Err(BrokerError::TimedOut),
        }
    }

    fn check_not_closed(&self, method: Method) -> Result<Method, BrokerError> {
        let Method::Close(close) = method else {
            return Ok(method);
        };
        let _ = self.send_method(Method::CloseOk(CloseOk {}));
        Err(BrokerError::rejected(&close))
    }
}

/// Reads frames until the stream ends or the receiver is dropped.
fn read_frames(stream: &TcpStream, limits: &Limits, frames: &Sender<AMQPFrame>, log: &Logger) {
    let mut reader = io::BufReader::with_capacity(limits.read_bytes, stream);
    loop {
        match codec::read(&mut reader, limits.amqp.frame_bytes) {
            Ok(frame) => {
                if frames.send(frame).is_err() {
                    return;
                }
            }
            Err(e) => return debug!(log, "broker read ended"; "error" => %e),
        }
    }
}
