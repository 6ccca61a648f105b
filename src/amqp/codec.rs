//! Encodes and decodes frames with the amq-protocol crate, and limits the size of the frames that
//! are read.

use std::io::{self, Read, Write};

use amq_protocol::frame::{gen_frame, parse_frame, AMQPFrame, WriteContext};

/// Number of bytes before a frame's payload: type, channel and size.
const FRAME_HEADER_BYTES: usize = 7;

/// Number of bytes after a frame's payload: the end mark.
const FRAME_END_BYTES: usize = 1;

/// Encodes a frame.
///
/// # Errors
/// The frame can't be encoded.
pub fn encode(frame: &AMQPFrame) -> io::Result<Vec<u8>> {
    let write = gen_frame::<Vec<u8>>(frame);
    let (bytes, _) = write(WriteContext::from(Vec::new()))
        .map_err(io::Error::other)?
        .into_inner();
    Ok(bytes)
}

/// Writes frames with a single write.
///
/// # Errors
/// A frame can't be encoded, or the stream can't be written.
pub fn write(mut stream: impl Write, frames: &[AMQPFrame]) -> io::Result<()> {
    let mut bytes = Vec::new();
    for frame in frames {
        bytes.extend_from_slice(&encode(frame)?);
    }
    stream.write_all(&bytes)
}

/// Reads one frame of at most `max_bytes`, including its header and end mark. The length is checked
/// before the payload is read, so that a broker can't make the node allocate more than was agreed.
///
/// # Errors
/// The stream ends or can't be read, or its bytes are not a frame of at most that size.
pub fn read(mut stream: impl Read, max_bytes: usize) -> io::Result<AMQPFrame> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut bytes)?;
    // A broker that does not support this version answers with its own protocol header.
    if bytes.starts_with(b"AMQP") {
        return Err(invalid_data("the broker does not support AMQP 0-9-1"));
    }
    let payload_bytes = u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]) as usize;
    if payload_bytes > max_bytes.saturating_sub(FRAME_HEADER_BYTES + FRAME_END_BYTES) {
        return Err(invalid_data("frame too long"));
    }
    bytes.resize(FRAME_HEADER_BYTES + payload_bytes + FRAME_END_BYTES, 0);
    stream.read_exact(&mut bytes[FRAME_HEADER_BYTES..])?;
    match parse_frame(&bytes[..]) {
        Ok(([], frame)) => Ok(frame),
        _ => Err(invalid_data("malformed frame")),
    }
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
