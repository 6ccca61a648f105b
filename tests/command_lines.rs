//! Commands of the program other than the node: output, the stream it is printed on, and exit code.

use std::path::PathBuf;
use std::process::{Command, Output};

/// A temporary folder that is removed when the value is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let dir = std::env::temp_dir().join(format!(
            "protocol-gateway-commands-{}-{name}",
            std::process::id()
        ));
        std::fs::create_dir_all(&dir).expect("the folder can be created");
        TestFolder(dir)
    }

    /// Writes a file and returns its path.
    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program with these arguments and waits for its end.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
        .args(args)
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("the program starts")
}

/// Returns whether a command succeeded, its standard output and its standard error.
fn summary(output: &Output) -> (bool, String, String) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("UTF-8 text");
    (
        output.status.success(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Example files of the repository, which operators start from.
const CELLS: &str = include_str!("../deploy/cells.json5");
const ROUTER: &str = include_str!("../deploy/router.json5");

#[test]
fn files_under_deploy_are_valid() {
    let folder = TestFolder::new("deploy");
    let cells = folder.write("cells.json5", CELLS);
    assert_eq!(
        summary(&run(&["cells", "check", &cells])),
        (true, String::new(), String::new())
    );
    let (succeeded, shown, _) = summary(&run(&["cells", "show", &cells]));
    assert!(
        succeeded && shown.lines().filter(|line| !line.starts_with(' ')).count() == 3,
        "{shown}"
    );
    let (succeeded, shown, _) = summary(&run(&["cells", "show", &cells, "--tenant", "solpiana"]));
    assert!(
        succeeded && shown.starts_with("solpiana: cell oglio, nodes n"),
        "{shown}"
    );
    let router = folder.write("router.json5", ROUTER);
    assert!(router::Config::read(router.as_ref()).is_ok());
}

/// A plan lists the tenants that would move, and changes no file.
#[test]
fn plan_lists_the_tenants_that_would_move() {
    let folder = TestFolder::new("plan");
    let now = folder.write("now.json5", CELLS);
    let same = folder.write(
        "same.json5",
        &CELLS.replace("// Tenants that", "// Those that"),
    );
    let (succeeded, plan, _) = summary(&run(&["cells", "plan", &now, &same]));
    assert_eq!(
        (succeeded, plan.as_str()),
        (true, "0 of 4 tenants would move\n")
    );
    let pinned = CELLS.replace(
        "solpiana: { share: 32, cell: \"oglio\" }",
        "solpiana: { share: 32, cell: \"adda\" }",
    );
    assert_ne!(pinned, CELLS);
    let changed = folder.write("changed.json5", &pinned);
    let (succeeded, plan, _) = summary(&run(&["cells", "plan", &now, &changed, "--all"]));
    assert!(
        succeeded && plan.contains("tenant solpiana: oglio to adda\n"),
        "{plan}"
    );
    assert_eq!(
        std::fs::read_to_string(&now).expect("the file is readable"),
        CELLS
    );
}

#[test]
fn failed_command_prints_one_line_and_exits_non_zero() {
    let folder = TestFolder::new("bad");
    let cells = folder.write(
        "cells.json5",
        &CELLS.replace("cell: \"oglio\", weight", "cell: \"ogio\", weight"),
    );
    let router = folder.write("router.json5", &ROUTER.replace("once: true", "once: maybe"));
    let missing = folder.0.join("none.json5").display().to_string();
    let good = folder.write("good.json5", CELLS);
    for (args, expected_error) in [
        (
            vec!["cells", "check", &cells],
            "nodes.n5.cell: there is no cell ogio",
        ),
        (vec!["cells", "check", &missing], "none.json5"),
        (
            vec!["cells", "show", &good, "--tenant", "nobody"],
            "no cell serves nobody",
        ),
        (vec!["route", &router], "router.json5"),
        (vec!["route", &missing], "none.json5"),
    ] {
        let (succeeded, out, error) = summary(&run(&args));
        assert!(
            !succeeded && out.is_empty() && error.lines().count() == 1,
            "{args:?}: {error}"
        );
        assert!(
            error.starts_with("protocol-gateway: ") && error.contains(expected_error),
            "{args:?}: {error}"
        );
    }
    // An unknown command prints the usage and exits with 2.
    assert_eq!(run(&["cells", "sing"]).status.code(), Some(2));
    // The node does not start without a configuration.
    let (succeeded, _, error) = summary(&run(&[]));
    assert!(
        !succeeded && error == "protocol-gateway: PROXY_CONFIG is not set\n",
        "{error}"
    );
}
