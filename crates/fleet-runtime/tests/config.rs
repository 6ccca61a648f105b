//! Parsing of the fleet file: defaults, and errors with file, line and field.

use std::time::Duration;

use fleet_runtime::Config;

const VALID: &str = r#"{
  version: 1,
  fleet: "padana", // a comment
  site: "bergamo-est",
  listen: "127.0.0.1:7946",
  seeds: ["127.0.0.1:7947"],
}"#;

#[test]
fn missing_fields_have_their_defaults() {
    let config = Config::parse("f", VALID).expect("a valid file");
    assert_eq!(
        (&*config.fleet, &*config.site, config.seeds.len()),
        ("padana", "bergamo-est", 1)
    );
    assert_eq!(config.settings, membership::Settings::default());
    let slow = VALID.replace("version: 1,", "version: 1, period_ms: 2000,");
    let slow = Config::parse("f", &slow).expect("a valid file").settings;
    assert_eq!(
        (slow.probe_interval, slow.probe_timeout),
        (Duration::from_secs(2), Duration::from_millis(480))
    );
}

#[test]
fn invalid_values_are_reported_with_file_line_and_field() {
    let cases = [
        (
            "version: 1",
            "version: 2",
            "fleet.json5:2: version: 2 is not supported, expected 1",
        ),
        (
            "\"padana\"",
            "\"\"",
            "fleet.json5:3: fleet: is not of 1 to 64 bytes",
        ),
        (
            "127.0.0.1:7946",
            "0.0.0.0:7946",
            "fleet.json5:5: listen: is the unspecified address, so advertise is required",
        ),
        (
            "127.0.0.1:7947",
            "127.0.0.1:0",
            "fleet.json5:6: seeds: 127.0.0.1:0 is not a valid destination",
        ),
        (
            "version: 1,",
            "version: 1,\n  period_ms: 1,",
            "fleet.json5:3: period_ms: 1 is not from 50 to 60000",
        ),
        (
            "version: 1,",
            "version: 1,\n  answer_ms: 400,",
            "fleet.json5:3: answer_ms: is more than a quarter of the period",
        ),
    ];
    for (from, to, expected) in cases {
        let error = Config::parse("fleet.json5", &VALID.replace(from, to)).expect_err(to);
        assert_eq!(error.to_string(), expected);
    }
    let error = Config::parse("fleet.json5", &VALID.replace("site:", "sight:"))
        .expect_err("an unknown field")
        .to_string();
    assert!(
        error.starts_with("fleet.json5:") && error.contains("sight"),
        "{error}"
    );
    assert!(
        Config::parse("fleet.json5", &VALID[..VALID.len() - 20]).is_err(),
        "a truncated file is accepted"
    );
}
