//! Names and error codes of the JSON-RPC protocol between clients, the router and nodes. They are a
//! stable format.

/// Method of a health check.
pub const HEALTH_METHOD: &str = "alive";
/// Method of the close notice, the notification after which a connection gets no new requests.
pub const CLOSE_NOTICE_METHOD: &str = "farewell";
/// Line of the close notice.
pub const CLOSE_NOTICE_LINE: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n";

/// Error code of a rejected request, which did not run on the server that rejected it.
pub const REJECTED: i64 = -32002;
/// Error code of a failed request, which may have run.
pub const FAILED: i64 = -32000;
/// Error code of a line that is not JSON.
pub const PARSE_ERROR: i64 = -32700;
/// Error code of a line that is not a request of this protocol.
pub const INVALID_REQUEST: i64 = -32600;
/// Error code of a request with an unknown method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Error code of a request with invalid parameters.
pub const INVALID_PARAMS: i64 = -32602;
