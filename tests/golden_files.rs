//! The project's own JSON5 files and the file for the deployment: every key, the errors with their
//! positions, and the files under `deploy/`.

#[path = "common/golden.rs"]
mod golden;

use std::collections::BTreeMap;

use fault_testbed::scenario::Scenario;
use golden::{
    check_groups, data, program_name, root, run, Folder, ProgramOutcome, ADAPTER, PROGRAM,
};
use serde_json::Value;

#[test]
fn each_key_of_a_fleet_file_is_read_and_each_error_names_the_line() {
    check_groups("fleet_file.json");
}

#[test]
fn each_key_of_a_cells_file_is_read_and_each_error_names_line_and_field() {
    check_groups("cells_file.json");
}

#[test]
fn each_key_of_a_router_file_is_read_and_each_error_names_line_or_field() {
    check_groups("router_file.json");
}

#[test]
fn each_step_of_a_scenario_is_read() {
    let lines: Vec<String> = data("play.json");
    Scenario::parse("play.json5", &lines.join("\n")).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn each_error_in_a_scenario_names_line_or_step() {
    check_groups("play_faults.json");
}

#[test]
fn the_files_under_deploy_are_read_without_an_error() {
    let deploy = root().join("deploy");
    let folder = Folder::new();
    for (args, file) in [
        (["fleet", "check"], "fleet.json5"),
        (["cells", "check"], "cells.json5"),
    ] {
        let args = [
            args[0].into(),
            args[1].into(),
            deploy.join(file).display().to_string(),
        ];
        let success = ProgramOutcome {
            code: Some(0),
            out: String::new(),
            err: String::new(),
        };
        assert_eq!(run(&folder.0, &args, &BTreeMap::new()), success, "{file}");
        // Without an argument, the command reads the same file from `deploy` in the working folder.
        assert_eq!(run(root(), &args[..2], &BTreeMap::new()), success, "{file}");
    }
    let router = router::Config::read(&deploy.join("router.json5"));
    assert!(router.is_ok(), "{router:?}");
    let plays = std::fs::read_dir(deploy.join("plays")).expect("plays");
    let mut count = 0;
    for play in plays.map(|entry| entry.expect("a file").path()) {
        Scenario::read(&play).unwrap_or_else(|e| panic!("{e}"));
        count += 1;
    }
    assert!(count >= 2);
    // The inventory under deploy/ is valid for a site with its classes and tenants.
    check_groups("deploy_inventory.json");
}

/// Source paths may change. Keys, their types, the build and the commands that start the programs
/// may not.
#[test]
fn the_deployment_file_has_its_keys_and_existing_paths() {
    let want: BTreeMap<String, Value> = data("balancer.json");
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("a file");
    let read = |line: &str| {
        let (key, value) = line.split_once(" = ").expect("a key and a value");
        (
            key.to_string(),
            serde_json::from_str::<Value>(value).expect("a text or a list of texts"),
        )
    };
    let found: BTreeMap<String, Value> = text.lines().map(read).collect();
    assert_eq!(
        found.keys().collect::<Vec<_>>(),
        want.keys().collect::<Vec<_>>()
    );
    for (key, value) in &want {
        match value.as_str() {
            // `run` and `sim` name the programs that the workspace builds.
            Some(text) => {
                let text = text
                    .replace("PROGRAM", program_name(PROGRAM))
                    .replace("ADAPTER", program_name(ADAPTER));
                assert_eq!(found[key], text, "{key}");
            }
            None if key == "packages" => assert_eq!(found[key], *value),
            None => {
                let paths = found[key].as_array().expect("a list of paths");
                assert!(!paths.is_empty(), "{key}");
                for path in paths {
                    assert!(
                        root().join(path.as_str().expect("a path")).exists(),
                        "{key}: {path}"
                    );
                }
            }
        }
    }
}
