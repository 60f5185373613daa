//! Adapters for the fleet: its datagrams, the status file for operators and the facts log for checkers.

use crate::operators::FleetParameters;
use bramblewharf_budgets::usage::units;
use bramblewharf_fleet::leader::MemberStatus;
use bramblewharf_fleet::node::{Node, Recipient, Status};
use bramblewharf_fleet::wire::MAX_DATAGRAM_BYTES;
use bramblewharf_fleet::{Envelope, Key};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Send limit of a gateway. Datagrams beyond it are dropped and counted; the protocol tolerates lost datagrams.
pub const MAX_BYTES_PER_SECOND: u64 = 1 << 20;

/// The UDP socket of the fleet, with the files that report its state.
pub struct Link {
    socket: UdpSocket,
    key: Key,
    fleet: u64,
    voters: Vec<SocketAddr>,
    /// Start of the current second and the bytes sent in it.
    sent: Cell<(Option<Instant>, u64)>,
    /// Datagrams dropped at the send limit.
    pub rate_limited: Cell<u64>,
    /// Datagrams that are too long, malformed or of another key or fleet.
    pub ignored: Cell<u64>,
    facts: Option<RefCell<FactsLog>>,
    status_writer: Option<SyncSender<String>>,
}

impl Link {
    /// Binds the socket and opens the report files.
    pub async fn bind(parameters: &FleetParameters) -> io::Result<Link> {
        let socket = UdpSocket::bind(parameters.listen).await?;
        let facts = parameters.facts.as_deref().map(FactsLog::open).transpose()?.map(RefCell::new);
        let status_writer = parameters.status.clone().map(start_status_writer).transpose()?;
        Ok(Link {
            socket,
            key: parameters.key.clone(),
            fleet: parameters.start.config.fleet,
            voters: parameters.seats.clone(),
            sent: Cell::new((None, 0)),
            rate_limited: Cell::new(0),
            ignored: Cell::new(0),
            facts,
            status_writer,
        })
    }

    /// Sends without waiting, or drops the datagram; the protocol repeats messages until they are answered.
    pub fn send(&self, to: &Recipient, envelope: &Envelope) {
        let address = match to {
            Recipient::Voter(voter) => self.voters.get(usize::from(*voter)).copied(),
            Recipient::Address(address) => Some(*address),
        };
        let (Some(address), Some(bytes)) = (address, envelope.encode(&self.key)) else { return };
        let (since, sent) = self.sent.get();
        let (since, sent) = match since.filter(|since| since.elapsed() < Duration::from_secs(1)) {
            Some(since) => (since, sent),
            None => (Instant::now(), 0),
        };
        if sent + bytes.len() as u64 > MAX_BYTES_PER_SECOND {
            self.rate_limited.set(self.rate_limited.get() + 1);
            return;
        }
        self.sent.set((Some(since), sent + bytes.len() as u64));
        let _ = self.socket.try_send_to(&bytes, address);
    }

    /// The next valid datagram and its sender.
    pub async fn receive(&self) -> (Envelope, SocketAddr) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => match Envelope::decode(&bytes[..length], &self.key, self.fleet) {
                    Some(envelope) => return (envelope, from),
                    None => self.ignored.set(self.ignored.get() + 1),
                },
                // A peer that is down makes the socket return errors (ICMP); the pause prevents a busy loop.
                Err(_) => actix_rt::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Appends the changed grants, leadership and policy to the facts log, if there is one.
    pub fn record_facts(&self, now: Duration, node: &mut Node, policy: Option<&PolicyFact>) {
        if let Some(facts) = &self.facts {
            facts.borrow_mut().record(now, node, policy);
        }
    }

    /// Whether facts are logged.
    pub fn has_facts_file(&self) -> bool {
        self.facts.is_some()
    }

    /// Whether the status is written.
    pub fn has_status_file(&self) -> bool {
        self.status_writer.is_some()
    }

    /// Writes the status; it is dropped if the writer is busy, as the next one replaces it.
    pub fn write_status(&self, now: Duration, status: &Status, policy: Option<&bramblewharf_policy::Status>) {
        if let Some(writer) = &self.status_writer {
            let mut value = status_json(now, status, self);
            value["policy"] = policy.map_or(Value::Null, policy_json);
            let _ = writer.try_send(value.to_string());
        }
    }
}

/// Policy mode of a gateway, the revisions that it enforces, and until when.
type PolicyFact = (&'static str, Vec<bramblewharf_policy::Digest>, Option<Duration>);

/// The policy status as JSON.
fn policy_json(status: &bramblewharf_policy::Status) -> Value {
    let coordinator = status.coordinator.as_ref().map(|coordinator| {
        json!({"phase": coordinator.phase.0, "number": coordinator.number, "now": coordinator.current.to_string(),
            "next": coordinator.next.map(|next| next.to_string()),
            "proposal": coordinator.proposal.map(|digest| digest.to_string()), "waits_for": coordinator.awaited_members,
            "last": coordinator.last_outcome.as_ref().map(|(digest, why)| json!({"digest": digest.to_string(), "withdrawn": why}))})
    });
    json!({"decides": status.mode, "phase": status.phase.map(|phase| phase.0),
        "number": status.enforced.map(|(number, _)| number),
        "digest": status.enforced.map(|(_, digest)| digest.to_string()),
        "asked": status.counts.requests, "given": status.counts.granted, "unanswered": status.counts.unanswered,
        "lacks": status.counts.missing_revisions, "disk_failed": status.disk_failed, "halts": status.is_halted, "keeps": coordinator})
}

/// Starts the thread that replaces the status file atomically; it ends when the sender is dropped.
fn start_status_writer(path: PathBuf) -> io::Result<SyncSender<String>> {
    let (sender, receiver) = sync_channel::<String>(1);
    std::thread::Builder::new().name("status".into()).spawn(move || {
        while let Ok(text) = receiver.recv() {
            let _ = replace_file(&path, &text);
        }
    })?;
    Ok(sender)
}

/// Replaces a file atomically.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.persist(path)?;
    Ok(())
}

/// A JSON line for each change of the grants, written before the gateway acts on it. Times are from the machine's monotonic
/// clock, which all its processes share, so that the logs of several gateways can be merged.
struct FactsLog {
    file: File,
    last_grants: Vec<(u64, u64, u64, Duration)>,
    was_leader: bool,
    last_policy: Option<PolicyFact>,
}

impl FactsLog {
    fn open(path: &Path) -> io::Result<FactsLog> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(FactsLog { file, last_grants: Vec::new(), was_leader: false, last_policy: None })
    }

    fn record(&mut self, now: Duration, node: &mut Node, policy: Option<&PolicyFact>) {
        let at = boottime_now();
        let figures = node.figures(now);
        let mut lines = String::new();
        let grants: Vec<_> = figures
            .iter()
            .map(|f| {
                let until = if f.grant > 0 { f.until } else { Duration::ZERO };
                (f.floor, f.grant, f.in_use, until)
            })
            .collect();
        for (number, (f, grant)) in figures.iter().zip(&grants).enumerate() {
            if self.last_grants.get(number) != Some(grant) {
                let ends = at + f.until.saturating_sub(now);
                let fact = json!({"at_us": at.as_micros() as u64, "place": node.member_id(),
                    "incarnation": format!("{:x}", node.incarnation().0), "budget": f.budget, "whole": f.whole,
                    "floor": f.floor, "leave": f.grant, "in_use": f.in_use, "until_us": ends.as_micros() as u64});
                lines += &format!("{fact}\n");
            }
        }
        self.last_grants = grants;
        let is_leader = node.is_leader(now);
        if is_leader != self.was_leader {
            self.was_leader = is_leader;
            lines += &format!(
                "{}\n",
                json!({"at_us": at.as_micros() as u64, "place": node.member_id(), "keeps": is_leader})
            );
        }
        if policy.is_some() && self.last_policy.as_ref() != policy {
            self.last_policy = policy.cloned();
            let (mode, revisions, until) = policy.cloned().unwrap_or_default();
            let ends = until.map(|until| (at + until.saturating_sub(now)).as_micros() as u64);
            let revisions: Vec<String> = revisions.iter().map(|digest| digest.to_string()).collect();
            let fact = json!({"at_us": at.as_micros() as u64, "place": node.member_id(), "decides": mode, "by": revisions,
                "until_us": ends});
            lines += &format!("{fact}\n");
        }
        if !lines.is_empty() {
            let _ = self.file.write_all(lines.as_bytes());
        }
    }
}

/// `CLOCK_BOOTTIME`: the machine's monotonic clock, which includes time in suspend.
pub fn boottime_now() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The fleet status as JSON.
fn status_json(now: Duration, status: &Status, link: &Link) -> Value {
    let budgets: Vec<Value> = status
        .budgets
        .iter()
        .map(|f| {
            json!({"budget": f.budget, "whole": units(f.whole), "floor": units(f.floor), "leave": units(f.grant),
                "in_use": units(f.in_use), "need": units(f.need),
                "leave_ends_in_ms": f.until.saturating_sub(now).as_millis() as u64})
        })
        .collect();
    let names: Vec<&String> = status.budgets.iter().map(|f| &f.budget).collect();
    let leader = status.leader.as_ref().map(|leader| {
        let members: Vec<Value> = leader
            .members
            .iter()
            .map(|m| {
                let member_status = match m.status {
                    MemberStatus::Active => "in",
                    MemberStatus::Suspect => "in doubt",
                    MemberStatus::Expired => "gone",
                    MemberStatus::Left => "left",
                };
                json!({"place": m.member_id, "incarnation": format!("{:016x}", m.incarnation.0), "standing": member_status,
                    "silent_ms": m.silent_for.as_millis() as u64,
                    "given": m.granted.iter().map(|n| units(*n)).collect::<Vec<_>>(),
                    "needs": m.needs.iter().map(|n| units(*n)).collect::<Vec<_>>()})
            })
            .collect();
        let totals = leader.totals.iter().zip(&names);
        let totals = totals.map(|((granted, of_expired), name)| {
            json!({"budget": name, "given": units(*granted), "of_gone": units(*of_expired)})
        });
        json!({"waits_out": leader.is_recovering, "members": members, "totals": totals.collect::<Vec<_>>(),
            "given": leader.counts.granted, "old": leader.counts.stale, "differs": leader.counts.table_mismatches,
            "too_much": leader.counts.over_reported})
    });
    let voter = status.voter.as_ref().map(
        |voter| json!({"seat": voter.voter, "votes": voter.can_vote, "keeper": voter.leader, "bids": voter.proposals}),
    );
    json!({"place": status.member_id, "incarnation": format!("{:016x}", status.incarnation.0),
        "asks_seat": status.requests_to, "has_leave": status.has_grant, "members": status.members,
        "asked": status.grant_holder.requests, "given": status.grant_holder.granted, "unanswered": status.grant_holder.timeouts,
        "late": status.grant_holder.late_replies, "differs": status.grant_holder.table_mismatches,
        "passed_over": status.ignored + link.ignored.get(), "held_back": link.rate_limited.get(),
        "budgets": budgets, "seat": voter, "keeper": leader})
}
