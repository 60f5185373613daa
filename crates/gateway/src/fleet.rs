//! The fleet's datagrams, the status that others may read, and the facts for checkers: adapters, which decide nothing.

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

/// Bytes that are sent in a second at most; what is beyond is lost, as any datagram may be, and counted.
pub const MAX_BYTES_PER_SECOND: u64 = 1 << 20;

pub struct Link {
    socket: UdpSocket,
    key: Key,
    fleet: u64,
    seats: Vec<SocketAddr>,
    /// Bytes sent since, and what went beyond the bound.
    sent: Cell<(Option<Instant>, u64)>,
    pub rate_limited: Cell<u64>,
    /// Datagrams too long, of other keys or fleets, or not readable.
    pub ignored: Cell<u64>,
    facts: Option<RefCell<FactsLog>>,
    status: Option<SyncSender<String>>,
}

impl Link {
    pub async fn bind(terms: &FleetParameters) -> io::Result<Link> {
        let socket = UdpSocket::bind(terms.listen).await?;
        let facts = terms.facts.as_deref().map(FactsLog::open).transpose()?.map(RefCell::new);
        let status = terms.status.clone().map(start_status_writer).transpose()?;
        Ok(Link {
            socket,
            key: terms.key.clone(),
            fleet: terms.start.config.fleet,
            seats: terms.seats.clone(),
            sent: Cell::new((None, 0)),
            rate_limited: Cell::new(0),
            ignored: Cell::new(0),
            facts,
            status,
        })
    }

    /// Sends at once or not at all: whatever is said is said again until it is answered.
    pub fn send(&self, to: &Recipient, envelope: &Envelope) {
        let address = match to {
            Recipient::Voter(seat) => self.seats.get(usize::from(*seat)).copied(),
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

    pub async fn receive(&self) -> (Envelope, SocketAddr) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => match Envelope::decode(&bytes[..length], &self.key, self.fleet) {
                    Some(envelope) => return (envelope, from),
                    None => self.ignored.set(self.ignored.get() + 1),
                },
                // A peer that is down makes its errors ours; none of them is worth a busy loop.
                Err(_) => actix_rt::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Notes what the gateway has now, where that is asked for and has changed.
    pub fn record_facts(&self, now: Duration, node: &mut Node, policy: Option<&PolicyFact>) {
        if let Some(facts) = &self.facts {
            facts.borrow_mut().note(now, node, policy);
        }
    }

    pub fn has_facts_file(&self) -> bool {
        self.facts.is_some()
    }

    pub fn has_status_file(&self) -> bool {
        self.status.is_some()
    }

    /// One that can't be written now is dropped: the next says more.
    pub fn write_status(&self, now: Duration, status: &Status, policy: Option<&bramblewharf_policy::Status>) {
        if let Some(writer) = &self.status {
            let mut value = status_json(now, status, self);
            value["policy"] = policy.map_or(Value::Null, policy_json);
            let _ = writer.try_send(value.to_string());
        }
    }
}

/// How a gateway decides by the fleet's policy, by what, and until when.
type PolicyFact = (&'static str, Vec<bramblewharf_policy::Digest>, Option<Duration>);

fn policy_json(status: &bramblewharf_policy::Status) -> Value {
    let keeps = status.coordinator.as_ref().map(|stands| {
        json!({"phase": stands.phase.0, "number": stands.number, "now": stands.current.to_string(),
            "next": stands.next.map(|next| next.to_string()),
            "proposal": stands.proposal.map(|digest| digest.to_string()), "waits_for": stands.awaited_members,
            "last": stands.last_outcome.as_ref().map(|(digest, why)| json!({"digest": digest.to_string(), "withdrawn": why}))})
    });
    json!({"decides": status.mode, "phase": status.phase.map(|phase| phase.0),
        "number": status.enforced.map(|(number, _)| number),
        "digest": status.enforced.map(|(_, digest)| digest.to_string()),
        "asked": status.counts.requests, "given": status.counts.granted, "unanswered": status.counts.unanswered,
        "lacks": status.counts.missing_revisions, "disk_failed": status.disk_failed, "halts": status.is_halted, "keeps": keeps})
}

/// The thread that writes the status, whole or not at all; it ends with the gateway.
fn start_status_writer(path: PathBuf) -> io::Result<SyncSender<String>> {
    let (sender, receiver) = sync_channel::<String>(1);
    std::thread::Builder::new().name("status".into()).spawn(move || {
        while let Ok(text) = receiver.recv() {
            let _ = replace_file(&path, &text);
        }
    })?;
    Ok(sender)
}

fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.persist(path)?;
    Ok(())
}

/// What the gateway had leave for, a line whenever that changes, written before anything is done by it. The time is that of the
/// machine's monotonic clock, one for all its processes, so that the lines of many can be merged.
struct FactsLog {
    file: File,
    last: Vec<(u64, u64, u64, Duration)>,
    was_leader: bool,
    decides: Option<PolicyFact>,
}

impl FactsLog {
    fn open(path: &Path) -> io::Result<FactsLog> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(FactsLog { file, last: Vec::new(), was_leader: false, decides: None })
    }

    fn note(&mut self, now: Duration, node: &mut Node, policy: Option<&PolicyFact>) {
        let at = boottime_now();
        let figures = node.figures(now);
        let mut text = String::new();
        let rows: Vec<_> = figures
            .iter()
            .map(|f| {
                let until = if f.grant > 0 { f.until } else { Duration::ZERO };
                (f.floor, f.grant, f.in_use, until)
            })
            .collect();
        for (number, (f, row)) in figures.iter().zip(&rows).enumerate() {
            if self.last.get(number) != Some(row) {
                let ends = at + f.until.saturating_sub(now);
                let fact = json!({"at_us": at.as_micros() as u64, "place": node.member_id(),
                    "incarnation": format!("{:x}", node.incarnation().0), "budget": f.budget, "whole": f.whole,
                    "floor": f.floor, "leave": f.grant, "in_use": f.in_use, "until_us": ends.as_micros() as u64});
                text += &format!("{fact}\n");
            }
        }
        self.last = rows;
        let keeps = node.is_leader(now);
        if keeps != self.was_leader {
            self.was_leader = keeps;
            text += &format!(
                "{}\n",
                json!({"at_us": at.as_micros() as u64, "place": node.member_id(), "keeps": keeps})
            );
        }
        if policy.is_some() && self.decides.as_ref() != policy {
            self.decides = policy.cloned();
            let (standing, by, until) = policy.cloned().unwrap_or_default();
            let ends = until.map(|until| (at + until.saturating_sub(now)).as_micros() as u64);
            let by: Vec<String> = by.iter().map(|digest| digest.to_string()).collect();
            let fact = json!({"at_us": at.as_micros() as u64, "place": node.member_id(), "decides": standing, "by": by,
                "until_us": ends});
            text += &format!("{fact}\n");
        }
        if !text.is_empty() {
            let _ = self.file.write_all(text.as_bytes());
        }
    }
}

/// The machine's clock that counts on while it sleeps.
pub fn boottime_now() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

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
    let keeper = status.leader.as_ref().map(|keeper| {
        let members: Vec<Value> = keeper
            .members
            .iter()
            .map(|m| {
                let standing = match m.status {
                    MemberStatus::Active => "in",
                    MemberStatus::Suspect => "in doubt",
                    MemberStatus::Expired => "gone",
                    MemberStatus::Left => "left",
                };
                json!({"place": m.member_id, "incarnation": format!("{:016x}", m.incarnation.0), "standing": standing,
                    "silent_ms": m.silent_for.as_millis() as u64,
                    "given": m.granted.iter().map(|n| units(*n)).collect::<Vec<_>>(),
                    "needs": m.needs.iter().map(|n| units(*n)).collect::<Vec<_>>()})
            })
            .collect();
        let totals = keeper.totals.iter().zip(&names);
        let totals = totals.map(|((given, gone), name)| {
            json!({"budget": name, "given": units(*given), "of_gone": units(*gone)})
        });
        json!({"waits_out": keeper.is_recovering, "members": members, "totals": totals.collect::<Vec<_>>(),
            "given": keeper.counts.granted, "old": keeper.counts.stale, "differs": keeper.counts.table_mismatches,
            "too_much": keeper.counts.over_reported})
    });
    let seat = status.voter.as_ref().map(
        |seat| json!({"seat": seat.voter, "votes": seat.can_vote, "keeper": seat.leader, "bids": seat.proposals}),
    );
    json!({"place": status.member_id, "incarnation": format!("{:016x}", status.incarnation.0),
        "asks_seat": status.requests_to, "has_leave": status.has_grant, "members": status.members,
        "asked": status.grant_holder.requests, "given": status.grant_holder.granted, "unanswered": status.grant_holder.timeouts,
        "late": status.grant_holder.late_replies, "differs": status.grant_holder.table_mismatches,
        "passed_over": status.ignored + link.ignored.get(), "held_back": link.rate_limited.get(),
        "budgets": budgets, "seat": seat, "keeper": keeper})
}
