//! JSON-RPC 2.0 messages: what a line says, and how answers are written.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::node::{Answer, Arrival, CellKey, Outcome, Payload, RequestUid, Responder};
use crate::wire::Site;
use crate::{CallerId, ClassId, Idempotency, Span, Time};

/// A refusal: this try never ran.
pub(super) const REFUSED: i32 = -32002;
/// A failure: it may have run.
pub(super) const FAILED: i32 = -32000;
const PARSE: i32 = -32700;
const INVALID_REQUEST: i32 = -32600;
const NO_METHOD: i32 = -32601;
const INVALID_PARAMS: i32 = -32602;

/// What a line asks for.
pub(super) enum Incoming {
    /// A health check.
    Alive(u64),
    /// A request to be served.
    Request(u64, ClassId, Params),
    /// The caller of the request with this id waits no more.
    Cancel(u64),
    /// A notification, which gets no answer.
    Notification,
    /// Something that gets this answer.
    Malformed(String),
}

/// The fields of a request.
#[derive(Deserialize)]
pub(super) struct Params {
    rid: String,
    t0: f64,
    peer: u64,
    acct: Option<String>,
    budget: Option<f64>,
    token: Option<String>,
    again: Option<u8>,
    mem: f64,
    prio: f64,
    obj: Option<String>,
    body: String,
}

/// Bytes of a body at most.
const BODY: usize = 2048;
/// Hex digits of a token.
const TOKEN: usize = 32;
/// The longest that a caller may say to wait, in milliseconds: no class is waited for that long.
const BUDGET: f64 = 3.6e6;

impl Params {
    /// The request for the core, or nothing where a field is out of its range.
    pub(super) fn arrival(self, class: ClassId, site: &Site, responder: Responder) -> Arrival {
        let acct = self.acct.filter(|name| !name.is_empty());
        Arrival {
            // Both are checked as the line is read.
            uid: RequestUid::parse(&self.rid).unwrap_or(RequestUid::from_number(0)),
            class,
            tenant: acct.as_deref().map(|name| site.tenant(name)),
            cell_key: acct.map(|name| CellKey {
                tenant: name.into(),
                subject: self.obj.map(Into::into),
            }),
            arrived_at: Time((self.t0 * 1e3) as i64),
            caller_timeout: self
                .budget
                .filter(|_| site.passes_deadline)
                .map(Span::from_ms),
            caller: CallerId(self.peer),
            is_retry: self.again == Some(1),
            queued_kb: self.mem,
            payload: Payload::from_base64(self.body),
            idempotency_key: self.token.map(Into::into),
            may_have_run: false,
            is_handed_back: false,
            responder,
        }
    }
    /// Whether every field is what the protocol allows at this site.
    fn check(&self, class: ClassId, site: &Site) -> Result<(), &'static str> {
        let by_key = site
            .settings
            .classes
            .get(class.0)
            .is_some_and(|c| c.idempotency == Idempotency::ByKey);
        let is_token = |t: &str| t.len() == TOKEN && t.bytes().all(|b| b.is_ascii_hexdigit());
        let is_budget = |ms: f64| ms > 0.0 && ms <= BUDGET;
        let body = STANDARD.decode(&self.body).map(|bytes| bytes.len());
        let faults = [
            (
                RequestUid::parse(&self.rid).is_none(),
                "rid is not 16 hex digits",
            ),
            (
                !(self.mem > 0.0 && self.mem < 2000.0),
                "mem is out of range",
            ),
            (
                !(self.prio >= 0.0 && self.prio < 1.0),
                "prio is out of range",
            ),
            // Unix milliseconds that a number holds exactly.
            (!(self.t0 > 0.0 && self.t0 < 9e15), "t0 is out of range"),
            (self.again.is_some_and(|again| again != 1), "again is not 1"),
            (
                self.obj
                    .as_deref()
                    .is_some_and(|obj| RequestUid::parse(obj).is_none()),
                "obj is not 16 hex digits",
            ),
            (
                self.acct
                    .as_deref()
                    .is_some_and(|name| !site.may_name(name)),
                "no such tenant",
            ),
            (
                by_key && self.token.is_none(),
                "no token in a class that is run by key",
            ),
            (
                self.token.as_deref().is_some_and(|t| !is_token(t)),
                "token is not 32 hex digits",
            ),
            (site.passes_deadline && self.budget.is_none(), "no budget"),
            (
                self.budget.is_some_and(|ms| !is_budget(ms)),
                "budget is out of range",
            ),
            (body.is_err(), "body is not base64"),
            (body.is_ok_and(|length| length > BODY), "body is too long"),
        ];
        faults
            .iter()
            .find(|(fault, _)| *fault)
            .map_or(Ok(()), |(_, what)| Err(what))
    }
}

/// Reads a line.
pub(super) fn read(line: &[u8], site: &Site) -> Incoming {
    let malformed = |id: Option<u64>, code, text: &str| {
        let error = json!({"code": code, "message": text});
        Incoming::Malformed(json!({"jsonrpc": "2.0", "id": id, "error": error}).to_string() + "\n")
    };
    let Ok(value) = serde_json::from_slice::<Value>(line) else {
        return malformed(None, PARSE, "not JSON");
    };
    let id = value.get("id").and_then(Value::as_u64).filter(|id| *id > 0);
    if value.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return malformed(id, INVALID_REQUEST, "not a JSON-RPC 2.0 request");
    }
    let Some(method) = value.get("method").and_then(Value::as_str) else {
        return malformed(id, INVALID_REQUEST, "no method");
    };
    if value.get("id").is_none() {
        let left = value
            .pointer("/params/id")
            .and_then(Value::as_u64)
            .filter(|_| method == CANCEL);
        return left.map_or(Incoming::Notification, Incoming::Cancel);
    }
    let Some(number) = id else {
        return malformed(None, INVALID_REQUEST, "id is not a number from 1 up");
    };
    if method == "alive" {
        return Incoming::Alive(number);
    }
    let Some(class) = site.class(method) else {
        return malformed(id, NO_METHOD, "no such method");
    };
    let params = value.get("params").unwrap_or(&Value::Null);
    match Params::deserialize(params) {
        Ok(params) => match params.check(class, site) {
            Ok(()) => Incoming::Request(number, class, params),
            Err(what) => malformed(id, INVALID_PARAMS, what),
        },
        Err(e) => malformed(id, INVALID_PARAMS, &e.to_string()),
    }
}

#[derive(Serialize)]
struct Line<'a> {
    jsonrpc: &'static str,
    id: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<Served<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<Fault>,
}
#[derive(Serialize)]
struct Served<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ready: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hint: Option<f64>,
}
#[derive(Serialize)]
struct Fault {
    code: i32,
    message: &'static str,
    data: Data,
}
#[derive(Serialize, Default)]
struct Data {
    #[serde(skip_serializing_if = "Option::is_none")]
    backoff: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none", rename = "final")]
    last: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hint: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    epoch: Option<u64>,
}

fn write(id: u64, result: Option<Served<'_>>, error: Option<Fault>) -> String {
    // Numbers and strings alone: this can't fail.
    let mut line = serde_json::to_string(&Line {
        jsonrpc: "2.0",
        id,
        result,
        error,
    })
    .unwrap_or_default();
    line.push('\n');
    line
}

/// The line of an answer.
pub(super) fn answer(id: u64, answer: &Answer) -> String {
    let hint = answer.capacity_hint;
    match &answer.outcome {
        Outcome::Served(body) => write(
            id,
            Some(Served {
                body: Some(body.as_base64()),
                ready: None,
                hint,
            }),
            None,
        ),
        Outcome::Rejected {
            retry_after,
            is_final,
        } => {
            let backoff = Some(retry_after.ms().ceil() as u64).filter(|ms| *ms > 0);
            let data = Data {
                backoff,
                last: is_final.then_some(1),
                hint,
                epoch: None,
            };
            write(
                id,
                None,
                Some(Fault {
                    code: REFUSED,
                    message: "refused: never ran here",
                    data,
                }),
            )
        }
        Outcome::WrongCell { epoch } => {
            let data = Data {
                hint,
                epoch: Some(*epoch),
                ..Data::default()
            };
            write(
                id,
                None,
                Some(Fault {
                    code: REFUSED,
                    message: "refused: its tenant is in another cell",
                    data,
                }),
            )
        }
        Outcome::Failed(why) => {
            let data = Data {
                hint,
                ..Data::default()
            };
            write(
                id,
                None,
                Some(Fault {
                    code: FAILED,
                    message: why.reason(),
                    data,
                }),
            )
        }
    }
}

/// The line of a health answer.
pub(super) fn health(id: u64, ready: bool, hint: Option<f64>) -> String {
    write(
        id,
        Some(Served {
            body: None,
            ready: Some(ready),
            hint,
        }),
        None,
    )
}

/// The refusal of a request for which there is no place on its connection.
pub(super) fn crowded(id: u64) -> String {
    let message = "refused: too many requests are open on this connection";
    write(
        id,
        None,
        Some(Fault {
            code: REFUSED,
            message,
            data: Data::default(),
        }),
    )
}

/// The last line to a peer that breaks the protocol's bounds on a connection. It answers no request.
pub(super) fn breach(what: &str) -> String {
    let error = json!({"code": INVALID_REQUEST, "message": what});
    json!({"jsonrpc": "2.0", "id": null, "error": error}).to_string() + "\n"
}

/// The notification by which a front end says that it waits no more for a request.
const CANCEL: &str = "cancelRequest";

/// The notification after which a connection gets no new request.
pub(super) const FAREWELL: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n";
