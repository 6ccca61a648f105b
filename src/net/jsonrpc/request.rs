//! The parameters of a request: their validation and conversion for the policy.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use clock::UnixTime;
use serde::Deserialize;

use crate::node::{arrival_time, Arrival, ArrivalId, CellKey, Payload, RequestUid, Responder};
use crate::wire::Site;
use crate::{CallerId, ClassId, Idempotency, Span};

/// Maximum size of a body in bytes.
const MAX_BODY_BYTES: usize = 2048;
/// Number of hex digits of an idempotency key.
const IDEMPOTENCY_KEY_DIGITS: usize = 32;
/// Maximum time in milliseconds that a caller may wait; no class has a longer deadline.
const MAX_BUDGET_MS: f64 = 3.6e6;
/// Upper limit, exclusive, of timestamps in Unix milliseconds, up to which a 64-bit floating-point
/// number represents every millisecond exactly.
const MAX_TIMESTAMP_MS: f64 = 9e15;
/// Upper limit, exclusive, of the memory size of a request in kB.
const MAX_MEMORY_KB: f64 = 2000.0;

/// The parameters of a request as received. The name of the struct and the number of its fields
/// appear in error texts sent to clients.
#[derive(Deserialize)]
pub(super) struct Params {
    #[serde(rename = "rid")]
    request_uid: String,
    #[serde(rename = "t0")]
    arrived_at_ms: f64,
    #[serde(rename = "peer")]
    caller: u64,
    #[serde(rename = "acct")]
    tenant: Option<String>,
    #[serde(rename = "budget")]
    budget_ms: Option<f64>,
    #[serde(rename = "token")]
    idempotency_key: Option<String>,
    #[serde(rename = "again")]
    retry_flag: Option<u8>,
    #[serde(rename = "mem")]
    memory_kb: f64,
    #[serde(rename = "prio")]
    priority: f64,
    #[serde(rename = "obj")]
    subject: Option<String>,
    body: String,
}

impl Params {
    /// Converts the parameters to a request for the policy, which arrived with this id. Requires
    /// that [`Params::check`] has succeeded.
    pub(super) fn into_arrival(
        self,
        id: ArrivalId,
        class: ClassId,
        site: &Site,
        responder: Responder,
    ) -> Arrival {
        let tenant_name = self.tenant.filter(|name| !name.is_empty());
        let budget = self.budget_ms.filter(|_| site.passes_deadline);
        Arrival {
            id,
            uid: RequestUid::parse(&self.request_uid).unwrap_or(RequestUid::from_number(0)),
            class,
            tenant: tenant_name.as_deref().map(|name| site.tenant(name)),
            cell_key: tenant_name.map(|name| CellKey {
                tenant: name.into(),
                subject: self.subject.map(Into::into),
            }),
            arrived_at: arrival_time(UnixTime::from_ms(self.arrived_at_ms)),
            caller_timeout: budget.map(Span::from_ms),
            caller: CallerId(self.caller),
            is_retry: self.retry_flag == Some(1),
            queued_kb: self.memory_kb,
            payload: Payload::from_base64(self.body),
            idempotency_key: self.idempotency_key.map(Into::into),
            may_have_run: false,
            is_handed_back: false,
            responder,
        }
    }

    /// Checks that every field is valid under the protocol at this site.
    ///
    /// # Errors
    /// Returns the text for the client on the first invalid field.
    pub(super) fn check(&self, class: ClassId, site: &Site) -> Result<(), &'static str> {
        let budget = self.budget_ms;
        let key = self.idempotency_key.as_deref();
        let decoded_body = STANDARD.decode(&self.body);
        let rules = [
            (is_uid(&self.request_uid), "rid is not 16 hex digits"),
            (is_memory_size(self.memory_kb), "mem is out of range"),
            (is_priority(self.priority), "prio is out of range"),
            (is_timestamp(self.arrived_at_ms), "t0 is out of range"),
            (
                self.retry_flag.is_none_or(|flag| flag == 1),
                "again is not 1",
            ),
            (
                self.subject.as_deref().is_none_or(is_uid),
                "obj is not 16 hex digits",
            ),
            (self.may_name_tenant(site), "no such tenant"),
            (
                key.is_some() || !needs_idempotency_key(class, site),
                "no token in a class that is run by key",
            ),
            (
                key.is_none_or(is_idempotency_key),
                "token is not 32 hex digits",
            ),
            (budget.is_some() || !site.passes_deadline, "no budget"),
            (budget.is_none_or(is_budget), "budget is out of range"),
            (decoded_body.is_ok(), "body is not base64"),
            (
                decoded_body.is_ok_and(|body| body.len() <= MAX_BODY_BYTES),
                "body is too long",
            ),
        ];
        match rules.iter().find(|(is_valid, _)| !is_valid) {
            Some((_, text)) => Err(text),
            None => Ok(()),
        }
    }

    fn may_name_tenant(&self, site: &Site) -> bool {
        self.tenant
            .as_deref()
            .is_none_or(|name| site.may_name(name))
    }
}

fn is_uid(text: &str) -> bool {
    RequestUid::parse(text).is_some()
}

fn is_memory_size(memory_kb: f64) -> bool {
    memory_kb > 0.0 && memory_kb < MAX_MEMORY_KB
}

fn is_priority(priority: f64) -> bool {
    (0.0..1.0).contains(&priority)
}

fn is_timestamp(unix_ms: f64) -> bool {
    unix_ms > 0.0 && unix_ms < MAX_TIMESTAMP_MS
}

fn is_budget(budget_ms: f64) -> bool {
    budget_ms > 0.0 && budget_ms <= MAX_BUDGET_MS
}

fn is_idempotency_key(text: &str) -> bool {
    text.len() == IDEMPOTENCY_KEY_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Returns true if requests of this class have an effect that only their key makes idempotent.
fn needs_idempotency_key(class: ClassId, site: &Site) -> bool {
    let settings = site.settings.classes.get(class.0);
    settings.is_some_and(|class| class.idempotency == Idempotency::ByKey)
}
