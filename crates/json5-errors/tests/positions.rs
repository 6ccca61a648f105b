//! The lines and fields that errors in JSON5 files report.

use json5_errors::{line_starting_with, ConfigFileError, DuplicateField, FieldPositions};

const TEXT: &str = r#"{
  // cells: a comment is no field
  version: 1, /* over
  two lines: */ "slack": 0.5,
  cells: {
    'north east': {
      neighbours: ["south", "west"],
    },
    south: { neighbours: [] },
  },
}"#;

#[test]
fn nested_fields_have_the_line_on_which_they_begin() {
    let positions = FieldPositions::scan(TEXT);
    assert_eq!(positions.line(&["version"]), Some(3));
    assert_eq!(positions.line(&["slack"]), Some(4));
    assert_eq!(
        positions.line(&["cells", "north east", "neighbours"]),
        Some(7)
    );
    assert_eq!(positions.line(&["cells", "south", "neighbours"]), Some(9));
    assert_eq!(positions.line(&["two lines"]), None);
}

#[test]
fn a_missing_field_has_the_line_of_the_object_around_it() {
    let positions = FieldPositions::scan(TEXT);
    assert_eq!(positions.line(&["cells", "north east", "weight"]), Some(6));
    assert_eq!(positions.line(&["cells", "west"]), Some(5));
    assert_eq!(positions.line(&["nodes"]), None);
}

#[test]
fn the_field_before_a_line_is_the_last_and_innermost() {
    let positions = FieldPositions::scan(TEXT);
    assert_eq!(positions.field_before(1), "");
    assert_eq!(positions.field_before(5), "cells");
    assert_eq!(positions.field_before(8), "cells.north east.neighbours");
    assert_eq!(positions.field_before(9), "cells.south.neighbours");
}

#[test]
fn the_first_duplicate_of_an_object_is_found() {
    assert_eq!(FieldPositions::scan(TEXT).duplicate(), None);
    let text = "{\n  a: { x: 1 },\n  b: { x: 2,\n    x: 3 },\n  a: {},\n}";
    let duplicate = DuplicateField {
        field: "b.x".into(),
        line: 4,
    };
    assert_eq!(FieldPositions::scan(text).duplicate(), Some(&duplicate));
}

#[test]
fn escapes_in_strings_end_neither_the_string_nor_the_count_of_lines() {
    let text = "{\n  a: \"x\\\"y: \\\n z\",\n  b: 'it: {',\n  c: 1 }";
    let positions = FieldPositions::scan(text);
    assert_eq!(positions.line(&["b"]), Some(4));
    assert_eq!(positions.line(&["c"]), Some(5));
    assert_eq!(positions.line(&["it"]), None);
}

#[test]
fn a_flat_field_has_the_first_line_that_begins_with_its_name() {
    let text = "{\n  version: 1,\n  \"fleet\": 'a',\n}";
    assert_eq!(line_starting_with(text, "fleet"), Some(3));
    assert_eq!(line_starting_with(text, "site"), None);
    assert_eq!(line_starting_with("{ fleet: 'a' }", "fleet"), None);
}

#[test]
fn errors_are_displayed_as_one_line_without_unknown_parts() {
    let mut error = ConfigFileError {
        file: "f.json5".into(),
        line: Some(3),
        field: "a.b".into(),
        message: "is empty".into(),
    };
    assert_eq!(error.to_string(), "f.json5:3: a.b: is empty");
    error.line = None;
    assert_eq!(error.to_string(), "f.json5: a.b: is empty");
    error.field.clear();
    assert_eq!(error.to_string(), "f.json5: is empty");
}

#[test]
fn parse_errors_name_their_line_and_the_field_before_it() {
    let text = "{\n  a: {\n    b: [1, oh],\n  },\n}";
    let error = json5::from_str::<Vec<u8>>(text).expect_err("not JSON5");
    let line = error.position().map(|position| position.line + 1);
    let plain = ConfigFileError::from_json5("f", &error);
    assert_eq!((plain.line, plain.field.as_str()), (line, ""));
    assert_eq!(plain.message, error.to_string());

    let positions = FieldPositions::scan(text);
    let with_field = ConfigFileError::from_json5_with_field("f", &error, &positions);
    assert_eq!(with_field.line, line);
    assert_eq!(
        with_field.field,
        positions.field_before(line.expect("a position"))
    );
    assert!(!with_field.message.contains(" at line "));
    assert!(plain.message.starts_with(&with_field.message));
}
