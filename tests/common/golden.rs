//! What the golden tests share: runs of the program in a folder of their own, compared with data files in `tests/golden`.
//! The data files are frozen; a test can't write them.
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

/// The program under test; its name reads `PROGRAM` in the data files.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_protocol-gateway");
/// The adapter for the simulator.
pub(crate) const ADAPTER: &str = env!("CARGO_BIN_EXE_simulator-adapter");

/// The repository.
pub(crate) fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The file name of a program.
pub(crate) fn program_name(program: &str) -> &str {
    Path::new(program)
        .file_name()
        .and_then(|name| name.to_str())
        .expect("a program has a name")
}

/// A data file of `tests/golden`.
pub(crate) fn data<T: for<'a> Deserialize<'a>>(name: &str) -> T {
    let text =
        std::fs::read_to_string(root().join("tests/golden").join(name)).expect("a data file");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// A temporary folder that is removed with the value.
pub(crate) struct Folder(pub PathBuf);

impl Folder {
    pub(crate) fn new() -> Folder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let own = format!(
            "golden-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::SeqCst)
        );
        let path = std::env::temp_dir().join(own);
        std::fs::create_dir_all(&path).expect("a folder");
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

/// The longest that a run may take: a node that starts where an error is expected is killed, and has no exit code.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the program in a folder and without variables of its own but these; the program's name reads `PROGRAM` afterwards.
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
    let out = read(child.stdout.take().expect("a pipe"), done.clone());
    let err = read(child.stderr.take().expect("a pipe"), done);
    if (0..2).any(|_| closed.recv_timeout(TIMEOUT).is_err()) {
        child.kill().expect("it is killed");
    }
    let code = child.wait().expect("it ends").code();
    let text = |bytes: Vec<u8>| {
        let text = String::from_utf8(bytes).expect("text");
        let own = |text: &str| {
            text.strip_prefix(program_name(PROGRAM))
                .map(|rest| format!("PROGRAM{rest}"))
        };
        own(&text).unwrap_or(text)
    };
    let all = |reader: JoinHandle<Vec<u8>>| text(reader.join().expect("a reader"));
    ProgramOutcome {
        code,
        out: all(out),
        err: all(err),
    }
}

/// Reads a stream to its end in a thread, and sends a message then.
fn read(mut from: impl Read + Send + 'static, done: Sender<()>) -> JoinHandle<Vec<u8>> {
    spawn(move || {
        let mut bytes = Vec::new();
        let _ = from.read_to_end(&mut bytes);
        let _ = done.send(());
        bytes
    })
}

/// Files that a command accepts, and changes to one of them that it doesn't. `TAKEN` is replaced by an address that
/// is in use, `ROOT` by the repository.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Group {
    pub name: String,
    pub args: Vec<String>,
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// By file name, the lines of the file.
    pub files: BTreeMap<String, Vec<String>>,
    /// The line on standard error of the run with the files as they are; without it, the run prints nothing and succeeds.
    pub error: Option<String>,
    /// The file that the cases change.
    #[serde(default)]
    pub edit: String,
    #[serde(default)]
    pub bad: Vec<Bad>,
}

/// One change, and the line on standard error that follows.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Bad {
    pub from: String,
    pub to: String,
    pub error: String,
}

/// Whether the program failed with this one line and nothing else. `...` matches words that are not frozen.
fn failed_with(ended: &ProgramOutcome, want: &str) -> bool {
    let Some(line) = ended
        .err
        .strip_suffix('\n')
        .filter(|line| !line.contains('\n'))
    else {
        return false;
    };
    let fits = match want.split_once("...") {
        None => line == want,
        Some((start, end)) => {
            line.len() > start.len() + end.len() && line.starts_with(start) && line.ends_with(end)
        }
    };
    fits && ended.code == Some(1) && ended.out.is_empty()
}

impl Group {
    /// Runs the files as they are and with each change; returns what differs.
    pub(crate) fn check(&self) -> Vec<String> {
        let socket = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address_in_use = socket.local_addr().expect("bound").to_string();
        let real = |text: &str| {
            text.replace("TAKEN", &address_in_use)
                .replace("ROOT", &root().display().to_string())
        };
        let args: Vec<String> = self.args.iter().map(|a| real(a)).collect();
        let env = self
            .env
            .iter()
            .map(|(name, value)| (name.clone(), real(value)))
            .collect();
        let ended = |change: Option<(&str, &str)>| {
            let folder = Folder::new();
            for (name, lines) in &self.files {
                let mut text = lines.join("\n") + "\n";
                if let Some((from, to)) = change.filter(|_| *name == self.edit) {
                    assert!(text.contains(from), "{}: no {from:?} in {name}", self.name);
                    text = text.replacen(from, to, 1);
                }
                std::fs::write(folder.0.join(name), real(&text)).expect("a file");
            }
            run(&folder.0, &args, &env)
        };
        let mut differ = Vec::new();
        let found = ended(None);
        let nothing = ProgramOutcome {
            code: Some(0),
            out: String::new(),
            err: String::new(),
        };
        if !self
            .error
            .as_ref()
            .map_or(found == nothing, |want| failed_with(&found, want))
        {
            differ.push(format!("{}: unchanged: {found:?}", self.name));
        }
        for bad in &self.bad {
            let found = ended(Some((&bad.from, &bad.to)));
            if !failed_with(&found, &bad.error) {
                differ.push(format!(
                    "{}: {:?} to {:?}: {found:?}",
                    self.name, bad.from, bad.to
                ));
            }
        }
        differ
    }
}

/// Runs every group of a data file.
pub(crate) fn check_groups(file: &str) {
    let groups: Vec<Group> = data(file);
    assert!(!groups.is_empty());
    let differ: Vec<String> = groups.iter().flat_map(Group::check).collect();
    assert!(differ.is_empty(), "{}", differ.join("\n"));
}

/// The field names and types of a JSON value; a list has the shape of each element.
pub(crate) fn shape(value: &Value) -> Value {
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) => "bool".into(),
        Value::Number(_) => "number".into(),
        Value::String(_) => "string".into(),
        Value::Array(all) => all.iter().map(shape).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), shape(value)))
            .collect(),
    }
}
