//! Parses the lines of clients as JSON-RPC 2.0 messages.

use client_listener::protocol::{
    HEALTH_METHOD, INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, PARSE_ERROR,
};
use client_listener::ClientMessage;
use serde::Deserialize as _;
use serde_json::Value;

use super::answer::violation_line;
use super::request::Params;
use crate::wire::Site;
use crate::ClassId;

/// The method of the notification by which a client reports that it has stopped waiting for a
/// request.
const CANCEL_METHOD: &str = "cancelRequest";

/// A request with valid parameters.
pub(super) struct ClassifiedRequest {
    pub(super) class: ClassId,
    pub(super) params: Params,
}

/// A protocol violation in a line, from which its answer is built.
struct MalformedLine {
    id: Option<u64>,
    code: i64,
    text: String,
}

impl MalformedLine {
    fn new(id: Option<u64>, code: i64, text: impl Into<String>) -> MalformedLine {
        let text = text.into();
        MalformedLine { id, code, text }
    }
}

/// Parses a line and checks it against the settings of the site.
pub(super) fn parse_line(line: &[u8], site: &Site) -> ClientMessage<ClassifiedRequest> {
    parse(line, site).unwrap_or_else(|malformed| {
        let answer = violation_line(malformed.id, malformed.code, &malformed.text);
        ClientMessage::Malformed(answer)
    })
}

fn parse(line: &[u8], site: &Site) -> Result<ClientMessage<ClassifiedRequest>, MalformedLine> {
    let Ok(value) = serde_json::from_slice::<Value>(line) else {
        return Err(MalformedLine::new(None, PARSE_ERROR, "not JSON"));
    };
    let id = value.get("id").and_then(Value::as_u64).filter(|id| *id > 0);
    if value.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        let text = "not a JSON-RPC 2.0 request";
        return Err(MalformedLine::new(id, INVALID_REQUEST, text));
    }
    let Some(method) = value.get("method").and_then(Value::as_str) else {
        return Err(MalformedLine::new(id, INVALID_REQUEST, "no method"));
    };
    if value.get("id").is_none() {
        return Ok(parse_notification(method, &value));
    }
    let Some(id) = id else {
        let text = "id is not a number from 1 up";
        return Err(MalformedLine::new(None, INVALID_REQUEST, text));
    };
    if method == HEALTH_METHOD {
        return Ok(ClientMessage::HealthCheck(id));
    }
    let Some(class) = site.class(method) else {
        return Err(MalformedLine::new(
            Some(id),
            METHOD_NOT_FOUND,
            "no such method",
        ));
    };
    let params = parse_params(&value, class, site)
        .map_err(|text| MalformedLine::new(Some(id), INVALID_PARAMS, text))?;
    let request = ClassifiedRequest { class, params };
    Ok(ClientMessage::Request(id, request))
}

fn parse_notification(method: &str, value: &Value) -> ClientMessage<ClassifiedRequest> {
    if method != CANCEL_METHOD {
        return ClientMessage::Notification;
    }
    match value.pointer("/params/id").and_then(Value::as_u64) {
        Some(id) => ClientMessage::Cancel(id),
        None => ClientMessage::Notification,
    }
}

/// Parses and checks the parameters of a request. An error is the text for the client.
fn parse_params(value: &Value, class: ClassId, site: &Site) -> Result<Params, String> {
    let params = value.get("params").unwrap_or(&Value::Null);
    let params = Params::deserialize(params).map_err(|e| e.to_string())?;
    params.check(class, site)?;
    Ok(params)
}
