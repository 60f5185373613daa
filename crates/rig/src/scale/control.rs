//! What a fleet agrees on, by size and by event, in virtual time: keeper, seats, policy. Times are the fleet's own, messages and
//! bytes are counted; processor time is this thread's, in the machines and in what writes and reads messages, without sockets.

use super::report::Table;
use super::room;
use crate::agreement::{
    revision, AgreementConfig, Traffic, World, HEADER_BYTES, INITIAL_POLICY, INITIAL_POLICY_CLOSED,
    REGION_COUNT,
};
use bramblewharf_fleet::voter::Ballot;
use bramblewharf_fleet::wire::{GrantRequest, Message};
use bramblewharf_fleet::{FleetConfig, Incarnation, Leader};
use rayon::prelude::*;
use serde_json::{json, Value};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
/// By then somebody keeps and gives, and all have what they need.
const SETTLED: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(10);
/// Memory that a gateway of the world takes at the most, with texts of 20 KB at hand.
const A_GATEWAY: u64 = 400_000;
/// Worlds at once.
const AT_ONCE: usize = 2;
const MOST_GATEWAYS: usize = 4000;
/// Up to so many gateways everything is measured, beyond it what size may change: a change there takes most of a minute.
const FEW: usize = 300;
/// How long whoever proposes lets a change wait, as the command does by default.
const WAIT: Duration = Duration::from_secs(10);
/// Long enough for the largest texts.
const LONG_WAIT: Duration = Duration::from_secs(120);
const MOST_TIME: Duration = Duration::from_secs(150);

#[derive(clap::Args)]
pub struct Args {
    /// Gateways: a list.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 100, 300, 1000, 1900])]
    pub gateways: Vec<usize>,
    /// Seats: a list.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 9])]
    pub seats: Vec<usize>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// As JSON.
    #[arg(long)]
    pub json: bool,
}

/// A fleet's size, and the seed.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub seats: u8,
    pub seed: u64,
}

impl Size {
    pub fn agreed(&self, policy: Option<usize>) -> AgreementConfig {
        let Size { gateways, seats, seed } = *self;
        AgreementConfig { gateways, voters: seats, seed, policy, ..AgreementConfig::default() }
    }
}

/// What happens to a fleet's keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    KeeperEnds,
    /// Another region has been away for a while.
    KeeperEndsRegionAway,
    KeepersRegionCut,
    RegionBack,
    AllRestarted,
}

/// Who is away while a change is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Away {
    Nobody,
    One,
    /// So many away on average, each for 10 s.
    Restarts(f64),
    Region,
}

impl Away {
    fn name(&self) -> String {
        match self {
            Away::Nobody => "nobody".into(),
            Away::One => "one".into(),
            Away::Restarts(mean) => format!("restarts, {mean:.2}"),
            Away::Region => "a region".into(),
        }
    }
}

/// What a change does to what was permitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    Widens,
    /// Forbids what a gateway alone may do.
    Narrows,
    /// Forbids, where a gateway alone may do nothing.
    NarrowsClosed,
}

/// One change of the policy.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub away: Away,
    pub change: Change,
    pub bytes: usize,
    pub between_regions: Duration,
    /// How long whoever proposes lets it wait.
    pub wait: Duration,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            away: Away::Nobody,
            change: Change::Widens,
            bytes: 2000,
            between_regions: Duration::ZERO,
            wait: WAIT,
        }
    }
}

pub const AT_REST: [&str; 13] = [
    "gateways",
    "seats",
    "lease_s",
    "policy",
    "messages_a_gateway_s",
    "bytes_a_gateway_s",
    "bytes_with_headers_a_gateway_s",
    "keeper_heard_s",
    "keeper_said_s",
    "keeper_bytes_in_s",
    "keeper_bytes_out_s",
    "other_seat_messages_s",
    "other_seat_bytes_s",
];
pub const COST: [&str; 8] = [
    "gateways",
    "seats",
    "lease_s",
    "policy",
    "keeper_of_a_core",
    "keeper_machines",
    "keeper_codec",
    "gateway_of_a_core",
];
pub const EVENTS: [&str; 12] = [
    "event",
    "gateways",
    "seats",
    "seed",
    "another_gives_s",
    "all_given_s",
    "last_without_leave_s",
    "most_without_leave",
    "last_without_policy_s",
    "most_without_policy",
    "gives_more_s",
    "messages_until_all",
];
pub const CHANGES: [&str; 18] = [
    "change",
    "away",
    "text_bytes",
    "gateways",
    "seats",
    "ms_between_regions",
    "waits_s",
    "seed",
    "in_force_s",
    "outcome",
    "messages",
    "extra_bytes_a_gateway",
    "steward_bytes_out",
    "steward_held_back",
    "steward_of_a_core",
    "most_without_leave",
    "in_force_once_back_s",
    "keepers",
];

fn secs(span: Option<Duration>) -> Value {
    span.map_or(Value::Null, |span| json!((span.as_secs_f64() * 1000.0).round() / 1000.0))
}

/// Messages and bytes a second at rest, and processor time, of a fleet that has leave: two rows.
pub fn at_rest(of: &AgreementConfig) -> (Vec<Value>, Vec<Value>) {
    let mut world = World::new(of.clone(), INITIAL_POLICY);
    world.run(SETTLED);
    let before = world.traffic_of_all();
    world.run(WINDOW);
    let after = world.traffic_of_all();
    let per: Vec<Traffic> = after.iter().zip(&before).map(|(after, before)| after.since(before)).collect();
    let each = |count: f64| count / WINDOW.as_secs_f64();
    let keeper = world.leader().unwrap_or(0);
    let seats = usize::from(of.voters);
    let mean = |range: &[usize], of: &dyn Fn(&Traffic) -> u64| {
        each(range.iter().map(|at| of(&per[*at])).sum::<u64>() as f64 / range.len().max(1) as f64)
    };
    let others: Vec<usize> = (seats..per.len()).collect();
    let other_seats: Vec<usize> = (0..seats).filter(|at| *at != keeper).collect();
    let kept = per[keeper];
    let messages = |t: &Traffic| t.sent + t.received;
    let bytes = |t: &Traffic| t.sent_bytes + t.received_bytes;
    let head =
        [json!(of.gateways), json!(of.voters), json!(of.lease.as_secs_f64()), json!(of.policy.is_some())];
    let mut rest = head.to_vec();
    rest.extend([
        json!(mean(&others, &messages)),
        json!(mean(&others, &bytes)),
        json!(mean(&others, &|t| bytes(t) + HEADER_BYTES * messages(t))),
        json!(each(kept.received as f64)),
        json!(each(kept.sent as f64)),
        json!(each(kept.received_bytes as f64)),
        json!(each(kept.sent_bytes as f64)),
        json!(mean(&other_seats, &messages)),
        json!(mean(&other_seats, &bytes)),
    ]);
    let of_a_core = |span: Duration| each(span.as_secs_f64());
    let last = per[per.len() - 1];
    let mut cost = head.to_vec();
    cost.extend([
        json!(of_a_core(kept.state_machine_time + kept.codec_time)),
        json!(of_a_core(kept.state_machine_time)),
        json!(of_a_core(kept.codec_time)),
        json!(of_a_core(last.state_machine_time + last.codec_time)),
    ]);
    (rest, cost)
}

/// Times from an event until a fleet is as it was.
pub fn event(size: &Size, event: Event) -> Vec<Value> {
    let mut world = World::new(size.agreed(Some(2000)), INITIAL_POLICY);
    world.run(SETTLED);
    let keeper = world.leader().unwrap_or(0);
    let mut but = keeper;
    match event {
        Event::KeeperEnds => world.kill(keeper),
        Event::KeeperEndsRegionAway => {
            world.isolate_region(Some((keeper + 1) % REGION_COUNT));
            world.run(10 * S);
            but = world.leader().unwrap_or(keeper);
            world.kill(but);
        }
        Event::KeepersRegionCut => world.isolate_region(Some(keeper % REGION_COUNT)),
        Event::RegionBack => {
            world.isolate_region(Some(keeper % REGION_COUNT));
            world.run(30 * S);
            world.isolate_region(None);
            but = usize::MAX;
        }
        Event::AllRestarted => {
            (0..world.len()).for_each(|at| world.kill(at));
            world.run(S);
            (0..world.len()).for_each(|at| world.start(at));
            but = usize::MAX;
        }
    }
    let messages = |world: &World| world.traffic_of_all().iter().map(|t| t.sent).sum::<u64>();
    let (began, said) = (world.now, messages(&world));
    let (mut first, mut all, mut more, mut until_all) = (None, None, None, 0);
    let (mut last_leave, mut last_policy, mut most) = (None, None, (0, 0));
    while world.now < began + 30 * S {
        world.run(20 * MS);
        let passed = world.now - began;
        if first.is_none() && world.granted_since(began, but, false) {
            first = Some(passed);
        }
        if all.is_none() && first.is_some() && world.granted_since(began, but, true) {
            (all, until_all) = (Some(passed), messages(&world) - said);
        }
        if more.is_none() && all.is_some() && !world.is_recovering() {
            more = Some(passed);
        }
        let (leave, policy) = world.count_without_grant();
        most = (most.0.max(leave), most.1.max(policy));
        last_leave = if leave > 0 { Some(passed) } else { last_leave };
        last_policy = if policy > 0 { Some(passed) } else { last_policy };
        let quiet = |last: Option<Duration>| last.is_none_or(|last| passed > last + 5 * S);
        if more.is_some() && quiet(last_leave) && quiet(last_policy) && passed > 8 * S {
            break;
        }
    }
    let Size { gateways, seats, seed } = *size;
    vec![
        json!(format!("{event:?}")),
        json!(gateways),
        json!(seats),
        json!(seed),
        secs(first),
        secs(all),
        secs(last_leave),
        json!(most.0),
        secs(last_policy),
        json!(most.1),
        secs(more),
        json!(until_all),
    ]
}

/// From a proposal until it is in force everywhere, or is withdrawn.
pub fn change(size: &Size, of: &Case) -> Vec<Value> {
    let Case { away, change, bytes, between_regions, wait } = *of;
    let closed = change == Change::NarrowsClosed;
    let first = if closed { INITIAL_POLICY_CLOSED } else { INITIAL_POLICY };
    let mut world = World::new(AgreementConfig { between_regions, ..size.agreed(Some(bytes)) }, first);
    world.run(SETTLED);
    match away {
        Away::Nobody => {}
        Away::One => world.kill(size.gateways - 1),
        Away::Restarts(mean) => world.restart_continuously(mean / 10.0, 10 * S),
        Away::Region => world.isolate_region(Some((world.leader().unwrap_or(0) + 1) % REGION_COUNT)),
    }
    world.run(10 * S);
    let total = |world: &World| {
        world.traffic_of_all().iter().fold((0, 0), |(m, b), t| (m + t.sent, b + t.sent_bytes))
    };
    let rest = total(&world);
    world.run(5 * S);
    let before = total(&world);
    let at_rest = (before.1 - rest.1) as f64 / 5.0;
    let now = revision(1, Default::default(), first, bytes).digest();
    let words = match change {
        Change::Widens => "load=4,report=3",
        Change::Narrows => "load=2,report=3",
        Change::NarrowsClosed => "load=2,report=3,alone",
    };
    let next = revision(2, now, words, bytes);
    let digest = next.digest();
    let steward = world.leader().unwrap_or(0);
    let (steward_before, began) = (world.traffic(steward), world.now);
    world.propose(next, wait);
    // What the change itself costs others: answers of leave that go no more into what the steward may send.
    let most_without = std::cell::Cell::new((0, world.now));
    // One that can't send its bids loses its right in the middle of the change.
    let keepers = std::cell::RefCell::new(std::collections::BTreeSet::new());
    let took = world.run_until(MOST_TIME, |world| {
        let (most, at) = most_without.get();
        if let Some(keeper) = world.leader() {
            keepers.borrow_mut().insert(keeper);
        }
        if world.now >= at {
            most_without.set((most.max(world.count_without_grant().0), world.now + S / 4));
        }
        world.is_enforced_everywhere(digest) || world.rejection_reason(digest).is_some()
    });
    let keepers = keepers.into_inner().len();
    let (refused, ended) = (world.rejection_reason(digest), world.now);
    let outcome = match (&refused, took) {
        (Some(why), _) => format!("withdrawn: {}", why.chars().take(90).collect::<String>()),
        (None, Some(_)) => "in force".into(),
        (None, None) => {
            format!("not yet: phase {:?}", world.coordinator_status().map(|stands| stands.phase.0))
        }
    };
    let after = total(&world);
    let extra = (after.1 - before.1) as f64 - at_rest * (ended - began).as_secs_f64();
    let of_steward = world.traffic(steward).since(&steward_before);
    // Who was away comes back to what is in force by then.
    let by = world.coordinator_status().map_or(now, |stands| stands.current);
    match away {
        Away::One => world.start(size.gateways - 1),
        Away::Region => world.isolate_region(None),
        Away::Nobody | Away::Restarts(_) => {}
    }
    let is_back = matches!(away, Away::One | Away::Region);
    // With leave to decide by it: one that has only started is no other's concern, but its own.
    let all_on = |world: &mut World| world.is_enforced_everywhere(by) && world.count_without_grant().1 == 0;
    let back = is_back.then(|| world.run_until(MOST_TIME, all_on)).flatten();
    vec![
        json!(format!("{change:?}")),
        json!(away.name()),
        json!(bytes),
        json!(size.gateways),
        json!(size.seats),
        json!(between_regions.as_millis() as u64),
        json!(wait.as_secs()),
        json!(size.seed),
        secs(took.filter(|_| refused.is_none())),
        json!(outcome),
        json!(after.0 - before.0),
        json!(extra / size.gateways as f64),
        json!(of_steward.sent_bytes),
        json!(of_steward.dropped_messages),
        json!(
            (of_steward.state_machine_time + of_steward.codec_time).as_secs_f64()
                / (ended - began).as_secs_f64()
        ),
        json!(most_without.get().0),
        secs(back),
        json!(keepers),
    ]
}

/// Several changes, each proposed as the one before is in force everywhere: how long all take.
pub fn in_a_row(size: &Size, count: u64, bytes: usize) -> Vec<Value> {
    let mut world = World::new(size.agreed(Some(bytes)), INITIAL_POLICY);
    world.run(SETTLED);
    let mut before = revision(1, Default::default(), INITIAL_POLICY, bytes).digest();
    let began = world.now;
    let mut longest = Some(Duration::ZERO);
    for number in 2..2 + count {
        let next = revision(number, before, &format!("load={},report=3", number + 2), bytes);
        before = next.digest();
        world.propose(next, WAIT);
        let took = world.run_until(MOST_TIME, |world| world.is_enforced_everywhere(before));
        longest = longest.zip(took).map(|(longest, took)| longest.max(took));
    }
    vec![
        json!(size.gateways),
        json!(size.seats),
        json!(bytes),
        json!(count),
        secs(longest),
        secs(Some((world.now - began) / count as u32)),
    ]
}

/// One gateway is away the whole time, and a change that widens comes every so often: how many are in force everywhere else before
/// one is refused, and why that one was.
pub fn with_one_away(size: &Size, every: Duration, most: u64) -> (u64, String) {
    let mut world = World::new(size.agreed(Some(200)), INITIAL_POLICY);
    world.run(SETTLED);
    world.kill(size.gateways - 1);
    world.run(5 * S);
    let mut before = revision(1, Default::default(), INITIAL_POLICY, 200).digest();
    for number in 2..2 + most {
        let (next, began) =
            (revision(number, before, &format!("load={},report=3", number + 2), 200), world.now);
        let digest = next.digest();
        world.propose(next, WAIT);
        let took = world.run_until(MOST_TIME, |w| {
            w.is_enforced_everywhere(digest) || w.rejection_reason(digest).is_some()
        });
        if let Some(why) = world.rejection_reason(digest) {
            return (number - 2, why);
        }
        if took.is_none() {
            return (number - 2, "is not over".into());
        }
        before = digest;
        world.run((began + every).saturating_sub(world.now));
    }
    (most, "none was".into())
}

/// Bytes that a keeper's book holds for a place, by the memory of this process with many books of one size: none where that can't
/// be told.
pub fn book(gateways: usize) -> Option<f64> {
    let resident = || -> Option<u64> {
        let text = std::fs::read_to_string("/proc/self/statm").ok()?;
        text.split_whitespace().nth(1)?.parse::<u64>().ok().map(|pages| pages * 4096)
    };
    let terms = FleetConfig {
        fleet: 1,
        max_members: gateways as u32,
        voters: 9,
        lease: 2 * S,
        drift_percent: 1,
        max_execution_time: S,
        orphan_retention: S,
        injected_bug: None,
    };
    let budgets = vec![bramblewharf_budgets::Budget::engines()];
    let books = (200_000 / gateways.max(1)).max(1);
    let before = resident()?;
    let mut all = Vec::new();
    for seed in 0..books as u64 {
        let term = Ballot { round: 1, voter: 0, incarnation: Incarnation(1) };
        let mut keeper = Leader::start(term, terms.clone(), budgets.clone(), 1, seed, S);
        for place in 0..gateways as u32 {
            let ask = |session| GrantRequest {
                session,
                table_digest: 1,
                uptime_ms: 60_000,
                holds: vec![0],
                needs: vec![1000],
            };
            let incarnation = Incarnation(u64::from(place) + 10);
            if let Some(Message::Session { session, .. }) =
                keeper.handle_request(place, incarnation, 1, ask(0))
            {
                let _ = keeper.handle_request(place, incarnation, 2, ask(session));
            }
        }
        all.push(keeper);
    }
    let after = resident()?;
    drop(std::hint::black_box(all));
    (after > before).then(|| (after - before) as f64 / (books * gateways) as f64)
}

type Job = Box<dyn Fn() -> Vec<(usize, Vec<Value>)> + Send + Sync>;

/// Of large fleets only what size may change.
fn cases(gateways: usize) -> Vec<Case> {
    let of = |away, change| Case { away, change, ..Case::default() };
    // 2,000 starts a day of 10 s each, and one of a hundred away at any time.
    let (day, hundredth) = (2000.0 * 10.0 / 86400.0, gateways as f64 / 100.0);
    let large = Case { bytes: 20_000, ..Case::default() };
    let between_regions = 40 * MS;
    let mut cases = vec![
        Case::default(),
        of(Away::One, Change::Widens),
        of(Away::One, Change::NarrowsClosed),
        of(Away::Restarts(day), Change::Widens),
        of(Away::Restarts(hundredth), Change::Widens),
        of(Away::Restarts(hundredth), Change::NarrowsClosed),
        of(Away::Region, Change::NarrowsClosed),
        large,
    ];
    if gateways <= FEW {
        cases.extend([
            Case { between_regions, ..Case::default() },
            of(Away::Nobody, Change::Narrows),
            of(Away::One, Change::Narrows),
            of(Away::Restarts(day), Change::Narrows),
            of(Away::Restarts(hundredth), Change::Narrows),
            of(Away::Region, Change::Widens),
            of(Away::Region, Change::Narrows),
            Case { wait: LONG_WAIT, ..large },
            Case { between_regions, ..large },
            Case { away: Away::One, ..large },
        ]);
    }
    cases
}

fn jobs(args: &Args) -> Vec<(String, Job)> {
    let mut jobs: Vec<(String, Job)> = Vec::new();
    let mut add = |what: String, job: Job| jobs.push((what, job));
    let seed = args.seed;
    let row = |table: usize, row: Vec<Value>| vec![(table, row)];
    for seats in args.seats.iter().map(|seats| *seats as u8) {
        for gateways in args.gateways.iter().copied().filter(|gateways| *gateways > usize::from(seats)) {
            let size = Size { gateways, seats, seed };
            let policies = [None, Some(2000)];
            for of in policies.map(|policy| size.agreed(policy)) {
                let job = move || {
                    let (rest, cost) = at_rest(&of);
                    vec![(0, rest), (1, cost)]
                };
                add(format!("at rest, {gateways} gateways, {seats} seats"), Box::new(job));
            }
            let large = gateways > FEW;
            // By chance alone seeds differ most where the fleet is small.
            for seed in seed..seed + if large { 1 } else { 2 } {
                let size = Size { seed, ..size };
                let events = [
                    Event::KeeperEnds,
                    Event::AllRestarted,
                    Event::KeeperEndsRegionAway,
                    Event::KeepersRegionCut,
                    Event::RegionBack,
                ];
                for what in events.into_iter().take(if large && seats < 5 { 2 } else { 5 }) {
                    let job = move || row(2, event(&size, what));
                    add(format!("{what:?}, {gateways} gateways, {seats} seats"), Box::new(job));
                }
            }
            let few = |case: &Case| {
                seats > 3 || !large || case.away == Away::Nobody && case.between_regions == Duration::ZERO
            };
            for case in cases(gateways).into_iter().filter(few) {
                let job = move || row(3, change(&size, &case));
                add(format!("{case:?}, {gateways} gateways, {seats} seats"), Box::new(job));
            }
            if !large {
                let job = move || row(4, in_a_row(&size, 4, 2000));
                add(format!("in a row, {gateways} gateways, {seats} seats"), Box::new(job));
            }
        }
    }
    let least = args.gateways.iter().min().copied().unwrap_or(30);
    let size = Size { gateways: least, seats: args.seats[0] as u8, seed };
    let every = 66 * S;
    let job = move || {
        let (passed, why) = with_one_away(&size, every, 60);
        row(
            5,
            vec![json!(size.gateways), json!(size.seats), json!(every.as_secs()), json!(passed), json!(why)],
        )
    };
    add("changes with one away".into(), Box::new(job));
    for lease in [1, 4] {
        let size = Size { gateways: args.gateways[0], seats: args.seats[0] as u8, seed };
        let of = AgreementConfig { lease: lease * S, ..size.agreed(Some(2000)) };
        let job = move || {
            let (rest, cost) = at_rest(&of);
            vec![(0, rest), (1, cost)]
        };
        add(format!("at rest, a lease of {lease} s"), Box::new(job));
    }
    jobs
}

pub fn run(args: &Args) -> Result<Vec<Table>, String> {
    if args.gateways.is_empty() || args.seats.is_empty() {
        return Err("--gateways, --seats: name one size at the least".into());
    }
    for seats in &args.seats {
        room::sized("seats", *seats, 1, 15)?;
    }
    for gateways in &args.gateways {
        // One that is neither a seat's nor the first to restart has to be left.
        room::sized("gateways", *gateways, 16, MOST_GATEWAYS)?;
    }
    let largest = args.gateways.iter().max().copied().unwrap_or(0) as u64;
    room::check(room::memory()?, largest * A_GATEWAY * AT_ONCE as u64, 0)?;
    let mut tables = vec![
        Table::new("At rest, in the fleet's own time", &AT_REST),
        Table::new("At rest, processor time on this machine, without sockets", &COST),
        Table::new("Events, in the fleet's own time", &EVENTS),
        Table::new("Changes of the policy, in the fleet's own time", &CHANGES),
        Table::new(
            "Changes in a row, in the fleet's own time",
            &["gateways", "seats", "text_bytes", "changes", "longest_s", "mean_s"],
        ),
        Table::new(
            "One away the whole time, a change that widens every so often",
            &["gateways", "seats", "every_s", "in_force", "then"],
        ),
        Table::new("The keeper's book, by this process's memory", &["gateways", "bytes_a_place"]),
    ];
    // Alone, before others fill and empty the memory.
    for gateways in &args.gateways {
        tables[6].add(vec![json!(gateways), book(*gateways).map_or(Value::Null, |bytes| json!(bytes))]);
    }
    let jobs = jobs(args);
    let of = jobs.len();
    let done = std::sync::atomic::AtomicUsize::new(0);
    let pool = rayon::ThreadPoolBuilder::new().num_threads(AT_ONCE).build();
    let pool = pool.map_err(|e| format!("threads: {e}"))?;
    let play = |(what, job): &(String, Job)| {
        let began = std::time::Instant::now();
        let rows = job();
        let at = 1 + done.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // With what it gave, so that a run that is stopped has not measured in vain.
        eprintln!("{at} of {of}: {what}: {:.1} s: {}", began.elapsed().as_secs_f64(), json!(rows));
        rows
    };
    let rows: Vec<_> = pool.install(|| jobs.par_iter().map(play).collect());
    rows.into_iter().flatten().for_each(|(at, row)| tables[at].add(row));
    Ok(tables)
}
