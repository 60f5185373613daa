//! Parses the list of engines in the configuration.

use crate::reducer::ListedEngine;
use bramblewharf::interface::{EngineEntry, EngineState, Id, ProcessStart};
use serde_json::Value;
use std::collections::BTreeMap;

/// The list of engines with its serial number.
#[derive(Clone, Debug)]
pub struct EngineSnapshot {
    pub serial: u64,
    pub engines: Vec<ListedEngine>,
}

/// Reads `known` of the configuration: the first event holds the complete list, later ones the changes.
pub fn read_configured_list(value: &Value) -> Result<EngineSnapshot, String> {
    let mut engines: BTreeMap<Id, ListedEngine> = BTreeMap::new();
    let items = value.get("items").and_then(Value::as_array).ok_or("known.items: is not a list")?;
    for (at, item) in items.iter().enumerate() {
        let path = format!("known.items[{at}].roster");
        let roster = item.get("roster").ok_or_else(|| format!("{path}: is missing"))?;
        let members = roster.get("members").and_then(Value::as_array);
        let members = members.ok_or_else(|| format!("{path}.members: is not a list"))?;
        if at == 0 || roster.get("complete").and_then(Value::as_bool) == Some(true) {
            engines.clear();
        }
        for (at, fields) in members.iter().enumerate() {
            let listed = member(fields).map_err(|e| format!("{path}.members[{at}].{e}"))?;
            engines.insert(listed.entry.id.clone(), listed);
        }
    }
    engines.retain(|_, listed| listed.entry.state != EngineState::Gone);
    let serial = value.get("no").and_then(Value::as_u64).ok_or("known.no: is not a whole number")?;
    Ok(EngineSnapshot { serial, engines: engines.into_values().collect() })
}

fn member(fields: &Value) -> Result<ListedEngine, String> {
    let text =
        |key: &str| fields.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key}: is not a text"));
    let state = match text("phase")? {
        "up" => EngineState::In,
        "draining" => EngineState::Draining,
        "removed" => EngineState::Gone,
        other => return Err(format!("phase: {other} is not known")),
    };
    let address = text("host_port")?;
    let address = address.parse().map_err(|_| format!("host_port: {address} is no address"))?;
    let entry = EngineEntry {
        id: text("id")?.into(),
        zone: text("locality").unwrap_or_default().into(),
        kind: text("flavor").unwrap_or_default().into(),
        cell: fields.get("cell").and_then(Value::as_u64).unwrap_or(0),
        state,
        nominal: fields.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        started: ProcessStart::by_foreign_clock(
            fields.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0),
        ),
    };
    Ok(ListedEngine { entry, address })
}
