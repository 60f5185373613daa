//! `bramblewharf policy`: checks a policy, proposes it to the fleet and shows its status. It exchanges the fleet's datagrams as a
//! tool that has the shared key.

use crate::operators::{self, Fleet};
use crate::{config, policy};
use bramblewharf_fleet::wire::{fleet_id, Message, Party, MAX_DATAGRAM_BYTES};
use bramblewharf_fleet::{Envelope, Incarnation, Key};
use bramblewharf_policy::message::{CoordinatorStatus, PolicyMessage, CHUNK_BYTES};
use bramblewharf_policy::{Digest, Revision};
use clap::{Args, Subcommand};
use serde_json::json;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Interval at which a request is repeated until there is a reply.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit codes that tell scripts how a proposal ended.
const EXIT_WITHDRAWN: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;

/// Subcommands of `bramblewharf policy`.
#[derive(Subcommand)]
pub enum Policy {
    /// Checks a policy file, against a configuration if one is given, without starting anything.
    Check {
        file: PathBuf,
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Proposes a policy as the next revision and waits for the outcome. Exit codes: 0 in force, 3 withdrawn, 4 not known yet.
    Propose {
        file: PathBuf,
        #[command(flatten)]
        fleet: FleetArgs,
        #[arg(long)]
        reason: String,
        #[arg(long, default_value = "operator")]
        author: String,
        /// How long the proposal waits for unreachable gateways, if it has to wait for them.
        #[arg(long, default_value = "10s", value_parser = humantime_serde::re::humantime::parse_duration)]
        wait: Duration,
    },
    /// Shows the status of the policy, as its coordinator reports it.
    Status {
        #[command(flatten)]
        fleet: FleetArgs,
        #[arg(long)]
        json: bool,
    },
    /// Shows the policy in force, or another revision by its digest.
    Show {
        #[command(flatten)]
        fleet: FleetArgs,
        digest: Option<String>,
    },
    /// Withdraws the pending proposal.
    Withdraw {
        #[command(flatten)]
        fleet: FleetArgs,
    },
}

/// Arguments that select the fleet.
#[derive(Args)]
pub struct FleetArgs {
    /// The operators' settings of a gateway, which name the seats and the key.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs a subcommand and returns its exit code.
pub fn run(command: &Policy) -> Result<ExitCode, String> {
    match command {
        Policy::Check { file, config } => {
            let text = read(file)?;
            let names = config.as_ref().map(|config| config::load(Some(config.clone()), None)).transpose()?;
            let names = names.map(|start| {
                policy::Names::new(&start.site, &start.site_names.workloads, &start.site_names.customers)
            });
            policy::read(&text, names.as_ref()).map_err(|e| format!("{}:{e}", file.display()))?;
            println!("{}: well", file.display());
            Ok(ExitCode::SUCCESS)
        }
        Policy::Propose { file, fleet, reason, author, wait } => {
            let text = read(file)?;
            policy::read(&text, None).map_err(|e| format!("{}:{e}", file.display()))?;
            propose(&Tool::new(fleet)?, text, reason, author, *wait)
        }
        Policy::Status { fleet, json } => {
            let status = Tool::new(fleet)?.status().ok_or("no coordinator of the policy answered")?;
            println!("{}", format_status(&status, *json));
            Ok(ExitCode::SUCCESS)
        }
        Policy::Show { fleet, digest } => {
            let tool = Tool::new(fleet)?;
            let digest = match digest {
                Some(digest) => parse_digest(digest).ok_or("digest: is not 32 hex digits")?,
                None => tool.status().ok_or("no coordinator of the policy answered")?.current,
            };
            let revision = tool.fetch_revision(digest).ok_or("no seat has a revision with that digest")?;
            println!("# {} by {}: {}\n{}", revision.number, revision.author, revision.reason, revision.text);
            Ok(ExitCode::SUCCESS)
        }
        Policy::Withdraw { fleet } => {
            let tool = Tool::new(fleet)?;
            let status = tool.status().ok_or("no coordinator of the policy answered")?;
            let digest = status.proposal.ok_or("there is no proposal, or it can no longer be withdrawn")?;
            tool.broadcast(&PolicyMessage::Withdraw(digest));
            println!("{}", format_status(&tool.status().unwrap_or(status), false));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn parse_digest(hex: &str) -> Option<Digest> {
    let mut bytes = [0; 16];
    let pairs =
        (0..16).map(|at| hex.get(at * 2..at * 2 + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok()));
    for (byte, pair) in bytes.iter_mut().zip(pairs) {
        *byte = pair?;
    }
    (hex.len() == 32).then_some(Digest(bytes))
}

fn format_status(status: &CoordinatorStatus, as_json: bool) -> String {
    let last = status.last_outcome.as_ref().map(|(digest, why)| (digest.to_string(), why.clone()));
    let value = json!({"keeper": status.leader, "phase": status.phase.0, "number": status.number,
        "now": status.current.to_string(), "next": status.next.map(|d| d.to_string()),
        "proposal": status.proposal.map(|d| d.to_string()), "waits_for": status.awaited_members, "last": last});
    if as_json {
        return format!("{value:#}");
    }
    let mut lines = vec![format!("in force     {} ({})", status.number, status.current)];
    lines.extend(status.next.map(|next| format!("both with    {next}")));
    lines.extend(
        status
            .proposal
            .map(|digest| format!("proposed     {digest}, waits for {:?}", status.awaited_members)),
    );
    lines.extend(last.map(|(digest, why)| match why {
        Some(why) => format!("last         {digest} withdrawn: {why}"),
        None => format!("last         {digest} begun"),
    }));
    lines.join("\n")
}

/// A UDP client of the fleet's voters.
struct Tool {
    socket: UdpSocket,
    key: Key,
    fleet: u64,
    voters: Vec<SocketAddr>,
}

impl Tool {
    fn new(args: &FleetArgs) -> Result<Tool, String> {
        let shown = args.settings.display();
        let operators = operators::read(&read(&args.settings)?, None).map_err(|e| format!("{shown}:{e}"))?;
        let Fleet { name, key_file, seats: voters, .. } =
            operators.fleet.ok_or_else(|| format!("{shown}: has no fleet block"))?;
        let key =
            std::fs::read(&key_file).map_err(|e| format!("fleet.key_file: {}: {e}", key_file.display()))?;
        let key = Key::derive(&key).ok_or("fleet.key_file: is under 16 bytes")?;
        let any_port: SocketAddr = match voters.first().is_some_and(SocketAddr::is_ipv6) {
            true => (Ipv6Addr::UNSPECIFIED, 0).into(),
            false => (Ipv4Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any_port).map_err(|e| format!("socket: {e}"))?;
        socket.set_read_timeout(Some(RETRY_INTERVAL / 4)).map_err(|e| format!("socket: {e}"))?;
        Ok(Tool { socket, key, fleet: fleet_id(&name), voters })
    }

    fn send(&self, to: SocketAddr, message: &PolicyMessage) {
        let message = Message::Policy(message.write());
        let envelope = Envelope {
            fleet: self.fleet,
            from: Party::Tool,
            incarnation: Incarnation(0),
            number: 0,
            message,
        };
        if let Some(bytes) = envelope.encode(&self.key) {
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    fn broadcast(&self, message: &PolicyMessage) {
        self.voters.iter().for_each(|voter| self.send(*voter, message));
    }

    /// The next policy message, if one arrives within the read timeout.
    fn receive(&self) -> Option<(SocketAddr, PolicyMessage)> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut bytes).ok()?;
        match Envelope::decode(&bytes[..length], &self.key, self.fleet)?.message {
            Message::Policy(bytes) => Some((from, PolicyMessage::read(&bytes)?)),
            _ => None,
        }
    }

    fn status(&self) -> Option<CoordinatorStatus> {
        self.request(REPLY_TIMEOUT, &mut None, &PolicyMessage::StatusQuery, |_, message| match message {
            PolicyMessage::CoordinatorStatus(status) => Some(status),
            _ => None,
        })
    }

    /// Repeats a request until `accept` returns a value or the time is over. `last_sent` is when it was last sent; a caller that
    /// makes several requests passes the same value, so that a reply does not trigger the next request at once.
    fn request<T>(
        &self,
        within: Duration,
        last_sent: &mut Option<Instant>,
        request: &PolicyMessage,
        mut accept: impl FnMut(SocketAddr, PolicyMessage) -> Option<T>,
    ) -> Option<T> {
        let began = Instant::now();
        while began.elapsed() < within {
            if last_sent.is_none_or(|at| at.elapsed() >= RETRY_INTERVAL) {
                *last_sent = Some(Instant::now());
                self.broadcast(request);
            }
            if let Some(reply) = self.receive().and_then(|(from, message)| accept(from, message)) {
                return Some(reply);
            }
        }
        None
    }

    /// Downloads a revision in chunks and verifies its digest.
    fn fetch_revision(&self, digest: Digest) -> Option<Revision> {
        let mut bytes = Vec::new();
        loop {
            let next = bytes.len() as u32;
            let get = PolicyMessage::GetChunk { digest, offset: next };
            let (total_bytes, chunk) =
                self.request(REPLY_TIMEOUT, &mut None, &get, |_, message| match message {
                    PolicyMessage::Chunk { digest: of, offset, total_bytes, bytes }
                        if of == digest && offset == next =>
                    {
                        Some((total_bytes, bytes))
                    }
                    _ => None,
                })?;
            if chunk.is_empty() {
                return None;
            }
            bytes.extend(chunk);
            if bytes.len() >= total_bytes as usize {
                return Revision::read(&bytes).filter(|revision| revision.digest() == digest);
            }
        }
    }
}

/// Offers a revision until it is in force, withdrawn or the time is over, and serves its chunks to the coordinator.
fn propose(
    tool: &Tool,
    text: String,
    reason: &str,
    author: &str,
    wait: Duration,
) -> Result<ExitCode, String> {
    let status = tool.status().ok_or("no coordinator of the policy answered: nothing was proposed")?;
    let (author, reason) = (author.to_string(), reason.to_string());
    let revision = Revision { number: status.number + 1, parent: status.current, author, reason, text };
    if !revision.is_bounded() {
        return Err("the policy is over 32 KiB, or author or reason over 200 bytes".into());
    }
    let (digest, bytes) = (revision.digest(), revision.write());
    println!("proposed {} ({digest})", revision.number);
    let offer = PolicyMessage::Offer { digest, wait_ms: wait.as_millis() as u64 };
    let (mut accepted, mut request, mut last_sent) = (false, offer.clone(), None);
    // The phases of a change take time beyond the wait for unreachable gateways.
    let timeout = wait + Duration::from_secs(60);
    let began = Instant::now();
    while began.elapsed() < timeout {
        let reply =
            tool.request(RETRY_INTERVAL * 2, &mut last_sent, &request, |from, message| match message {
                PolicyMessage::GetChunk { digest: of, offset: at } if of == digest => {
                    let at = (at as usize).min(bytes.len());
                    let chunk = bytes[at..(at + CHUNK_BYTES).min(bytes.len())].to_vec();
                    let total_bytes = bytes.len() as u32;
                    tool.send(
                        from,
                        &PolicyMessage::Chunk { digest, offset: at as u32, total_bytes, bytes: chunk },
                    );
                    None
                }
                PolicyMessage::CoordinatorStatus(status) => Some(status),
                _ => None,
            });
        let Some(status) = reply else { continue };
        if status.current == digest {
            println!("in force: {}", status.number);
            return Ok(ExitCode::SUCCESS);
        }
        let completed = status.last_outcome.as_ref().is_some_and(|(of, why)| *of == digest && why.is_none());
        let is_known = completed || status.proposal == Some(digest) || status.next == Some(digest);
        accepted |= is_known;
        match status.last_outcome {
            Some((of, Some(why))) if of == digest && !is_known => {
                println!("withdrawn: {why}");
                return Ok(ExitCode::from(EXIT_WITHDRAWN));
            }
            // A coordinator that fails before the first phase loses the proposal, so it is offered again.
            _ => request = if is_known { PolicyMessage::StatusQuery } else { offer.clone() },
        }
        if status.number >= revision.number {
            println!("withdrawn: {} was accepted before it", status.current);
            return Ok(ExitCode::from(EXIT_WITHDRAWN));
        }
    }
    let how = if accepted { "the proposal was accepted" } else { "no coordinator accepted the proposal" };
    println!(
        "unknown: {how}; run `bramblewharf policy status`: it is in force once {digest} is shown as in force"
    );
    Ok(ExitCode::from(EXIT_UNKNOWN))
}
