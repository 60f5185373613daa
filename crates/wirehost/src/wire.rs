//! Lines of the wire, to and from the types of the decisions.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use bramblewharf::interface::*;
use bramblewharf_site::{message, Names};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::time::Duration;

pub struct Line {
    pub name: String,
    values: Vec<Value>,
}

impl Line {
    pub fn parse(text: &[u8]) -> Result<Line, String> {
        let values: Vec<Value> =
            serde_json::from_slice(text).map_err(|e| format!("is not a JSON array: {e}"))?;
        match values.first() {
            Some(Value::String(name)) => Ok(Line { name: name.clone(), values }),
            _ => Err("does not begin with the name of an event".into()),
        }
    }

    pub fn fault(&self, what: &str) -> String {
        format!("{}: {what}", self.name)
    }

    /// A member; null when absent.
    pub fn any(&self, at: usize) -> &Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    fn is<'a, T>(
        &'a self,
        at: usize,
        member: &str,
        want: &str,
        as_: fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        let value = self.any(at);
        as_(value).ok_or_else(|| self.fault(&format!("member {member}: {value} is not {want}")))
    }

    pub fn text(&self, at: usize, member: &str) -> Result<&str, String> {
        self.is(at, member, "a text", Value::as_str)
    }

    pub fn whole(&self, at: usize, member: &str) -> Result<u64, String> {
        self.is(at, member, "a whole number from 0", Value::as_u64)
    }

    pub fn micros(&self, at: usize, member: &str) -> Result<Duration, String> {
        self.whole(at, member).map(Duration::from_micros)
    }

    fn number(&self, at: usize, member: &str) -> Result<f64, String> {
        self.is(at, member, "a number", Value::as_f64)
    }

    fn truth(&self, at: usize, member: &str) -> Result<bool, String> {
        match self.any(at) {
            Value::Null => Ok(false),
            _ => self.is(at, member, "true or false", Value::as_bool),
        }
    }

    fn id(&self, at: usize, member: &str) -> Result<Id, String> {
        self.text(at, member).map(Id::from)
    }

    /// None when null; else as `read` has it.
    fn maybe<T>(&self, at: usize, read: impl Fn(&Self) -> Result<T, String>) -> Result<Option<T>, String> {
        if self.any(at).is_null() {
            Ok(None)
        } else {
            read(self).map(Some)
        }
    }
}

/// The numbered lists of engines that later events refer to.
#[derive(Default)]
pub struct Sheets(HashMap<u64, Vec<EngineEntry>>);

impl Sheets {
    pub fn read(&mut self, line: &Line) -> Result<(), String> {
        let number = line.whole(1, "rosterId")?;
        let items = line.is(2, "items", "a list", Value::as_array)?;
        let entries = items.iter().enumerate().map(|(at, item)| {
            let values = item
                .as_array()
                .cloned()
                .ok_or_else(|| line.fault(&format!("member items: {item} is not a list")))?;
            let mut named = vec![Value::Null];
            named.extend(values);
            entry(&Line { name: format!("{}: entry {at}", line.name), values: named })
        });
        self.0.insert(number, entries.collect::<Result<_, _>>()?);
        Ok(())
    }
}

fn entry(line: &Line) -> Result<EngineEntry, String> {
    let state = match line.text(5, "state")? {
        "IN" => EngineState::In,
        "LAME" => EngineState::Draining,
        "OUT" => EngineState::Gone,
        other => return Err(line.fault(&format!("member state: {other} is not known"))),
    };
    Ok(EngineEntry {
        id: line.id(1, "node")?,
        zone: line.maybe(2, |l| l.id(2, "campus"))?.unwrap_or_default(),
        kind: line.maybe(3, |l| l.id(3, "generationHw"))?.unwrap_or_default(),
        cell: line.maybe(4, |l| l.whole(4, "stripe"))?.unwrap_or(0),
        state,
        nominal: line.maybe(6, |l| l.number(6, "nominal"))?.unwrap_or(1.0),
        started: line.maybe(7, |l| l.micros(7, "onlineSinceUs"))?.unwrap_or_default(),
    })
}

pub fn event(line: &Line, names: &Names, sheets: &Sheets) -> Result<Event, String> {
    Ok(match line.name.as_str() {
        "backendsChanged" => {
            let kind = match line.text(2, "how")? {
                "changes" => ListKind::Delta,
                "all" => ListKind::Snapshot,
                "remembered" => ListKind::Cached,
                "refused" => return Ok(Event::EngineList(ListKind::Failed, Vec::new())),
                other => return Err(line.fault(&format!("member how: {other} is not known"))),
            };
            let number = line.whole(4, "rosterId")?;
            let unknown = || line.fault(&format!("member rosterId: there is no list {number}"));
            Event::EngineList(kind, sheets.0.get(&number).ok_or_else(unknown)?.clone())
        }
        "newRequest" => Event::Statement(statement(line, names)?),
        "expired" => Event::ClientDisconnected(line.id(2, "xid")?),
        "reply" => Event::ExecutionEnded(ExecutionEnd {
            id: line.id(2, "xid")?,
            is_final: line.truth(3, "terminal")?,
            engine: line.id(4, "node")?,
            outcome: outcome(line, line.text(5, "reason")?)?,
            consumed: line
                .maybe(6, |l| l.whole(6, "trueCost"))?
                .filter(|c| *c > 0)
                .map(|cost| (Duration::from_millis(cost / 4096), (cost % 4096) as f64 * 4.0)),
            elapsed: line.micros(7, "lagUs")?,
            execution: line.whole(8, "go")? as usize,
            report: report(line, 9, names)?,
        }),
        "fromPeer" => {
            let text = line.text(3, "msg")?;
            let bytes = STANDARD.decode(text).map_err(|e| line.fault(&format!("member msg: {e}")))?;
            message::read(line.whole(2, "author")? as u32, &bytes)
        }
        "signal" => {
            let x = line.maybe(4, |l| l.number(4, "x"))?.unwrap_or(0.0);
            let note = match (line.whole(5, "kind")?, x as i64) {
                (1, _) => Note::Progress(x),
                (2, _) => Note::Spills(x),
                (3, 2) => Note::WaitsForLoad,
                (3, _) => Note::WaitsForMemory,
                (other, _) => return Err(line.fault(&format!("member kind: {other} is not known"))),
            };
            Event::ExecutionNoted {
                id: line.id(2, "xid")?,
                execution: line.whole(3, "go")? as usize,
                engine: line.id(6, "node")?,
                note,
            }
        }
        "alarm" => Event::Timer(line.whole(2, "ctx")?),
        "underWay" => Event::AnswerStarted {
            id: line.id(2, "xid")?,
            engine: line.id(4, "node")?,
            execution: line.whole(5, "go")? as usize,
        },
        _ => return Err(line.fault("is no event of the wire")),
    })
}

fn report(line: &Line, at: usize, names: &Names) -> Result<Option<LoadReport>, String> {
    if line.any(at).is_null() {
        return Ok(None);
    }
    let values = line.is(at, "pressure", "an object", Value::as_object)?;
    Ok(Some(names.report(|name| values.get(name).and_then(Value::as_f64))))
}

fn statement(line: &Line, names: &Names) -> Result<NewStatement, String> {
    let grade = line.text(3, "grade")?;
    let unknown = || line.fault(&format!("member grade: {grade} is no workload of the settings"));
    let workload = names.workloads.iter().position(|n| n == grade).ok_or_else(unknown)?;
    let customer = match line.any(4) {
        Value::Null | Value::Number(_) => None,
        _ => {
            let tenant = line.text(4, "tenant")?;
            names.customers.iter().position(|n| n == tenant)
        }
    };
    let valid = line.maybe(10, |l| l.whole(10, "options"))?.unwrap_or(0) & 1 != 0;
    Ok(NewStatement {
        id: line.id(2, "xid")?,
        workload,
        customer,
        key: line.maybe(5, |l| l.id(5, "target"))?,
        time_left: line.micros(6, "leftUs")?,
        est_work: line.maybe(7, |l| l.micros(7, "guessUs"))?.filter(|w| valid && !w.is_zero()),
        est_mem_mb: line.maybe(8, |l| l.number(8, "estMemoryMb"))?.filter(|m| *m > 0.0),
        table_group: line.maybe(9, |l| l.whole(9, "tables"))?,
        replayable: true,
    })
}

fn outcome(line: &Line, reason: &str) -> Result<Outcome, String> {
    Ok(match reason {
        "done" => Outcome::Completed,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Refused,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        other => return Err(line.fault(&format!("member reason: {other} is not known"))),
    })
}

pub fn action(gateway: &str, action: &Action) -> String {
    // Zero would mean something else for a time-out.
    let micros = |d: &Duration| d.as_micros() as u64;
    match action {
        Action::Send { id, engine, timeout } => {
            json!(["place", gateway, **id, **engine, micros(timeout).max(1)])
        }
        Action::Resources { id, mem_mb, priority } => json!(["resources", gateway, **id, mem_mb, priority]),
        // Budgets of a fleet are never told here.
        Action::BudgetUsage { .. } => Value::Null,
        Action::Cancel { id, execution } => json!(["cancel", gateway, **id, execution]),
        Action::Reject { id, retry_in } => {
            json!(["notNow", gateway, **id, retry_in.as_ref().map_or(0, micros)])
        }
        Action::Abort { id } => json!(["reportFailure", gateway, **id]),
        Action::Timer { mark, delay } => json!(["after", gateway, mark, micros(delay)]),
        Action::RequestList => json!(["listen", gateway, true]),
        Action::Gossip { to, message } => {
            let to = to.map_or(json!("all"), |peer| json!(peer));
            json!(["say", gateway, to, STANDARD.encode(message.write())])
        }
    }
    .to_string()
}
