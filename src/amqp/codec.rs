//! Frames as bytes. The codec itself is the amq-protocol crate's; here stand only the bounds on what is read.

use std::io::{self, Read, Write};

use amq_protocol::frame::{gen_frame, parse_frame, AMQPFrame, WriteContext};

/// What stands around a frame's payload: type, channel and size before it, the end mark after it.
const HEAD: usize = 7;
const END: usize = 1;

/// The bytes of a frame.
pub fn encode(frame: &AMQPFrame) -> io::Result<Vec<u8>> {
    let write = gen_frame::<Vec<u8>>(frame);
    let (bytes, _) = write(WriteContext::from(Vec::new()))
        .map_err(io::Error::other)?
        .into_inner();
    Ok(bytes)
}

/// Writes frames in one go.
pub fn write(mut to: impl Write, frames: &[AMQPFrame]) -> io::Result<()> {
    let mut bytes = Vec::new();
    for frame in frames {
        bytes.extend_from_slice(&encode(frame)?);
    }
    to.write_all(&bytes)
}

/// Reads one frame of at most `most` bytes in all. The length is checked before anything is read for it, so that a
/// broker can't have us hold more than was agreed.
pub fn read(mut from: impl Read, most: usize) -> io::Result<AMQPFrame> {
    let malformed = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut bytes = vec![0; HEAD];
    from.read_exact(&mut bytes)?;
    // A broker that does not speak this version answers with its own protocol header.
    if bytes.starts_with(b"AMQP") {
        return Err(malformed("the broker does not speak AMQP 0-9-1"));
    }
    let size = u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]) as usize;
    if size > most.saturating_sub(HEAD + END) {
        return Err(malformed("frame too long"));
    }
    bytes.resize(HEAD + size + END, 0);
    from.read_exact(&mut bytes[HEAD..])?;
    match parse_frame(&bytes[..]) {
        Ok(([], frame)) => Ok(frame),
        _ => Err(malformed("frame not understood")),
    }
}
