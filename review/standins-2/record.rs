//! `record.txt`: what was sent, answered and run, each line with the milliseconds since the start.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &str) -> io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Milliseconds since the start of the case.
pub fn ms(at: Instant) -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| at.saturating_duration_since(*start).as_secs_f64() * 1e3)
}

pub fn line(text: &str) {
    if let Some((_, file)) = RECORD.get() {
        let at = ms(Instant::now());
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{at:9.1} {text}");
        }
    }
}
