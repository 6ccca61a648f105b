//! The module stays a page that can be printed: the limits that the operators set.

#[test]
fn module_keeps_its_lines_and_columns() {
    let text = include_str!("../crates/policy/src/logic.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(
        lines < 1000,
        "logic.rs has {lines} lines that are not blank"
    );
    for (n, line) in text.lines().enumerate() {
        assert!(
            line.chars().count() <= 110,
            "line {} is wider than 110 columns",
            n + 1
        );
    }
}
