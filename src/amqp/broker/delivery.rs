//! Hands deliveries to the policy as requests, with the right to answer them.

use std::sync::atomic::Ordering::SeqCst;

use super::super::consumer::Delivery;
use super::connection::Connection;
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

impl BrokerActor {
    /// Sends a delivery to the policy. Its arrival time is the time at which it was read.
    pub(super) fn deliver(
        &mut self,
        queue_index: usize,
        delivery: Delivery,
        responder: Responder,
    ) -> Result<(), BrokerError> {
        let uid = RequestUid::from_number(self.next_random() ^ self.shared.uid_salt);
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
    pub(super) fn responder(
        &self,
        connection: &Connection,
        queue_index: usize,
        generation: u64,
        tag: u64,
    ) -> Responder {
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
}

/// Returns the number of the channel for a queue. Channel 0 is the connection itself.
pub(super) fn channel_number(queue_index: usize) -> u16 {
    queue_index as u16 + 1
}
