//! Measurements on drawn fleets, as tables: `cargo run --release -p fleet-simulation -- help`.

use std::time::Duration;

use clap::{Parser, Subcommand};
use fleet_simulation::budgets::{Play, Report, Way, World};
use fleet_simulation::gathering::{
    Broken, Play as Gathered, Report as GatherReport, World as GatherWorld,
};
use fleet_simulation::plays::{play, sized, wrongly, Case, CASES};
use fleet_simulation::{FocaPeer, Heartbeats, Peer, PlainSwim, ViewPeer};

/// Drawn fleets, measured.
#[derive(Parser)]
#[command(name = "fleet-simulation")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The hard cases: time until settled, and members wrongly given up.
    Hard {
        /// Nodes.
        #[arg(long, default_value_t = 24)]
        nodes: usize,
        /// Plays of each case, with the seeds 1, 2, 3, ...
        #[arg(long, default_value_t = 20)]
        plays: u64,
    },
    /// What size does: detection, joining, traffic.
    Sizes {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_value = "16,64,256,1024")]
        nodes: Vec<usize>,
        /// Plays of each.
        #[arg(long, default_value_t = 5)]
        plays: u64,
        /// Only the shipped view.
        #[arg(long)]
        view: bool,
    },
    /// A budget of calls at once, under drawn faults: looks at which the ledger had more in hand than the total.
    Budgets {
        /// Plays, with the seeds 1, 2, 3, ...
        #[arg(long, default_value_t = 200)]
        plays: u64,
        /// Nodes.
        #[arg(long, default_value_t = 6)]
        nodes: usize,
    },
    /// Counts and judgements, gathered: estimates against what was true, verdicts on a ledger that some can't reach, traffic.
    Gather {
        /// Plays of each, with the seeds 1, 2, 3, ...
        #[arg(long, default_value_t = 200)]
        plays: u64,
        /// Nodes of the plays.
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// Sizes at which traffic is measured, one play each.
        #[arg(long, value_delimiter = ',', default_value = "16,256,4096")]
        sizes: Vec<usize>,
    },
    /// Members wrongly given up under loss, or with one slow node.
    Wrongly {
        /// Nodes.
        #[arg(long, default_value_t = 256)]
        nodes: usize,
        /// Part of the datagrams that is lost.
        #[arg(long, default_value_t = 0.2)]
        loss: f64,
        /// How late one node does all that it does, in milliseconds at most.
        #[arg(long, default_value_t = 0)]
        slow_ms: u64,
        /// Drawn seconds.
        #[arg(long, default_value_t = 3600)]
        seconds: u64,
        /// Plays.
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// Beside it the library foca as well, which takes the longest to play.
        #[arg(long)]
        foca: bool,
    },
}

fn secs(d: Option<Duration>) -> String {
    d.map_or("never".into(), |d| format!("{:.2}", d.as_secs_f64()))
}

/// Plays run side by side; each has its own seed, so the order does not matter.
fn side_by_side<T: Send>(plays: u64, one: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
    let mut done: Vec<(u64, T)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.min(plays))
            .map(|w| {
                let one = &one;
                scope.spawn(move || {
                    (0..plays)
                        .filter(|p| p % threads == w)
                        .map(|p| (p, one(p + 1)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|w| w.join().unwrap_or_default())
            .collect()
    });
    done.sort_by_key(|(play, _)| *play);
    done.into_iter().map(|(_, out)| out).collect()
}

fn gather(nodes: usize, plays: u64, sizes: &[usize]) {
    let middle = |mut of: Vec<u64>| {
        of.sort_unstable();
        let at = |part: f64| {
            of.get(((of.len() as f64 * part) as usize).min(of.len().max(1) - 1))
                .copied()
                .unwrap_or(0)
        };
        (at(0.5), at(0.99))
    };
    println!(
        "| play | looks | too low | none fresh | too high, part | age ms, median / 99th | wrong of judged |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (faults, broken) in [
        (false, Broken::Nothing),
        (true, Broken::Nothing),
        (true, Broken::Path),
        (true, Broken::Site),
        (true, Broken::Ledger),
        (false, Broken::Path),
        (false, Broken::Site),
        (false, Broken::Ledger),
    ] {
        let play = Gathered {
            nodes,
            long: Duration::from_secs(60),
            loss: 0.2,
            faults,
            ageless: false,
            broken,
        };
        let play = if faults {
            play
        } else {
            Gathered { loss: 0.0, ..play }
        };
        let all = side_by_side(plays, |seed| GatherWorld::new(play.clone(), seed).run());
        let sum = |f: fn(&GatherReport) -> u64| all.iter().map(f).sum::<u64>();
        let ages = middle(all.iter().flat_map(|r| r.ages.iter().copied()).collect());
        let (over, counted) = (sum(|r| r.too_high.0), sum(|r| r.too_high.1));
        println!(
            "| {broken:?}, faults {faults} | {} | {} | {} | {:.3} | {} / {} | {} of {} |",
            sum(|r| r.looks),
            sum(|r| r.too_low),
            sum(|r| r.stale),
            over as f64 / counted.max(1) as f64,
            ages.0,
            ages.1,
            sum(|r| r.wrong),
            sum(|r| r.judged)
        );
        let back = |f: fn(&GatherReport) -> Option<Duration>| {
            let mut times: Vec<Duration> = all.iter().filter_map(f).collect();
            times.sort();
            (
                secs(times.get(times.len() / 2).copied()),
                secs(times.last().copied()),
                times.len(),
            )
        };
        if broken != Broken::Nothing && !faults {
            let first = back(|r| r.held_back.map(|h| h.0));
            let last = back(|r| r.held_back.map(|h| h.1));
            let on = back(|r| r.went_on);
            println!("| held back first {first:?}, all {last:?}, went on {on:?} (median s, worst s, plays) | | | | | | |");
        }
    }
    println!("\n| nodes | age ms, median / 99th | bytes/s, mean | bytes/s, a gatherer | memory of a gatherer, kB |");
    println!("| --- | --- | --- | --- | --- |");
    for &nodes in sizes {
        let long = Duration::from_secs(30);
        let play = Gathered {
            nodes,
            long,
            loss: 0.0,
            faults: false,
            ageless: false,
            broken: Broken::Nothing,
        };
        let report = GatherWorld::new(play, 1).run();
        let ages = middle(report.ages);
        let second = |bytes: u64| bytes / long.as_secs();
        println!(
            "| {nodes} | {} / {} | {} | {} | {} |",
            ages.0,
            ages.1,
            second(report.bytes.1) / nodes as u64,
            second(report.bytes.0),
            report.memory / 1024
        );
    }
}

fn hard<P: Peer>(case: Case, nodes: usize, plays: u64) {
    let all = side_by_side(plays, |seed| play::<P>(case, nodes, seed));
    let mut times: Vec<Duration> = all.iter().filter_map(|o| o.settled).collect();
    times.sort();
    let median = times.get(times.len() / 2).copied();
    let worst = if times.len() < all.len() {
        None
    } else {
        times.last().copied()
    };
    let wrongly: usize = all.iter().map(|o| o.wrongly).sum();
    println!(
        "| {case:?} | {} | {} | {} | {wrongly} |",
        P::NAME,
        secs(median),
        secs(worst)
    );
}

fn size<P: Peer>(nodes: usize, plays: u64) {
    let all: Vec<_> = side_by_side(plays, |seed| sized::<P>(nodes, seed))
        .into_iter()
        .flatten()
        .collect();
    let middle = |mut list: Vec<Duration>| {
        list.sort();
        (list.get(list.len() / 2).copied(), list.last().copied())
    };
    let first = middle(all.iter().filter_map(|o| o.detected.map(|d| d.0)).collect());
    let last = middle(all.iter().filter_map(|o| o.detected.map(|d| d.1)).collect());
    let joined = middle(all.iter().filter_map(|o| o.joined).collect());
    let mean = |f: fn(&fleet_simulation::plays::Sized) -> f64| {
        all.iter().map(f).sum::<f64>() / all.len().max(1) as f64
    };
    println!(
        "| {nodes} | {} | {} | {} / {} | {} / {} | {:.1} | {:.0} | {} |",
        P::NAME,
        secs(first.0),
        secs(last.0),
        secs(last.1),
        secs(joined.0),
        secs(joined.1),
        mean(|o| o.datagrams),
        mean(|o| o.bytes),
        all.len()
    );
}

fn wrong<P: Peer>(nodes: usize, loss: f64, slow: Duration, long: Duration, plays: u64) {
    let all: Vec<usize> = side_by_side(plays, |seed| wrongly::<P>(nodes, loss, slow, long, seed))
        .into_iter()
        .flatten()
        .collect();
    println!("| {} | {} | {all:?} |", P::NAME, all.iter().sum::<usize>());
}

fn budgets(plays: u64, nodes: usize) {
    let faults = Play {
        nodes,
        ..Play::default()
    };
    println!(
        "| way | plays | looks | over the total | most over | what may be spent over | use, mean |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for way in [Way::Leases, Way::Static, Way::Estimates] {
        let all = side_by_side(plays, |seed| World::new(faults.clone(), way, seed).run());
        let sum = |f: fn(&Report) -> u64| all.iter().map(f).sum::<u64>();
        let most = all.iter().map(|r| r.most_over).max().unwrap_or(0);
        let used = all.iter().map(|r| mean(&r.use_of_total)).sum::<f64>() / plays as f64;
        let (looks, over, limits) = (sum(|r| r.looks), sum(|r| r.over), sum(|r| r.limits_over));
        println!("| {way:?} | {plays} | {looks} | {over} | {most} | {limits} | {used:.2} |");
    }
    // All alike for 20 s, then one wants nearly all.
    let skewed = Play {
        nodes,
        floor: 0,
        loss: 0.0,
        faults: false,
        long: Duration::from_secs(40),
        demand: |id, now| {
            if now < Duration::from_secs(20) {
                20
            } else if id == 4 {
                96
            } else {
                5
            }
        },
        ..Play::default()
    };
    println!("\n| one of {nodes} wants 80% from 20 s on | use at 1 s | 2 s | 3 s | mean of 5 s to 15 s |");
    println!("| --- | --- | --- | --- | --- |");
    for way in [Way::Leases, Way::Static] {
        let all = side_by_side(plays.min(20), |seed| {
            World::new(skewed.clone(), way, seed).run()
        });
        let at = |from: usize, to: usize| {
            all.iter()
                .map(|r| mean(&r.use_of_total[from..to]))
                .sum::<f64>()
                / all.len() as f64
        };
        println!(
            "| {way:?} | {:.2} | {:.2} | {:.2} | {:.2} |",
            at(209, 211),
            at(219, 221),
            at(229, 231),
            at(250, 350)
        );
    }
    let cut = Play {
        nodes,
        faults: false,
        loss: 0.05,
        cut: Some(Duration::from_secs(30)),
        ..Play::default()
    };
    let all = side_by_side(plays.min(20), |seed| {
        World::new(cut.clone(), Way::Leases, seed).run()
    });
    let over: u64 = all.iter().map(|r| r.over).sum();
    println!(
        "\ntotal cut by half under full use, {} plays: {over} looks over it once 8 s had passed",
        all.len()
    );
}
fn mean(of: &[f64]) -> f64 {
    of.iter().sum::<f64>() / of.len().max(1) as f64
}

fn main() {
    match Cli::parse().command {
        Command::Hard { nodes, plays } => {
            println!(
                "| case | | settled, median s | worst s | wrongly gone |\n| --- | --- | --- | --- | --- |"
            );
            for case in CASES {
                hard::<ViewPeer>(case, nodes, plays);
                hard::<PlainSwim>(case, nodes, plays);
                hard::<FocaPeer>(case, nodes, plays);
                hard::<Heartbeats>(case, nodes, plays);
            }
        }
        Command::Sizes { nodes, plays, view } => {
            println!("| nodes | | first gives up, s | all, median / worst s | joined, median / worst s | datagrams/s | bytes/s | plays |");
            println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
            for nodes in nodes {
                size::<ViewPeer>(nodes, plays);
                if !view {
                    size::<PlainSwim>(nodes, plays);
                    size::<FocaPeer>(nodes, plays);
                    size::<Heartbeats>(nodes, plays);
                }
            }
            println!(
                "a member takes about {} bytes and its name",
                membership::MembershipView::bytes_per_member()
            );
        }
        Command::Gather {
            plays,
            nodes,
            sizes,
        } => gather(nodes, plays, &sizes),
        Command::Budgets { plays, nodes } => budgets(plays, nodes),
        Command::Wrongly {
            nodes,
            loss,
            slow_ms,
            seconds,
            plays,
            foca,
        } => {
            let (slow, long) = (Duration::from_millis(slow_ms), Duration::from_secs(seconds));
            println!("| | wrongly gone | by play |\n| --- | --- | --- |");
            wrong::<ViewPeer>(nodes, loss, slow, long, plays);
            wrong::<PlainSwim>(nodes, loss, slow, long, plays);
            wrong::<Heartbeats>(nodes, loss, slow, long, plays);
            if foca {
                wrong::<FocaPeer>(nodes, loss, slow, long, plays);
            }
        }
    }
}
