//! `protocol-gateway demo` as operators run it: on SIGTERM it prints its table and exits with code
//! 0.

use std::cell::Cell;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::process::CommandExt;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;

use clap::Parser;
use fault_testbed::demo::{self, DemoOptions};
use test_doubles::{wait_until, ScratchFile};

/// A demo in a process group of its own, which is killed when the value is dropped.
struct Demo {
    process: Child,
    stdout: BufReader<ChildStdout>,
    /// Keeps the temporary folder that the demo's files are in.
    _folder: ScratchFile,
}

/// Exit status and output of a demo.
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
        let stdout = BufReader::new(process.stdout.take().expect("the stream is piped"));
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
            let length = self.stdout.read_line(&mut line).expect("UTF-8 text");
            assert!(length > 0, "the demo ended before a line with {start}");
        }
    }

    fn wait(mut self) -> Outcome {
        let mut errors = self.process.stderr.take().expect("the stream is piped");
        let reader = thread::spawn(move || {
            let mut text = String::new();
            errors.read_to_string(&mut text).expect("UTF-8 text");
            text
        });
        let mut status = None;
        wait_until("the demo ends", || {
            status = self.process.try_wait().expect("the demo can be waited for");
            status.is_some()
        });
        let mut stdout = String::new();
        self.stdout.read_to_string(&mut stdout).expect("UTF-8 text");
        Outcome {
            status: status.expect("the demo has ended"),
            stdout,
            stderr: reader.join().expect("the reader has not panicked"),
        }
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        // A demo that has not ended is killed with its nodes.
        if matches!(self.process.try_wait(), Ok(None)) {
            let group = self.process.id();
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL -{group}")])
                .status();
        }
        let _ = self.process.wait();
    }
}

/// Sends SIGTERM to `target`, a process id or the negated id of a process group.
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
    let last_table = stdout.rsplit("\nmember ").next().expect("a table");
    for member in ["n1", "n2", "r1"] {
        let row = |line: &str| line.starts_with(&format!("{member} "));
        assert!(last_table.lines().any(row), "{member}: {stdout}");
    }
}

#[test]
fn demo_ends_with_its_table_when_it_receives_sigterm() {
    let mut demo = Demo::start();
    demo.read_until_line_starting_with("member ");
    demo.read_until_line_starting_with("r1 ");
    let pid = demo.process.id().to_string();
    terminate(&pid);
    assert_ended_with_table(&demo.wait());
}

/// Terminals and some supervisors signal the whole process group, so the demo's nodes and its
/// router receive the signal as well.
#[test]
fn demo_ends_with_its_table_when_its_process_group_receives_sigterm() {
    let mut demo = Demo::start();
    demo.read_until_line_starting_with("member ");
    demo.read_until_line_starting_with("r1 ");
    let group = format!("-{}", demo.process.id());
    terminate(&group);
    assert_ended_with_table(&demo.wait());
}

/// The demo's options, as on the command line.
#[derive(clap::Parser)]
struct DemoCommand {
    #[command(flatten)]
    options: DemoOptions,
}

/// Counts the tables that are written to it, and stops the demo once the first has been.
struct StopAfterTable<'a> {
    tables: usize,
    is_stopped: &'a Cell<bool>,
}

impl Write for StopAfterTable<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(bytes);
        self.tables += text.matches("\nmember ").count();
        self.is_stopped.set(self.tables > 0);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a demo that ends without its last table: a stop right after a table was the end.
#[test]
fn demo_that_is_stopped_right_after_a_table_prints_another() {
    let command = DemoCommand::try_parse_from(["demo", "--nodes", "2"]).expect("options");
    let is_stopped = Cell::new(false);
    let mut output = StopAfterTable {
        tables: 0,
        is_stopped: &is_stopped,
    };
    demo::run_with_output(&command.options, || is_stopped.get(), &mut output)
        .expect("the demo runs");
    assert_eq!(output.tables, 2);
}

#[test]
fn demo_with_an_unknown_node_fails_with_one_line() {
    let output = Command::new(env!("CARGO_BIN_EXE_protocol-gateway"))
        .args(["demo", "--nodes", "2", "--kill", "n3"])
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8(output.stderr).expect("UTF-8 text");
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert_eq!(
        stderr,
        "protocol-gateway: there is no node n3; they are called n1, n2, ...\n"
    );
}
