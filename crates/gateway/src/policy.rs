//! The fleet's policy in this gateway: the one place where its text is read and checked, what it permits as the decisions ask for
//! it, and the file that has to last. Adapters, which decide nothing.

use crate::operators::parse;
use bramblewharf::interface::{Effect as SiteEffect, Site};
use bramblewharf_budgets::{AdmissionCheck, Demand};
use bramblewharf_policy::{Check, ExecutionRequest, Limits, Permit, Revision, Rules, StoredState};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver};

/// Writes that wait for the disk: one beyond that counts as failed, and is tried anew by whoever needs it.
const WRITE_QUEUE_LENGTH: usize = 16;

/// The text of a revision: what is the fleet's, and nothing of one gateway's own.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PolicyText {
    workload: BTreeMap<String, LimitsText>,
    customer: BTreeMap<String, LimitsText>,
    alone: Option<FallbackText>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FallbackText {
    workload: BTreeMap<String, LimitsText>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LimitsText {
    forbidden: bool,
    executions: Option<u32>,
    kinds: Option<BTreeSet<String>>,
}

impl From<LimitsText> for Limits {
    fn from(of: LimitsText) -> Limits {
        Limits { forbidden: of.forbidden, executions: of.executions, kinds: of.kinds }
    }
}

/// What a text is checked against: this gateway's own configuration.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    pub kinds: Vec<String>,
    /// By workload: whether it must never run twice, and the kinds that the platform binds it to.
    terms: Vec<(bool, Option<Vec<String>>)>,
}

impl Names {
    pub fn new(site: &Site, workloads: &[String], customers: &[String]) -> Names {
        let terms = site.workloads.iter().map(|config| {
            let kinds =
                config.kinds.as_ref().map(|kinds| kinds.iter().map(|kind| kind.to_string()).collect());
            (config.effect == SiteEffect::NonIdempotent, kinds)
        });
        Names {
            workloads: workloads.to_vec(),
            customers: customers.to_vec(),
            kinds: site.kinds.iter().map(|kind| kind.name.to_string()).collect(),
            terms: terms.collect(),
        }
    }
}

/// Reads a text; without names, only its form. Messages are `LINE: KEY: RULE`.
pub fn read(text: &str, names: Option<&Names>) -> Result<Rules, String> {
    let (read, line): (PolicyText, _) = parse(text)?;
    let wrong = |key: String, why: &str| Err(format!("{}: {key}: {why}", line(&key)));
    if let Some(names) = names {
        let alone = read.alone.iter().flat_map(|alone| &alone.workload);
        let of_alone = alone.map(|(name, limits)| (format!("alone.workload.{name}"), name, limits));
        let workloads = read.workload.iter().map(|(name, limits)| (format!("workload.{name}"), name, limits));
        for (key, name, limits) in workloads.chain(of_alone) {
            let Some(at) = names.workloads.iter().position(|other| other == name) else {
                return wrong(key, "is no workload of this gateway's configuration");
            };
            let (once, bound) = names.terms.get(at).cloned().unwrap_or_default();
            if once && limits.executions.is_some_and(|most| most > 1) {
                return wrong(format!("{key}.executions"), "this workload must never run twice");
            }
            for kind in limits.kinds.iter().flatten() {
                if !names.kinds.contains(kind) {
                    return wrong(format!("{key}.kinds"), &format!("{kind} is no kind of engine here"));
                }
                if bound.as_ref().is_some_and(|bound| !bound.contains(kind)) {
                    let why = format!("{kind} is none that the platform binds this workload to");
                    return wrong(format!("{key}.kinds"), &why);
                }
            }
        }
        for (name, limits) in &read.customer {
            let key = format!("customer.{name}");
            if !names.customers.contains(name) {
                return wrong(key, "is no customer of this gateway's configuration");
            }
            if let Some(kind) = limits.kinds.iter().flatten().find(|kind| !names.kinds.contains(kind)) {
                return wrong(format!("{key}.kinds"), &format!("{kind} is no kind of engine here"));
            }
        }
    }
    let table =
        |of: BTreeMap<String, LimitsText>| of.into_iter().map(|(name, of)| (name, of.into())).collect();
    Ok(Rules {
        workloads: table(read.workload),
        customers: table(read.customer),
        alone: read.alone.map(|alone| table(alone.workload)),
    })
}

/// As the fleet's part asks for it.
pub fn revision_check(names: Names) -> Check {
    Arc::new(move |revision: &Revision| read(&revision.text, Some(&names)))
}

/// A fleet's first revision, of a gateway's own file: the same for all that have the same text.
pub fn initial_revision(path: &Path) -> Result<Revision, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("fleet.policy: {}: {e}", path.display()))?;
    let (author, reason) = ("file".to_string(), "the first one".to_string());
    let revision = Revision { number: 1, parent: Default::default(), author, reason, text };
    match revision.is_bounded() {
        true => Ok(revision),
        false => Err(format!("fleet.policy: {}: is over 32 KiB", path.display())),
    }
}

/// What was kept, and what is wrong with it, if anything: then it is as if there were no file, which a seat says of itself.
pub fn load_stored(path: &Path) -> (Option<(u64, StoredState)>, Option<String>) {
    match std::fs::read(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => (None, None),
        Err(e) => (None, Some(e.to_string())),
        Ok(bytes) => match StoredState::read(&bytes) {
            Ok(load_stored) => (Some(load_stored), None),
            Err(fault) => (None, Some(fault.to_string())),
        },
    }
}

/// What the policy permits, as the decisions ask: workloads and customers by their numbers.
#[derive(Debug)]
pub struct PolicyAdmissionCheck {
    pub permit: Permit,
    pub names: Arc<Names>,
}

impl AdmissionCheck for PolicyAdmissionCheck {
    fn permits(&self, now: Duration, demand: &Demand) -> bool {
        let names = &*self.names;
        let workload = names.workloads.get(demand.workload).map_or("", String::as_str);
        let customer = demand.customer.and_then(|at| names.customers.get(at)).map(String::as_str);
        let request = ExecutionRequest {
            workload,
            customer,
            kind: demand.kind,
            prior_executions: demand.previous_executions,
        };
        self.permit.permits(now, &request)
    }
}

/// The thread that writes the file, whole or not at all; it ends with the gateway.
pub struct PolicyFileWriter {
    jobs: Option<SyncSender<(u64, Vec<u8>)>>,
}

impl PolicyFileWriter {
    /// Without a path nothing lasts, and every write is said to be well at once: such a seat starts as one that knows nothing.
    pub fn start(path: Option<PathBuf>) -> io::Result<(PolicyFileWriter, Receiver<(u64, bool)>)> {
        let (done, ended) = channel(WRITE_QUEUE_LENGTH * 2);
        let Some(path) = path else { return Ok((PolicyFileWriter { jobs: None }, ended)) };
        let (jobs, work) = sync_channel::<(u64, Vec<u8>)>(WRITE_QUEUE_LENGTH);
        std::thread::Builder::new().name("policy".into()).spawn(move || {
            while let Ok((generation, bytes)) = work.recv() {
                if done.blocking_send((generation, write(&path, &bytes).is_ok())).is_err() {
                    return;
                }
            }
        })?;
        Ok((PolicyFileWriter { jobs: Some(jobs) }, ended))
    }

    /// How it went, where that is known at once.
    pub fn write_state(&self, generation: u64, bytes: Vec<u8>) -> Option<bool> {
        match &self.jobs {
            None => Some(true),
            Some(jobs) => jobs.try_send((generation, bytes)).is_err().then_some(false),
        }
    }
}

/// Whole, and on the disk, its name too.
fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(bytes)?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    std::fs::File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
