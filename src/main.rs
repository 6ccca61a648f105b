//! The billing node: reads its configuration, starts the actors, and leaves when told to.
#![forbid(unsafe_code)]

use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{after, bounded, select, Receiver, Sender};
use mothwinch::amqp::Amqp;
use mothwinch::inventory::{self, InventoryError};
use mothwinch::net::jsonrpc::Front;
use mothwinch::net::{database, executor, membership, spawn};
use mothwinch::node::config::{Config, ConfigError};
use mothwinch::node::{Board, Limits, Module, Msg, Peers};
use slog::{info, o, Drain, Logger};

const USAGE: &str = "usage: mothwinch [--inventory FILE]\n\nPROXY_CONFIG names the configuration; FILE (.yaml, .yml or .csv) the broker queues to consume from.";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let inventory = match args[..] {
        [] => None,
        ["--inventory", file] => Some(PathBuf::from(file)),
        ["--help"] => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match serve(inventory.as_deref()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("mothwinch: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Why the node did not start.
#[derive(Debug)]
enum StartError {
    Config(ConfigError),
    Inventory(InventoryError),
    System(&'static str, io::Error),
}
impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Config(e) => write!(f, "{e}"),
            StartError::Inventory(e) => write!(f, "{e}"),
            StartError::System(what, e) => write!(f, "{what}: {e}"),
        }
    }
}

fn logger(name: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    Logger::root(drain, o!("node" => name.to_string()))
}

fn serve(inventory: Option<&Path>) -> Result<ExitCode, StartError> {
    let config = Config::from_env().map_err(StartError::Config)?;
    let mut limits = Limits::new(config.sockets);
    let env = |name: &str| std::env::var(name).ok();
    let queues = inventory.map_or(Ok(Vec::new()), |file| inventory::read(file, &config.site, &limits, env));
    let queues = queues.map_err(StartError::Inventory)?;
    limits.connections = limits.connections.saturating_sub(queues.len());
    let system = |what| move |e| StartError::System(what, e);
    let log = logger(&config.name);
    let signals = signals(&limits).map_err(system("signals"))?;
    let listener = TcpListener::bind(config.listen).map_err(system("listen"))?;

    let board = Arc::new(Board::default());
    let (module, inbox) = bounded(limits.module_mailbox);
    let (to_executor, executor_inbox) = bounded(limits.executor_mailbox);
    let (to_database, database_inbox) = bounded(limits.database_lanes * 4);
    let (to_list, list_inbox) = bounded(1);

    let grace = Duration::from_micros(config.site.settings.drain_grace.0.unsigned_abs());
    let site = Arc::new(config.site);
    let peers = Peers { executor: to_executor, database: to_database };
    let told = (site.clone(), config.seed, config.stop);
    let actor = Module::new(told, limits.clone(), peers, board.clone(), log.new(o!("actor" => "module")));
    // Dropped when the module's thread ends, however it ends: without it the node is of no use.
    let (alive, ended) = bounded::<()>(0);
    spawn("module", limits.module_stack, move || {
        let _alive = alive;
        actor.run(&inbox);
    })
    .map_err(system("threads"))?;

    let (at, own, own_log, tell) =
        (config.executor, limits.clone(), log.new(o!("actor" => "executor")), module.clone());
    spawn("executor", limits.stack, move || executor::run(at, &own, &executor_inbox, &tell, &own_log))
        .map_err(system("threads"))?;
    let database_log = log.new(o!("actor" => "database"));
    database::start(config.database, &limits, &database_inbox, &module, &database_log)
        .map_err(system("threads"))?;
    let (at, own, own_log, own_board) =
        (config.members, limits.clone(), log.new(o!("actor" => "list")), board.clone());
    let name = config.name;
    spawn("list", limits.stack, move || membership::run(at, &name, &own, &own_board, &list_inbox, &own_log))
        .map_err(system("threads"))?;
    let front_log = log.new(o!("actor" => "front"));
    let amqp_log = log.new(o!("actor" => "amqp"));
    let amqp = Amqp::start(queues, (site.clone(), config.seed), &limits, &board, &module, &amqp_log)
        .map_err(system("threads"))?;
    let front =
        Front::start(listener, site, &limits, &board, &module, &front_log).map_err(system("threads"))?;
    info!(log, "listening"; "at" => %front.address());

    select! {
        recv(signals) -> _ => {}
        recv(ended) -> _ => return Ok(ExitCode::FAILURE),
    }
    let told = Instant::now();
    board.leave();
    let _ = module.send(Msg::Drain);
    let _ = to_list.send(membership::Report::Out);
    front.farewell();
    amqp.leave();
    let stop = config.stop.saturating_sub(limits.stop_margin / 4);
    let mut closed = false;
    loop {
        let quiet = front.open() == 0 && board.owed() == 0 && amqp.has_left();
        // Who has not heard of the notice yet still comes; those that are early enough are served.
        if !closed && quiet && told.elapsed() > grace {
            closed = true;
            front.close();
            front.farewell();
        }
        if (closed && quiet && front.connections() == 0) || told.elapsed() >= stop {
            info!(log, "left"; "owed" => board.owed(), "unwritten" => front.open(),
                "unsettled" => amqp.unsettled(), "ms" => told.elapsed().as_millis() as u64);
            return Ok(ExitCode::SUCCESS);
        }
        select! {
            recv(after(limits.drain_tick)) -> _ => {}
            recv(ended) -> _ => return Ok(ExitCode::FAILURE),
        }
    }
}

/// A channel that tells of SIGTERM and SIGINT.
fn signals(limits: &Limits) -> io::Result<Receiver<i32>> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let (tell, told): (Sender<i32>, _) = bounded(1);
    spawn("signals", limits.stack, move || {
        for signal in signals.forever() {
            let _ = tell.try_send(signal);
        }
    })?;
    Ok(told)
}
