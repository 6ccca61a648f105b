//! Runs of one simulation with different seeds, in parallel.

use std::num::NonZero;
use std::thread;

/// Runs a simulation with the seeds 1, 2, 3, ... and returns the results in the order of the seeds.
/// Each run is determined by its seed, so that the order of execution does not matter.
pub(crate) fn run_seeds<T: Send>(runs: u64, simulate: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let thread_count = thread::available_parallelism().map_or(1, NonZero::get) as u64;
    let simulate = &simulate;
    let mut results: Vec<(u64, T)> = thread::scope(|scope| {
        let workers: Vec<_> = (1..=thread_count.min(runs))
            .map(|first_seed| {
                let seeds = (first_seed..=runs).step_by(thread_count as usize);
                scope.spawn(move || seeds.map(|seed| (seed, simulate(seed))).collect::<Vec<_>>())
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
