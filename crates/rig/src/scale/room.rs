//! Whether this machine has room for a measurement: said before anything is started.

use std::fs;

/// Processes that a measurement may start at the most.
pub const MOST_PROCESSES: usize = 300;

/// Bytes of memory that the machine has, and that are free for use.
pub fn memory() -> Result<(u64, u64), String> {
    let text = fs::read_to_string("/proc/meminfo").map_err(|e| format!("memory: can't be read: {e}"))?;
    let of = |key: &str| {
        let line = text.lines().find(|line| line.starts_with(key))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kib| kib * 1024)
    };
    of("MemTotal:").zip(of("MemAvailable:")).ok_or_else(|| "memory: /proc/meminfo doesn't tell".to_string())
}

/// No more than half of the machine's memory, no more than what is free, no more than so many processes.
pub fn check(memory: (u64, u64), bytes: u64, processes: usize) -> Result<(), String> {
    let mb = |bytes: u64| bytes / 1_000_000;
    let (all, free) = memory;
    let most = free.min(all / 2);
    if bytes > most {
        return Err(format!(
            "memory: needs about {} MB, and this machine has {} MB for it: fewer gateways or engines",
            mb(bytes),
            mb(most)
        ));
    }
    if processes > MOST_PROCESSES {
        return Err(format!("processes: {processes} are more than the {MOST_PROCESSES} that may be started"));
    }
    Ok(())
}

/// Sizes that make no sense are refused by name.
pub fn sized(name: &str, size: usize, least: usize, most: usize) -> Result<(), String> {
    if (least..=most).contains(&size) {
        return Ok(());
    }
    Err(format!("--{name}: {size} is not from {least} to {most}"))
}
