//! Encoding and decoding of frames, which the amq-protocol crate does, with limits on what is read.

use std::io::{self, Read, Write};

use amq_protocol::frame::{gen_frame, parse_frame, AMQPFrame, WriteContext};

/// Bytes before a frame's payload: type, channel and size.
const HEAD_BYTES: usize = 7;

/// Bytes after a frame's payload: the end mark.
const END_BYTES: usize = 1;

/// The bytes of a frame.
///
/// # Errors
/// Where the frame can't be encoded.
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
/// Where a frame can't be encoded or the stream can't be written.
pub fn write(mut stream: impl Write, frames: &[AMQPFrame]) -> io::Result<()> {
    let mut bytes = Vec::new();
    for frame in frames {
        bytes.extend_from_slice(&encode(frame)?);
    }
    stream.write_all(&bytes)
}

/// Reads one frame of at most `max_bytes` in all. The length is checked before anything is read for it, so that a broker
/// cannot have the node keep more than was agreed.
///
/// # Errors
/// Where the stream ends or can't be read, or the bytes are no frame of at most that size.
pub fn read(mut stream: impl Read, max_bytes: usize) -> io::Result<AMQPFrame> {
    let mut bytes = vec![0; HEAD_BYTES];
    stream.read_exact(&mut bytes)?;
    // A broker that does not support this version answers with its own protocol header.
    if bytes.starts_with(b"AMQP") {
        return Err(invalid_data("the broker does not speak AMQP 0-9-1"));
    }
    let payload_bytes = u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]) as usize;
    if payload_bytes > max_bytes.saturating_sub(HEAD_BYTES + END_BYTES) {
        return Err(invalid_data("frame too long"));
    }
    bytes.resize(HEAD_BYTES + payload_bytes + END_BYTES, 0);
    stream.read_exact(&mut bytes[HEAD_BYTES..])?;
    match parse_frame(&bytes[..]) {
        Ok(([], frame)) => Ok(frame),
        _ => Err(invalid_data("frame not understood")),
    }
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
