//! The resource usage of a process, from `/proc`.

use crate::error::TestDoubleError;

/// Milliseconds per clock tick of the kernel.
const MS_PER_TICK: u64 = 10;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the program's name. The
/// system time follows it.
const USER_TIME_FIELD: usize = 11;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Number of threads.
    pub threads: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// Resident memory, in KiB.
    pub resident_kb: u64,
    /// Resident anonymous memory, in KiB.
    pub anonymous_kb: u64,
    /// Processor time since the start of the process, in milliseconds with a resolution of 10 ms.
    pub processor_ms: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the process does not run, [`TestDoubleError::Missing`] if a value
    /// is absent.
    pub(crate) fn read(pid: u32) -> Result<ProcessUsage, TestDoubleError> {
        let folder = format!("/proc/{pid}");
        let status = read_text(&format!("{folder}/status"))?;
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok())
                .ok_or(TestDoubleError::Missing(
                    "a value in the status of a process",
                ))
        };
        let descriptors = format!("{folder}/fd");
        let descriptors =
            std::fs::read_dir(&descriptors).map_err(TestDoubleError::io(&descriptors))?;
        Ok(ProcessUsage {
            threads: value("Threads:")?,
            descriptors: descriptors.count() as u64,
            resident_kb: value("VmRSS:")?,
            anonymous_kb: value("RssAnon:")?,
            processor_ms: parse_processor_ms(&read_text(&format!("{folder}/stat"))?)?,
        })
    }
}

/// Returns the processor time from the text of `/proc/PID/stat`.
fn parse_processor_ms(stat: &str) -> Result<u64, TestDoubleError> {
    let missing = TestDoubleError::Missing("the processor time of a process");
    // The program's name is in parentheses and may contain any character.
    let Some((_, fields)) = stat.rsplit_once(") ") else {
        return Err(missing);
    };
    let times: Vec<u64> = fields
        .split(' ')
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|ticks| ticks.parse().ok())
        .collect();
    match times[..] {
        [user, system] => Ok((user + system) * MS_PER_TICK),
        _ => Err(missing),
    }
}

fn read_text(path: &str) -> Result<String, TestDoubleError> {
    std::fs::read_to_string(path).map_err(TestDoubleError::io(path))
}
