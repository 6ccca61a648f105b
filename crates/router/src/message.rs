//! What the router reads of a message, and how it writes one on: it changes the number and nothing else.

use serde::Deserialize;
use serde_json::value::RawValue;

/// A request as it came.
#[derive(Deserialize)]
pub(crate) struct Call<'a> {
    #[serde(default)]
    jsonrpc: &'a str,
    #[serde(default)]
    pub id: Option<u64>,
    #[serde(default)]
    pub method: &'a str,
    #[serde(borrow, default)]
    pub params: Option<&'a RawValue>,
}

/// What the router needs of a request's fields; a node checks the rest.
#[derive(Deserialize)]
pub(crate) struct Fields<'a> {
    /// Unix milliseconds at which it came to the machine.
    pub t0: f64,
    pub acct: Option<&'a str>,
    pub obj: Option<&'a str>,
}

impl<'a> Call<'a> {
    /// Reads a line; none where it is no message of this protocol.
    pub(crate) fn read(line: &'a [u8]) -> Option<Call<'a>> {
        serde_json::from_slice(line)
            .ok()
            .filter(|call: &Call<'_>| call.jsonrpc == "2.0")
    }
    pub(crate) fn fields(&self) -> Option<Fields<'a>> {
        serde_json::from_str(self.params?.get()).ok()
    }
}

/// What a node said.
#[derive(Deserialize)]
pub(crate) struct Said<'a> {
    #[serde(default)]
    pub id: Option<u64>,
    #[serde(default)]
    pub method: Option<&'a str>,
    #[serde(borrow, default)]
    pub result: Option<&'a RawValue>,
    #[serde(borrow, default)]
    pub error: Option<&'a RawValue>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Told {
    pub ready: Option<bool>,
    pub hint: Option<f64>,
    #[serde(rename = "final")]
    pub last: Option<u8>,
}
#[derive(Deserialize)]
struct Fault {
    code: i64,
    #[serde(default)]
    data: Told,
}

/// The code of a refusal: the try never ran.
pub(crate) const REFUSED: i64 = -32002;

impl<'a> Said<'a> {
    pub(crate) fn read(line: &'a [u8]) -> Option<Said<'a>> {
        serde_json::from_slice(line).ok()
    }
    /// The error's code, if it is one, and what is told beside.
    pub(crate) fn told(&self) -> (Option<i64>, Told) {
        if let Some(error) = self.error {
            return match serde_json::from_str::<Fault>(error.get()) {
                Ok(fault) => (Some(fault.code), fault.data),
                Err(_) => (Some(0), Told::default()),
            };
        }
        let told = self
            .result
            .and_then(|result| serde_json::from_str(result.get()).ok());
        (None, told.unwrap_or_default())
    }
    /// The same answer under another number.
    pub(crate) fn under(&self, id: u64) -> String {
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

/// An error of the router's own.
pub(crate) fn error(id: Option<u64>, code: i64, message: &str, backoff: Option<u64>) -> String {
    let id = id.map_or("null".to_string(), |id| id.to_string());
    let data = backoff
        .map(|ms| format!(",\"data\":{{\"backoff\":{ms}}}"))
        .unwrap_or_default();
    let message = serde_json::to_string(message).unwrap_or_default();
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":{message}{data}}}}}\n")
}
