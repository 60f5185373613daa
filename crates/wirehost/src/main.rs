//! Carries the bench's JSON wire to the decisions: one instance a gateway, nothing shared between them.

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
use wire::{Line, Sheets};

/// Where the last fault inside the decisions was, for `bug`.
static FAULT: Mutex<String> = Mutex::new(String::new());

struct Instance {
    scheduler: Scheduler,
    names: Names,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| {
        if let Ok(mut fault) = FAULT.lock() {
            *fault = info.to_string().replace('\n', " ");
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
    let mut text = Vec::new();
    for number in 1.. {
        text.clear();
        if input.read_until(b'\n', &mut text).map_err(|e| format!("line {number}: cannot be read: {e}"))? == 0
        {
            break;
        }
        let text = text.trim_ascii();
        if text.is_empty() {
            continue;
        }
        let line = Line::parse(text).map_err(|e| format!("line {number}: {e}"))?;
        if host.line(&line).map_err(|e| format!("line {number}: {e}"))? {
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
    sheets: Sheets,
    /// The clock of the batch that is open.
    now: Option<Duration>,
    reply: String,
}

impl Host {
    /// Takes one line; true at the end of a batch.
    fn line(&mut self, line: &Line) -> Result<bool, String> {
        if line.name == "beginBatch" {
            if self.now.is_some() {
                return Err("beginBatch: the batch before has not ended".into());
            }
            self.now = Some(line.micros(1, "clock")?);
            return Ok(false);
        }
        let now = self.now.ok_or_else(|| format!("{}: stands outside a batch", line.name))?;
        match line.name.as_str() {
            "overToYou" => {
                self.now = None;
                return Ok(true);
            }
            "sheet" => self.sheets.read(line)?,
            "powerOn" => {
                let gateway = line.text(1, "gatewayId")?;
                let seed = line.whole(2, "entropy")?;
                let (site, names) = bramblewharf_site::read(line.any(3)).map_err(|e| line.fault(&e))?;
                let started = catch_unwind(AssertUnwindSafe(|| Scheduler::start(site, seed, now)));
                match started {
                    Ok((scheduler, actions)) => {
                        self.instances.insert(gateway.to_string(), Instance { scheduler, names });
                        self.answer(gateway, &actions);
                    }
                    Err(_) => self.fault(gateway),
                }
            }
            "destroy" => {
                self.instances.remove(line.text(1, "gatewayId")?);
            }
            // Probes are never asked for, so their results are owed nothing.
            "healthResult" => {}
            _ => {
                let gateway = line.text(1, "gatewayId")?;
                let unknown = || line.fault(&format!("member gatewayId: {gateway} has not been started"));
                let instance = self.instances.get_mut(gateway).ok_or_else(unknown)?;
                let event = wire::event(line, &instance.names, &self.sheets)?;
                self.hand(gateway, now, event);
            }
        }
        Ok(false)
    }

    fn hand(&mut self, gateway: &str, now: Duration, event: Event) {
        let Some(instance) = self.instances.get_mut(gateway) else { return };
        match catch_unwind(AssertUnwindSafe(|| instance.scheduler.handle_event(now, event))) {
            Ok(actions) => self.answer(gateway, &actions),
            Err(_) => self.fault(gateway),
        }
    }

    fn answer(&mut self, gateway: &str, actions: &[Action]) {
        // Budgets of a fleet are never told here, and so nothing is ever taken of them.
        let told = actions.iter().filter(|action| !matches!(action, Action::BudgetUsage { .. }));
        for action in told {
            self.reply.push_str(&wire::action(gateway, action));
            self.reply.push('\n');
        }
    }

    fn fault(&mut self, gateway: &str) {
        let what = FAULT.lock().map(|f| f.clone()).unwrap_or_default();
        self.reply.push_str(&serde_json::json!(["bug", gateway, what]).to_string());
        self.reply.push('\n');
    }
}
