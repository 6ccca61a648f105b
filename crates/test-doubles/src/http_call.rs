//! Reads the HTTP calls that a node makes to the database.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

use crate::error::TestDoubleError;

/// Number of digits of a request uid in the `Request-Ref` header.
const REQUEST_REF_DIGITS: usize = 16;

/// Reads the next call and returns its body; `None` at the end of the connection.
///
/// # Errors
/// [`TestDoubleError::Protocol`] for a call that does not name its request or has an invalid
/// length.
pub(crate) fn read_call(
    reader: &mut BufReader<TcpStream>,
) -> Result<Option<String>, TestDoubleError> {
    let Some(length) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_err() {
        return Ok(None);
    }
    Ok(String::from_utf8(body).ok())
}

/// Reads the head of a call and returns the length of its body.
fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<usize>, TestDoubleError> {
    let mut length = 0;
    let mut has_request_ref = false;
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return Ok(None);
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(request_ref) = line.strip_prefix("request-ref: ") {
            has_request_ref |= request_ref.len() == REQUEST_REF_DIGITS;
        }
        if let Some(text) = line.strip_prefix("content-length: ") {
            length = text
                .parse()
                .map_err(|_| TestDoubleError::Protocol(format!("invalid call length {text}")))?;
        }
    }
    if !has_request_ref {
        let message = "a call has no valid Request-Ref header";
        return Err(TestDoubleError::Protocol(message.into()));
    }
    Ok(Some(length))
}
