//! Reads a node's answers to JSON-RPC requests.
#![allow(dead_code)] // Each test program uses a part of it.

use serde_json::Value;
use test_doubles::decode_base64;

/// The error code of a request that was rejected before it ran.
pub(crate) const REJECTED: i64 = -32002;

/// Returns the error code of an answer, 0 for a result.
pub(crate) fn error_code(answer: &Value) -> i64 {
    answer["error"]["code"].as_i64().unwrap_or(0)
}

/// Returns the decoded body of a result; fails the test on an error.
pub(crate) fn result_body(answer: &Value) -> String {
    let body = answer["result"]["body"]
        .as_str()
        .unwrap_or_else(|| panic!("no result: {answer}"));
    decode_base64(body)
}

/// Checks that a request failed, and was not rejected before it ran.
#[track_caller]
pub(crate) fn assert_failed(answer: &Value) {
    let code = error_code(answer);
    assert!(code != 0 && code != REJECTED, "{answer}");
}
