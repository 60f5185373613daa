//! `bramblewharf policy`: checks a text, proposes it to the fleet, shows how things stand. It speaks the fleet's own datagrams as a
//! tool that has the key.

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

/// How often it is said again until there is an answer, and how long an answer to a question is waited for.
const AGAIN: Duration = Duration::from_millis(200);
const ANSWERS: Duration = Duration::from_secs(5);
/// How a proposal ended, for scripts.
const WITHDRAWN: u8 = 3;
const UNKNOWN: u8 = 4;

#[derive(Subcommand)]
pub enum Policy {
    /// Reads a text of policy, against a configuration where one is named, and starts nothing.
    Check {
        file: PathBuf,
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Proposes it as the next revision and waits for how that ends: 0 in force, 3 withdrawn, 4 unknown yet.
    Propose {
        file: PathBuf,
        #[command(flatten)]
        fleet: OfFleet,
        #[arg(long)]
        reason: String,
        #[arg(long, default_value = "operator")]
        author: String,
        /// How long it waits for gateways that can't be heard, where that matters.
        #[arg(long, default_value = "10s", value_parser = humantime_serde::re::humantime::parse_duration)]
        wait: Duration,
    },
    /// How things stand, by whoever keeps the policy.
    Status {
        #[command(flatten)]
        fleet: OfFleet,
        #[arg(long)]
        json: bool,
    },
    /// The text that is in force, or another by its digest.
    Show {
        #[command(flatten)]
        fleet: OfFleet,
        digest: Option<String>,
    },
    /// Gives a proposal up that still waits.
    Withdraw {
        #[command(flatten)]
        fleet: OfFleet,
    },
}

#[derive(Args)]
pub struct OfFleet {
    /// The operators' settings of a gateway: they say where the seats are, and the key.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

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
            let stands = Tool::new(fleet)?.stands().ok_or("nobody who keeps the policy answers")?;
            println!("{}", shown(&stands, *json));
            Ok(ExitCode::SUCCESS)
        }
        Policy::Show { fleet, digest } => {
            let tool = Tool::new(fleet)?;
            let digest = match digest {
                Some(digest) => digest_of(digest).ok_or("digest: is not 32 hex digits")?,
                None => tool.stands().ok_or("nobody who keeps the policy answers")?.current,
            };
            let revision = tool.text(digest).ok_or("no seat has that text")?;
            println!("# {} by {}: {}\n{}", revision.number, revision.author, revision.reason, revision.text);
            Ok(ExitCode::SUCCESS)
        }
        Policy::Withdraw { fleet } => {
            let tool = Tool::new(fleet)?;
            let stands = tool.stands().ok_or("nobody who keeps the policy answers")?;
            let digest = stands.proposal.ok_or("nothing is proposed, or it is past being withdrawn")?;
            tool.say_all(&PolicyMessage::Withdraw(digest));
            println!("{}", shown(&tool.stands().unwrap_or(stands), false));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn digest_of(hex: &str) -> Option<Digest> {
    let mut bytes = [0; 16];
    let pairs =
        (0..16).map(|at| hex.get(at * 2..at * 2 + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok()));
    for (byte, pair) in bytes.iter_mut().zip(pairs) {
        *byte = pair?;
    }
    (hex.len() == 32).then_some(Digest(bytes))
}

fn shown(stands: &CoordinatorStatus, as_json: bool) -> String {
    let last = stands.last_outcome.as_ref().map(|(digest, why)| (digest.to_string(), why.clone()));
    let value = json!({"keeper": stands.leader, "phase": stands.phase.0, "number": stands.number,
        "now": stands.current.to_string(), "next": stands.next.map(|d| d.to_string()),
        "proposal": stands.proposal.map(|d| d.to_string()), "waits_for": stands.awaited_members, "last": last});
    if as_json {
        return format!("{value:#}");
    }
    let mut lines = vec![format!("in force     {} ({})", stands.number, stands.current)];
    lines.extend(stands.next.map(|next| format!("both with    {next}")));
    lines.extend(
        stands
            .proposal
            .map(|digest| format!("proposed     {digest}, waits for {:?}", stands.awaited_members)),
    );
    lines.extend(last.map(|(digest, why)| match why {
        Some(why) => format!("last         {digest} withdrawn: {why}"),
        None => format!("last         {digest} begun"),
    }));
    lines.join("\n")
}

struct Tool {
    socket: UdpSocket,
    key: Key,
    fleet: u64,
    seats: Vec<SocketAddr>,
}

impl Tool {
    fn new(of: &OfFleet) -> Result<Tool, String> {
        let shown = of.settings.display();
        let operators = operators::read(&read(&of.settings)?, None).map_err(|e| format!("{shown}:{e}"))?;
        let Fleet { name, key_file, seats, .. } =
            operators.fleet.ok_or_else(|| format!("{shown}: has no fleet block"))?;
        let key =
            std::fs::read(&key_file).map_err(|e| format!("fleet.key_file: {}: {e}", key_file.display()))?;
        let key = Key::derive(&key).ok_or("fleet.key_file: is under 16 bytes")?;
        let any: SocketAddr = match seats.first().is_some_and(SocketAddr::is_ipv6) {
            true => (Ipv6Addr::UNSPECIFIED, 0).into(),
            false => (Ipv4Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any).map_err(|e| format!("socket: {e}"))?;
        socket.set_read_timeout(Some(AGAIN / 4)).map_err(|e| format!("socket: {e}"))?;
        Ok(Tool { socket, key, fleet: fleet_id(&name), seats })
    }

    fn say(&self, to: SocketAddr, say: &PolicyMessage) {
        let message = Message::Policy(say.write());
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

    fn say_all(&self, say: &PolicyMessage) {
        self.seats.iter().for_each(|seat| self.say(*seat, say));
    }

    /// The next word of a seat, if one comes soon.
    fn hear(&self) -> Option<(SocketAddr, PolicyMessage)> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut bytes).ok()?;
        match Envelope::decode(&bytes[..length], &self.key, self.fleet)?.message {
            Message::Policy(bytes) => Some((from, PolicyMessage::read(&bytes)?)),
            _ => None,
        }
    }

    fn stands(&self) -> Option<CoordinatorStatus> {
        self.until(ANSWERS, &mut None, &PolicyMessage::StatusQuery, |_, say| match say {
            PolicyMessage::CoordinatorStatus(stands) => Some(stands),
            _ => None,
        })
    }

    /// Says it again and again until an answer is what is wanted. `said` is when it was last said: whoever goes on asking after
    /// an answer keeps it, so that no answer brings the next question at once.
    fn until<T>(
        &self,
        within: Duration,
        said: &mut Option<Instant>,
        ask: &PolicyMessage,
        mut wanted: impl FnMut(SocketAddr, PolicyMessage) -> Option<T>,
    ) -> Option<T> {
        let began = Instant::now();
        while began.elapsed() < within {
            if said.is_none_or(|at| at.elapsed() >= AGAIN) {
                *said = Some(Instant::now());
                self.say_all(ask);
            }
            if let Some(found) = self.hear().and_then(|(from, say)| wanted(from, say)) {
                return Some(found);
            }
        }
        None
    }

    fn text(&self, digest: Digest) -> Option<Revision> {
        let mut bytes = Vec::new();
        loop {
            let at = bytes.len() as u32;
            let get = PolicyMessage::GetChunk { digest, offset: at };
            let (total_bytes, chunk) = self.until(ANSWERS, &mut None, &get, |_, say| match say {
                PolicyMessage::Chunk { digest: of, offset, total_bytes, bytes }
                    if of == digest && offset == at =>
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

fn propose(
    tool: &Tool,
    text: String,
    reason: &str,
    author: &str,
    wait: Duration,
) -> Result<ExitCode, String> {
    let stands = tool.stands().ok_or("nobody who keeps the policy answers: nothing was proposed")?;
    let (author, reason) = (author.to_string(), reason.to_string());
    let revision = Revision { number: stands.number + 1, parent: stands.current, author, reason, text };
    if !revision.is_bounded() {
        return Err("the text is over 32 KiB, or author or reason over 200 bytes".into());
    }
    let (digest, bytes) = (revision.digest(), revision.write());
    println!("proposed {} ({digest})", revision.number);
    let offer = PolicyMessage::Offer { digest, wait_ms: wait.as_millis() as u64 };
    let (mut begun, mut asks, mut said) = (false, offer.clone(), None);
    // Longer than it may wait, by what its phases take.
    let within = wait + Duration::from_secs(60);
    let began = Instant::now();
    while began.elapsed() < within {
        let ended = tool.until(AGAIN * 2, &mut said, &asks, |from, say| match say {
            PolicyMessage::GetChunk { digest: of, offset: at } if of == digest => {
                let at = (at as usize).min(bytes.len());
                let chunk = bytes[at..(at + CHUNK_BYTES).min(bytes.len())].to_vec();
                let total_bytes = bytes.len() as u32;
                tool.say(
                    from,
                    &PolicyMessage::Chunk { digest, offset: at as u32, total_bytes, bytes: chunk },
                );
                None
            }
            PolicyMessage::CoordinatorStatus(stands) => Some(stands),
            _ => None,
        });
        let Some(stands) = ended else { continue };
        if stands.current == digest {
            println!("in force: {}", stands.number);
            return Ok(ExitCode::SUCCESS);
        }
        let taken = stands.last_outcome.as_ref().is_some_and(|(of, why)| *of == digest && why.is_none());
        let here = taken || stands.proposal == Some(digest) || stands.next == Some(digest);
        begun |= here;
        match stands.last_outcome {
            Some((of, Some(why))) if of == digest && !here => {
                println!("withdrawn: {why}");
                return Ok(ExitCode::from(WITHDRAWN));
            }
            // A keeper that was lost before the first step was made has taken the proposal with it: it is offered again.
            _ => asks = if here { PolicyMessage::StatusQuery } else { offer.clone() },
        }
        if stands.number >= revision.number {
            println!("withdrawn: {} came before it", stands.current);
            return Ok(ExitCode::from(WITHDRAWN));
        }
    }
    let how = if begun { "it was begun" } else { "nobody has taken it" };
    println!("unknown: {how}; `bramblewharf policy status` tells, and {digest} in force means that it is");
    Ok(ExitCode::from(UNKNOWN))
}
