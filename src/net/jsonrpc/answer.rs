//! The lines sent to clients: answers to requests and health checks, and errors.

use client_listener::protocol::{FAILED, REJECTED};
use serde::Serialize;
use serde_json::json;

use crate::node::{Answer, Outcome};

#[derive(Serialize)]
struct ResponseLine<'a> {
    jsonrpc: &'static str,
    id: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<ResponseResult<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<ResponseError>,
}

#[derive(Serialize, Default)]
struct ResponseResult<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ready: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hint: Option<f64>,
}

#[derive(Serialize)]
struct ResponseError {
    code: i64,
    message: &'static str,
    data: ErrorData,
}

#[derive(Serialize, Default)]
struct ErrorData {
    #[serde(skip_serializing_if = "Option::is_none", rename = "backoff")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none", rename = "final")]
    final_flag: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hint: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    epoch: Option<u64>,
}

fn response_line(
    id: u64,
    result: Option<ResponseResult<'_>>,
    error: Option<ResponseError>,
) -> String {
    let line = ResponseLine {
        jsonrpc: "2.0",
        id,
        result,
        error,
    };
    // Cannot fail: the line contains only numbers and strings.
    let mut text = serde_json::to_string(&line).unwrap_or_default();
    text.push('\n');
    text
}

fn result_line(id: u64, result: ResponseResult<'_>) -> String {
    response_line(id, Some(result), None)
}

fn error_line(id: u64, code: i64, message: &'static str, data: ErrorData) -> String {
    let error = ResponseError {
        code,
        message,
        data,
    };
    response_line(id, None, Some(error))
}

/// Returns the answer to a request.
pub(super) fn answer_line(id: u64, answer: &Answer) -> String {
    let hint = answer.capacity_hint;
    match &answer.outcome {
        Outcome::Served(body) => {
            let result = ResponseResult {
                body: Some(body.as_base64()),
                hint,
                ..ResponseResult::default()
            };
            result_line(id, result)
        }
        Outcome::Rejected {
            retry_after,
            is_final,
        } => {
            let data = ErrorData {
                retry_after_ms: Some(retry_after.ms().ceil() as u64).filter(|ms| *ms > 0),
                final_flag: is_final.then_some(1),
                hint,
                epoch: None,
            };
            error_line(id, REJECTED, "refused: never ran here", data)
        }
        Outcome::WrongCell { epoch } => {
            let data = ErrorData {
                hint,
                epoch: Some(*epoch),
                ..ErrorData::default()
            };
            error_line(id, REJECTED, "refused: its tenant is in another cell", data)
        }
        Outcome::Failed(reason) => {
            let data = ErrorData {
                hint,
                ..ErrorData::default()
            };
            error_line(id, FAILED, reason.reason(), data)
        }
    }
}

/// Returns the answer to a health check.
pub(super) fn health_line(id: u64, is_ready: bool, hint: Option<f64>) -> String {
    let result = ResponseResult {
        ready: Some(is_ready),
        hint,
        ..ResponseResult::default()
    };
    result_line(id, result)
}

/// Returns the rejection of a request on a connection with too many open requests.
pub(super) fn too_many_requests_line(id: u64) -> String {
    let message = "refused: too many requests are open on this connection";
    error_line(id, REJECTED, message, ErrorData::default())
}

/// Returns the last line on a connection whose client violates the protocol. It answers a request
/// only if it has the id of one.
pub(super) fn violation_line(id: Option<u64>, code: i64, message: &str) -> String {
    let error = json!({"code": code, "message": message});
    json!({"jsonrpc": "2.0", "id": id, "error": error}).to_string() + "\n"
}
