//! Support for the golden tests: runs the program in a folder of its own and compares the outcome
//! with data files in `tests/golden`. The data files are frozen; a test can't write them.
#![allow(dead_code)] // Each test program uses a part of it.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::thread::{spawn, JoinHandle};
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

/// The program under test. The data files have `PROGRAM` in place of its name.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_protocol-gateway");
/// The adapter for the simulator.
pub(crate) const ADAPTER: &str = env!("CARGO_BIN_EXE_simulator-adapter");

/// Returns the root of the repository.
pub(crate) fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the file name of a program.
pub(crate) fn program_name(program: &str) -> &str {
    Path::new(program)
        .file_name()
        .and_then(|name| name.to_str())
        .expect("a program has a name")
}

/// Reads a data file of `tests/golden`.
pub(crate) fn data<T: for<'a> Deserialize<'a>>(name: &str) -> T {
    let text = std::fs::read_to_string(root().join("tests/golden").join(name))
        .expect("the data file is readable");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// A temporary folder that is removed when the value is dropped.
pub(crate) struct Folder(pub PathBuf);

impl Folder {
    pub(crate) fn new() -> Folder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "golden-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::SeqCst)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder can be created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The exit code and the output of a run of the program.
#[derive(Debug, PartialEq)]
pub(crate) struct ProgramOutcome {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

/// Maximum duration of a run. A node that starts where an error is expected is killed after it, and
/// has no exit code.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the program in a folder, with these variables as the only ones that configure it. In the
/// output its name is replaced by `PROGRAM`.
pub(crate) fn run(
    folder: &Path,
    args: &[String],
    env: &BTreeMap<String, String>,
) -> ProgramOutcome {
    let mut command = Command::new(PROGRAM);
    command.args(args).current_dir(folder).stdin(Stdio::null());
    command
        .env_remove("PROXY_CONFIG")
        .env_remove("PROXY_ADMIN")
        .env("TMPDIR", folder)
        .envs(env);
    let mut child = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let (done, closed) = channel();
    let out = read(
        child.stdout.take().expect("the stream is piped"),
        done.clone(),
    );
    let err = read(child.stderr.take().expect("the stream is piped"), done);
    if (0..2).any(|_| closed.recv_timeout(TIMEOUT).is_err()) {
        child.kill().expect("the program can be killed");
    }
    let code = child.wait().expect("the program can be waited for").code();
    let text = |bytes: Vec<u8>| {
        let text = String::from_utf8(bytes).expect("UTF-8 text");
        let replace_program_name = |text: &str| {
            text.strip_prefix(program_name(PROGRAM))
                .map(|rest| format!("PROGRAM{rest}"))
        };
        replace_program_name(&text).unwrap_or(text)
    };
    let read_output =
        |reader: JoinHandle<Vec<u8>>| text(reader.join().expect("the reader has not panicked"));
    ProgramOutcome {
        code,
        out: read_output(out),
        err: read_output(err),
    }
}

/// Reads a stream to its end on a thread, which then sends a message.
fn read(mut from: impl Read + Send + 'static, done: Sender<()>) -> JoinHandle<Vec<u8>> {
    spawn(move || {
        let mut bytes = Vec::new();
        let _ = from.read_to_end(&mut bytes);
        let _ = done.send(());
        bytes
    })
}

/// Files that a command accepts, and edits of one of them that it rejects. `TAKEN` is replaced by
/// an address that is in use, `ROOT` by the root of the repository.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Group {
    pub name: String,
    pub args: Vec<String>,
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// The lines of each file, by file name.
    pub files: BTreeMap<String, Vec<String>>,
    /// The line on standard error of the run with unchanged files. Without it, that run must print
    /// nothing and succeed.
    pub error: Option<String>,
    /// The file that the edits change.
    #[serde(default)]
    pub edit: String,
    #[serde(default)]
    pub bad: Vec<Bad>,
}

/// An edit that makes the file invalid, and the resulting line on standard error.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Bad {
    pub from: String,
    pub to: String,
    pub error: String,
}

/// Returns whether the program failed and printed this line alone. `...` in it matches text that is
/// not frozen.
fn failed_with(outcome: &ProgramOutcome, expected: &str) -> bool {
    let Some(line) = outcome
        .err
        .strip_suffix('\n')
        .filter(|line| !line.contains('\n'))
    else {
        return false;
    };
    let is_match = match expected.split_once("...") {
        None => line == expected,
        Some((start, end)) => {
            line.len() > start.len() + end.len() && line.starts_with(start) && line.ends_with(end)
        }
    };
    is_match && outcome.code == Some(1) && outcome.out.is_empty()
}

impl Group {
    /// Runs the command with the unchanged files and with each edit; returns the differences.
    pub(crate) fn check(&self) -> Vec<String> {
        let socket = TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds");
        let address_in_use = socket
            .local_addr()
            .expect("the socket is bound")
            .to_string();
        let fill_placeholders = |text: &str| {
            text.replace("TAKEN", &address_in_use)
                .replace("ROOT", &root().display().to_string())
        };
        let args: Vec<String> = self.args.iter().map(|a| fill_placeholders(a)).collect();
        let env = self
            .env
            .iter()
            .map(|(name, value)| (name.clone(), fill_placeholders(value)))
            .collect();
        let run_with_change = |change: Option<(&str, &str)>| {
            let folder = Folder::new();
            for (name, lines) in &self.files {
                let mut text = lines.join("\n") + "\n";
                if let Some((from, to)) = change.filter(|_| *name == self.edit) {
                    assert!(text.contains(from), "{}: no {from:?} in {name}", self.name);
                    text = text.replacen(from, to, 1);
                }
                std::fs::write(folder.0.join(name), fill_placeholders(&text))
                    .expect("the file can be written");
            }
            run(&folder.0, &args, &env)
        };
        let mut differences = Vec::new();
        let outcome = run_with_change(None);
        let silent_success = ProgramOutcome {
            code: Some(0),
            out: String::new(),
            err: String::new(),
        };
        if !self
            .error
            .as_ref()
            .map_or(outcome == silent_success, |expected| {
                failed_with(&outcome, expected)
            })
        {
            differences.push(format!("{}: unchanged: {outcome:?}", self.name));
        }
        for bad in &self.bad {
            let outcome = run_with_change(Some((&bad.from, &bad.to)));
            if !failed_with(&outcome, &bad.error) {
                differences.push(format!(
                    "{}: {:?} to {:?}: {outcome:?}",
                    self.name, bad.from, bad.to
                ));
            }
        }
        differences
    }
}

/// Checks every group of a data file.
pub(crate) fn check_groups(file: &str) {
    let groups: Vec<Group> = data(file);
    assert!(!groups.is_empty());
    let differences: Vec<String> = groups.iter().flat_map(Group::check).collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Returns the field names and types of a JSON value; a list has the shape of each element.
pub(crate) fn shape(value: &Value) -> Value {
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) => "bool".into(),
        Value::Number(_) => "number".into(),
        Value::String(_) => "string".into(),
        Value::Array(elements) => elements.iter().map(shape).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), shape(value)))
            .collect(),
    }
}
