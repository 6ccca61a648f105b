//! A channel of a connection to the fake broker: its consumer, its unsettled deliveries, and a
//! publish in progress.

use std::collections::BTreeMap;

use amq_protocol::protocol::basic::{self, AMQPProperties};

use super::message::Message;

/// A publish whose frames have not all been received.
pub(super) struct PartialPublish {
    publish: basic::Publish,
    /// The properties and the size of the body in bytes.
    header: Option<(AMQPProperties, u64)>,
    body: Vec<u8>,
}

impl PartialPublish {
    pub(super) fn new(publish: basic::Publish) -> PartialPublish {
        PartialPublish {
            publish,
            header: None,
            body: Vec::new(),
        }
    }

    fn is_complete(&self) -> bool {
        self.header
            .as_ref()
            .is_some_and(|(_, size)| *size == self.body.len() as u64)
    }
}

/// The state of a channel.
#[derive(Default)]
pub(super) struct BrokerChannel {
    pub queue: String,
    pub prefetch: usize,
    /// True if the channel consumes from its queue.
    pub is_active: bool,
    pub unacked: BTreeMap<u64, Message>,
    pub partial_publish: Option<PartialPublish>,
    last_delivery_tag: u64,
    published: u64,
}

impl BrokerChannel {
    /// Records a delivery and returns its tag.
    pub(super) fn add_delivery(&mut self, message: Message) -> u64 {
        self.last_delivery_tag += 1;
        self.unacked.insert(self.last_delivery_tag, message);
        self.last_delivery_tag
    }

    pub(super) fn add_header(&mut self, properties: AMQPProperties, body_size: u64) {
        if let Some(partial) = &mut self.partial_publish {
            partial.header = Some((properties, body_size));
        }
    }

    pub(super) fn add_body(&mut self, bytes: Vec<u8>) {
        if let Some(partial) = &mut self.partial_publish {
            partial.body.extend(bytes);
        }
    }

    /// Removes the publish if it is complete, and returns it with the tag of its confirm.
    pub(super) fn take_complete_publish(&mut self) -> Option<(basic::Publish, Message, u64)> {
        let complete = self
            .partial_publish
            .take_if(|partial| partial.is_complete())?;
        let (properties, _) = complete.header?;
        self.published += 1;
        let message = Message {
            body: String::from_utf8(complete.body).expect("utf-8"),
            properties,
            redelivered: false,
        };
        Some((complete.publish, message, self.published))
    }
}
