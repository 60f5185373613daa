//! Lines of the JSON protocol, converted to and from the types of the decisions.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use bramblewharf::interface::*;
use bramblewharf_site::{message, Names};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::time::Duration;

/// One line: a JSON array that begins with the name of an event.
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

    pub fn error(&self, message: &str) -> String {
        format!("{}: {message}", self.name)
    }

    /// The member at an index; null if it is missing.
    pub fn value(&self, at: usize) -> &Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    fn typed<'a, T>(
        &'a self,
        at: usize,
        member: &str,
        expected: &str,
        convert: fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        let value = self.value(at);
        convert(value).ok_or_else(|| self.error(&format!("member {member}: {value} is not {expected}")))
    }

    pub fn string(&self, at: usize, member: &str) -> Result<&str, String> {
        self.typed(at, member, "a string", Value::as_str)
    }

    pub fn unsigned(&self, at: usize, member: &str) -> Result<u64, String> {
        self.typed(at, member, "a whole number from 0", Value::as_u64)
    }

    pub fn micros(&self, at: usize, member: &str) -> Result<Duration, String> {
        self.unsigned(at, member).map(Duration::from_micros)
    }

    fn number(&self, at: usize, member: &str) -> Result<f64, String> {
        self.typed(at, member, "a number", Value::as_f64)
    }

    fn boolean(&self, at: usize, member: &str) -> Result<bool, String> {
        match self.value(at) {
            Value::Null => Ok(false),
            _ => self.typed(at, member, "true or false", Value::as_bool),
        }
    }

    fn id(&self, at: usize, member: &str) -> Result<Id, String> {
        self.string(at, member).map(Id::from)
    }

    /// None if the member is null or missing; otherwise what `read` returns.
    fn optional<T>(&self, at: usize, read: impl Fn(&Self) -> Result<T, String>) -> Result<Option<T>, String> {
        if self.value(at).is_null() {
            Ok(None)
        } else {
            read(self).map(Some)
        }
    }
}

/// The numbered engine lists that later events refer to.
#[derive(Default)]
pub struct EngineLists(HashMap<u64, Vec<EngineEntry>>);

impl EngineLists {
    pub fn read(&mut self, line: &Line) -> Result<(), String> {
        let number = line.unsigned(1, "rosterId")?;
        let items = line.typed(2, "items", "a list", Value::as_array)?;
        let entries = items.iter().enumerate().map(|(at, item)| {
            let values = item
                .as_array()
                .cloned()
                .ok_or_else(|| line.error(&format!("member items: {item} is not a list")))?;
            let mut padded = vec![Value::Null];
            padded.extend(values);
            entry(&Line { name: format!("{}: entry {at}", line.name), values: padded })
        });
        self.0.insert(number, entries.collect::<Result<_, _>>()?);
        Ok(())
    }
}

fn entry(line: &Line) -> Result<EngineEntry, String> {
    let state = match line.string(5, "state")? {
        "IN" => EngineState::In,
        "LAME" => EngineState::Draining,
        "OUT" => EngineState::Gone,
        other => return Err(line.error(&format!("member state: {other} is not known"))),
    };
    Ok(EngineEntry {
        id: line.id(1, "node")?,
        zone: line.optional(2, |l| l.id(2, "campus"))?.unwrap_or_default(),
        kind: line.optional(3, |l| l.id(3, "generationHw"))?.unwrap_or_default(),
        cell: line.optional(4, |l| l.unsigned(4, "stripe"))?.unwrap_or(0),
        state,
        nominal: line.optional(6, |l| l.number(6, "nominal"))?.unwrap_or(1.0),
        // By the clock of the batches, which is the only one.
        started: ProcessStart::by_local_clock(
            line.optional(7, |l| l.micros(7, "onlineSinceUs"))?.unwrap_or_default(),
        ),
    })
}

/// The event of a line.
pub fn event(line: &Line, names: &Names, engine_lists: &EngineLists) -> Result<Event, String> {
    Ok(match line.name.as_str() {
        "backendsChanged" => {
            let kind = match line.string(2, "how")? {
                "changes" => ListKind::Delta,
                "all" => ListKind::Snapshot,
                "remembered" => ListKind::Cached,
                "refused" => return Ok(Event::EngineList(ListKind::Failed, Vec::new())),
                other => return Err(line.error(&format!("member how: {other} is not known"))),
            };
            let number = line.unsigned(4, "rosterId")?;
            let unknown = || line.error(&format!("member rosterId: there is no list {number}"));
            Event::EngineList(kind, engine_lists.0.get(&number).ok_or_else(unknown)?.clone())
        }
        "newRequest" => Event::Statement(statement(line, names)?),
        "expired" => Event::ClientDisconnected(line.id(2, "xid")?),
        "reply" => Event::ExecutionEnded(ExecutionEnd {
            id: line.id(2, "xid")?,
            is_final: line.boolean(3, "terminal")?,
            engine: line.id(4, "node")?,
            outcome: outcome(line, line.string(5, "reason")?)?,
            consumed: line
                .optional(6, |l| l.unsigned(6, "trueCost"))?
                .filter(|c| *c > 0)
                .map(|cost| (Duration::from_millis(cost / 4096), (cost % 4096) as f64 * 4.0)),
            elapsed: line.micros(7, "lagUs")?,
            execution: line.unsigned(8, "go")? as usize,
            report: report(line, 9, names)?,
        }),
        "fromPeer" => {
            let text = line.string(3, "msg")?;
            let bytes = STANDARD.decode(text).map_err(|e| line.error(&format!("member msg: {e}")))?;
            message::read(line.unsigned(2, "author")? as u32, &bytes)
        }
        "signal" => {
            let x = line.optional(4, |l| l.number(4, "x"))?.unwrap_or(0.0);
            let note = match (line.unsigned(5, "kind")?, x as i64) {
                (1, _) => Note::Progress(x),
                (2, _) => Note::Spills(x),
                (3, 2) => Note::WaitsForLoad,
                (3, _) => Note::WaitsForMemory,
                (other, _) => return Err(line.error(&format!("member kind: {other} is not known"))),
            };
            Event::ExecutionNoted {
                id: line.id(2, "xid")?,
                execution: line.unsigned(3, "go")? as usize,
                engine: line.id(6, "node")?,
                note,
            }
        }
        "alarm" => Event::Timer(line.unsigned(2, "ctx")?),
        "underWay" => Event::AnswerStarted {
            id: line.id(2, "xid")?,
            engine: line.id(4, "node")?,
            execution: line.unsigned(5, "go")? as usize,
        },
        _ => return Err(line.error("is not an event of the protocol")),
    })
}

fn report(line: &Line, at: usize, names: &Names) -> Result<Option<LoadReport>, String> {
    if line.value(at).is_null() {
        return Ok(None);
    }
    let values = line.typed(at, "pressure", "an object", Value::as_object)?;
    Ok(Some(names.report(|name| values.get(name).and_then(Value::as_f64))))
}

fn statement(line: &Line, names: &Names) -> Result<NewStatement, String> {
    let grade = line.string(3, "grade")?;
    let unknown = || line.error(&format!("member grade: {grade} is no workload of the settings"));
    let workload = names.workloads.iter().position(|n| n == grade).ok_or_else(unknown)?;
    let customer = match line.value(4) {
        Value::Null | Value::Number(_) => None,
        _ => {
            let tenant = line.string(4, "tenant")?;
            names.customers.iter().position(|n| n == tenant)
        }
    };
    let valid = line.optional(10, |l| l.unsigned(10, "options"))?.unwrap_or(0) & 1 != 0;
    Ok(NewStatement {
        id: line.id(2, "xid")?,
        workload,
        customer,
        key: line.optional(5, |l| l.id(5, "target"))?,
        time_left: line.micros(6, "leftUs")?,
        est_work: line.optional(7, |l| l.micros(7, "guessUs"))?.filter(|w| valid && !w.is_zero()),
        est_mem_mb: line.optional(8, |l| l.number(8, "estMemoryMb"))?.filter(|m| *m > 0.0),
        table_group: line.optional(9, |l| l.unsigned(9, "tables"))?,
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
        other => return Err(line.error(&format!("member reason: {other} is not known"))),
    })
}

/// The reply line of an action.
pub fn action(gateway: &str, action: &Action) -> String {
    // A time-out of zero has another meaning, hence at least 1.
    let micros = |d: &Duration| d.as_micros() as u64;
    match action {
        Action::Send { id, engine, timeout } => {
            json!(["place", gateway, **id, **engine, micros(timeout).max(1)])
        }
        Action::Resources { id, mem_mb, priority } => json!(["resources", gateway, **id, mem_mb, priority]),
        // There are no fleet budgets here; `main` leaves these out.
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
            json!(["say", gateway, to, STANDARD.encode(message.encode())])
        }
    }
    .to_string()
}
