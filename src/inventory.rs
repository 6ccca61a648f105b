//! The inventory: which broker queues the node consumes from. It is kept as configuration tools keep one, in YAML
//! (groups, hosts, vars) or in CSV with a header row; each host or row is one record, one broker queue.
//!
//! Variables that are not ours are passed over, so that one inventory can serve several tools. One that is
//! missing, bad or there twice stops the start with the file, the line and the field.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::path::Path;

use saphyr::{LoadableYamlNode, MarkedYamlOwned, ScalarOwned, YamlDataOwned};

use crate::node::Limits;
use crate::wire::Site;
use crate::{ClassId, Idempotency};

/// One broker queue.
#[derive(Clone, PartialEq)]
pub struct Queue {
    /// The broker's host.
    pub host: String,
    /// The broker's port.
    pub port: u16,
    /// The virtual host.
    pub vhost: String,
    /// The queue's name.
    pub queue: String,
    /// The class of all that comes from it.
    pub class: ClassId,
    /// Whether what comes from it must not run twice.
    pub once: bool,
    /// The tenant that all of it counts for.
    pub tenant: Option<String>,
    /// Messages that the broker may push before earlier ones are settled.
    pub prefetch: u16,
    /// Kilobytes booked for a message while it is held.
    pub held_kb: f64,
    /// The user's name.
    pub username: String,
    /// The user's password.
    pub password: String,
}

impl fmt::Debug for Queue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Passwords stay out of logs and test output.
        write!(
            f,
            "{}:{}{} {} ({})",
            self.host, self.port, self.vhost, self.queue, self.prefetch
        )
    }
}

/// Why an inventory can't be used.
#[derive(Debug, PartialEq)]
pub struct InventoryError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// The variable or column; empty where none is meant.
    pub field: String,
    /// What is wrong.
    pub what: Problem,
}

/// What is wrong with an inventory.
#[derive(Debug, PartialEq)]
pub enum Problem {
    /// The file can't be read.
    Unreadable(String),
    /// It is neither `.csv` nor `.yaml` or `.yml`.
    UnknownKind,
    /// It is not what its ending says.
    Malformed(String),
    /// A variable is missing.
    Missing,
    /// It is not what it should be.
    Bad(String),
    /// It is there twice, or a record repeats another.
    Duplicate,
    /// No record at all.
    Empty,
}

impl fmt::Display for InventoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        match &self.what {
            Problem::Unreadable(e) => write!(f, ": {e}"),
            Problem::UnknownKind => write!(f, ": not named .csv, .yaml or .yml"),
            Problem::Malformed(e) => write!(f, ": malformed: {e}"),
            Problem::Missing => write!(f, ": missing"),
            Problem::Bad(what) => write!(f, ": {what}"),
            Problem::Duplicate => write!(f, ": there twice"),
            Problem::Empty => write!(f, ": names no queue"),
        }
    }
}
impl std::error::Error for InventoryError {}

/// A value and its line.
#[derive(Clone)]
struct Value {
    line: usize,
    /// None where the file holds something other than a text or a whole number.
    text: Option<String>,
}
/// The variables of a record, and the line it begins at.
struct Record {
    line: usize,
    name: String,
    vars: BTreeMap<String, Value>,
}

/// Reads an inventory for this site. `env` looks up the variables that hold passwords.
pub fn read(
    path: &Path,
    site: &Site,
    limits: &Limits,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Vec<Queue>, InventoryError> {
    let file = path.display().to_string();
    let whole = |what| InventoryError {
        file: file.clone(),
        line: 0,
        field: String::new(),
        what,
    };
    let text =
        std::fs::read_to_string(path).map_err(|e| whole(Problem::Unreadable(e.to_string())))?;
    let ending = path
        .extension()
        .and_then(|e| e.to_str())
        .unwrap_or("")
        .to_ascii_lowercase();
    let records = match ending.as_str() {
        "csv" => csv_records(&text),
        "yaml" | "yml" => yaml_records(&text),
        _ => return Err(whole(Problem::UnknownKind)),
    };
    let place = |(line, field, what): Fault| InventoryError {
        file: file.clone(),
        line,
        field,
        what,
    };
    let records = records.map_err(place)?;
    if records.is_empty() {
        return Err(whole(Problem::Empty));
    }
    let mut seen = HashSet::new();
    let mut queues = Vec::new();
    for record in records {
        let queue = record.queue(site, limits, &env).map_err(place)?;
        if !seen.insert((
            queue.host.clone(),
            queue.port,
            queue.vhost.clone(),
            queue.queue.clone(),
        )) {
            let line = record.vars.get("queue").map_or(record.line, |v| v.line);
            return Err(place((line, "queue".into(), Problem::Duplicate)));
        }
        queues.push(queue);
    }
    Ok(queues)
}

/// Line, field, and what is wrong there.
type Fault = (usize, String, Problem);

impl Record {
    fn fault<T>(&self, field: &str, what: Problem) -> Result<T, Fault> {
        let line = self.vars.get(field).map_or(self.line, |v| v.line);
        Err((line, field.into(), what))
    }

    /// A text that AMQP can carry as a short string.
    fn text(&self, field: &str) -> Result<Option<String>, Fault> {
        let Some(value) = self.vars.get(field) else {
            return Ok(None);
        };
        match &value.text {
            Some(text) if text.len() <= 255 => Ok(Some(text.clone()).filter(|t| !t.is_empty())),
            Some(_) => self.fault(field, Problem::Bad("longer than 255 bytes".into())),
            None => self.fault(field, Problem::Bad("not a text; quote it".into())),
        }
    }

    fn must<T>(&self, field: &str, found: Option<T>) -> Result<T, Fault> {
        found.map_or_else(|| self.fault(field, Problem::Missing), Ok)
    }

    fn number(&self, field: &str) -> Result<Option<u16>, Fault> {
        match self.text(field)?.map(|text| text.parse::<u16>()) {
            None => Ok(None),
            Some(Ok(number)) if number > 0 => Ok(Some(number)),
            Some(_) => self.fault(field, Problem::Bad("not a number from 1 to 65535".into())),
        }
    }

    fn queue(
        &self,
        site: &Site,
        limits: &Limits,
        env: &impl Fn(&str) -> Option<String>,
    ) -> Result<Queue, Fault> {
        // A host's own name is its address unless the file says otherwise, as with configuration tools.
        let named = self
            .text("host")?
            .or(self.text("ansible_host")?)
            .or(Some(self.name.clone()));
        let host = self.must("host", named.filter(|n| !n.is_empty()))?;
        let class_name = self.must("class", self.text("class")?)?;
        let Some(class) = site.class(&class_name) else {
            return self.fault(
                "class",
                Problem::Bad(format!("no class named {class_name}")),
            );
        };
        let tenant = self.text("tenant")?;
        if let Some(tenant) = tenant.as_deref().filter(|t| !site.knows_tenant(t)) {
            return self.fault("tenant", Problem::Bad(format!("no tenant named {tenant}")));
        }
        let variable = self.must("password_env", self.text("password_env")?)?;
        let Some(password) = env(&variable) else {
            return self.fault(
                "password_env",
                Problem::Bad(format!("{variable} is not set")),
            );
        };
        let prefetch = self.must("prefetch", self.number("prefetch")?)?;
        if prefetch > limits.amqp.max_prefetch {
            return self.fault(
                "prefetch",
                Problem::Bad(format!("more than {}", limits.amqp.max_prefetch)),
            );
        }
        let held = self.number("held_kb")?;
        Ok(Queue {
            host,
            port: self.number("port")?.unwrap_or(5672),
            vhost: self.text("vhost")?.unwrap_or_else(|| "/".into()),
            queue: self.must("queue", self.text("queue")?)?,
            class,
            once: site
                .settings
                .classes
                .get(class.0)
                .is_none_or(|c| c.idempotency != Idempotency::Idempotent),
            tenant,
            prefetch,
            held_kb: held.map_or(DEFAULT_HELD_KB, f64::from),
            username: self.must("username", self.text("username")?)?,
            password,
        })
    }
}

/// Kilobytes booked for a held message where the inventory says nothing: the middle of what the site has seen.
const DEFAULT_HELD_KB: f64 = 40.0;

fn csv_records(text: &str) -> Result<Vec<Record>, Fault> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let malformed = |e: csv::Error| {
        let line = e.position().map_or(0, |p| p.line() as usize);
        (line, String::new(), Problem::Malformed(e.to_string()))
    };
    let header = reader.headers().map_err(malformed)?.clone();
    let mut columns = HashSet::new();
    if let Some(twice) = header.iter().find(|column| !columns.insert(*column)) {
        return Err((1, twice.into(), Problem::Duplicate));
    }
    let mut records = Vec::new();
    for row in reader.records() {
        let row = row.map_err(malformed)?;
        let line = row.position().map_or(0, |p| p.line() as usize);
        // An empty cell is a variable that is not set.
        let cells = header
            .iter()
            .zip(row.iter())
            .filter(|(_, cell)| !cell.is_empty());
        let vars: BTreeMap<String, Value> = cells
            .map(|(c, cell)| {
                (
                    c.to_string(),
                    Value {
                        line,
                        text: Some(cell.to_string()),
                    },
                )
            })
            .collect();
        let name = vars
            .get("inventory_hostname")
            .and_then(|v| v.text.clone())
            .unwrap_or_default();
        records.push(Record { line, name, vars });
    }
    Ok(records)
}

type Node = MarkedYamlOwned;
type Vars = BTreeMap<String, Value>;

fn yaml_records(text: &str) -> Result<Vec<Record>, Fault> {
    let documents = Node::load_from_str(text).map_err(|e| {
        (
            e.marker().line(),
            String::new(),
            Problem::Malformed(e.info().to_string()),
        )
    })?;
    let mut records = Vec::new();
    let mut hosts = HashSet::new();
    for document in &documents {
        for (name, group) in entries(document, "inventory")? {
            group_records(&name, group, &Vars::new(), &mut hosts, &mut records)?;
        }
    }
    Ok(records)
}

/// The keys and values of a mapping; one that is left empty has none.
fn entries<'a>(node: &'a Node, field: &str) -> Result<Vec<(String, &'a Node)>, Fault> {
    let wrong = |node: &Node, what: &str| {
        (
            node.span.start.line(),
            field.to_string(),
            Problem::Bad(what.into()),
        )
    };
    match &node.data {
        YamlDataOwned::Mapping(map) => map
            .iter()
            .map(|(key, value)| match &key.data {
                YamlDataOwned::Value(ScalarOwned::String(name)) => Ok((name.clone(), value)),
                _ => Err(wrong(key, "a name that is not a text; quote it")),
            })
            .collect(),
        YamlDataOwned::Value(ScalarOwned::Null) => Ok(Vec::new()),
        _ => Err(wrong(node, "not a mapping")),
    }
}

/// Variables of the outer groups hold for a group, and its own come before them.
fn add_vars(vars: &mut Vars, node: &Node, field: &str) -> Result<(), Fault> {
    for (name, value) in entries(node, field)? {
        let text = match &value.data {
            YamlDataOwned::Value(ScalarOwned::String(text)) => Some(text.clone()),
            // Numbers stand for themselves only where a number is asked for.
            YamlDataOwned::Value(ScalarOwned::Integer(n)) if is_number(&name) => {
                Some(n.to_string())
            }
            _ => None,
        };
        vars.insert(
            name,
            Value {
                line: value.span.start.line(),
                text,
            },
        );
    }
    Ok(())
}

fn is_number(field: &str) -> bool {
    ["port", "prefetch", "held_kb"].contains(&field)
}

fn group_records(
    name: &str,
    group: &Node,
    outer: &Vars,
    hosts: &mut HashSet<String>,
    records: &mut Vec<Record>,
) -> Result<(), Fault> {
    let parts = entries(group, name)?;
    let part = |wanted: &str| {
        parts
            .iter()
            .find(|(part, _)| part == wanted)
            .map(|(_, node)| *node)
    };
    let mut vars = outer.clone();
    if let Some(node) = part("vars") {
        add_vars(&mut vars, node, "vars")?;
    }
    if let Some(node) = part("hosts") {
        for (host, own) in entries(node, "hosts")? {
            let line = own.span.start.line();
            if !hosts.insert(host.clone()) {
                return Err((line, host, Problem::Duplicate));
            }
            let mut vars = vars.clone();
            add_vars(&mut vars, own, &host)?;
            records.push(Record {
                line,
                name: host,
                vars,
            });
        }
    }
    if let Some(node) = part("children") {
        for (child, group) in entries(node, "children")? {
            group_records(&child, group, &vars, hosts, records)?;
        }
    }
    Ok(())
}
