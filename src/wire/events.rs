//! The simulator's messages to a server, and their conversion to the policy's events.

use policy::{
    CallOutcome, CallerId, ClassId, Event, Request, RequestId, RunOutcome, Span, TenantId,
};
use serde::Deserialize;
use serde_json::Value;

use super::settings::SettingsIn;
use super::site::Site;

/// All events at one time.
#[derive(Deserialize)]
pub(super) struct BatchIn {
    /// Simulated time in milliseconds.
    pub(super) t: f64,
    pub(super) backends: Vec<GroupIn>,
}

/// The events of one server.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct GroupIn {
    pub(super) backend_id: u64,
    pub(super) events: Vec<EventIn>,
}

#[derive(Deserialize)]
pub(super) enum EventIn {
    Spawn(SpawnIn),
    Retire {},
    Query(Box<QueryIn>),
    Finished(EndIn),
    Blocked(IdIn),
    CallEnded(EndIn),
    Left(IdIn),
    #[serde(rename_all = "camelCase")]
    Notice {
        time_left: f64,
    },
    Reminder {
        #[serde(default)]
        pressure: Vec<f64>,
    },
}

/// The start of a server.
#[derive(Deserialize)]
pub(super) struct SpawnIn {
    #[serde(rename = "nonce64")]
    pub(super) seed: u64,
    #[serde(rename = "facts")]
    pub(super) settings: Box<SettingsIn>,
}

/// The request that an event concerns.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct IdIn {
    msg_id: u64,
}

/// The end of a run or of a call.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct EndIn {
    msg_id: u64,
    outcome: OutcomeCode,
    #[serde(default)]
    duration: Option<f64>,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Debug)]
#[serde(rename_all = "UPPERCASE")]
enum OutcomeCode {
    Good,
    Bad,
    Full,
    Late,
    Noconn,
    Rst,
    Cxl,
    Nop,
}

/// A request read by a server.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct QueryIn {
    msg_id: u64,
    r#type: String,
    user_group: Option<Value>,
    entity: Option<Value>,
    time_left: Option<f64>,
    hint: Option<f64>,
    footprint: Option<f64>,
    #[serde(default)]
    resent: Option<bool>,
    write: Option<bool>,
    sender: Option<u64>,
    age: Option<f64>,
    same_as: Option<u64>,
}

impl EventIn {
    /// Converts this message to the policy's event. `site` resolves the names of classes, tenants
    /// and gauges.
    pub(super) fn into_event(self, site: &Site) -> Result<Event, String> {
        Ok(match self {
            EventIn::Query(query) => Event::RequestRead(query.into_request(site)?),
            EventIn::Finished(end) => {
                Event::RunEnded(RequestId(end.msg_id), run_outcome(end.outcome)?)
            }
            EventIn::CallEnded(end) => {
                let duration = span_from_ms(end.duration.unwrap_or(0.0))?;
                Event::CallEnded(RequestId(end.msg_id), call_outcome(end.outcome), duration)
            }
            EventIn::Blocked(request) => Event::CallRequested(RequestId(request.msg_id)),
            EventIn::Left(request) => Event::CallerStoppedWaiting(RequestId(request.msg_id)),
            EventIn::Notice { time_left } => Event::ShutdownNotice(span_from_ms(time_left)?),
            EventIn::Reminder { pressure } => Event::Wake(site.gauges(&pressure)),
            EventIn::Spawn(_) | EventIn::Retire {} => {
                return Err("a server can't start or stop here".into())
            }
        })
    }
}

impl QueryIn {
    fn into_request(self, site: &Site) -> Result<Request, String> {
        let remaining_wait = self.time_left.filter(|wait| *wait > 0.0);
        let work_hint = self.hint.filter(|hint| *hint > 0.0);
        Ok(Request {
            id: RequestId(self.msg_id),
            class: self.class(site),
            tenant: self.tenant(site),
            has_key: matches!(&self.entity, Some(Value::String(key)) if !key.is_empty()),
            remaining_wait: remaining_wait.map(span_from_ms).transpose()?,
            work_hint: work_hint.map(span_from_ms).transpose()?,
            queued_kb: self.footprint.unwrap_or(0.0).max(0.0),
            is_retry: self.resent.unwrap_or(false),
            is_write: self.write.unwrap_or(false),
            caller: CallerId(self.sender.unwrap_or(0)),
            age: span_from_ms(self.age.unwrap_or(0.0))?,
            duplicate_of: self.same_as.filter(|id| *id > 0).map(RequestId),
        })
    }

    /// Returns the request's class. A name that the settings don't list maps to a class past the
    /// last one.
    fn class(&self, site: &Site) -> ClassId {
        site.class(&self.r#type)
            .unwrap_or(ClassId(site.class_count()))
    }

    fn tenant(&self, site: &Site) -> Option<TenantId> {
        match &self.user_group {
            Some(Value::String(name)) if !name.is_empty() => Some(site.tenant(name)),
            _ => None,
        }
    }
}

fn run_outcome(code: OutcomeCode) -> Result<RunOutcome, String> {
    match code {
        OutcomeCode::Good => Ok(RunOutcome::Served),
        OutcomeCode::Bad => Ok(RunOutcome::Failed),
        OutcomeCode::Cxl => Ok(RunOutcome::Stopped),
        OutcomeCode::Nop => Ok(RunOutcome::NeverStarted),
        other => Err(format!("a run can't end with {other:?}")),
    }
}

fn call_outcome(code: OutcomeCode) -> CallOutcome {
    match code {
        OutcomeCode::Good => CallOutcome::Succeeded,
        OutcomeCode::Full | OutcomeCode::Noconn | OutcomeCode::Nop => CallOutcome::NotExecuted,
        OutcomeCode::Bad | OutcomeCode::Late | OutcomeCode::Rst | OutcomeCode::Cxl => {
            CallOutcome::Failed
        }
    }
}

fn span_from_ms(ms: f64) -> Result<Span, String> {
    if ms.is_finite() {
        Ok(Span::from_ms(ms))
    } else {
        Err("a time is not a finite number".into())
    }
}
