//! The servers that one adapter process hosts for the simulator.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use policy::{Event, Policy, Time};
use serde::Deserialize;
use serde_json::Value;

use super::actions::{ActionOut, BatchOut, GroupOut};
use super::events::{BatchIn, EventIn, GroupIn, SpawnIn};
use super::site::Site;

struct Server {
    policy: Policy,
    site: Site,
}

impl Server {
    fn start(message: &SpawnIn) -> Result<Server, String> {
        let site = Site::new(&message.settings);
        let policy = Policy::new(site.settings.clone(), message.seed).map_err(|e| e.to_string())?;
        Ok(Server { policy, site })
    }

    fn handle(&mut self, now: Time, events: &[Event]) -> Vec<ActionOut> {
        let mut actions = Vec::new();
        // A panic of the policy is reported to the simulator, and this process continues.
        let result = catch_unwind(AssertUnwindSafe(|| {
            self.policy.handle(now, events, &mut actions);
        }));
        match result {
            Ok(()) => actions.into_iter().map(ActionOut::from).collect(),
            Err(payload) => vec![ActionOut::InternalError {
                body_text: panic_message(&*payload),
            }],
        }
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text.clone();
    }
    match payload.downcast_ref::<&str>() {
        Some(text) => (*text).to_string(),
        None => "panic".into(),
    }
}

/// The servers hosted by one adapter process, by number.
#[derive(Default)]
pub struct Host {
    servers: BTreeMap<u64, Server>,
}

impl Host {
    /// Answers one line of events with one line of actions.
    ///
    /// # Errors
    /// A line that states the error in the events, and the server concerned.
    pub fn handle_line(&mut self, line: &str) -> Result<String, String> {
        let batch: BatchIn = serde_json::from_str(line)
            .map_err(|e| format!("{}{e}", malformed_server_prefix(line)))?;
        if !batch.t.is_finite() {
            return Err("the time is not a finite number".into());
        }
        let now = Time((batch.t * 1e3).round() as i64);
        let mut out = BatchOut {
            backends: Vec::new(),
        };
        for group in batch.backends {
            let backend_id = group.backend_id;
            let steps = self
                .handle_group(now, group)
                .map_err(|e| format!("backend {backend_id}: {e}"))?;
            if !steps.is_empty() {
                out.backends.push(GroupOut { backend_id, steps });
            }
        }
        serde_json::to_string(&out).map_err(|e| e.to_string())
    }

    fn handle_group(&mut self, now: Time, group: GroupIn) -> Result<Vec<ActionOut>, String> {
        let id = group.backend_id;
        let mut events = Vec::new();
        for event in group.events {
            match event {
                EventIn::Spawn(message) => {
                    self.servers.insert(id, Server::start(&message)?);
                    events.clear();
                }
                EventIn::Retire {} => {
                    self.servers.remove(&id);
                    events.clear();
                }
                event => {
                    let server = self.servers.get(&id);
                    let server = server.ok_or("event for an instance never started")?;
                    events.push(event.into_event(&server.site)?);
                }
            }
        }
        match self.servers.get_mut(&id) {
            Some(server) => Ok(server.handle(now, &events)),
            None => Ok(Vec::new()),
        }
    }
}

/// Returns an error prefix with the first server whose part of the line is malformed, or an empty
/// text if it can't be determined.
fn malformed_server_prefix(line: &str) -> String {
    let Ok(value) = serde_json::from_str::<Value>(line) else {
        return String::new();
    };
    let Some(groups) = value.get("backends").and_then(Value::as_array) else {
        return String::new();
    };
    let malformed = groups
        .iter()
        .find(|group| GroupIn::deserialize(*group).is_err());
    match malformed.and_then(|group| group.get("backendId")) {
        Some(id) => format!("backend {id}: "),
        None => String::new(),
    }
}
