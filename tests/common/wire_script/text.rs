//! The texts of a script: placeholders, escapes, and numbers that differ from run to run.

use test_doubles::unix_ms;

/// Difference between `$NOW` and `$EARLIER`.
const EARLIER_BY_MS: u64 = 700;
/// Texts that precede a number that differs from run to run.
const VARIABLE_NUMBER_PREFIXES: [&str; 5] = [
    "\"hint\":",
    "\"backoff\":",
    "\"echo\":\"",
    "Statement-Timeout-Ms: ",
    "Host: 127.0.0.1:",
];

/// Returns the text on one line, with `#` in place of numbers that differ from run to run.
pub(super) fn normalized(text: &str) -> String {
    let mut text = text.replace('\r', "\\r").replace('\n', "\\n");
    for prefix in VARIABLE_NUMBER_PREFIXES {
        let mut from = 0;
        while let Some(at) = text[from..].find(prefix).map(|at| from + at + prefix.len()) {
            let is_number_char = |c: char| c.is_ascii_digit() || ".e-".contains(c);
            let length = text[at..]
                .find(|c| !is_number_char(c))
                .unwrap_or(text.len() - at);
            if length > 0 {
                text.replace_range(at..at + length, "#");
            }
            from = at;
        }
    }
    text
}

/// Replaces the placeholders and escapes in a text of a script.
pub(super) fn to_bytes(text: &str) -> Vec<u8> {
    let now = unix_ms();
    let text = text
        .replace("$NOW", &now.to_string())
        .replace("$EARLIER", &(now - EARLIER_BY_MS).to_string());
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}
