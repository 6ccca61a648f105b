//! Parsing of a line from a client. The router reads only what it needs to route a request; the
//! node checks the rest.

use std::collections::BTreeMap;

use cells::map::Name;
use client_listener::protocol::{HEALTH_METHOD, INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND};
use client_listener::ClientMessage;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::config::RequestClass;
use crate::error_line::error_line;

/// A request to forward to a node.
pub(crate) struct ClientRequest {
    pub(crate) class: RequestClass,
    pub(crate) method: String,
    /// Parameters as received, in JSON.
    pub(crate) params: String,
    /// Unix time in milliseconds at which the request arrived at the machine.
    pub(crate) arrived_at_ms: f64,
    /// Tenant of the request; empty if the request names none.
    pub(crate) tenant: Name,
    /// Subject of the request, for tenants that are split by subject.
    pub(crate) subject: Option<Name>,
}

/// The fields of a JSON-RPC message.
#[derive(Deserialize)]
struct MessageFields<'a> {
    #[serde(default)]
    jsonrpc: &'a str,
    #[serde(default)]
    id: Option<u64>,
    #[serde(default)]
    method: &'a str,
    #[serde(borrow, default)]
    params: Option<&'a RawValue>,
}

/// The parameters that the router needs.
#[derive(Deserialize)]
struct RoutingParams<'a> {
    t0: f64,
    #[serde(rename = "acct")]
    tenant: Option<&'a str>,
    #[serde(rename = "obj")]
    subject: Option<&'a str>,
}

/// Parses a line from a client.
pub(crate) fn parse_line(
    line: &[u8],
    classes: &BTreeMap<String, RequestClass>,
) -> ClientMessage<ClientRequest> {
    let Some(message) = parse_message(line) else {
        let answer = error_line(None, INVALID_REQUEST, "not a JSON-RPC 2.0 request");
        return ClientMessage::Malformed(answer);
    };
    let Some(id) = message.id.filter(|id| *id > 0) else {
        return ClientMessage::Notification;
    };
    if message.method == HEALTH_METHOD {
        return ClientMessage::HealthCheck(id);
    }
    let Some(class) = classes.get(message.method).copied() else {
        let answer = error_line(Some(id), METHOD_NOT_FOUND, "no such method");
        return ClientMessage::Malformed(answer);
    };
    let Some(routing_params) = parse_params(message.params) else {
        let answer = error_line(Some(id), INVALID_PARAMS, "t0 is missing or not a number");
        return ClientMessage::Malformed(answer);
    };
    let request = ClientRequest {
        class,
        method: message.method.to_string(),
        params: message.params.map_or("{}", RawValue::get).to_string(),
        arrived_at_ms: routing_params.t0,
        tenant: routing_params.tenant.unwrap_or("").into(),
        subject: routing_params.subject.map(Into::into),
    };
    ClientMessage::Request(id, request)
}

fn parse_message(line: &[u8]) -> Option<MessageFields<'_>> {
    let message: MessageFields<'_> = serde_json::from_slice(line).ok()?;
    (message.jsonrpc == "2.0").then_some(message)
}

fn parse_params(params: Option<&RawValue>) -> Option<RoutingParams<'_>> {
    serde_json::from_str(params?.get()).ok()
}
