//! The original of a delivery that must not run twice, from which a copy is published if the
//! delivery is handed back.

use std::io;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::AMQPProperties;

use super::settlement::BASIC_CLASS;
use crate::amqp::codec;

/// Channel number of the frame that a header is encoded in, which is not sent.
const NO_CHANNEL: u16 = 0;

/// A message with its properties as they are encoded in a frame. A table of many short header
/// fields takes twenty times as much memory once it is decoded.
pub(super) struct OriginalMessage {
    header_frame: Box<[u8]>,
    body: Box<[u8]>,
}

impl OriginalMessage {
    /// Encodes a message.
    ///
    /// # Errors
    /// The properties can't be encoded.
    pub(super) fn new(properties: AMQPProperties, body: &[u8]) -> io::Result<OriginalMessage> {
        let header = AMQPContentHeader {
            class_id: BASIC_CLASS,
            body_size: body.len() as u64,
            properties,
        };
        let header_frame = codec::encode(&AMQPFrame::Header(NO_CHANNEL, header))?;
        Ok(OriginalMessage {
            header_frame: header_frame.into(),
            body: body.into(),
        })
    }

    /// Returns the properties, or `None` if they can't be decoded.
    pub(super) fn properties(&self) -> Option<AMQPProperties> {
        match codec::read(&self.header_frame[..], self.header_frame.len()) {
            Ok(AMQPFrame::Header(_, header)) => Some(header.properties),
            _ => None,
        }
    }

    /// Returns the body.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }
}
