//! Records the events of a run.

use std::fmt;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use serde_json::{json, Value};

use crate::error::lock;

/// The events of a run, each with the time since its start in milliseconds.
pub(super) struct Timeline {
    started_at: Instant,
    events: Mutex<Vec<Value>>,
    prints_events: bool,
    print_error: Mutex<Option<String>>,
}

impl Timeline {
    pub(super) fn new() -> Timeline {
        Timeline {
            started_at: Instant::now(),
            events: Mutex::default(),
            prints_events: false,
            print_error: Mutex::default(),
        }
    }

    pub(super) fn print_events(&mut self) {
        self.prints_events = true;
    }

    pub(super) fn record(&self, event: &str, what: Value) {
        let ms = self.started_at.elapsed().as_millis() as u64;
        let mut line = json!({"ms": ms, "event": event});
        line["what"] = what;
        if self.prints_events {
            if let Err(error) = writeln!(std::io::stdout(), "{line}") {
                lock(&self.print_error).get_or_insert(format!("printing the events: {error}"));
            }
        }
        lock(&self.events).push(line);
    }

    /// Returns the first error that occurred while events were printed, if any.
    pub(super) fn print_error(&self) -> Option<String> {
        lock(&self.print_error).clone()
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in lock(&self.events).iter() {
            writeln!(f, "{event}")?;
        }
        Ok(())
    }
}
