//! `protocol-gateway demo` as operators run it: it ends with its table and exit code 0 when it is told to.

use std::io::{BufRead, BufReader, Read};
use std::os::unix::process::CommandExt;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;

use test_doubles::{wait_until, ScratchFile};

/// A demo in a process group of its own, ended with the value.
struct Demo {
    process: Child,
    stdout: BufReader<ChildStdout>,
    /// Keeps the temporary folder that the demo's files are in.
    _folder: ScratchFile,
}

/// How a demo ended, and what it wrote.
struct Outcome {
    status: ExitStatus,
    stdout: String,
    stderr: String,
}

impl Demo {
    fn start() -> Demo {
        let folder = ScratchFile::new("demo", "");
        let mut process = Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
            .args(["demo", "--nodes", "2"])
            .env_remove("PROXY_CONFIG")
            .env("TMPDIR", folder.folder())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .process_group(0)
            .spawn()
            .expect("the program starts");
        let stdout = BufReader::new(process.stdout.take().expect("it is piped"));
        Demo {
            process,
            stdout,
            _folder: folder,
        }
    }

    fn read_until_line_starting_with(&mut self, start: &str) {
        let mut line = String::new();
        while !line.starts_with(start) {
            line.clear();
            let length = self.stdout.read_line(&mut line).expect("text");
            assert!(length > 0, "the demo ended before a line with {start}");
        }
    }

    fn wait(mut self) -> Outcome {
        let mut errors = self.process.stderr.take().expect("it is piped");
        let reader = thread::spawn(move || {
            let mut text = String::new();
            errors.read_to_string(&mut text).expect("text");
            text
        });
        let mut status = None;
        wait_until("the demo ends", || {
            status = self.process.try_wait().expect("a child");
            status.is_some()
        });
        let mut stdout = String::new();
        self.stdout.read_to_string(&mut stdout).expect("text");
        Outcome {
            status: status.expect("it has ended"),
            stdout,
            stderr: reader.join().expect("text"),
        }
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        // One that has not ended is killed with its nodes.
        if matches!(self.process.try_wait(), Ok(None)) {
            let group = self.process.id();
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL -{group}")])
                .status();
        }
        let _ = self.process.wait();
    }
}

/// Sends SIGTERM to `target`, a process id or minus the id of a group.
fn terminate(target: &str) {
    let kill = Command::new("/bin/sh")
        .args(["-c", &format!("kill -TERM {target}")])
        .status();
    assert!(kill.expect("a shell").success());
}

fn assert_ended_with_table(outcome: &Outcome) {
    let Outcome {
        status,
        stdout,
        stderr,
    } = outcome;
    assert_eq!(status.code(), Some(0), "stdout: {stdout}\nstderr: {stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
    let last_table = stdout.rsplit("\nmember ").next().expect("text");
    for member in ["n1", "n2", "r1"] {
        let row = |line: &str| line.starts_with(&format!("{member} "));
        assert!(last_table.lines().any(row), "{member}: {stdout}");
    }
}

#[test]
fn a_demo_ends_with_its_table_when_it_receives_sigterm() {
    let mut demo = Demo::start();
    demo.read_until_line_starting_with("member ");
    demo.read_until_line_starting_with("r1 ");
    let pid = demo.process.id().to_string();
    terminate(&pid);
    assert_ended_with_table(&demo.wait());
}

/// A terminal and some supervisors signal the whole process group, so the demo's nodes and its router end as well.
#[test]
fn a_demo_ends_with_its_table_when_its_process_group_receives_sigterm() {
    let mut demo = Demo::start();
    demo.read_until_line_starting_with("member ");
    demo.read_until_line_starting_with("r1 ");
    let group = format!("-{}", demo.process.id());
    terminate(&group);
    assert_ended_with_table(&demo.wait());
}

#[test]
fn a_demo_with_an_unknown_node_fails_with_one_line() {
    let output = Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
        .args(["demo", "--nodes", "2", "--kill", "n3"])
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert_eq!(
        stderr,
        "protocol-gateway: there is no node n3; they are called n1, n2, ...\n"
    );
}
