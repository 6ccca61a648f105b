//! Reads and checks scenario files.

use std::path::Path;

use json5_errors::ConfigFileError;

use super::{Scenario, ScenarioError, ScenarioStep, ALL, MAX_NODES, ROUTER};

/// The version of the file's format.
const VERSION: u32 = 1;
/// The longest delay of a link, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// [`ScenarioError`] for a file that can't be read or used.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Ok(Scenario::parse(&path.display().to_string(), &text)?)
    }

    /// Parses the text of a scenario file, which errors call `file`.
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
        if self.version != VERSION {
            let message = format!("{} is not known here: {VERSION} is", self.version);
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
                return Err("asks a router, and the play has none".into());
            }
            _ => {}
        }
        let names = step.process_names();
        match names.into_iter().find(|name| !self.has_process(name)) {
            Some(name) => Err(format!("{name} is no node of this play")),
            None => Ok(()),
        }
    }

    /// Whether a name in a step stands for a process or for all.
    fn has_process(&self, name: &str) -> bool {
        name == ALL
            || (self.has_router && name == ROUTER)
            || (0..self.nodes).any(|number| name == format!("n{number}"))
    }
}

impl ScenarioStep {
    /// The names of processes in a step.
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

/// A field whose value can't be used.
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
        return Err("a part is not from 0 to 1".into());
    }
    let (min_ms, max_ms) = delay_ms;
    if min_ms > max_ms || max_ms > MAX_DELAY_MS {
        return Err(format!(
            "delay_ms is not two times, the lesser first, up to {MAX_DELAY_MS}"
        ));
    }
    Ok(())
}
