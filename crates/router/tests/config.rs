//! Tests of a router's configuration and of the error messages that operators see.
use router::Config;
use std::path::Path;

const CELLS: &str = "{ version: 1, slack: 1, cells: { a: {} }, nodes: { a0: { site: 's0', cell: 'a', address: '127.0.0.1:1' } }, \
                     tenants: { alpenergia: { cell: 'a' } } }";
const ROUTER: &str =
    "{ version: 1, listen: '127.0.0.1:0', cells: 'cells.json5', clients: 8, per_node: 64, \
                      classes: { 'statement-read': { once: false, deadline_ms: 3600000 } } }";

/// Reads a router's file and a cells file with these contents. In an error, `DIR` replaces the path
/// of the folder.
fn read(router: &str, cells: &str) -> Result<Config, String> {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let write = |file: &str, text: &str| std::fs::write(dir.path().join(file), text);
    write("router.json5", router).expect("the router's file is written");
    write("cells.json5", cells).expect("the cells file is written");
    let folder = dir.path().display().to_string();
    Config::read(&dir.path().join("router.json5"))
        .map_err(|e| e.to_string().replace(&folder, "DIR"))
}

#[test]
fn a_file_with_every_field_in_its_range_is_read() {
    let config = read(ROUTER, CELLS).expect("the configuration is valid");
    assert_eq!(
        (config.max_clients, config.max_connections_per_node),
        (8, 64)
    );
    let class = config.classes["statement-read"];
    assert!(class.is_idempotent);
    assert_eq!(class.deadline.as_secs(), 3600);
}

#[test]
fn errors_name_the_file_the_field_and_its_range() {
    for (valid, invalid, error) in [
        (
            "version: 1",
            "version: 2",
            "DIR/router.json5: version: 2 is not supported, expected 1",
        ),
        (
            "clients: 8",
            "clients: 7",
            "DIR/router.json5: clients: is not from 8 to 100000",
        ),
        (
            "per_node: 64",
            "per_node: 65",
            "DIR/router.json5: per_node: is not from 1 to 64",
        ),
        (
            "3600000",
            "3600001",
            "DIR/router.json5: classes.statement-read.deadline_ms: is not from 1 to 3600000",
        ),
        (
            "'cells.json5'",
            "'none.json5'",
            "DIR/none.json5: No such file or directory (os error 2)",
        ),
    ] {
        let text = ROUTER.replace(valid, invalid);
        assert_eq!(read(&text, CELLS).expect_err(invalid), error);
    }
    let without_address = CELLS.replace(", address: '127.0.0.1:1'", "");
    assert_eq!(
        read(ROUTER, &without_address).expect_err("no address"),
        "DIR/cells.json5: nodes.a0: has no address"
    );
}

#[test]
fn a_file_that_does_not_exist_is_named() {
    let error = Config::read(Path::new("none.json5")).expect_err("the file does not exist");
    assert_eq!(
        error.to_string(),
        "none.json5: No such file or directory (os error 2)"
    );
}
