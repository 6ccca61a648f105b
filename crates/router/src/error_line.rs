//! Lines of the errors that the router itself answers with.

use std::time::Duration;

use client_listener::protocol::REJECTED;

/// Returns the line of an error. Without an id, the error answers no particular request.
pub(crate) fn error_line(id: Option<u64>, code: i64, message: &str) -> String {
    format_error(id, code, message, "")
}

/// Returns the line of a rejection, with the duration after which the client may retry.
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
