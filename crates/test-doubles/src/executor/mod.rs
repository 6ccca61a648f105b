//! The fake of the executor.

mod runs;

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::Value;

use crate::error::{expect_ok, TestDoubleError};
use crate::loopback_server::try_serve_connections;
use crate::waiting::lock_state;
use runs::{CommandLoss, ExecutorState};

/// An executor. Clones share their state.
///
/// The body of a request selects how its run proceeds: `serve` and `fail` end immediately, `bad` is
/// rejected as a command, `call:BODY` first calls the database with that body, and anything else,
/// such as `hang`, runs until it is stopped or finished.
#[derive(Clone)]
pub struct FakeExecutor {
    /// The address that nodes connect to.
    pub address: SocketAddr,
    state: Arc<Mutex<ExecutorState>>,
}

impl FakeExecutor {
    /// Starts the executor; panics if the operating system provides no socket.
    pub fn start() -> FakeExecutor {
        expect_ok(FakeExecutor::try_start())
    }

    /// Starts the executor.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the operating system provides no socket.
    pub fn try_start() -> Result<FakeExecutor, TestDoubleError> {
        let state = Arc::new(Mutex::new(ExecutorState::default()));
        let address = serve_links(state.clone())?;
        Ok(FakeExecutor { address, state })
    }

    /// Opens a second address of the same executor, which continues its runs and the positions of
    /// its notices.
    pub fn open_second_address(&self) -> SocketAddr {
        expect_ok(serve_links(self.state.clone()))
    }

    /// Returns the number of runs of requests with this body.
    pub fn run_count(&self, body: &str) -> usize {
        self.checked_state().run_count(body)
    }

    /// Returns the number of runs.
    pub fn total_runs(&self) -> usize {
        expect_ok(self.try_total_runs())
    }

    /// Returns the number of runs.
    ///
    /// # Errors
    /// [`TestDoubleError::Protocol`] if the node violated the protocol. The methods without `try_`
    /// panic in that case.
    pub fn try_total_runs(&self) -> Result<usize, TestDoubleError> {
        self.check_protocol()?;
        Ok(lock_state(&self.state).total_runs())
    }

    /// Returns the notice positions that links joined at, in order.
    pub fn join_positions(&self) -> Vec<u64> {
        self.checked_state().join_positions.clone()
    }

    /// Returns the number of commands to stop a run.
    pub fn kill_count(&self) -> usize {
        self.checked_state().kill_count
    }

    /// Stalls the cores: no run makes progress, and no command stops one.
    pub fn stand_still(&self) {
        self.checked_state().stand_still();
    }

    /// Resumes the cores after [`FakeExecutor::stand_still`].
    pub fn resume(&self) {
        self.checked_state().resume();
    }

    /// Sets whether each command to run is lost, together with its link.
    pub fn set_loses_commands(&self, loses_commands: bool) {
        self.checked_state().command_loss = if loses_commands {
            CommandLoss::All
        } else {
            CommandLoss::None
        };
    }

    /// Leaves the link open, but ignores commands and sends no notices on it; the next link works.
    pub fn leave_link_half_open(&self) {
        self.checked_state().is_link_half_open = true;
    }

    /// Sets the gauge readings that the node receives, in the order of the settings.
    pub fn set_gauges(&self, gauges: [f64; 4]) {
        self.checked_state().gauges = gauges;
    }

    /// Sets the age of the executor, which it reports to nodes that connect from now on.
    pub fn set_age(&self, age: Duration) {
        self.checked_state().age = age;
    }

    /// Returns the number of runs that are on the cores now.
    pub fn on_cores(&self) -> usize {
        self.checked_state().on_cores()
    }

    /// Returns the peak number of runs on the cores.
    pub fn peak_on_cores(&self) -> usize {
        self.checked_state().peak_on_cores
    }

    /// Returns the smallest number of stop commands that any run in progress has received; `None`
    /// without runs.
    pub fn fewest_kills(&self) -> Option<usize> {
        self.checked_state().fewest_kills()
    }

    /// Finishes a hanging run successfully.
    ///
    /// # Panics
    /// Panics if no such run is in progress.
    pub fn finish_run(&self, body: &str) {
        let finished = self.checked_state().finish_run(body);
        assert!(finished, "no run of {body} is in progress");
    }

    /// Breaks the link; notices are kept for the next link.
    pub fn break_link(&self) {
        self.checked_state().break_link();
    }

    /// Loses the next command to run, together with the link.
    pub fn lose_next_command(&self) {
        self.checked_state().command_loss = CommandLoss::Next;
    }

    /// Checks that the node has not violated the protocol.
    ///
    /// # Errors
    /// [`TestDoubleError::Protocol`] with the first violation.
    pub fn check_protocol(&self) -> Result<(), TestDoubleError> {
        let error = lock_state(&self.state).protocol_error.clone();
        error.map_or(Ok(()), |error| Err(TestDoubleError::Protocol(error)))
    }

    fn checked_state(&self) -> MutexGuard<'_, ExecutorState> {
        expect_ok(self.check_protocol());
        lock_state(&self.state)
    }
}

/// Listens for links to the executor, and returns the address.
fn serve_links(state: Arc<Mutex<ExecutorState>>) -> Result<SocketAddr, TestDoubleError> {
    try_serve_connections(move |stream| {
        if let Err(error) = read_commands(&stream, &state) {
            let mut state = lock_state(&state);
            state.protocol_error.get_or_insert(error.to_string());
            state.break_link();
        }
    })
}

/// Handles the commands of a link until its end.
fn read_commands(stream: &TcpStream, state: &Mutex<ExecutorState>) -> Result<(), TestDoubleError> {
    let Ok(reading_half) = stream.try_clone() else {
        return Ok(());
    };
    let mut reader = BufReader::new(reading_half);
    let mut line = String::new();
    // A node that is killed may leave an incomplete line at the end.
    while reader.read_line(&mut line).is_ok() && line.ends_with('\n') {
        let command: Value = serde_json::from_str(&line)?;
        line.clear();
        let mut state = lock_state(state);
        if command["action"] == "JOIN" {
            let position = command["pos"].as_u64();
            let position = position
                .ok_or_else(|| TestDoubleError::Protocol(format!("no position: {command}")))?;
            let Ok(writing_half) = stream.try_clone() else {
                return Ok(());
            };
            state.join_link(position, writing_half);
        } else {
            state.handle_command(&command)?;
        }
    }
    Ok(())
}
