//! The names and error codes of the JSON-RPC protocol that clients, the router and nodes speak. They are frozen.

/// The method of a health check.
pub const HEALTH_METHOD: &str = "alive";
/// The method of the notification after which a connection gets no new requests.
pub const GOODBYE_METHOD: &str = "farewell";
/// The line of that notification.
pub const GOODBYE_LINE: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n";

/// The error code of a rejected request: it never ran where it was rejected.
pub const REJECTED: i64 = -32002;
/// The error code of a failed request: it may have run.
pub const FAILED: i64 = -32000;
/// The error code of a line that is not JSON.
pub const PARSE_ERROR: i64 = -32700;
/// The error code of a line that is not a request of this protocol.
pub const INVALID_REQUEST: i64 = -32600;
/// The error code of a request with an unknown method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The error code of a request with invalid parameters.
pub const INVALID_PARAMS: i64 = -32602;
