//! The cases of the second review: each starts the project's own gateway as a separate process, with the
//! commands of the deploy file, between stand-ins of clients, engines and the name service, on loopback
//! addresses and the real clock. Standard library only; `review/build-2.sh` builds it.
//!
//! `cases NAME FOLDER` plays one case and writes `FOLDER/record.txt`. Exit codes: 0 the rule held, 1 it was
//! broken, 2 the case could not run. `TROUBLE=0` plays it without the disruption.

mod client;
mod engine;
mod gateway;
mod names;
mod record;
mod case_lengths;
mod case_full;
mod case_budget;
mod case_clock;
mod case_policy;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case that takes longer than this could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended; an error says why it could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if let Err(error) = record::open(&format!("{folder}/record.txt")) {
        eprintln!("{folder}/record.txt: {error}");
        exit(2);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        end(2, "the time limit of the case is over");
    });
    record::line(&format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let name = name.clone();
    let verdict = std::panic::catch_unwind(move || match name.as_str() {
        "lengths" => case_lengths::play(trouble),
        "full" => case_full::play(trouble),
        "budget" => case_budget::play(trouble),
        "clock" => case_clock::play(trouble),
        "policy" => case_policy::play(trouble),
        _ => Err(format!("no case is named {name}")),
    });
    match verdict.unwrap_or_else(|_| Err("a panic".into())) {
        Ok(true) => end(0, "the rule held"),
        Ok(false) => end(1, "the rule was broken"),
        Err(why) => end(2, &format!("the case could not run: {why}")),
    }
}

/// Ends all processes that the case started, and the case.
fn end(code: i32, why: &str) {
    gateway::end_all();
    record::line(why);
    println!("{why}");
    exit(code);
}
