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
pub(crate) const FLEET: &str = "rig";
/// The database's name on links.
const DATABASE: &str = "ledger";
/// How long one query to a process may take.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Where the datagrams for a seed that does not run go: the discard port of loopback.
const NO_PROCESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);
/// A port of loopback that the system chooses.
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// The sites of processes, in turn by their number.
const SITES: [&str; 3] = ["milano-lambrate", "bergamo-est", "brescia-sud"];

/// A process of a testbed before it is started.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Further fields of its fleet file, each with a comma after it.
    pub fleet_fields: String,
    /// Whether its own addresses are advertised to the others, not those of the proxy before it.
    pub bypasses_proxy: bool,
}

impl ProcessPlan {
    /// A node, at one of three sites by its number.
    pub fn node(number: usize) -> ProcessPlan {
        ProcessPlan {
            name: format!("n{number}"),
            site: SITES[number % SITES.len()].into(),
            fleet_fields: String::new(),
            bypasses_proxy: false,
        }
    }
}

/// The state of a process that was added.
struct ProcessSlot {
    plan: ProcessPlan,
    proxy_addresses: ProxyAddresses,
    process: Option<Node>,
    is_fleet_member: bool,
    is_paused: bool,
    /// The part of the network it is in while that is partitioned.
    partition: usize,
    /// Its configuration; its other files are beside it.
    config: ScratchFile,
    executor: FakeExecutor,
}

/// Many processes of the program, and the network between them.
///
/// Methods named `try_...` return errors and are for programs; those without the prefix panic, which keeps tests short.
pub struct Testbed {
    proxy: NetworkProxy,
    slots: BTreeMap<String, ProcessSlot>,
    seeds: Vec<SocketAddr>,
    database: FakeDatabase,
    /// Where nodes connect to the database, if that goes through the proxy.
    proxied_database: Option<SocketAddr>,
    endpoint_list: FakeEndpointList,
    timeline: Timeline,
}

impl Testbed {
    /// A testbed without processes, its faults drawn from this seed.
    ///
    /// # Errors
    /// [`TestbedError::System`] or [`TestbedError::TestDouble`] where the system provides no socket or thread.
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

    /// Prints events to standard output as they happen, as lines of JSON.
    pub fn print_events(&mut self) {
        self.timeline.print_events();
    }

    /// Records an event on the timeline.
    pub fn record_event(&self, event: &str, what: Value) {
        self.timeline.record(event, what);
    }

    /// The events so far, a line of JSON each.
    pub fn timeline(&self) -> String {
        self.timeline.to_string()
    }

    /// The proxy, to change the faults of its links.
    pub fn proxy(&self) -> &NetworkProxy {
        &self.proxy
    }

    /// Errors of the testbed itself so far, each of which means that a run did not test what it was to test.
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

    /// The database that all nodes call.
    pub fn database(&self) -> &FakeDatabase {
        &self.database
    }

    /// Makes nodes that start from now on reach the database over links of their own, to `ledger`.
    ///
    /// # Errors
    /// The system's, where it provides no socket or thread.
    pub fn proxy_database(&mut self) -> io::Result<()> {
        let addresses = self.proxy.add_process(DATABASE)?;
        self.proxy
            .set_stream_target(DATABASE, self.database.address)?;
        self.proxied_database = Some(addresses.streams);
        Ok(())
    }

    /// Adds a process, which is not started yet.
    ///
    /// # Errors
    /// [`TestbedError`] where the system provides no socket, thread or file.
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

    /// Sets the seeds of all processes that start from now on; a name that was not added stands for a seed that is down.
    pub fn set_seeds(&mut self, names: &[&str]) {
        let address = |name: &&str| {
            let slot = self.slots.get(*name);
            slot.map_or(NO_PROCESS.into(), |slot| slot.proxy_addresses.datagrams)
        };
        self.seeds = names.iter().map(address).collect();
    }

    /// The names of all processes that were added.
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
    /// The path of another file of this process, with this extension.
    fn file_path(&self, extension: &str) -> std::path::PathBuf {
        self.config.path().with_extension(extension)
    }
}

/// A path as text, for a configuration file.
fn path_text(path: &Path) -> String {
    path.display().to_string()
}
