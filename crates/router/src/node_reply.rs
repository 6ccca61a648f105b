//! What a node replies, and how a reply is forwarded: with another id and nothing else changed.

use client_listener::protocol::CLOSE_NOTICE_METHOD;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The error code for an error that can't be read.
const UNKNOWN_CODE: i64 = 0;

/// A line of a node.
#[derive(Deserialize)]
pub(crate) struct NodeReply<'a> {
    /// The id of the request that is answered; none for a notification.
    #[serde(default)]
    pub(crate) id: Option<u64>,
    #[serde(default)]
    method: Option<&'a str>,
    #[serde(borrow, default)]
    result: Option<&'a RawValue>,
    #[serde(borrow, default)]
    error: Option<&'a RawValue>,
}

/// What a node adds to its answers for routers.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ReplyData {
    /// The answer to a health check.
    ready: Option<bool>,
    /// How much of the usual traffic the node wants.
    #[serde(rename = "hint")]
    pub(crate) capacity_hint: Option<f64>,
    #[serde(rename = "final")]
    final_flag: Option<u8>,
}

impl ReplyData {
    /// Whether the node reports that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready == Some(true)
    }

    /// Whether no other node should be tried.
    pub(crate) fn is_final(&self) -> bool {
        self.final_flag == Some(1)
    }
}

/// The content of a reply.
pub(crate) struct ReplyContent {
    /// The code of an error; none for a result.
    pub(crate) error_code: Option<i64>,
    pub(crate) data: ReplyData,
}

#[derive(Deserialize)]
struct ErrorObject {
    code: i64,
    #[serde(default)]
    data: ReplyData,
}

impl<'a> NodeReply<'a> {
    /// Parses a line of a node; none where it is no message.
    pub(crate) fn parse(line: &'a [u8]) -> Option<NodeReply<'a>> {
        serde_json::from_slice(line).ok()
    }

    /// Whether it asks for no new requests on its connection.
    pub(crate) fn is_goodbye(&self) -> bool {
        self.method == Some(CLOSE_NOTICE_METHOD)
    }

    /// The error code, if it is an error, and the data for routers.
    pub(crate) fn content(&self) -> ReplyContent {
        if let Some(error) = self.error {
            return match serde_json::from_str::<ErrorObject>(error.get()) {
                Ok(error) => ReplyContent {
                    error_code: Some(error.code),
                    data: error.data,
                },
                Err(_) => ReplyContent {
                    error_code: Some(UNKNOWN_CODE),
                    data: ReplyData::default(),
                },
            };
        }
        let data = self
            .result
            .and_then(|result| serde_json::from_str(result.get()).ok());
        ReplyContent {
            error_code: None,
            data: data.unwrap_or_default(),
        }
    }

    /// The same answer with another id.
    pub(crate) fn line_with_id(&self, id: u64) -> String {
        match (self.error, self.result) {
            (Some(error), _) => format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{}}}\n",
                error.get()
            ),
            (None, result) => {
                let result = result.map_or("{}", RawValue::get);
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{result}}}\n")
            }
        }
    }
}
