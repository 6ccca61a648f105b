//! The node's configuration file, its `PROXY_*` variables and the inventory: every key and
//! variable, and the errors.

#[path = "common/golden.rs"]
mod golden;

use std::net::TcpListener;

use golden::check_groups;
use serde_json::json;
use test_doubles::{node_command, wait_until, FakePeers, Node, ScratchFile};

#[test]
fn each_key_of_the_configuration_is_read_and_each_error_is_one_line() {
    check_groups("config.json");
}

#[test]
fn each_variable_of_the_inventory_is_read_and_each_error_names_line_and_field() {
    check_groups("inventory.json");
}

#[test]
fn the_variable_for_the_admin_address_overrides_the_file() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let peers = FakePeers::start();
    let mut config = peers.node_config();
    config["admin"] = json!(occupied.local_addr().expect("bound"));
    let file = ScratchFile::new("config.json", &config.to_string());
    let mut command = node_command(&file);
    command.env("PROXY_ADMIN", "127.0.0.1:0");
    let node = Node::spawn_command(command, peers, file);
    wait_until("the admin address of the variable is in use", || {
        node.logged_address("admin").is_some()
    });
}
