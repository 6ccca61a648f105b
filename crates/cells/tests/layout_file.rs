//! Tests of the operators' layout file: the layout it is parsed into, and the errors of invalid
//! files.

use cells::Layout;
use cells::Placement;

const VALID: &str = r#"// Cells of the test fleet.
{
  version: 1,
  shard: 2,
  cells: {
    valle: { neighbours: ["pianura"] },
    pianura: {},
  },
  nodes: {
    n1: { site: "bergamo-est", cell: "valle", address: "127.0.0.1:6565" },
    n2: { site: 'brescia-sud', cell: "valle", weight: 2 },
    n3: { site: "bergamo-est" },
    /* a comment
       over two lines */
    n4: { site: "brescia-sud" },
  },
  tenants: {
    alpenergia: { share: 34, cell: "valle" },
    "solpiana": { share: 32, split: 2 },
    vallesole: { share: 9 },
  },
}
"#;

/// A part of the valid file, its replacement, and the expected start of the error.
const INVALID_FILES: &[(&str, &str, &str)] = &[
    (
        "version: 1",
        "version: 2",
        "cells.json5:3: version: 2 is not supported, expected 1",
    ),
    ("shard: 2", "shard: -2", "cells.json5:4: shard: "),
    (
        "shard: 2",
        "slack: 11",
        "cells.json5:4: slack: is not from 0 to 10",
    ),
    (
        "shard: 2",
        "shards: 2",
        "cells.json5:4: shards: unknown field `shards`",
    ),
    (
        "[\"pianura\"]",
        "[\"monte\"]",
        "cells.json5:6: cells.valle.neighbours: there is no cell monte",
    ),
    (
        "[\"pianura\"]",
        "[\"valle\"]",
        "cells.json5:6: cells.valle.neighbours: a cell can't be its own neighbour",
    ),
    (
        "weight: 2",
        "weight: 0",
        "cells.json5:11: nodes.n2.weight: is not above 0 and at most 1000",
    ),
    (
        "n3: { site: \"bergamo-est\" }",
        "n3: { site: \"\" }",
        "cells.json5:12: nodes.n3.site: is empty",
    ),
    (
        "n3: { site: \"bergamo-est\" }",
        "n3: {}",
        "cells.json5:12: nodes.n3: missing field `site`",
    ),
    (
        "n4:",
        "n3:",
        "cells.json5:15: nodes.n3: is defined more than once",
    ),
    (
        "127.0.0.1:6565",
        "somewhere",
        "cells.json5:10: nodes.n1.address: ",
    ),
    (
        "n4: { site: \"brescia-sud\" }",
        "n4: { site: \"brescia-sud\", address: \"127.0.0.1:6565\" }",
        "cells.json5:15: nodes.n4.address: is also the address of node n1",
    ),
    (
        "cell: \"valle\", weight",
        "cell: \"vale\", weight",
        "cells.json5:11: nodes.n2.cell: there is no cell vale",
    ),
    (
        "share: 34",
        "share: 0",
        "cells.json5:18: tenants.alpenergia.share: is not above 0",
    ),
    (
        "split: 2",
        "split: 3",
        "cells.json5:19: tenants.solpiana.split: is not from 2 to 2, the number of cells",
    ),
    (
        "split: 2",
        "split: 2, cell: \"valle\"",
        "cells.json5:19: tenants.solpiana.split: can't be combined with `cell`",
    ),
    (
        "pianura: {},",
        "pianura: {}, monte: {}, colle: {},",
        "cells.json5:7: cells.pianura: cell pianura has no nodes",
    ),
    (
        "site: 'brescia-sud'",
        "site: 'bergamo-est'",
        "cells.json5:6: cells.valle: all nodes of cell valle are at site bergamo-est",
    ),
];

#[test]
fn valid_file_is_read_completely() {
    let layout = Layout::parse("cells.json5", VALID).expect("a layout");
    assert_eq!(
        (
            layout.shard_size,
            layout.slack,
            layout.cells.len(),
            layout.nodes.len()
        ),
        (2, 0.25, 2, 4)
    );
    assert_eq!(layout.tenants["solpiana"].placement, Placement::Split(2));
    assert_eq!(
        layout.tenants["alpenergia"].placement,
        Placement::Cell("valle".into())
    );
    assert_eq!(layout.nodes["n2"].weight, 2.0);
    assert_eq!(layout.nodes["n1"].address.map(|a| a.port()), Some(6565));
}

/// Operators correct a file under time pressure, so each error is one line that names file, line
/// and field.
#[test]
fn errors_name_file_line_and_field() {
    for (from, to, expected) in INVALID_FILES {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID, "the valid file does not contain {from}");
        let error = Layout::parse("cells.json5", &text)
            .map(|_| ())
            .expect_err(to)
            .to_string();
        assert!(
            error.starts_with(expected) && !error.contains('\n'),
            "{to}: {error}"
        );
    }
}

/// A file that is read while it is being written must give an error, and never a partial layout.
#[test]
fn truncated_file_is_rejected() {
    let end = VALID.rfind('}').expect("an end");
    for cut in (0..end).filter(|cut| VALID.is_char_boundary(*cut)) {
        let error = Layout::parse("cells.json5", &VALID[..cut])
            .expect_err("truncated")
            .to_string();
        assert!(error.starts_with("cells.json5"), "cut at {cut}: {error}");
    }
}
