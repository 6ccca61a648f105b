//! Reads and checks scenario files.

use std::path::Path;

use json5_errors::ConfigFileError;

use super::{Scenario, ScenarioError, ScenarioStep, ALL_PROCESSES, MAX_NODES, ROUTER_NAME};

/// The supported version of the file format.
const FORMAT_VERSION: u32 = 1;
/// Maximum delay of a link, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// [`ScenarioError`] if the file can't be read or is invalid.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Ok(Scenario::parse(&path.display().to_string(), &text)?)
    }

    /// Parses the text of a scenario file. `file` is the file's name in errors.
    ///
    /// # Errors
    /// The first error, with its line or field.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ConfigFileError> {
        let scenario: Scenario =
            json5::from_str(text).map_err(|error| ConfigFileError::from_json5(file, &error))?;
        scenario
            .check()
            .map_err(|InvalidField { field, message }| ConfigFileError {
                file: file.into(),
                line: None,
                field,
                message,
            })?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), InvalidField> {
        if self.version != FORMAT_VERSION {
            let message = format!(
                "{} is not supported, expected {FORMAT_VERSION}",
                self.version
            );
            return Err(InvalidField::new("version", message));
        }
        if !(1..=MAX_NODES).contains(&self.nodes) {
            let message = format!("is not from 1 to {MAX_NODES}");
            return Err(InvalidField::new("nodes", message));
        }
        for (index, step) in self.steps.iter().enumerate() {
            self.check_step(step)
                .map_err(|message| InvalidField::new(format!("steps[{index}]"), message))?;
        }
        Ok(())
    }

    fn check_step(&self, step: &ScenarioStep) -> Result<(), String> {
        match step {
            ScenarioStep::Links {
                loss,
                duplication,
                corruption,
                delay_ms,
            } => check_links([*loss, *duplication, *corruption], *delay_ms)?,
            ScenarioStep::SendRequests { .. } if !self.has_router => {
                return Err("sends requests to a router, but the scenario has none".into());
            }
            _ => {}
        }
        let names = step.process_names();
        match names.into_iter().find(|name| !self.has_process(name)) {
            Some(name) => Err(format!("{name} is not a process of this scenario")),
            None => Ok(()),
        }
    }

    /// Returns true if a name in a step is that of a process or the wildcard for all.
    fn has_process(&self, name: &str) -> bool {
        name == ALL_PROCESSES
            || (self.has_router && name == ROUTER_NAME)
            || (0..self.nodes).any(|number| name == format!("n{number}"))
    }
}

impl ScenarioStep {
    /// Returns the names of processes in a step.
    fn process_names(&self) -> Vec<&String> {
        match self {
            ScenarioStep::Start(names)
            | ScenarioStep::Kill(names)
            | ScenarioStep::ShutDown(names)
            | ScenarioStep::Pause(names)
            | ScenarioStep::Unpause(names)
            | ScenarioStep::Quiesce(names)
            | ScenarioStep::Resume(names) => names.iter().collect(),
            ScenarioStep::Partition(parts) => parts.iter().flatten().collect(),
            ScenarioStep::Block(from, to)
            | ScenarioStep::StallStreams(from, to)
            | ScenarioStep::CutStreams(from, to) => from.iter().chain(to).collect(),
            ScenarioStep::WaitUntilSeen(observer, member, ..) => vec![observer, member],
            ScenarioStep::Links { .. }
            | ScenarioStep::Heal
            | ScenarioStep::WaitUntilConverged(_)
            | ScenarioStep::SendRequests { .. }
            | ScenarioStep::Sleep(_) => vec![],
        }
    }
}

/// A field with an invalid value.
struct InvalidField {
    field: String,
    message: String,
}

impl InvalidField {
    fn new(field: impl Into<String>, message: String) -> InvalidField {
        InvalidField {
            field: field.into(),
            message,
        }
    }
}

fn check_links(fractions: [f64; 3], delay_ms: (u64, u64)) -> Result<(), String> {
    if fractions.iter().any(|f| !(0.0..=1.0).contains(f)) {
        return Err("a fraction of loss, double or garble is not from 0 to 1".into());
    }
    let (min_ms, max_ms) = delay_ms;
    if min_ms > max_ms || max_ms > MAX_DELAY_MS {
        return Err(format!(
            "delay_ms is not a minimum and a maximum, in this order, of at most {MAX_DELAY_MS}"
        ));
    }
    Ok(())
}
