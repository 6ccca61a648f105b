//! Checks that `deploy/balancer.toml` lists all files of the policy that make decisions, for the
//! bench, and that each of them is short enough to be read in one go.

use std::fs;
use std::path::{Path, PathBuf};

/// Each file that makes decisions has fewer lines than this. The operators have withdrawn their
/// limit on all of them together.
const LINE_LIMIT: usize = 400;
const MAX_COLUMNS: usize = 110;

/// Parts of the crate that make no decisions: exports, public types and plain statistics.
const WITHOUT_DECISIONS: [&str; 3] = ["lib.rs", "interface", "statistics"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files that `policy` in `deploy/balancer.toml` lists, relative to the repository.
fn listed_files() -> Vec<String> {
    let text =
        fs::read_to_string(repository().join("deploy/balancer.toml")).expect("balancer.toml is readable");
    let (_, list) = text.split_once("\npolicy = [").expect("balancer.toml lists the policy's files");
    let (list, _) = list.split_once(']').expect("the list of files is closed");
    list.split('"').skip(1).step_by(2).map(str::to_string).collect()
}

#[test]
fn decision_files_stay_below_the_limits_of_lines_and_columns() {
    for file in listed_files() {
        let text = fs::read_to_string(repository().join(&file)).expect("a listed file is readable");
        let lines = text.lines().count();
        assert!(lines < LINE_LIMIT, "{file} has {lines} lines");
        for (index, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{file}:{} has {columns} columns", index + 1);
        }
    }
}

#[test]
fn every_file_outside_interface_and_statistics_is_listed() {
    let directory = repository().join("crates/policy/src");
    let mut decision_files = Vec::new();
    for entry in fs::read_dir(directory).expect("the crate has sources") {
        let name = entry
            .expect("the directory is readable")
            .file_name()
            .into_string()
            .expect("file names are UTF-8");
        if !WITHOUT_DECISIONS.contains(&name.as_str()) {
            decision_files.push(format!("crates/policy/src/{name}"));
        }
    }
    decision_files.sort();
    let mut listed = listed_files();
    listed.sort();
    assert_eq!(listed, decision_files);
}
