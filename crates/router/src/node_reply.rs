//! Parsing of a node's replies. A reply is forwarded with another id and otherwise unchanged.

use client_listener::protocol::CLOSE_NOTICE_METHOD;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Error code that stands for an error object that can't be parsed.
const UNPARSED_ERROR_CODE: i64 = 0;

/// A line from a node.
#[derive(Deserialize)]
pub(crate) struct NodeReply<'a> {
    /// Id of the request that is answered; `None` for a notification.
    #[serde(default)]
    pub(crate) id: Option<u64>,
    #[serde(default)]
    method: Option<&'a str>,
    #[serde(borrow, default)]
    result: Option<&'a RawValue>,
    #[serde(borrow, default)]
    error: Option<&'a RawValue>,
}

/// The data for routers in a node's answer.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ReplyData {
    /// True if the node is ready; part of the answer to a health check.
    ready: Option<bool>,
    /// Fraction of the usual traffic that the node asks for.
    #[serde(rename = "hint")]
    pub(crate) capacity_hint: Option<f64>,
    /// 1 if the router should not try another node.
    #[serde(rename = "final")]
    final_flag: Option<u8>,
}

impl ReplyData {
    /// Returns true if the node reports that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready == Some(true)
    }

    /// Returns true if the router should not try another node.
    pub(crate) fn is_final(&self) -> bool {
        self.final_flag == Some(1)
    }
}

/// The parts of a reply that the router evaluates.
pub(crate) struct ReplyContent {
    /// Code of the error; `None` for a result.
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
    /// Parses a line from a node. Returns `None` if the line is not a valid message.
    pub(crate) fn parse(line: &'a [u8]) -> Option<NodeReply<'a>> {
        serde_json::from_slice(line).ok()
    }

    /// Returns true if the line is a close notice: the node accepts no new requests on this
    /// connection.
    pub(crate) fn is_close_notice(&self) -> bool {
        self.method == Some(CLOSE_NOTICE_METHOD)
    }

    /// Returns the error code, if the reply is an error, and the data for routers.
    pub(crate) fn content(&self) -> ReplyContent {
        if let Some(error) = self.error {
            return match serde_json::from_str::<ErrorObject>(error.get()) {
                Ok(error) => ReplyContent {
                    error_code: Some(error.code),
                    data: error.data,
                },
                Err(_) => ReplyContent {
                    error_code: Some(UNPARSED_ERROR_CODE),
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

    /// Returns the line of the same answer with another id.
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
