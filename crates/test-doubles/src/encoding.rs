//! Encodings of fields in the protocols of a node.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use clock::UnixTime;

use crate::error::{expect_ok, TestDoubleError};

/// Encodes text as base64.
pub fn encode_base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Decodes base64 of UTF-8 text; panics for anything else.
pub fn decode_base64(text: &str) -> String {
    expect_ok(try_decode_base64(text))
}

/// Decodes base64 of UTF-8 text.
pub(crate) fn try_decode_base64(text: &str) -> Result<String, TestDoubleError> {
    let bytes = STANDARD
        .decode(text)
        .map_err(|error| TestDoubleError::InvalidBase64(error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| TestDoubleError::InvalidBase64(error.to_string()))
}

/// Returns the time of the wall clock in milliseconds since the Unix epoch; 0 for a time before it.
pub fn unix_ms() -> u64 {
    UnixTime::now().whole_ms()
}
