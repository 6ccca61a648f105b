//! Starts nodes with the configurations that tests need.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{json, Value};

use super::{FakePeers, Node};
use crate::command::node_command;
use crate::database::FakeDatabase;
use crate::endpoint_list::FakeEndpointList;
use crate::error::{expect_ok, TestDoubleError};
use crate::executor::FakeExecutor;
use crate::scratch_file::ScratchFile;
use crate::settings::node_config;
use crate::waiting::{lock_state, wait_until};

impl FakePeers {
    /// Starts all test doubles; panics if the operating system provides no socket.
    pub fn start() -> FakePeers {
        FakePeers {
            executor: FakeExecutor::start(),
            database: FakeDatabase::start(),
            endpoint_list: FakeEndpointList::start(),
        }
    }

    /// Returns the configuration of a node that uses these peers.
    pub fn node_config(&self) -> Value {
        node_config(
            self.executor.address,
            self.database.address,
            self.endpoint_list.address,
        )
    }
}

impl Node {
    /// Starts a node and waits until it is ready. This and the other functions without `try_` panic
    /// if the node does not start.
    pub fn start() -> Node {
        Node::start_with(None, |_| {})
    }

    /// Starts a node with a changed configuration and an optional inventory of brokers, and waits
    /// until it is ready, as [`Node::start_with_cells`] does.
    pub fn start_with(inventory: Option<&ScratchFile>, change: impl FnOnce(&mut Value)) -> Node {
        Node::start_with_cells(inventory, None, change)
    }

    /// Starts a node with a changed configuration, an optional inventory of brokers and an optional
    /// cells file. Waits until the node is ready, or only until it listens if the configuration
    /// names another executor.
    pub fn start_with_cells(
        inventory: Option<&ScratchFile>,
        cells: Option<&ScratchFile>,
        change: impl FnOnce(&mut Value),
    ) -> Node {
        let peers = FakePeers::start();
        let mut config = peers.node_config();
        change(&mut config);
        let file = ScratchFile::new("config.json", &config.to_string());
        let mut command = node_command(&file);
        if let Some(inventory) = inventory {
            command
                .arg("--inventory")
                .arg(inventory.path())
                .env("TEST_AMQP_PASSWORD", "guest");
        }
        if let Some(cells) = cells {
            command.arg("--cells").arg(cells.path());
        }
        let mut node = Node::spawn_command(command, peers, file);
        node.wait_until_listening();
        // With another executor, the test itself waits for the state that it needs.
        if config["executor"] == json!(node.executor.address) {
            node.wait_until_ready();
        }
        node
    }

    /// Starts a node in the fleet of this file, and waits until the node is ready.
    pub fn start_in_fleet(fleet: &ScratchFile) -> Node {
        let peers = FakePeers::start();
        let file = ScratchFile::new("config.json", &peers.node_config().to_string());
        let mut command = node_command(&file);
        command.arg("--fleet").arg(fleet.path());
        let mut node = Node::spawn_command(command, peers, file);
        node.wait_until_listening();
        node.wait_until_ready();
        node
    }

    /// Starts a node with a changed configuration that may fail to start; does not wait for it.
    pub fn spawn(change: impl FnOnce(&mut Value)) -> Node {
        let peers = FakePeers::start();
        let mut config = peers.node_config();
        change(&mut config);
        let file = ScratchFile::new("config.json", &config.to_string());
        Node::spawn_command(node_command(&file), peers, file)
    }

    /// Starts a second process of this node next to the first, with its own executor and admin
    /// server.
    #[must_use]
    pub fn start_replacement(&self) -> Node {
        self.start_replacement_with(|_| {})
    }

    /// Starts a second process of this node, as [`Node::start_replacement`] does, with a changed
    /// configuration.
    #[must_use]
    pub fn start_replacement_with(&self, change: impl FnOnce(&mut Value)) -> Node {
        let peers = FakePeers {
            executor: FakeExecutor::start(),
            database: self.database.clone(),
            endpoint_list: self.endpoint_list.clone(),
        };
        let mut config = peers.node_config();
        config["listen"] = json!(self.address);
        config["admin"] = json!("127.0.0.1:0");
        change(&mut config);
        // The port of the executor makes the file name unique.
        let name = format!("{}.json", peers.executor.address.port());
        let file = ScratchFile::new(&name, &config.to_string());
        let mut node = Node::spawn_command(node_command(&file), peers, file);
        node.address = self.address;
        node
    }

    /// Starts a process with this command, these peers and the configuration file of the command;
    /// does not wait until it listens.
    pub fn spawn_command(command: Command, peers: FakePeers, config: ScratchFile) -> Node {
        expect_ok(Node::try_spawn_command(command, peers, config))
    }

    /// Starts a process with this command, these peers and the configuration file of the command;
    /// does not wait until it listens.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if it can't be started; [`TestDoubleError::Missing`] if its standard
    /// error is not piped.
    pub fn try_spawn_command(
        mut command: Command,
        peers: FakePeers,
        config: ScratchFile,
    ) -> Result<Node, TestDoubleError> {
        let mut process = command
            .spawn()
            .map_err(TestDoubleError::io("starting the program"))?;
        let stderr = process.stderr.take();
        let stderr = stderr.ok_or(TestDoubleError::Missing("the node's standard error"))?;
        let log = Arc::new(Mutex::new(String::new()));
        let shared_log = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lock_state(&shared_log).push_str(&(line + "\n"));
            }
        });
        Ok(Node {
            executor: peers.executor,
            database: peers.database,
            endpoint_list: peers.endpoint_list,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            process,
            log,
            config,
        })
    }

    fn wait_until_listening(&mut self) {
        wait_until("the node listens", || {
            self.logged_address("listening").is_some()
        });
        self.address = self.logged_address("listening").expect("an address");
    }

    fn wait_until_ready(&self) {
        let mut client = self.connect();
        wait_until("the node is ready", || {
            client.query_alive()["result"]["ready"] == true
        });
    }
}
