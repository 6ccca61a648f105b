//! The processes of a testbed with their test doubles.

mod faults;
mod files;
mod launching;
mod observation;
mod panicking;
mod processes;
mod timeline;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use test_doubles::{FakeDatabase, FakeEndpointList, FakeExecutor, FakePeers, Node, ScratchFile};

use crate::error::TestbedError;
use crate::network_proxy::{NetworkProxy, ProxyAddresses};
use timeline::Timeline;

/// The name of a testbed's fleet.
pub(crate) const FLEET_NAME: &str = "rig";
/// The database's name on links.
const DATABASE_NAME: &str = "ledger";
/// Time limit of one query to a process.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Address of a seed that is down: the discard port of loopback.
const DOWN_SEED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);
/// Loopback address with a port that the system chooses.
const LOOPBACK_ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// The sites of processes, assigned in turn by their number.
const SITES: [&str; 3] = ["milano-lambrate", "bergamo-est", "brescia-sud"];

/// The description of a process of a testbed.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Additional fields of its fleet file, each followed by a comma.
    pub fleet_fields: String,
    /// True if it advertises its own addresses to the others instead of those of the proxy.
    pub bypasses_proxy: bool,
}

impl ProcessPlan {
    /// Returns the plan of a node, at one of three sites by its number.
    pub fn node(number: usize) -> ProcessPlan {
        ProcessPlan {
            name: format!("n{number}"),
            site: SITES[number % SITES.len()].into(),
            fleet_fields: String::new(),
            bypasses_proxy: false,
        }
    }
}

/// The state of an added process.
struct ProcessSlot {
    plan: ProcessPlan,
    proxy_addresses: ProxyAddresses,
    /// `None` while it is not running.
    process: Option<Node>,
    is_fleet_member: bool,
    is_paused: bool,
    /// The index of the part of the network that it is in. 0 while the network is not partitioned.
    partition: usize,
    /// Its configuration file. Its other files are in the same directory.
    config: ScratchFile,
    executor: FakeExecutor,
}

/// Processes of the program, and the network between them.
///
/// Methods named `try_...` return errors, for use in programs. Those without the prefix panic,
/// which keeps tests short.
pub struct Testbed {
    proxy: NetworkProxy,
    slots: BTreeMap<String, ProcessSlot>,
    seeds: Vec<SocketAddr>,
    database: FakeDatabase,
    /// The address of the proxy to which nodes connect for the database. `None` if they connect to
    /// it directly.
    proxied_database: Option<SocketAddr>,
    endpoint_list: FakeEndpointList,
    timeline: Timeline,
}

impl Testbed {
    /// Creates a testbed without processes. Faults are drawn from this seed.
    ///
    /// # Errors
    /// [`TestbedError::System`] or [`TestbedError::TestDouble`] if a socket or a thread can't be
    /// created.
    pub fn new(seed: u64) -> Result<Testbed, TestbedError> {
        Ok(Testbed {
            proxy: NetworkProxy::new(seed)?,
            slots: BTreeMap::new(),
            seeds: Vec::new(),
            database: FakeDatabase::try_start()?,
            proxied_database: None,
            endpoint_list: FakeEndpointList::try_start()?,
            timeline: Timeline::new(),
        })
    }

    /// Prints the following events to standard output as they happen, as lines of JSON.
    pub fn print_events(&mut self) {
        self.timeline.print_events();
    }

    /// Records an event on the timeline.
    pub fn record_event(&self, event: &str, what: Value) {
        self.timeline.record(event, what);
    }

    /// Returns the events so far, as one line of JSON each.
    pub fn timeline(&self) -> String {
        self.timeline.to_string()
    }

    /// Returns the proxy, for example to change the faults of its links.
    pub fn proxy(&self) -> &NetworkProxy {
        &self.proxy
    }

    /// Returns the errors of the testbed itself so far. If there is any, the run did not test what
    /// it was meant to test.
    pub fn errors(&self) -> Vec<String> {
        let mut errors = self.proxy.errors();
        errors.extend(self.timeline.print_error());
        let database = self.database.check_protocol();
        errors.extend(database.err().map(|error| error.to_string()));
        for (name, slot) in &self.slots {
            let executor = slot.executor.check_protocol();
            errors.extend(executor.err().map(|error| format!("{name}: {error}")));
        }
        errors
    }

    /// Returns the database that all nodes call.
    pub fn database(&self) -> &FakeDatabase {
        &self.database
    }

    /// Makes nodes that are started later reach the database through the proxy, over links to the
    /// name `ledger`.
    ///
    /// # Errors
    /// A socket or a thread can't be created.
    pub fn proxy_database(&mut self) -> io::Result<()> {
        let addresses = self.proxy.add_process(DATABASE_NAME)?;
        self.proxy
            .set_stream_target(DATABASE_NAME, self.database.address)?;
        self.proxied_database = Some(addresses.streams);
        Ok(())
    }

    /// Adds a process without starting it.
    ///
    /// # Errors
    /// [`TestbedError`] if a socket, a thread or a file can't be created.
    pub fn add_process(&mut self, plan: ProcessPlan) -> Result<(), TestbedError> {
        let proxy_addresses = self.proxy.add_process(&plan.name)?;
        if plan.bypasses_proxy {
            self.proxy.accept_unknown_senders(&plan.name);
        }
        let slot = ProcessSlot {
            proxy_addresses,
            process: None,
            is_fleet_member: true,
            is_paused: false,
            partition: 0,
            config: ScratchFile::try_new(&format!("{}.json", plan.name), "{}")?,
            executor: FakeExecutor::try_start()?,
            plan,
        };
        self.slots.insert(slot.plan.name.clone(), slot);
        Ok(())
    }

    /// Sets the seeds of all processes that are started later. A name that was not added stands for
    /// a seed that is down.
    pub fn set_seeds(&mut self, names: &[&str]) {
        let address = |name: &&str| {
            let slot = self.slots.get(*name);
            slot.map_or(DOWN_SEED_ADDRESS.into(), |slot| {
                slot.proxy_addresses.datagrams
            })
        };
        self.seeds = names.iter().map(address).collect();
    }

    /// Returns the names of all added processes.
    pub fn names(&self) -> Vec<String> {
        self.slots.keys().cloned().collect()
    }

    fn try_slot(&self, name: &str) -> Result<&ProcessSlot, TestbedError> {
        self.slots
            .get(name)
            .ok_or_else(|| TestbedError::UnknownProcess(name.into()))
    }

    fn try_slot_mut(&mut self, name: &str) -> Result<&mut ProcessSlot, TestbedError> {
        self.slots
            .get_mut(name)
            .ok_or_else(|| TestbedError::UnknownProcess(name.into()))
    }

    fn peers(&self, executor: &FakeExecutor) -> FakePeers {
        FakePeers {
            executor: executor.clone(),
            database: self.database.clone(),
            endpoint_list: self.endpoint_list.clone(),
        }
    }
}

impl ProcessSlot {
    /// Returns the path of another file of this process, with this extension.
    fn file_path(&self, extension: &str) -> std::path::PathBuf {
        self.config.path().with_extension(extension)
    }
}

/// Returns a path as text, for a configuration file.
fn path_text(path: &Path) -> String {
    path.display().to_string()
}
