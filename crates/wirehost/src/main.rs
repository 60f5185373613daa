//! Connects the JSON protocol of the bench to the decisions: one instance per gateway, with nothing shared between them.

mod wire;

use bramblewharf::interface::{Action, Event};
use bramblewharf::scheduler::Scheduler;
use bramblewharf_site::Names;
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;
use wire::{EngineLists, Line};

/// The last panic inside the decisions, for the `bug` reply.
static LAST_PANIC: Mutex<String> = Mutex::new(String::new());

struct Instance {
    scheduler: Scheduler,
    names: Names,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| {
        if let Ok(mut last) = LAST_PANIC.lock() {
            *last = info.to_string().replace('\n', " ");
        }
    }));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bramblewharf-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    let mut host = Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut buffer = Vec::new();
    for number in 1.. {
        buffer.clear();
        if input.read_until(b'\n', &mut buffer).map_err(|e| format!("line {number}: cannot be read: {e}"))?
            == 0
        {
            break;
        }
        let text = buffer.trim_ascii();
        if text.is_empty() {
            continue;
        }
        let line = Line::parse(text).map_err(|e| format!("line {number}: {e}"))?;
        if host.handle_line(&line).map_err(|e| format!("line {number}: {e}"))? {
            host.reply.push_str("[\"finished\"]\n");
            let written = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|e| format!("line {number}: the reply cannot be written: {e}"))?;
            host.reply.clear();
        }
    }
    match host.now {
        None => Ok(()),
        Some(_) => Err("the input ended inside a batch".into()),
    }
}

#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    engine_lists: EngineLists,
    /// The clock of the open batch.
    now: Option<Duration>,
    reply: String,
}

impl Host {
    /// Handles one line; true at the end of a batch.
    fn handle_line(&mut self, line: &Line) -> Result<bool, String> {
        if line.name == "beginBatch" {
            if self.now.is_some() {
                return Err("beginBatch: the previous batch has not ended".into());
            }
            self.now = Some(line.micros(1, "clock")?);
            return Ok(false);
        }
        let now = self.now.ok_or_else(|| format!("{}: is outside of a batch", line.name))?;
        match line.name.as_str() {
            "overToYou" => {
                self.now = None;
                return Ok(true);
            }
            "sheet" => self.engine_lists.read(line)?,
            "powerOn" => {
                let gateway = line.string(1, "gatewayId")?;
                let seed = line.unsigned(2, "entropy")?;
                let (site, names) = bramblewharf_site::read(line.value(3)).map_err(|e| line.error(&e))?;
                let started = catch_unwind(AssertUnwindSafe(|| Scheduler::start(site, seed, now)));
                match started {
                    Ok((scheduler, actions)) => {
                        self.instances.insert(gateway.to_string(), Instance { scheduler, names });
                        self.write_actions(gateway, &actions);
                    }
                    Err(_) => self.write_bug(gateway),
                }
            }
            "destroy" => {
                self.instances.remove(line.string(1, "gatewayId")?);
            }
            // Health probes are never requested, so their results are ignored.
            "healthResult" => {}
            _ => {
                let gateway = line.string(1, "gatewayId")?;
                let unknown = || line.error(&format!("member gatewayId: {gateway} has not been started"));
                let instance = self.instances.get_mut(gateway).ok_or_else(unknown)?;
                let event = wire::event(line, &instance.names, &self.engine_lists)?;
                self.handle_event(gateway, now, event);
            }
        }
        Ok(false)
    }

    fn handle_event(&mut self, gateway: &str, now: Duration, event: Event) {
        let Some(instance) = self.instances.get_mut(gateway) else { return };
        match catch_unwind(AssertUnwindSafe(|| instance.scheduler.handle_event(now, event))) {
            Ok(actions) => self.write_actions(gateway, &actions),
            Err(_) => self.write_bug(gateway),
        }
    }

    fn write_actions(&mut self, gateway: &str, actions: &[Action]) {
        // There are no fleet budgets here, so nothing is charged to them.
        let written = actions.iter().filter(|action| !matches!(action, Action::BudgetUsage { .. }));
        for action in written {
            self.reply.push_str(&wire::action(gateway, action));
            self.reply.push('\n');
        }
    }

    fn write_bug(&mut self, gateway: &str) {
        let message = LAST_PANIC.lock().map(|f| f.clone()).unwrap_or_default();
        self.reply.push_str(&serde_json::json!(["bug", gateway, message]).to_string());
        self.reply.push('\n');
    }
}
