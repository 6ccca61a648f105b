//! Executes seeds of the soak test in parallel, and prints a report of each: its faults, and the
//! order of events if a rule was violated.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::thread;

use clap::Parser;
use fault_soak::{run_seed, Plan};

/// Plays seeds of the soak test.
#[derive(Parser)]
struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 50)]
    count: u64,
    /// How many are played at once.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Draw further conditions: several nodes, keys, scarce memory, series of signals, clients that
    /// hold on to connections.
    #[arg(long)]
    conditions: bool,
    /// Print the logs of nodes that broke a rule.
    #[arg(long)]
    logs: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let next = AtomicU64::new(args.first);
    let (broken, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..args.jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, SeqCst);
                if seed >= args.first + args.count {
                    return;
                }
                let plan = if args.conditions {
                    Plan::draw_with_conditions(seed)
                } else {
                    Plan::draw(seed)
                };
                match run_seed(&plan) {
                    Ok(report) => {
                        println!("{report}");
                        if !report.violations.is_empty() {
                            broken.fetch_add(1, SeqCst);
                            if args.logs {
                                println!("{}", report.logs.join("\n--- next process\n"));
                            }
                        }
                    }
                    Err(error) => {
                        failed.fetch_add(1, SeqCst);
                        println!("seed {seed} was not played: {error}");
                    }
                }
            });
        }
    });
    let (broken, failed) = (broken.load(SeqCst), failed.load(SeqCst));
    println!(
        "{} seeds, {broken} with a broken rule, {failed} not played",
        args.count
    );
    if broken + failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
