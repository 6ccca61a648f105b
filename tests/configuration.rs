//! Configuration of a node: required fields, reload on SIGHUP, and sites with different settings.

#[path = "common/answers.rs"]
mod answers;

use answers::{error_code, result_body};
use serde_json::json;
use test_doubles::*;

const READ_CLASS: &str = "statement-read";
const POST_CLASS: &str = "settlement-post";

/// Guards against SIGHUP ending a serving node, as it once did. The node uses the new addresses,
/// runs continue over the new link without a notice lost or handled twice, and an invalid file
/// changes nothing.
#[test]
fn reload_changes_peer_addresses_without_ending_runs() {
    let node = Node::start();
    let mut client = node.connect();
    assert_eq!(
        result_body(&client.request(READ_CLASS, "serve")),
        "done serve"
    );
    client.send(POST_CLASS, "hang");
    wait_until("the run has started", || {
        node.executor.run_count("hang") == 1
    });
    let (database, list) = (FakeDatabase::start(), FakeEndpointList::start());
    let new_addresses = node_config(
        node.executor.open_second_address(),
        database.address,
        list.address,
    );
    node.reload(&new_addresses.to_string());
    wait_until("the executor is connected at its new address", || {
        node.executor.join_positions() == [0, 1]
    });
    wait_until(
        "the endpoint list has the report at its new address",
        || list.has_report("HB n3 UP"),
    );
    node.executor.finish_run("hang");
    assert_eq!(result_body(&client.read_message()), "late result");
    assert_eq!(
        result_body(&client.request(POST_CLASS, "call:ok#moved")),
        "rows for ok#moved"
    );
    assert_eq!(
        (
            database.call_count("ok#moved"),
            node.database.call_count("ok#moved")
        ),
        (1, 0)
    );
    node.reload("{ not a configuration");
    wait_until("the file is rejected", || {
        node.log()
            .contains("configuration rejected; previous one kept")
    });
    assert_eq!(
        result_body(&client.request(POST_CLASS, "call:ok#kept")),
        "rows for ok#kept"
    );
    assert_eq!(
        (
            database.call_count("ok#kept"),
            node.executor.join_positions().len()
        ),
        (1, 2)
    );
}

#[test]
fn unusable_configuration_prints_one_line_and_exits() {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let mut without_memory = node_config(unused, unused, unused);
    without_memory["limits"]["memory_mb"] = json!(0);
    let mut without_cores = node_config(unused, unused, unused);
    without_cores["settings"]["specifics"]["cores"] = json!(0);
    let mut without_database = node_config(unused, unused, unused);
    without_database
        .as_object_mut()
        .expect("an object")
        .remove("db");
    let cases = [
        ("{".to_string(), "configuration:"),
        (without_database.to_string(), "`db`"),
        (without_memory.to_string(), "limits.memory_mb"),
        (without_cores.to_string(), "settings name no cores"),
    ];
    for (text, expected_error) in cases {
        let file = ScratchFile::new("bad.json", &text);
        let output = node_command(&file).output().expect("the program starts");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success());
        assert!(
            stderr.contains(expected_error) && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}

/// Nodes of a site without a dependency, such as those of a second tier, start without a database
/// address.
#[test]
fn node_without_a_dependency_starts_without_a_database() {
    let mut node = Node::start_with(None, |config| {
        config.as_object_mut().expect("an object").remove("db");
        config["settings"]["specifics"]["dependsOn"] = json!("off");
        config["settings"]["specifics"]["classCalls"] = json!([false, false]);
    });
    let mut client = node.connect();
    assert_eq!(
        result_body(&client.request("statement-read", "serve")),
        "done serve"
    );
    // A call that a run requests nevertheless can't be made; its request is answered by its
    // deadline.
    assert!(error_code(&client.request("statement-read", "call:ok")) != 0);
    node.reload("{");
    assert_eq!(
        result_body(&client.request("settlement-post", "serve")),
        "done serve"
    );
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// An endpoint list that does not answer has no effect on the node, which serves and shuts down.
#[test]
fn silent_endpoint_list_does_not_affect_the_node() {
    // The socket is closed again, so no process listens at this address.
    let closed_address = std::net::UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("bind to loopback succeeds");
    let mut node = Node::start_with(None, |config| config["members"] = json!(closed_address));
    let mut client = node.connect();
    for _ in 0..20 {
        assert_eq!(
            result_body(&client.request("settlement-post", "serve")),
            "done serve"
        );
    }
    assert!(!node.endpoint_list.has_report("HB n3 UP"));
    assert_eq!(client.query_alive()["result"]["ready"], true);
    node.terminate();
    drop(client);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Two nodes with different classes, tenants and deadlines in one test: neither uses the settings
/// of the other.
#[test]
fn settings_of_one_site_do_not_leak_into_another() {
    let one = Node::start();
    let two = Node::start_with(None, |config| {
        config["settings"]["lanes"] = json!([{"name": "charge-card", "promise": 200.0, "deadline": 300.0,
            "effect": "once", "lateWorth": 0.0, "window": 0.0, "worth": 4.0}]);
        config["settings"]["tenants"] = json!([{"name": "ring-line", "allowancePerS": 5.0}]);
        config["settings"]["specifics"]["classCalls"] = json!([false]);
        config["settings"]["specifics"]["classSkipWorth"] = json!([0.0]);
        config["settings"]["specifics"]["say"] = json!("off");
    });
    let (mut at_one, mut at_two) = (one.connect(), two.connect());
    let t0 = unix_ms();
    at_two.send_with_fields(
        "charge-card",
        "hang",
        &json!({"acct": "ring-line", "t0": t0}),
    );
    at_one.send("statement-read", "hang");
    let answer = at_two.read_answer();
    assert!(
        error_code(&answer) != 0 && unix_ms() - t0 < 600,
        "{answer} after {} ms",
        unix_ms() - t0
    );
    // No capacity hint where the settings give none.
    assert!(
        answer["error"]["data"]["hint"].is_null()
            && at_two.query_alive()["result"]["hint"].is_null()
    );
    one.executor.finish_run("hang");
    assert_eq!(result_body(&at_one.read_answer()), "late result");
    assert!(!at_one.query_alive()["result"]["hint"].is_null());
    // Each rejects classes and tenants that only the settings of the other define.
    at_one.send_with_fields("charge-card", "serve", &json!({}));
    assert_eq!(error_code(&at_one.read_message()), -32601);
    let mut second_at_one = one.connect();
    second_at_one.send_with_fields("statement-read", "serve", &json!({"acct": "ring-line"}));
    assert_eq!(error_code(&second_at_one.read_message()), -32602);
    at_two.send_with_fields("statement-read", "serve", &json!({"acct": "ring-line"}));
    assert_eq!(error_code(&at_two.read_message()), -32601);
}
