//! Runs instances of the policy for the simulator, which sends events on standard input and reads
//! actions from standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use protocol_gateway::wire::Host;

fn main() -> ExitCode {
    // The reply carries a panic's message; the backtrace would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line
            .map_err(|e| e.to_string())
            .and_then(|line| host.handle_line(&line));
        let written = match reply {
            Ok(reply) => writeln!(out, "{reply}").and_then(|()| out.flush()),
            Err(error) => {
                eprintln!("line {}: {}", number + 1, error.replace('\n', " "));
                return ExitCode::FAILURE;
            }
        };
        if written.is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
