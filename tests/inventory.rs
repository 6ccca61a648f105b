//! Inventories as configuration tools keep them: what is read, and what stops the start.

mod doubles;

use std::path::Path;
use std::process::Command;

use doubles::{node_command, node_config, small_site_settings, ScratchFile};
use protocol_gateway::inventory::{read, InventoryError, Queue};
use protocol_gateway::node::Limits;
use protocol_gateway::wire::Site;

fn env(name: &str) -> Option<String> {
    (name == "PW").then(|| "secret".into())
}

fn load(name: &str, text: &str) -> Result<Vec<Queue>, InventoryError> {
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
fn yaml_groups_hosts_and_vars() {
    let queues = load("i.yaml", YAML).expect("an inventory");
    let of: Vec<_> = queues
        .iter()
        .map(|q| {
            (
                q.host.as_str(),
                q.port,
                q.vhost.as_str(),
                q.queue.as_str(),
                q.prefetch,
            )
        })
        .collect();
    assert_eq!(
        of,
        [
            ("127.0.0.2", 5673, "billing", "posts", 2),
            ("127.0.0.3", 5672, "/", "reads", 16),
            ("127.0.0.4", 5672, "/", "reads", 8),
        ]
    );
    assert_eq!(
        queues.iter().map(|q| q.once).collect::<Vec<_>>(),
        [true, false, false]
    );
    assert_eq!(queues[1].tenant.as_deref(), Some("alpenergia"));
    assert!(queues
        .iter()
        .all(|q| q.username == "guest" && q.password == "secret"));
    assert!(!format!("{queues:?}").contains("secret"));
}

#[test]
fn csv_rows() {
    let text = "queue,class,host,username,password_env,prefetch,tenant,colour\n\
                # the near one\n\
                reads,statement-read,127.0.0.3,guest,PW,16,alpenergia,blue\n\
                posts, settlement-post ,127.0.0.2,guest,PW,2,,\n";
    let queues = load("i.csv", text).expect("an inventory");
    assert_eq!(queues.len(), 2);
    assert_eq!(
        (queues[0].queue.as_str(), queues[0].prefetch),
        ("reads", 16)
    );
    assert_eq!(
        (queues[1].once, queues[1].tenant.as_deref(), queues[1].port),
        (true, None, 5672)
    );
}

/// Every fault names the line and the field.
#[test]
fn faults_name_the_line_and_the_field() {
    let swap = |from: &str, to: &str| {
        assert!(YAML.contains(from));
        load("i.yaml", &YAML.replacen(from, to, 1))
            .expect_err("a fault")
            .to_string()
    };
    let head = "queue,class,host,username,password_env,prefetch\n";
    let row = |row: &str| {
        load("i.csv", &format!("{head}{row}\n"))
            .expect_err("a fault")
            .to_string()
    };
    let cases = [
        (swap("          queue: posts\n", ""), ":12: queue: missing"),
        (swap("username: guest\n    ", ""), ": username: missing"),
        (
            swap("port: 5673", "port: 70000"),
            ":14: port: not a number from 1 to 65535",
        ),
        (
            swap("'16'", "0"),
            ":22: prefetch: not a number from 1 to 65535",
        ),
        (swap("'16'", "2000"), ":22: prefetch: more than 1024"),
        (
            swap("class: settlement-post", "class: nonsense"),
            ":9: class: no class named nonsense",
        ),
        (
            swap("tenant: alpenergia", "tenant: nobody"),
            ":21: tenant: no tenant named nobody",
        ),
        (
            swap("password_env: PW", "password_env: OTHER"),
            ":4: password_env: OTHER is not set",
        ),
        (
            swap("queue: posts", "queue: 007"),
            ":12: queue: not a text; quote it",
        ),
        (
            swap("vhost: billing", "queue: posts"),
            ":13: malformed: duplicated key",
        ),
        (
            swap("        far:", "        near:"),
            "malformed: duplicated key",
        ),
        (swap("127.0.0.4", "127.0.0.3"), ":23: queue: there twice"),
        (swap("all:", "all: ["), "malformed"),
        (
            swap(
                "    reads:\n      hosts:\n        near:",
                "    reads:\n      hosts: [x]\n      vars:\n        near:",
            ),
            "not a mapping",
        ),
        (row("reads,statement-read,h,guest,PW"), ":2: malformed"),
        (
            row("reads,statement-read,h,guest,PW,many"),
            ":2: prefetch: not a number",
        ),
        (row("reads,statement-read,h,,PW,4"), ":2: username: missing"),
        (
            row("a,statement-read,h,u,PW,4\na,statement-read,h,u,PW,4"),
            ":3: queue: there twice",
        ),
        (
            load("i.csv", "queue,queue\n")
                .expect_err("a fault")
                .to_string(),
            ":1: queue: there twice",
        ),
        (
            load("i.csv", head).expect_err("a fault").to_string(),
            "names no queue",
        ),
        (
            load("i.txt", "").expect_err("a fault").to_string(),
            "not named .csv, .yaml or .yml",
        ),
        (
            load("i.yaml", "all:\n").expect_err("a fault").to_string(),
            "names no queue",
        ),
    ];
    for (said, want) in cases {
        assert!(said.contains(want), "said {said}, wanted {want}");
    }
}

#[test]
fn the_example_under_deploy_fits_the_site() {
    let mut settings = small_site_settings();
    let lane = settings["lanes"][0].clone();
    settings["lanes"].as_array_mut().expect("lanes").push(lane);
    settings["lanes"][2]["name"] = "meter-refresh".into();
    for tenant in ["solpiana", "luce-brianza"] {
        let told = serde_json::json!({"name": tenant, "allowancePerS": 10.0});
        settings["tenants"]
            .as_array_mut()
            .expect("tenants")
            .push(told);
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

/// A bad inventory is one line on standard error and no start; so are arguments that are none.
#[test]
fn a_bad_inventory_stops_the_start() {
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
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        said.contains("i.yaml:1: class: missing") && said.lines().count() == 1,
        "{said}"
    );
    let output = Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
        .arg("--nonsense")
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
}
