//! Messages in the fake broker's queues and among its replies.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, ShortString};

/// A message, in a queue or as a reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Message {
    pub body: String,
    pub properties: AMQPProperties,
    pub redelivered: bool,
}

impl Message {
    /// Creates a request with an id of its own and a queue for its reply.
    pub(crate) fn new(body: &str) -> Message {
        let properties = AMQPProperties::default()
            .with_message_id(short_string(&format!("key of {body}")))
            .with_reply_to(short_string("answers"))
            .with_correlation_id(short_string(&format!("about {body}")));
        Message {
            body: body.into(),
            properties,
            redelivered: false,
        }
    }

    /// Creates a request without a reply queue.
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

    /// Returns the message, marked as redelivered.
    pub(crate) fn redelivered(mut self) -> Message {
        self.redelivered = true;
        self
    }

    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&AMQPValue> {
        self.properties.headers().as_ref()?.inner().get(name)
    }

    /// Returns the text of a header, empty without one.
    pub(crate) fn text(&self, name: &str) -> String {
        match self.header(name) {
            Some(AMQPValue::LongString(text)) => text.to_string(),
            _ => String::new(),
        }
    }

    /// Returns the correlation id, empty without one.
    pub(crate) fn correlation(&self) -> String {
        self.properties
            .correlation_id()
            .as_ref()
            .map(std::string::ToString::to_string)
            .unwrap_or_default()
    }
}

/// Converts a text to a short string of the protocol.
pub(crate) fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).expect("short")
}
