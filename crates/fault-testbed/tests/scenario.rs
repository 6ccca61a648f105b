//! Scenario files that are rejected, and scenarios whose steps can't be carried out.

use fault_testbed::scenario::{Scenario, ScenarioError, StepError};
use fault_testbed::TestbedError;

#[test]
fn errors_in_a_scenario_file_name_their_field_or_line() {
    let valid = "{ version: 1, nodes: 2, steps: [{ start: [\"*\"] }, { settled: 1000 }, \"heal\", { links: { loss: 0.5 } }] }";
    assert_eq!(
        Scenario::parse("f", valid)
            .expect("a valid scenario")
            .steps
            .len(),
        4
    );
    let cases = [
        (
            "version: 1",
            "version: 3",
            "f: version: 3 is not supported, expected 1",
        ),
        ("nodes: 2", "nodes: 1000", "f: nodes: is not from 1 to 64"),
        (
            "[\"*\"]",
            "[\"n2\"]",
            "f: steps[0]: n2 is not a process of this scenario",
        ),
        (
            "loss: 0.5",
            "loss: 5",
            "f: steps[3]: a fraction of loss, double or garble is not from 0 to 1",
        ),
    ];
    for (from, to, message) in cases {
        assert_eq!(
            Scenario::parse("f", &valid.replace(from, to))
                .expect_err(to)
                .to_string(),
            message
        );
    }
    let error = Scenario::parse("f", &valid.replace("start", "begin"))
        .expect_err("an unknown step")
        .to_string();
    assert!(
        error.starts_with("f:1:") && error.contains("begin"),
        "{error}"
    );
}

/// Guards `protocol-gateway faults` against panics: a step that can't be carried out is an error.
#[test]
fn a_step_on_a_process_that_is_not_running_is_an_error() {
    let steps = [
        "{ stop: [\"n0\"] }",
        "{ continue: [\"n0\"] }",
        "{ quiesce: [\"n0\"] }",
        "{ sees: [\"n0\", \"n0\", \"up\", 1] }",
        "{ served: { asked: 1, failed: 0, ms: 1000 } }",
    ];
    for step in steps {
        let text = format!("{{ version: 1, nodes: 1, router: true, steps: [{step}] }}");
        let scenario = Scenario::parse("f", &text).expect("a valid scenario");
        let Err(error) = scenario.run(false) else {
            panic!("{step} succeeded");
        };
        assert!(
            matches!(
                error,
                ScenarioError::Step {
                    index: 0,
                    source: StepError::Testbed(TestbedError::NotRunning(_))
                }
            ),
            "{step}: {error}"
        );
    }
}
