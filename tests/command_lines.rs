//! The commands beside the node, as operators call them: what is said, on which stream, and how they end.

use std::path::PathBuf;
use std::process::{Command, Output};

struct Files(PathBuf);
impl Files {
    fn new(name: &str) -> Files {
        let dir = std::env::temp_dir().join(format!(
            "protocol-gateway-commands-{}-{name}",
            std::process::id()
        ));
        std::fs::create_dir_all(&dir).expect("a folder");
        Files(dir)
    }
    fn put(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}
impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
        .args(args)
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("it runs")
}
fn told(output: &Output) -> (bool, String, String) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
    (
        output.status.success(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// The files that stand in the repository: what the pages show must work.
const CELLS: &str = include_str!("../deploy/cells.json5");
const ROUTER: &str = include_str!("../deploy/router.json5");

#[test]
fn the_files_under_deploy_can_be_used() {
    let files = Files::new("deploy");
    let cells = files.put("cells.json5", CELLS);
    assert_eq!(
        told(&run(&["cells", "check", &cells])),
        (true, String::new(), String::new())
    );
    let (well, shown, _) = told(&run(&["cells", "show", &cells]));
    assert!(
        well && shown.lines().filter(|line| !line.starts_with(' ')).count() == 3,
        "{shown}"
    );
    let (well, shown, _) = told(&run(&["cells", "show", &cells, "--tenant", "solpiana"]));
    assert!(
        well && shown.starts_with("solpiana: cell oglio, nodes n"),
        "{shown}"
    );
    let router = files.put("router.json5", ROUTER);
    assert!(router::Config::read(router.as_ref()).is_ok());
}

/// Guards statement week: a plan says what would move, and changes nothing.
#[test]
fn a_plan_tells_what_would_move() {
    let files = Files::new("plan");
    let now = files.put("now.json5", CELLS);
    let same = files.put(
        "same.json5",
        &CELLS.replace("// Tenants that", "// Those that"),
    );
    let (well, plan, _) = told(&run(&["cells", "plan", &now, &same]));
    assert_eq!((well, plan.as_str()), (true, "0 of 4 tenants would move\n"));
    let pinned = CELLS.replace(
        "solpiana: { share: 32, cell: \"oglio\" }",
        "solpiana: { share: 32, cell: \"adda\" }",
    );
    assert_ne!(pinned, CELLS);
    let changed = files.put("changed.json5", &pinned);
    let (well, plan, _) = told(&run(&["cells", "plan", &now, &changed, "--all"]));
    assert!(
        well && plan.contains("tenant solpiana: oglio to adda\n"),
        "{plan}"
    );
    assert_eq!(std::fs::read_to_string(&now).expect("a file"), CELLS);
}

#[test]
fn what_can_not_be_done_is_one_line_and_a_non_zero_exit() {
    let files = Files::new("bad");
    let cells = files.put(
        "cells.json5",
        &CELLS.replace("cell: \"oglio\", weight", "cell: \"ogio\", weight"),
    );
    let router = files.put("router.json5", &ROUTER.replace("once: true", "once: maybe"));
    let missing = files.0.join("none.json5").display().to_string();
    let good = files.put("good.json5", CELLS);
    for (args, want) in [
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
        let (well, out, error) = told(&run(&args));
        assert!(
            !well && out.is_empty() && error.lines().count() == 1,
            "{args:?}: {error}"
        );
        assert!(
            error.starts_with("protocol-gateway: ") && error.contains(want),
            "{args:?}: {error}"
        );
    }
    // Words that are no command: how they are used, and 2.
    assert_eq!(run(&["cells", "sing"]).status.code(), Some(2));
    // Without a configuration there is no node.
    let (well, _, error) = told(&run(&[]));
    assert!(
        !well && error == "protocol-gateway: PROXY_CONFIG is not set\n",
        "{error}"
    );
}
