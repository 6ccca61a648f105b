//! The properties of published messages: replies to answered deliveries, and copies of deliveries
//! that are handed back.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};

use super::short_string;
use crate::node::{Answer, Failure, Outcome};

/// On the copy of a message that is handed back: how often the message was handed back without a
/// run.
pub(super) const HANDED_BACK_HEADER: &str = "x-mothwinch-handed-back";
/// On the copy of a message that is handed back: its publish number, which identifies a copy that
/// the broker returns as unroutable.
pub(super) const COPY_NUMBER_HEADER: &str = "x-mothwinch-copy";
/// How the request ended: `served`, `refused` or `failed`.
const STATUS_HEADER: &str = "x-mothwinch-status";
/// Why the request failed.
const REASON_HEADER: &str = "x-mothwinch-reason";
/// Milliseconds to wait before the next attempt.
const RETRY_AFTER_HEADER: &str = "x-mothwinch-retry-after-ms";
/// True if another attempt can't cause a second effect.
const MAY_RETRY_HEADER: &str = "x-mothwinch-may-retry";
/// The node's capacity hint.
const CAPACITY_HINT_HEADER: &str = "x-mothwinch-hint";

/// The outcome of a request, as the status header reports it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplyStatus {
    Served,
    Rejected,
    Failed,
}

impl ReplyStatus {
    fn as_str(self) -> &'static str {
        match self {
            ReplyStatus::Served => "served",
            ReplyStatus::Rejected => "refused",
            ReplyStatus::Failed => "failed",
        }
    }
}

/// The reply to a delivery.
pub(super) struct Reply {
    pub(super) status: ReplyStatus,
    pub(super) body: Vec<u8>,
    failure: Option<Failure>,
    /// Milliseconds to wait before the next attempt, rounded up.
    retry_after_ms: i64,
}

impl Reply {
    /// Creates the reply for this outcome. A result that can't be decoded becomes an internal
    /// failure.
    pub(super) fn new(outcome: &Outcome) -> Reply {
        match outcome {
            Outcome::Served(payload) => payload.to_bytes().map_or_else(
                || Reply::failed(Failure::Internal),
                |body| Reply {
                    status: ReplyStatus::Served,
                    body,
                    failure: None,
                    retry_after_ms: 0,
                },
            ),
            Outcome::Rejected { retry_after, .. } => {
                Reply::rejected(retry_after.ms().ceil() as i64)
            }
            Outcome::WrongCell { .. } => Reply::rejected(0),
            Outcome::Failed(failure) => Reply::failed(*failure),
        }
    }

    fn rejected(retry_after_ms: i64) -> Reply {
        Reply {
            status: ReplyStatus::Rejected,
            body: Vec::new(),
            failure: None,
            retry_after_ms,
        }
    }

    fn failed(failure: Failure) -> Reply {
        Reply {
            status: ReplyStatus::Failed,
            body: Vec::new(),
            failure: Some(failure),
            retry_after_ms: 0,
        }
    }

    /// Returns whether the request may have run, so that the delivery must not run again.
    pub(super) fn may_have_run(&self) -> bool {
        self.failure == Some(Failure::MayHaveRun)
    }

    /// Returns the properties of the reply to a delivery with this correlation id.
    pub(super) fn properties(
        &self,
        answer: &Answer,
        correlation_id: Option<&ShortString>,
        is_idempotent: bool,
    ) -> AMQPProperties {
        let mut properties = AMQPProperties::default()
            .with_headers(self.headers(answer, is_idempotent))
            .with_type(short_string(self.status.as_str()));
        if let Some(id) = correlation_id {
            properties = properties.with_correlation_id(id.clone());
        }
        properties
    }

    fn headers(&self, answer: &Answer, is_idempotent: bool) -> FieldTable {
        let mut headers = FieldTable::default();
        let mut insert = |name: &str, value| {
            headers.insert(short_string(name), value);
        };
        insert(
            STATUS_HEADER,
            AMQPValue::LongString(self.status.as_str().into()),
        );
        if let Some(failure) = self.failure {
            insert(
                REASON_HEADER,
                AMQPValue::LongString(failure.reason().into()),
            );
        }
        if let Some(hint) = answer.capacity_hint {
            insert(CAPACITY_HINT_HEADER, AMQPValue::Double(hint));
        }
        if self.status != ReplyStatus::Served {
            let may_retry = self.status == ReplyStatus::Rejected || is_idempotent;
            insert(
                RETRY_AFTER_HEADER,
                AMQPValue::LongLongInt(self.retry_after_ms),
            );
            insert(MAY_RETRY_HEADER, AMQPValue::Boolean(may_retry));
        }
        headers
    }
}

/// Returns the properties of a copy for the same queue, with these headers added. Properties that
/// the broker would act on again are left out: the name of another user would close the channel,
/// and `CC` and `BCC` would route the message to other queues.
pub(super) fn copy_properties(
    original: &AMQPProperties,
    added_headers: [(&str, i64); 2],
) -> AMQPProperties {
    let mut headers = FieldTable::default();
    for (name, value) in original.headers().iter().flat_map(FieldTable::inner) {
        if !["CC", "BCC"].contains(&name.as_str()) {
            headers.insert(name.clone(), value.clone());
        }
    }
    for (name, value) in added_headers {
        headers.insert(short_string(name), AMQPValue::LongLongInt(value));
    }
    let mut copy = AMQPProperties::default().with_headers(headers);
    macro_rules! keep {
        ($($get:ident $set:ident),*) => {
            $(if let Some(value) = original.$get() {
                copy = copy.$set(value.clone());
            })*
        };
    }
    keep!(content_type with_content_type, content_encoding with_content_encoding);
    keep!(delivery_mode with_delivery_mode, priority with_priority);
    keep!(correlation_id with_correlation_id, reply_to with_reply_to, kind with_type);
    keep!(expiration with_expiration, message_id with_message_id);
    keep!(timestamp with_timestamp, app_id with_app_id);
    copy
}

/// Returns the value of a header.
pub(super) fn header<'a>(properties: &'a AMQPProperties, name: &str) -> Option<&'a AMQPValue> {
    properties
        .headers()
        .as_ref()
        .and_then(|headers| headers.inner().get(name))
}
