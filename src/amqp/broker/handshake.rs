//! The handshake with a broker: authentication, limits and virtual host.

use std::time::{Duration, Instant};

use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::connection::{AMQPMethod as Method, Open, StartOk, Tune, TuneOk};
use amq_protocol::types::{FieldTable, ShortString};

use super::connection::Connection;
use super::error::BrokerError;
use super::BrokerActor;
use crate::inventory::BrokerQueue;

impl BrokerActor {
    /// Connects to the broker and opens the virtual host.
    pub(super) fn connect(&self) -> Result<Connection, BrokerError> {
        let limits = &self.shared.limits;
        let queue = &self.queues[0];
        let mut connection = Connection::open(queue, limits, &self.log)?;
        let version = ProtocolVersion::amqp_0_9_1();
        connection.send(&[AMQPFrame::ProtocolHeader(version)])?;
        let deadline = Instant::now() + limits.amqp.handshake_timeout;
        authenticate(&connection, queue, deadline)?;
        let Method::Tune(offer) = connection.next_method(deadline)? else {
            return Err(BrokerError::MissingMethod("tune"));
        };
        let agreed = self.negotiate(&offer)?;
        let (frame_max, heartbeat) = (agreed.frame_max, agreed.heartbeat);
        connection.send_method(Method::TuneOk(agreed))?;
        connection.send_method(Method::Open(Open {
            virtual_host: short_string(&queue.vhost),
        }))?;
        let Method::OpenOk(_) = connection.next_method(deadline)? else {
            return Err(BrokerError::MissingMethod("open-ok"));
        };
        connection.max_frame_bytes = frame_max as usize;
        let interval = Duration::from_secs(heartbeat.into()) / 2;
        connection.heartbeat_interval = Some(interval).filter(|interval| !interval.is_zero());
        Ok(connection)
    }

    /// Chooses the smaller of the broker's limits and the node's.
    fn negotiate(&self, offer: &Tune) -> Result<TuneOk, BrokerError> {
        let limits = &self.shared.limits.amqp;
        let frame_max = smaller_limit(offer.frame_max, limits.frame_bytes as u32);
        let own_heartbeat = limits.heartbeat_interval.as_secs() as u32;
        let heartbeat = smaller_limit(offer.heartbeat.into(), own_heartbeat) as u16;
        let channel_count = self.queues.len();
        let channel_max = smaller_limit(offer.channel_max.into(), channel_count as u32) as u16;
        if usize::from(channel_max) < channel_count {
            return Err(BrokerError::TooFewChannels(channel_max));
        }
        Ok(TuneOk {
            channel_max,
            frame_max,
            heartbeat,
        })
    }
}

fn authenticate(
    connection: &Connection,
    queue: &BrokerQueue,
    deadline: Instant,
) -> Result<(), BrokerError> {
    let Method::Start(start) = connection.next_method(deadline)? else {
        return Err(BrokerError::MissingMethod("start"));
    };
    let mechanisms = start.mechanisms.to_string();
    if !mechanisms.split(' ').any(|name| name == "PLAIN") {
        return Err(BrokerError::NoPlainAuthentication(mechanisms));
    }
    connection.send_method(Method::StartOk(StartOk {
        client_properties: FieldTable::default(),
        mechanism: short_string("PLAIN"),
        response: format!("\0{}\0{}", queue.username, queue.password).into(),
        locale: short_string("en_US"),
    }))?;
    Ok(())
}

/// Returns the smaller of two limits. An offered limit of 0 means unlimited.
fn smaller_limit(offered: u32, own: u32) -> u32 {
    if offered == 0 {
        own
    } else {
        offered.min(own)
    }
}

fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}
