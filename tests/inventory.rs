//! Inventories in YAML and CSV: how they are parsed, and which errors stop the start of a node.

use std::path::Path;
use std::process::Command;

use protocol_gateway::inventory::{read, BrokerQueue, InventoryError};
use protocol_gateway::node::Limits;
use protocol_gateway::wire::Site;
use test_doubles::{node_command, node_config, small_site_settings, ScratchFile};

fn env(name: &str) -> Option<String> {
    (name == "PW").then(|| "secret".into())
}

fn load(name: &str, text: &str) -> Result<Vec<BrokerQueue>, InventoryError> {
    let site = Site::from_json(&small_site_settings()).expect("settings");
    read(
        ScratchFile::new(name, text).path(),
        &site,
        &Limits::new(1024),
        env,
    )
}

const YAML: &str = "\
all:
  vars:
    username: guest
    password_env: PW
    ansible_user: root
    prefetch: 8
  children:
    posts:
      vars: {class: settlement-post, prefetch: 2}
      hosts:
        127.0.0.2:
          queue: posts
          vhost: billing
          port: 5673
    reads:
      hosts:
        near:
          ansible_host: 127.0.0.3
          queue: reads
          class: statement-read
          tenant: alpenergia
          prefetch: '16'
        far: {host: 127.0.0.4, queue: reads, class: statement-read}
";

#[test]
fn yaml_groups_hosts_and_vars_become_queues() {
    let queues = load("i.yaml", YAML).expect("an inventory");
    let addresses: Vec<_> = queues
        .iter()
        .map(|q| {
            (
                q.host.as_str(),
                q.port,
                q.vhost.as_str(),
                q.name.as_str(),
                q.prefetch,
            )
        })
        .collect();
    assert_eq!(
        addresses,
        [
            ("127.0.0.2", 5673, "billing", "posts", 2),
            ("127.0.0.3", 5672, "/", "reads", 16),
            ("127.0.0.4", 5672, "/", "reads", 8),
        ]
    );
    assert_eq!(
        queues.iter().map(|q| q.is_idempotent).collect::<Vec<_>>(),
        [false, true, true]
    );
    assert_eq!(queues[1].tenant.as_deref(), Some("alpenergia"));
    assert!(queues
        .iter()
        .all(|q| q.username == "guest" && q.password == "secret"));
    assert!(!format!("{queues:?}").contains("secret"));
}

#[test]
fn csv_rows_become_queues() {
    let text = "queue,class,host,username,password_env,prefetch,tenant,colour\n\
                # the near one\n\
                reads,statement-read,127.0.0.3,guest,PW,16,alpenergia,blue\n\
                posts, settlement-post ,127.0.0.2,guest,PW,2,,\n";
    let queues = load("i.csv", text).expect("an inventory");
    assert_eq!(queues.len(), 2);
    assert_eq!((queues[0].name.as_str(), queues[0].prefetch), ("reads", 16));
    assert_eq!(
        (
            queues[1].is_idempotent,
            queues[1].tenant.as_deref(),
            queues[1].port
        ),
        (false, None, 5672)
    );
}

const CSV_HEADER: &str = "queue,class,host,username,password_env,prefetch\n";

/// Returns the error of an invalid inventory.
fn load_error(name: &str, text: &str) -> String {
    load(name, text).expect_err("an error").to_string()
}

/// Returns the error of the YAML inventory with one text replaced.
fn yaml_error(from: &str, to: &str) -> String {
    assert!(YAML.contains(from));
    load_error("i.yaml", &YAML.replacen(from, to, 1))
}

/// Returns the error of a CSV inventory with these rows.
fn csv_error(rows: &str) -> String {
    load_error("i.csv", &format!("{CSV_HEADER}{rows}\n"))
}

/// Checks that each error contains its expected text.
fn check_errors(cases: &[(String, &str)]) {
    for (error, expected) in cases {
        assert!(error.contains(expected), "got {error}, expected {expected}");
    }
}

/// Each error in a value names the line and the field.
#[test]
fn errors_in_yaml_values_name_the_line_and_the_field() {
    check_errors(&[
        (
            yaml_error("          queue: posts\n", ""),
            ":12: queue: missing",
        ),
        (
            yaml_error("username: guest\n    ", ""),
            ": username: missing",
        ),
        (
            yaml_error("port: 5673", "port: 70000"),
            ":14: port: not a number from 1 to 65535",
        ),
        (
            yaml_error("'16'", "0"),
            ":22: prefetch: not a number from 1 to 65535",
        ),
        (yaml_error("'16'", "2000"), ":22: prefetch: more than 1024"),
        (
            yaml_error("class: settlement-post", "class: nonsense"),
            ":9: class: no class named nonsense",
        ),
        (
            yaml_error("tenant: alpenergia", "tenant: nobody"),
            ":21: tenant: no tenant named nobody",
        ),
        (
            yaml_error("password_env: PW", "password_env: OTHER"),
            ":4: password_env: OTHER is not set",
        ),
        (
            yaml_error("queue: posts", "queue: 007"),
            ":12: queue: not a string; quote it",
        ),
        (
            yaml_error("127.0.0.4", "127.0.0.3"),
            ":23: queue: occurs twice",
        ),
    ]);
}

/// Text that is not valid YAML or has another structure is reported.
#[test]
fn errors_in_the_structure_of_yaml_are_reported() {
    check_errors(&[
        (
            yaml_error("vhost: billing", "queue: posts"),
            ":13: malformed: duplicated key",
        ),
        (
            yaml_error("        far:", "        near:"),
            "malformed: duplicated key",
        ),
        (yaml_error("all:", "all: ["), "malformed"),
        (
            yaml_error(
                "    reads:\n      hosts:\n        near:",
                "    reads:\n      hosts: [x]\n      vars:\n        near:",
            ),
            "not a mapping",
        ),
    ]);
}

/// Each error in a row names the line and, if there is one, the field.
#[test]
fn errors_in_csv_rows_name_the_line_and_the_field() {
    check_errors(&[
        (
            csv_error("reads,statement-read,h,guest,PW"),
            ":2: malformed",
        ),
        (
            csv_error("reads,statement-read,h,guest,PW,many"),
            ":2: prefetch: not a number",
        ),
        (
            csv_error("reads,statement-read,h,,PW,4"),
            ":2: username: missing",
        ),
        (
            csv_error("a,statement-read,h,u,PW,4\na,statement-read,h,u,PW,4"),
            ":3: queue: occurs twice",
        ),
    ]);
}

/// Files without queues, with a repeated column or with an unknown extension are reported.
#[test]
fn errors_in_the_whole_file_are_reported() {
    check_errors(&[
        (
            load_error("i.csv", "queue,queue\n"),
            ":1: queue: occurs twice",
        ),
        (load_error("i.csv", CSV_HEADER), "names no queue"),
        (load_error("i.txt", ""), "not named .csv, .yaml or .yml"),
        (load_error("i.yaml", "all:\n"), "names no queue"),
    ]);
}

/// Guards against `review/9`: a half-written file whose last name is cut off was taken for good.
#[test]
fn a_file_that_ends_within_a_line_is_rejected() {
    const CSV_ROWS: &str = "reads,statement-read,h,u,PW,4\nposts,settlement-post,h,u,PW,16\n";
    let csv = format!("{CSV_HEADER}{CSV_ROWS}");
    for (name, text) in [("i.yaml", YAML), ("i.csv", csv.as_str())] {
        load(name, text).expect("the whole file is valid");
        let cuts_within_lines = (1..text.len()).filter(|length| !text[..*length].ends_with('\n'));
        for length in cuts_within_lines {
            let result = load(name, &text[..length]);
            assert!(result.is_err(), "{name} taken with {length} bytes");
        }
    }
    let cut = csv.strip_suffix("6\n").expect("the last digits");
    let expected = ":3: no line break at the end of the file, which may be half-written";
    assert!(load_error("i.csv", cut).contains(expected));
}

#[test]
fn the_example_under_deploy_is_valid_for_its_site() {
    let mut settings = small_site_settings();
    let class = settings["lanes"][0].clone();
    settings["lanes"].as_array_mut().expect("lanes").push(class);
    settings["lanes"][2]["name"] = "meter-refresh".into();
    for tenant in ["solpiana", "luce-brianza"] {
        let tenant = serde_json::json!({"name": tenant, "allowancePerS": 10.0});
        settings["tenants"]
            .as_array_mut()
            .expect("tenants")
            .push(tenant);
    }
    let site = Site::from_json(&settings).expect("settings");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/inventory.yaml");
    assert_eq!(
        read(&file, &site, &Limits::new(1024), |_| Some("pw".into()))
            .expect("an inventory")
            .len(),
        4
    );
}

/// An invalid inventory stops the start with one line on standard error, and unknown arguments stop
/// it as well.
#[test]
fn an_invalid_inventory_or_argument_stops_the_start() {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let config = ScratchFile::new(
        "config.json",
        &node_config(unused, unused, unused).to_string(),
    );
    let inventory = ScratchFile::new("i.yaml", "all: {hosts: {a: {queue: q}}}");
    let output = node_command(&config)
        .arg("--inventory")
        .arg(inventory.path())
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr.contains("i.yaml:1: class: missing") && stderr.lines().count() == 1,
        "{stderr}"
    );
    let output = Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
        .arg("--nonsense")
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
}
