use {
    anyhow::{Context, Result},
    nix::sys::resource::{UsageWho, getrusage},
    std::{fs, time::Duration},
};

/// Linux file with the memory use of the process.
const STATUS_FILE: &str = "/proc/self/status";

/// Memory and CPU time that the process uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage {
    pub(crate) resident_bytes: u64,
    /// User and system CPU time since the start of the process.
    pub(crate) cpu_time: Duration,
}

impl ProcessUsage {
    /// Reads the current values from the kernel.
    pub(crate) fn read() -> Result<ProcessUsage> {
        let status = fs::read_to_string(STATUS_FILE).context(STATUS_FILE)?;
        let resident_kb: u64 = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|value| value.trim().trim_end_matches("kB").trim().parse().ok())
            .with_context(|| format!("{STATUS_FILE} has no valid VmRSS line"))?;
        let usage = getrusage(UsageWho::RUSAGE_SELF).context("getrusage")?;
        let cpu_us: i64 = [usage.user_time(), usage.system_time()]
            .iter()
            .map(|time| time.tv_sec() * 1_000_000 + time.tv_usec())
            .sum();
        Ok(ProcessUsage {
            resident_bytes: resident_kb * 1_024,
            cpu_time: Duration::from_micros(cpu_us.unsigned_abs()),
        })
    }
}
