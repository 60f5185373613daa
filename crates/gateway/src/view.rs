//! `bramblewharf fleet`: shows the status file of a gateway, as a table or as JSON.

use crate::operators;
use clap::{Args, ValueEnum};
use serde_json::Value;
use std::path::PathBuf;

/// Arguments of `bramblewharf fleet`.
#[derive(Args)]
pub struct Fleet {
    /// The part of the status to show.
    #[arg(value_enum, default_value = "status")]
    what: StatusPart,
    /// The operators' settings of the gateway, which name its status file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum StatusPart {
    Status,
    Members,
    Seats,
    Budgets,
}

/// Formats the requested part of the status.
pub fn show(args: &Fleet) -> Result<String, String> {
    let shown = args.settings.display();
    let text =
        std::fs::read_to_string(&args.settings).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    let operators = operators::read(&text, None).map_err(|e| format!("{shown}:{e}"))?;
    let path = operators.fleet.and_then(|fleet| fleet.status);
    let path =
        path.ok_or_else(|| format!("{shown}: fleet.status: is missing, so no status file is written"))?;
    let text = std::fs::read(&path).map_err(|e| format!("{}: cannot be read: {e}", path.display()))?;
    let status: Value = serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let part = match args.what {
        StatusPart::Status => &status,
        StatusPart::Members => &status["keeper"]["members"],
        StatusPart::Seats => &status["seat"],
        StatusPart::Budgets => &status["budgets"],
    };
    if args.json {
        return Ok(format!("{part:#}"));
    }
    Ok(match args.what {
        StatusPart::Status => {
            lines(&status, &["place", "incarnation", "asks_seat", "has_leave", "members", "passed_over"])
        }
        StatusPart::Members if part.is_null() => {
            "this gateway is not the leader of the fleet: ask the leader".into()
        }
        StatusPart::Members => {
            table(part, &["place", "incarnation", "standing", "silent_ms", "given", "needs"])
        }
        StatusPart::Seats if part.is_null() => "this gateway has no seat".into(),
        StatusPart::Seats => lines(part, &["seat", "votes", "keeper", "bids"]),
        StatusPart::Budgets => {
            table(part, &["budget", "whole", "floor", "leave", "in_use", "need", "leave_ends_in_ms"])
        }
    })
}

/// A JSON value as text for a table cell.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// One line per key.
fn lines(object: &Value, keys: &[&str]) -> String {
    keys.iter().map(|key| format!("{key:16} {}", plain(&object[*key]))).collect::<Vec<_>>().join("\n")
}

/// A table with a header line and padded columns.
fn table(rows: &Value, keys: &[&str]) -> String {
    let mut cells = vec![keys.iter().map(|key| key.to_string()).collect::<Vec<_>>()];
    let rows = rows.as_array().into_iter().flatten();
    cells.extend(rows.map(|row| keys.iter().map(|key| plain(&row[*key])).collect()));
    let width = |at: usize| cells.iter().map(|row| row[at].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..keys.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    cells.iter().map(line).collect::<Vec<_>>().join("\n")
}
