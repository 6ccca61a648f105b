//! Runs scenarios.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{Scenario, ScenarioError, ScenarioStep, StepError, ALL_PROCESSES, ROUTER_NAME};
use crate::error::TestbedError;
use crate::testbed::{ProcessPlan, Testbed};

impl Scenario {
    /// Runs the scenario with processes of the program. If `prints_events` is true, prints the
    /// events as lines of JSON. Returns the testbed in its final state.
    ///
    /// # Errors
    /// [`ScenarioError`] if a step or the testbed itself failed.
    pub fn run(&self, prints_events: bool) -> Result<Testbed, ScenarioError> {
        let mut testbed = self.set_up()?;
        if prints_events {
            testbed.print_events();
        }
        for (index, step) in self.steps.iter().enumerate() {
            run_step(&mut testbed, step).map_err(|source| ScenarioError::Step { index, source })?;
        }
        let errors = testbed.errors();
        if !errors.is_empty() {
            return Err(ScenarioError::Testbed(errors));
        }
        Ok(testbed)
    }

    fn set_up(&self) -> Result<Testbed, TestbedError> {
        let mut testbed = Testbed::new(self.seed)?;
        for number in 0..self.nodes {
            testbed.add_process(ProcessPlan::node(number))?;
        }
        if self.has_router {
            testbed.add_process(ProcessPlan {
                name: ROUTER_NAME.into(),
                ..ProcessPlan::node(0)
            })?;
        }
        let seeds: Vec<&str> = self.seeds.iter().map(String::as_str).collect();
        testbed.set_seeds(&seeds);
        Ok(testbed)
    }
}

fn run_step(testbed: &mut Testbed, step: &ScenarioStep) -> Result<(), StepError> {
    match step {
        ScenarioStep::Start(names) => start_processes(testbed, &expand_names(testbed, names))?,
        ScenarioStep::Kill(names) => for_each_process(testbed, names, Testbed::try_kill)?,
        ScenarioStep::ShutDown(names) => for_each_process(testbed, names, Testbed::try_shut_down)?,
        ScenarioStep::Pause(names) => for_each_process(testbed, names, Testbed::try_pause)?,
        ScenarioStep::Unpause(names) => for_each_process(testbed, names, Testbed::try_unpause)?,
        ScenarioStep::Quiesce(names) => call_admin(testbed, names, "quiesce")?,
        ScenarioStep::Resume(names) => call_admin(testbed, names, "resume")?,
        ScenarioStep::Partition(parts) => testbed.partition(parts),
        ScenarioStep::Block(from, to) => {
            testbed.block(&expand_names(testbed, from), &expand_names(testbed, to));
        }
        ScenarioStep::StallStreams(from, to) => {
            testbed.stall_streams(&expand_names(testbed, from), &expand_names(testbed, to));
        }
        ScenarioStep::CutStreams(from, to) => {
            testbed.cut_streams(&expand_names(testbed, from), &expand_names(testbed, to));
        }
        ScenarioStep::Links {
            loss,
            duplication,
            corruption,
            delay_ms,
        } => set_link_faults(testbed, [*loss, *duplication, *corruption], *delay_ms),
        ScenarioStep::Heal => testbed.heal(),
        ScenarioStep::WaitUntilConverged(timeout_ms) => {
            wait_until_converged(testbed, *timeout_ms)?;
        }
        ScenarioStep::WaitUntilSeen(observer, member, state, timeout_ms) => {
            wait_until_seen(testbed, observer, member, state, *timeout_ms)?;
        }
        ScenarioStep::SendRequests {
            count,
            max_failures,
            timeout_ms,
        } => send_requests(testbed, *count, *max_failures, *timeout_ms)?,
        ScenarioStep::Sleep(ms) => thread::sleep(Duration::from_millis(*ms)),
    }
    Ok(())
}

/// Returns the names of a step, or those of all processes if they contain `*`.
fn expand_names(testbed: &Testbed, names: &[String]) -> Vec<String> {
    if names.iter().any(|name| name == ALL_PROCESSES) {
        testbed.names()
    } else {
        names.to_vec()
    }
}

fn for_each_process(
    testbed: &mut Testbed,
    names: &[String],
    action: impl Fn(&mut Testbed, &str) -> Result<(), TestbedError>,
) -> Result<(), TestbedError> {
    for name in expand_names(testbed, names) {
        action(testbed, &name)?;
    }
    Ok(())
}

fn call_admin(testbed: &mut Testbed, names: &[String], command: &str) -> Result<(), TestbedError> {
    for_each_process(testbed, names, |testbed, name| {
        testbed.try_call_admin(name, command).map(drop)
    })
}

fn start_processes(testbed: &mut Testbed, names: &[String]) -> Result<(), TestbedError> {
    // The router's file contains the nodes, so it is started last.
    for name in names.iter().filter(|name| *name != ROUTER_NAME) {
        testbed.try_start(name)?;
    }
    if names.iter().any(|name| name == ROUTER_NAME) {
        testbed.try_start_router(ROUTER_NAME, true)?;
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    testbed.try_wait_until_up(&names)
}

fn set_link_faults(testbed: &mut Testbed, fractions: [f64; 3], delay_ms: (u64, u64)) {
    let [loss, duplication, corruption] = fractions;
    let what =
        json!({"loss": loss, "double": duplication, "garble": corruption, "delay_ms": delay_ms});
    let (min_ms, max_ms) = delay_ms;
    testbed.change_all_links(what, |faults| {
        faults.loss = loss;
        faults.duplication = duplication;
        faults.corruption = corruption;
        faults.delay = (Duration::from_millis(min_ms), Duration::from_millis(max_ms));
    });
}

fn wait_until_converged(testbed: &Testbed, timeout_ms: u64) -> Result<(), StepError> {
    let timeout = Duration::from_millis(timeout_ms);
    match testbed.wait_for("settled", timeout, Testbed::has_converged) {
        Some(_) => Ok(()),
        None => Err(StepError::NotReached(format!(
            "agreement of the members in {timeout_ms} ms"
        ))),
    }
}

fn wait_until_seen(
    testbed: &Testbed,
    observer: &str,
    member: &str,
    state: &str,
    timeout_ms: u64,
) -> Result<(), StepError> {
    testbed.try_node(observer)?;
    let is_seen = |testbed: &Testbed| {
        let Ok(Some(reply)) = testbed.try_query_members(observer) else {
            return false;
        };
        reply
            .members
            .iter()
            .any(|record| *record.name == *member && fleet_cli::state_name(record) == state)
    };
    let what = format!("{observer} sees {member} {state} in {timeout_ms} ms");
    match testbed.wait_for(&what, Duration::from_millis(timeout_ms), is_seen) {
        Some(_) => Ok(()),
        None => Err(StepError::NotReached(what)),
    }
}

fn send_requests(
    testbed: &Testbed,
    count: usize,
    max_failures: usize,
    timeout_ms: u64,
) -> Result<(), StepError> {
    let mut client = testbed.try_connect(ROUTER_NAME)?;
    let mut failures: Vec<Value> = Vec::new();
    for _ in 0..count {
        let started_at = Instant::now();
        let answer = client
            .try_request("statement-read", "serve:play")
            .map_err(TestbedError::process(ROUTER_NAME))?;
        let is_late = started_at.elapsed() > Duration::from_millis(timeout_ms);
        if !answer["result"].is_object() || is_late {
            failures.push(answer["error"]["message"].clone());
        }
    }
    testbed.record_event("served", json!({"asked": count, "failed": failures.len()}));
    if failures.len() > max_failures {
        return Err(StepError::NotReached(format!(
            "{} of {count} requests failed, at most {max_failures} may: {}",
            failures.len(),
            json!(failures)
        )));
    }
    Ok(())
}
