//! The errors that the router itself answers with.

use std::time::Duration;

/// The error code of a rejected request: the attempt never ran.
pub(crate) const REJECTED: i64 = -32002;
/// The error code of a failed request: it may have run.
pub(crate) const FAILED: i64 = -32000;
/// The error code of a line that is not a request of this protocol.
pub(crate) const INVALID_REQUEST: i64 = -32600;
/// The error code of a request with an unknown method.
pub(crate) const METHOD_NOT_FOUND: i64 = -32601;
/// The error code of a request with invalid parameters.
pub(crate) const INVALID_PARAMS: i64 = -32602;

/// The line of an error. Without an id it answers no request.
pub(crate) fn error_line(id: Option<u64>, code: i64, message: &str) -> String {
    format_error(id, code, message, "")
}

/// The line of a rejection, with the time after which the client may retry.
pub(crate) fn rejection_line(id: u64, message: &str, retry_after: Option<Duration>) -> String {
    let data = retry_after.map_or(String::new(), |retry_after| {
        let ms = retry_after.as_millis() as u64;
        format!(",\"data\":{{\"backoff\":{ms}}}")
    });
    format_error(Some(id), REJECTED, message, &data)
}

fn format_error(id: Option<u64>, code: i64, message: &str, data: &str) -> String {
    let id = id.map_or("null".to_string(), |id| id.to_string());
    let message = serde_json::to_string(message).unwrap_or_default();
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":{message}{data}}}}}\n")
}
