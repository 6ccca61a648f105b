//! The processes with their stand-ins.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fleet_runtime::{query_members, query_shared_state, QueryReply};
use serde_json::{json, Value};
use shared_state::SharedStateSnapshot;
use test_doubles::{
    lock, node_command, node_config, wait_until, FakeDatabase, FakeEndpointList, FakeExecutor,
    FakePeers, Node, ScratchFile, TestClient,
};

use crate::links::Links;
use crate::switch::Switch;

/// The name of a rig's fleet.
pub(crate) const FLEET: &str = "rig";
/// The ledger's name on links.
const LEDGER: &str = "ledger";
/// How long one question to a process may take.
const ASK: Duration = Duration::from_millis(400);

/// A process as it is planned.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub site: String,
    /// Lines of the fleet's file beside those that the rig writes.
    pub fleet: String,
    /// Without the switch before it: its own addresses are told to the others.
    pub open: bool,
}

impl Plan {
    /// A node, at one of three sites by its number.
    pub fn node(number: usize) -> Plan {
        let site = ["milano-lambrate", "bergamo-est", "brescia-sud"][number % 3];
        Plan {
            name: format!("n{number}"),
            site: site.into(),
            fleet: String::new(),
            open: false,
        }
    }
}

enum Process {
    /// A node with its stand-ins.
    Node(Box<Node>),
    /// A router, which has none.
    Router(Box<Node>),
}
impl Process {
    fn node(&self) -> &Node {
        match self {
            Process::Node(n) | Process::Router(n) => n,
        }
    }
    fn node_mut(&mut self) -> &mut Node {
        match self {
            Process::Node(n) | Process::Router(n) => n,
        }
    }
}

struct Slot {
    plan: Plan,
    /// Before it: for datagrams, for streams.
    before: (SocketAddr, SocketAddr),
    process: Option<Process>,
    /// It is a member of the fleet.
    member: bool,
    stopped: bool,
    part: u8,
    file: ScratchFile,
    executor: FakeExecutor,
}

/// Many processes of the program, and what lies between them.
pub struct Rig {
    switch: Switch,
    slots: BTreeMap<String, Slot>,
    seeds: Vec<SocketAddr>,
    database: FakeDatabase,
    /// Where nodes connect to the ledger, if that goes through the switch.
    ledger: Option<SocketAddr>,
    list: FakeEndpointList,
    began: Instant,
    timeline: Arc<Mutex<Vec<Value>>>,
    show: bool,
}

impl Rig {
    /// A rig without processes, its faults drawn from this seed.
    pub fn new(seed: u64) -> io::Result<Rig> {
        Ok(Rig {
            switch: Switch::new(seed)?,
            slots: BTreeMap::new(),
            seeds: Vec::new(),
            database: FakeDatabase::start(),
            ledger: None,
            list: FakeEndpointList::start(),
            began: Instant::now(),
            timeline: Arc::default(),
            show: false,
        })
    }
    /// Events are printed as they come, as JSON lines.
    pub fn show(&mut self) {
        self.show = true;
    }
    /// Notes an event on the timeline.
    pub fn note(&self, event: &str, what: Value) {
        let line =
            json!({"ms": self.began.elapsed().as_millis() as u64, "event": event, "what": what});
        if self.show {
            println!("{line}");
        }
        lock(&self.timeline).push(line);
    }
    /// What has happened, a line of JSON each.
    pub fn timeline(&self) -> String {
        lock(&self.timeline)
            .iter()
            .fold(String::new(), |mut text, line| {
                let _ = writeln!(text, "{line}");
                text
            })
    }
    /// The switch, to put faults on its links.
    pub fn switch(&self) -> &Switch {
        &self.switch
    }
    /// The database that all nodes call.
    pub fn database(&self) -> &FakeDatabase {
        &self.database
    }
    /// Nodes that start from now on reach the ledger over links of their own, to `ledger`.
    pub fn ledger_by_links(&mut self) -> io::Result<()> {
        let (_, streams) = self.switch.connect(LEDGER)?;
        self.switch.serves(LEDGER, self.database.address)?;
        self.ledger = Some(streams);
        Ok(())
    }
    /// A node's executor.
    pub fn executor(&self, name: &str) -> &FakeExecutor {
        &self.slot(name).executor
    }

    fn peers(&self, executor: &FakeExecutor) -> FakePeers {
        FakePeers {
            executor: executor.clone(),
            database: self.database.clone(),
            endpoint_list: self.list.clone(),
        }
    }

    // ---- processes ----

    fn slot(&self, name: &str) -> &Slot {
        self.slots
            .get(name)
            .unwrap_or_else(|| panic!("no process is called {name}"))
    }
    fn slot_mut(&mut self, name: &str) -> &mut Slot {
        self.slots
            .get_mut(name)
            .unwrap_or_else(|| panic!("no process is called {name}"))
    }
    /// Names of all that were planned.
    pub fn names(&self) -> Vec<String> {
        self.slots.keys().cloned().collect()
    }
    /// Plans a process; the first of them are the seeds of all, as many as [`Rig::seeds`] says.
    pub fn plan(&mut self, plan: Plan) -> io::Result<()> {
        let before = self.switch.connect(&plan.name)?;
        if plan.open {
            self.switch.open(&plan.name);
        }
        let file = ScratchFile::new(&format!("{}.json", plan.name), "{}");
        let slot = Slot {
            before,
            process: None,
            member: true,
            stopped: false,
            part: 0,
            file,
            executor: FakeExecutor::start(),
            plan,
        };
        self.slots.insert(slot.plan.name.clone(), slot);
        Ok(())
    }
    /// Who is asked at the start by all that start from now on; a name that is not planned stands for a seed that is down.
    pub fn seeds(&mut self, names: &[&str]) {
        self.seeds = names
            .iter()
            // Port 9 of loopback discards, where anybody is there at all.
            .map(|n| {
                self.slots
                    .get(*n)
                    .map_or(([127, 0, 0, 1], 9).into(), |s| s.before.0)
            })
            .collect();
    }
    /// The fleet's file that a process was last started with.
    pub fn fleet_file_of(&self, name: &str) -> PathBuf {
        self.slot(name).file.path().with_extension("fleet.json5")
    }
    fn fleet_file(&self, name: &str, listen: SocketAddr) -> PathBuf {
        let slot = self.slot(name);
        let (at, serves) = slot.before;
        let seeds: Vec<String> = self.seeds.iter().map(|at| format!("\"{at}\"")).collect();
        let mut text = format!(
            "{{ version: 1, fleet: \"{FLEET}\", name: \"{name}\", site: \"{}\", listen: \"{listen}\", seeds: [{}], {}",
            slot.plan.site,
            seeds.join(", "),
            slot.plan.fleet
        );
        if !slot.plan.open {
            let _ = write!(text, " advertise: \"{at}\", serves: \"{serves}\",");
        }
        text.push_str(" }\n");
        let path = slot.file.path().with_extension("fleet.json5");
        std::fs::write(&path, text).expect("a file");
        path
    }
    fn launch(&self, name: &str, listen: SocketAddr) -> Node {
        let slot = self.slot(name);
        let ledger = self.ledger.unwrap_or(self.database.address);
        let mut settings = node_config(slot.executor.address, ledger, self.list.address);
        settings["name"] = json!(name);
        settings["admin"] = json!("127.0.0.1:0");
        std::fs::write(slot.file.path(), settings.to_string()).expect("a file");
        let mut command = node_command(&slot.file);
        command.arg("--fleet").arg(self.fleet_file(name, listen));
        let file = ScratchFile::new(&format!("{name}.spare"), "");
        Node::spawn_command(command, self.peers(&slot.executor), file)
    }
    /// Starts a node, or a new life of it, and does not wait for it.
    pub fn start(&mut self, name: &str) {
        let node = self.launch(name, ([127, 0, 0, 1], 0).into());
        self.switch.runs(name, node.process.id());
        self.note("start", json!(name));
        let slot = self.slot_mut(name);
        (slot.process, slot.stopped) = (Some(Process::Node(Box::new(node))), false);
    }
    /// Starts a router in front of all nodes that are planned, all of one cell. With `view` it takes them from the fleet,
    /// else it asks each of them.
    pub fn start_router(&mut self, name: &str, view: bool) {
        let fleet = self.fleet_file(name, ([127, 0, 0, 1], 0).into());
        let place = |path: &PathBuf| path.display().to_string();
        let nodes: Vec<String> = self
            .slots
            .iter()
            .filter(|(n, _)| *n != name)
            .map(|(n, s)| {
                format!(
                    "{n}: {{ site: '{}', cell: 'all', address: '{}' }}",
                    s.plan.site, s.before.1
                )
            })
            .collect();
        let cells = self.slot(name).file.path().with_extension("cells.json5");
        let text = format!(
            "{{ version: 1, strangers: true, cells: {{ all: {{}} }}, nodes: {{ {} }} }}",
            nodes.join(", ")
        );
        std::fs::write(&cells, text).expect("a file");
        let own = self.slot(name).file.path().with_extension("router.json5");
        let fleet = if view {
            format!("fleet: '{}',", place(&fleet))
        } else {
            String::new()
        };
        let text = format!(
            "{{ version: 1, listen: '127.0.0.1:0', cells: '{}', {fleet} classes: {{
               'statement-read': {{ once: false, deadline_ms: 1500 }},
               'settlement-post': {{ once: true, deadline_ms: 1500 }} }} }}",
            place(&cells)
        );
        std::fs::write(&own, text).expect("a file");
        let mut command = node_command(&self.slot(name).file);
        command.arg("route").arg(own);
        let peers = self.peers(&self.slot(name).executor);
        let node = Node::spawn_command(
            command,
            peers,
            ScratchFile::new(&format!("{name}.spare"), ""),
        );
        self.switch.runs(name, node.process.id());
        self.note("start", json!(name));
        let slot = self.slot_mut(name);
        (slot.process, slot.member) = (Some(Process::Router(Box::new(node))), view);
    }
    /// Waits until these are up, and connects the switch to them.
    pub fn up(&mut self, names: &[&str]) {
        for name in names {
            let slot = self.slot(name);
            let process = slot
                .process
                .as_ref()
                .unwrap_or_else(|| panic!("{name} was not started"));
            let node = process.node();
            if slot.member {
                wait_until("it hears the fleet", || {
                    node.logged_address("fleet").is_some()
                });
                self.switch
                    .hears(name, node.logged_address("fleet").expect("logged"))
                    .expect("on loopback");
            }
            wait_until("it listens", || node.logged_address("listening").is_some());
            let serves = node.logged_address("listening").expect("logged");
            self.switch.serves(name, serves).expect("on loopback");
            let node = self
                .slot_mut(name)
                .process
                .as_mut()
                .map(Process::node_mut)
                .expect("it was started");
            node.address = serves;
        }
    }
    /// The running process of this name.
    pub fn node(&self, name: &str) -> &Node {
        self.slot(name)
            .process
            .as_ref()
            .unwrap_or_else(|| panic!("{name} does not run"))
            .node()
    }
    /// Whether a process of this name runs.
    pub fn runs(&self, name: &str) -> bool {
        self.slot(name).process.is_some()
    }
    /// A connection to this process's clients' address, past the switch.
    pub fn front(&self, name: &str) -> TestClient {
        TestClient::connect(self.node(name).address)
    }
    /// kill -9.
    pub fn kill(&mut self, name: &str) {
        self.note("kill", json!(name));
        if let Some(mut process) = self.slot_mut(name).process.take() {
            process.node_mut().kill();
        }
    }
    /// SIGTERM, and waits for the end.
    pub fn end(&mut self, name: &str) {
        self.note("end", json!(name));
        if let Some(mut process) = self.slot_mut(name).process.take() {
            process.node().terminate();
            process.node_mut().wait_for_exit();
        }
    }
    /// A second process of a node that runs, beside it.
    pub fn successor(&self, name: &str, listen: SocketAddr) -> Node {
        let first = self.node(name);
        let executor = FakeExecutor::start();
        let mut settings = node_config(executor.address, self.database.address, self.list.address);
        settings["name"] = json!(name);
        settings["listen"] = json!(first.address);
        settings["admin"] = json!("127.0.0.1:0");
        let file = ScratchFile::new(&format!("{name}.second.json"), &settings.to_string());
        let mut command = node_command(&file);
        command.arg("--fleet").arg(self.fleet_file(name, listen));
        let mut node = Node::spawn_command(command, self.peers(&executor), file);
        node.address = first.address;
        self.note("successor", json!(name));
        node
    }
    fn signal(&self, name: &str, signal: &str) {
        let pid = self.node(name).process.id().to_string();
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {pid}")])
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "{signal} to {name}");
    }
    /// Stops a process where it is.
    pub fn stop(&mut self, name: &str) {
        self.note("stop", json!(name));
        self.signal(name, "STOP");
        self.slot_mut(name).stopped = true;
    }
    /// Has a process read its files again.
    pub fn hangup(&mut self, name: &str) {
        self.note("reload", json!(name));
        self.signal(name, "HUP");
    }
    /// Has a stopped process go on.
    pub fn resume(&mut self, name: &str) {
        self.note("continue", json!(name));
        self.signal(name, "CONT");
        self.slot_mut(name).stopped = false;
    }
    /// A call at a node's door.
    pub fn call(&self, name: &str, call: &str) -> String {
        use std::io::{BufRead, BufReader, Write};
        let mut stream =
            std::net::TcpStream::connect(self.node(name).admin_address()).expect("a door");
        stream
            .write_all(format!("{call}\n").as_bytes())
            .expect("written");
        let mut answer = String::new();
        BufReader::new(stream)
            .read_line(&mut answer)
            .expect("an answer");
        self.note(call, json!({"node": name, "answer": answer.trim()}));
        answer.trim().to_string()
    }

    // ---- faults ----

    /// Cuts the rig into parts between which nothing passes; who is in none is with the first.
    pub fn partition(&mut self, parts: &[Vec<String>]) {
        self.note("partition", json!(parts));
        let part_of = |name: &String| {
            parts
                .iter()
                .position(|p| p.contains(name))
                .unwrap_or(0)
                .min(255) as u8
        };
        for (name, slot) in &mut self.slots {
            slot.part = part_of(name);
        }
        let names = self.names();
        self.switch.links(|links| {
            for a in &names {
                for b in names.iter().filter(|b| *b != a) {
                    links.change(a, b, |link| link.silent = part_of(a) != part_of(b));
                }
            }
        });
    }
    /// Does something to each link from these to those, in this direction only.
    fn between(
        &self,
        what: &str,
        from: &[String],
        to: &[String],
        change: impl Fn(&mut Links, &str, &str),
    ) {
        self.note(what, json!({"from": from, "to": to}));
        self.switch.links(|links| {
            for a in from {
                to.iter()
                    .filter(|b| *b != a)
                    .for_each(|b| change(links, a, b));
            }
        });
    }
    /// Nothing passes from these to those, in this direction only.
    pub fn silence(&mut self, from: &[String], to: &[String]) {
        self.between("silence", from, to, |links, a, b| {
            links.change(a, b, |link| link.silent = true);
        });
    }
    /// Streams from these to those stall, and nobody is told; datagrams pass.
    pub fn stall(&mut self, from: &[String], to: &[String]) {
        self.between("stall", from, to, |links, a, b| {
            links.change(a, b, |link| link.stalled = true);
        });
    }
    /// Streams that are open from these to those are cut.
    pub fn cut(&mut self, from: &[String], to: &[String]) {
        self.between("cut", from, to, Links::cut);
    }
    /// Changes all links.
    pub fn weather(&mut self, what: Value, change: impl Fn(&mut crate::Link)) {
        self.note("links", what);
        self.switch.links(|links| links.change_all(change));
    }
    /// The network is whole again.
    pub fn heal(&mut self) {
        self.note("heal", Value::Null);
        self.slots.values_mut().for_each(|slot| slot.part = 0);
        self.switch
            .links(|links| links.change_all(|link| *link = crate::Link::default()));
    }

    // ---- what is seen ----

    /// What a process sees, asked past the switch.
    pub fn told(&self, name: &str) -> Option<QueryReply> {
        let at = self.node(name).logged_address("fleet")?;
        query_members(at, FLEET, ASK).ok()
    }
    /// What a process holds of the budgets, asked past the switch.
    pub fn look(&self, name: &str) -> Option<SharedStateSnapshot> {
        query_shared_state(self.node(name).logged_address("fleet")?, FLEET, ASK)
            .ok()
            .map(|reply| reply.state)
    }
    /// Who grants, as this process knows.
    pub fn granter(&self, name: &str) -> Option<String> {
        self.look(name)?.leader.map(|name| name.to_string())
    }
    /// Whether all that run in each part hold exactly each other, and the same of each other.
    pub fn settled(&self) -> bool {
        let mut parts: BTreeMap<u8, Vec<&String>> = BTreeMap::new();
        for (name, slot) in &self.slots {
            if slot.process.is_some() && slot.member && !slot.stopped {
                parts.entry(slot.part).or_default().push(name);
            }
        }
        parts.values().all(|names| {
            let wanted: BTreeSet<&str> = names.iter().map(|n| n.as_str()).collect();
            let mut digests = BTreeSet::new();
            names.iter().all(|name| {
                let Some(told) = self.told(name) else {
                    return false;
                };
                let seen: BTreeSet<&str> = told
                    .members
                    .iter()
                    .filter(|r| r.state.is_present())
                    .map(|r| &*r.name)
                    .collect();
                digests.insert(told.summary.digest);
                seen == wanted && digests.len() == 1
            })
        })
    }
    /// Waits until something holds; how long that took, or none if it did not within `most`.
    pub fn wait(
        &self,
        what: &str,
        most: Duration,
        holds: impl Fn(&Rig) -> bool,
    ) -> Option<Duration> {
        let began = Instant::now();
        loop {
            if holds(self) {
                let took = began.elapsed();
                self.note(
                    "reached",
                    json!({"what": what, "ms": took.as_millis() as u64}),
                );
                return Some(took);
            }
            if began.elapsed() >= most {
                self.note(
                    "not reached",
                    json!({"what": what, "ms": most.as_millis() as u64}),
                );
                return None;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    /// Waits until the views are settled, and panics with what was seen if they are not within `most`.
    pub fn settle(&self, most: Duration) -> Duration {
        self.wait("settled", most, Rig::settled).unwrap_or_else(|| {
            for name in self
                .slots
                .iter()
                .filter(|(_, s)| s.process.is_some() && !s.stopped)
                .map(|(n, _)| n)
            {
                let told = self.told(name).map(|t| {
                    let gone: Vec<String> = t
                        .members
                        .iter()
                        .map(|r| {
                            format!(
                                "{} {} {:?} {:?}",
                                r.name, r.state.version, r.state.status, r.state.liveness
                            )
                        })
                        .collect();
                    (t.summary, gone)
                });
                eprintln!("{name}: {told:?}");
            }
            panic!(
                "the views did not settle within {most:?}; what happened:\n{}",
                self.timeline()
            )
        })
    }
}
