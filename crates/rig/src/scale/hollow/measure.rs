//! What is measured of one fleet, in this order: ready, at rest, changes of policy, another keeper, ill engines.

use super::fleet::{Fleet, Plan, Proposal, FORBIDS, ZONES};
use super::gateway::{Seen, KINDS, TO_TOOL, WORDS};
use super::Args;
use crate::scale::report::Table;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Nothing is waited for longer; what has not come by then is shown as not come.
const LONG: Duration = Duration::from_secs(45);
/// How long a proposal may wait for gateways that aren't heard.
const OFFER: Duration = Duration::from_secs(8);
/// Time to settle before what is measured at rest, and over which an ill engine is looked at.
const SETTLES: Duration = Duration::from_secs(2);
const LOOKED_AT: Duration = Duration::from_secs(8);

const AT_REST: &str = "At rest";
const SENT_AT_REST: &str = "At rest, sent by a hollow gateway, the seats' divided among all";
const CHANGES: &str = "Changes of policy";
const KEEPER: &str = "Another keeper after the old one's end";
const ILL: &str = "Ill engines";
const QUARTER: Duration = Duration::from_millis(250);
const IN_A_ROW: usize = 8;
/// Executions a second that an engine has to have had.
const SOME: f64 = 1.0;

fn secs(span: Option<Duration>) -> Value {
    span.map_or(Value::Null, |span| json!(span.as_secs_f64()))
}

fn sum(fleet: &Fleet, of: impl Fn(&Seen) -> u64) -> u64 {
    fleet.shared.seen.iter().map(of).sum()
}

fn load(count: &AtomicU64) -> u64 {
    count.load(Relaxed)
}

/// All that the hollow gateways have counted, at one moment.
struct Counts {
    at: Instant,
    sent: Vec<u64>,
    bytes: Vec<u64>,
    each_bytes: Vec<u64>,
    each_heard: Vec<u64>,
    each_sent: Vec<u64>,
    threads: Vec<u64>,
    reals: Vec<u64>,
}

impl Counts {
    fn now(fleet: &Fleet) -> Counts {
        let (threads, reals) = fleet.took();
        let seen = || fleet.shared.seen.iter();
        Counts {
            at: Instant::now(),
            sent: (0..KINDS.len()).map(|kind| sum(fleet, |seen| load(&seen.sent[kind]))).collect(),
            bytes: (0..KINDS.len()).map(|kind| sum(fleet, |seen| load(&seen.sent_bytes[kind]))).collect(),
            each_bytes: seen().map(|seen| seen.sent_bytes.iter().map(load).sum()).collect(),
            each_heard: seen().map(|seen| load(&seen.heard)).collect(),
            each_sent: seen().map(|seen| seen.sent.iter().map(load).sum()).collect(),
            threads,
            reals,
        }
    }
}

/// What happened between two moments.
struct Span {
    before: Counts,
    after: Counts,
}

impl Span {
    fn secs(&self) -> f64 {
        (self.after.at - self.before.at).as_secs_f64()
    }

    fn rate(&self, before: u64, after: u64) -> f64 {
        after.saturating_sub(before) as f64 / self.secs()
    }

    /// Of all hollow gateways, by one.
    fn each(&self, of: impl Fn(&Counts) -> u64) -> f64 {
        self.rate(of(&self.before), of(&self.after)) / self.before.each_sent.len() as f64
    }

    /// The most that one gateway without a seat sent.
    fn most_bytes(&self, seats: usize) -> f64 {
        let each = self.before.each_bytes.iter().zip(&self.after.each_bytes).skip(seats);
        each.map(|(before, after)| self.rate(*before, *after)).fold(0.0, f64::max)
    }

    /// Percent of a core.
    fn thread(&self, at: usize) -> f64 {
        self.rate(self.before.threads[at], self.after.threads[at]) / 1e4
    }

    /// Of one gateway without a seat: percent of a core, threads being theirs alone.
    fn without_seat(&self, seats: usize) -> f64 {
        let all: f64 = (seats..self.before.threads.len()).map(|at| self.thread(at)).sum();
        all / (self.before.each_sent.len() - seats) as f64
    }

    fn real(&self) -> Option<f64> {
        let each = self.before.reals.iter().zip(&self.after.reals);
        let all: Vec<f64> = each.map(|(before, after)| self.rate(*before, *after) / 1e4).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    }
}

/// A measurement's own span, in which it has nothing to wait for.
fn over(fleet: &Fleet, span: Duration) -> Span {
    let before = Counts::now(fleet);
    std::thread::sleep(span);
    Span { before, after: Counts::now(fleet) }
}

/// What is added to a count by each quarter of a second, until there is enough of it.
fn by_quarters(most: Duration, count: impl Fn() -> u64, enough: impl Fn(&[u64]) -> bool) -> Vec<u64> {
    let (began, mut before, mut quarters) = (Instant::now(), count(), Vec::new());
    while QUARTER * quarters.len() as u32 + QUARTER <= most && !enough(&quarters) {
        let next = QUARTER * (quarters.len() as u32 + 1);
        std::thread::sleep(next.saturating_sub(began.elapsed()));
        let now = count();
        quarters.push(now - before);
        before = now;
    }
    quarters
}

/// From when on so many quarters in a row bring, a second, what is wanted.
fn first(quarters: &[u64], wanted: impl Fn(f64) -> bool) -> Option<Duration> {
    let span = (QUARTER * IN_A_ROW as u32).as_secs_f64();
    let of = |window: &[u64]| window.iter().sum::<u64>() as f64 / span;
    quarters.windows(IN_A_ROW).position(|window| wanted(of(window))).map(|at| QUARTER * at as u32)
}

struct Measured<'a> {
    fleet: Fleet,
    args: &'a Args,
    tables: Vec<Table>,
    /// The number of the revision in force.
    number: u64,
}

pub fn all(plan: Plan, args: &Args) -> Result<Vec<Table>, String> {
    let size = format!("{} gateways, {} engines", plan.gateways, plan.engines);
    let said = |what: &str| eprintln!("hollow: {size}: {what}");
    said("starting");
    let began = Instant::now();
    let fleet = Fleet::start(plan)?;
    let mut of = Measured { fleet, args, tables: Vec::new(), number: 1 };
    of.ready(began);
    said("at rest");
    of.at_rest();
    said("changes of policy");
    of.policy()?;
    said("another keeper");
    of.keeper();
    said("ill engines");
    of.ill();
    of.lost();
    of.limits();
    said("done");
    Ok(of.tables)
}

impl Measured<'_> {
    fn row(&self, more: Vec<Value>) -> Vec<Value> {
        let plan = &self.fleet.plan;
        [json!(plan.gateways), json!(plan.engines)].into_iter().chain(more).collect()
    }

    fn table(&mut self, title: &str, columns: &[&str], rows: Vec<Vec<Value>>) {
        let columns: Vec<&str> = ["gateways", "engines"].iter().chain(columns).copied().collect();
        let mut table = Table::new(title, &columns);
        rows.into_iter().for_each(|row| table.add(self.row(row)));
        self.tables.push(table);
    }

    fn ready(&mut self, began: Instant) {
        let started = began.elapsed();
        let leave = self.fleet.wait(LONG, Fleet::all_have_leave).map(|_| began.elapsed());
        let policy = self.fleet.wait(LONG, |fleet| fleet.all_decide_by(1)).map(|_| began.elapsed());
        // The real ones show themselves four times a second.
        let shown = self.fleet.shown();
        let members = shown.iter().map(|shown| shown.members).min();
        let row = vec![
            json!(self.fleet.plan.seats),
            json!(self.fleet.plan.processes),
            secs(Some(started)),
            secs(leave),
            secs(policy),
            json!(members),
        ];
        let columns = [
            "seats",
            "real",
            "started s",
            "all have leave s",
            "all know the policy s",
            "members seen by real",
        ];
        self.table("Ready", &columns, vec![row]);
    }

    fn at_rest(&mut self) {
        let fleet = &self.fleet;
        fleet.shared.looks.store(false, Relaxed);
        std::thread::sleep(SETTLES);
        fleet.shared.seen.iter().for_each(|seen| seen.latest.store(0, Relaxed));
        let keeper = fleet.keeper();
        let span = over(fleet, Duration::from_secs(self.args.seconds));
        let (own, real) = fleet.memory();
        let seats = fleet.plan.seats;
        let latest = fleet.shared.seen.iter().map(|seen| load(&seen.latest)).max().unwrap_or(0);
        let busiest = (seats..span.before.threads.len()).map(|at| span.thread(at)).fold(0.0, f64::max);
        let rate = |of: &dyn Fn(&Counts) -> u64| span.rate(of(&span.before), of(&span.after));
        let rows = vec![vec![
            json!(span.without_seat(seats)),
            json!(span.real()),
            json!(keeper.map(|at| span.thread(at))),
            json!(keeper.map(|at| rate(&|counts| counts.each_heard[at]))),
            json!(keeper.map(|at| rate(&|counts| counts.each_sent[at]))),
            json!(keeper.map(|at| rate(&|counts| counts.each_bytes[at]))),
            json!(own as f64 / 1e6),
            json!(real.map(|bytes| bytes as f64 / 1e6)),
            json!(busiest),
            json!(latest as f64 / 1e3),
        ]];
        let kinds: Vec<Value> = (0..KINDS.len())
            .flat_map(|kind| {
                [json!(span.each(|counts| counts.sent[kind])), json!(span.each(|counts| counts.bytes[kind]))]
            })
            .collect();
        let total = span.each(|counts| counts.bytes.iter().sum());
        let most = span.most_bytes(seats);
        let columns = [
            "gateway % core",
            "real % core",
            "keeper % core",
            "keeper hears/s",
            "keeper says/s",
            "keeper says B/s",
            "MB a gateway",
            "MB real",
            "busiest thread %",
            "latest wake ms",
        ];
        self.table(AT_REST, &columns, rows);
        let names: Vec<String> =
            KINDS.iter().flat_map(|kind| [format!("{kind}/s"), format!("{kind} B/s")]).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).chain(["all B/s", "most B/s"]).collect();
        let row = kinds.into_iter().chain([json!(total), json!(most)]).collect();
        self.table(SENT_AT_REST, &names, vec![row]);
    }

    /// Proposes, and sees when it is in force at all that are there.
    fn change(&mut self, what: &str, text: &str, wait: Duration) -> Result<Vec<Value>, String> {
        let before = Counts::now(&self.fleet);
        let held = sum(&self.fleet, |seen| load(&seen.held_back));
        let proposal = self.fleet.propose(text, wait).map_err(|e| format!("proposal: {e}"))?;
        let next = self.number + 1;
        let most = LONG;
        let ended = |proposal: &std::thread::JoinHandle<Proposal>| proposal.is_finished();
        // One that was withdrawn never gets there.
        let mut in_force = None;
        let began = Instant::now();
        let mut over = None::<Instant>;
        while began.elapsed() < most && over.is_none_or(|at| at.elapsed() < SETTLES * 2) {
            self.fleet.shared.looks.store(true, Relaxed);
            if self.fleet.all_decide_by(next) {
                in_force = Some(began.elapsed());
                break;
            }
            if over.is_none() && ended(&proposal) {
                over = Some(Instant::now());
            }
            std::thread::sleep(20 * MS);
        }
        let span = Span { before, after: Counts::now(&self.fleet) };
        let held = sum(&self.fleet, |seen| load(&seen.held_back)) - held;
        let (hollow, real) = self.fleet.decide_by(next);
        let there = self.fleet.there().count();
        let proposal = proposal.join().map_err(|_| "proposal: lost")?;
        if proposal.code == 0 {
            self.number = next;
        }
        let said: String =
            proposal.said.chars().rev().take(60).collect::<Vec<_>>().into_iter().rev().collect();
        Ok(vec![
            json!(what),
            json!(there),
            json!(hollow),
            json!(real),
            secs(in_force),
            json!(proposal.took.as_secs_f64()),
            json!(proposal.code),
            json!(said),
            json!(span.each(|counts| counts.bytes[3])),
            json!(span.rate(span.before.sent[TO_TOOL], span.after.sent[TO_TOOL])),
            json!(held),
        ])
    }

    fn policy(&mut self) -> Result<(), String> {
        let mut rows = Vec::new();
        let wider = self.fleet.wider();
        rows.push(self.change("all there", &wider, OFFER)?);
        for (what, percent) in [("5% cut off", 5), ("20% cut off", 20)] {
            self.fleet.cut(percent, true);
            // For the whole time: they have no leave any more when it is proposed.
            let cut = |fleet: &Fleet| {
                let out = fleet.shared.seen.iter().filter(|seen| seen.cut.load(Relaxed));
                out.into_iter().all(|seen| load(&seen.leave_of) == 0 && load(&seen.policy) == 0)
            };
            self.fleet.wait(LONG, cut);
            let wider = self.fleet.wider();
            rows.push(self.change(what, &wider, OFFER)?);
            if percent == 20 {
                rows.push(self.change("20% cut off, forbids what they may do alone", FORBIDS, OFFER / 2)?);
            }
            self.fleet.cut(percent, false);
            let number = self.number;
            let back = self.fleet.wait(LONG, |fleet| fleet.all_decide_by(number) && fleet.all_have_leave());
            let (hollow, real) = self.fleet.decide_by(number);
            let there = self.fleet.there().count();
            let back = vec![json!("all back"), json!(there), json!(hollow), json!(real), secs(back)];
            rows.push(back.into_iter().chain([const { Value::Null }; 6]).collect());
        }
        let columns = [
            "change",
            "hollow there",
            "hollow with it",
            "real with it",
            "in force at all there s",
            "tool took s",
            "tool's code",
            "tool said",
            "policy B/s a gateway",
            "to the tool/s",
            "held back",
        ];
        self.table(CHANGES, &columns, rows);
        Ok(())
    }

    fn keeper(&mut self) {
        let fleet = &self.fleet;
        let columns = ["old", "new", "new keeps s", "first leave s", "half have leave s", "all have leave s"];
        let Some(old) = fleet.wait(LONG, |fleet| fleet.keeper().is_some()).and_then(|_| fleet.keeper())
        else {
            return self.table(KEEPER, &columns, Vec::new());
        };
        fleet.shared.seen[old].ended.store(true, Relaxed);
        let began = Instant::now();
        // What it has answered by then has arrived, and is shown.
        fleet.wait(LONG, |fleet| !fleet.shared.seen[old].keeps.load(Relaxed));
        std::thread::sleep(300 * MS);
        let (given, there) = (fleet.given(), fleet.there().count() + fleet.plan.processes);
        let with_leave = |fleet: &Fleet| fleet.given_since(&given, 1);
        let keeps = fleet.wait(LONG, |fleet| fleet.keeper().is_some()).map(|_| began.elapsed());
        let new = fleet.keeper();
        let first = fleet.wait(LONG, |fleet| with_leave(fleet) > 0).map(|_| began.elapsed());
        let half = fleet.wait(LONG, |fleet| with_leave(fleet) * 2 >= there).map(|_| began.elapsed());
        let all = fleet.wait(LONG, |fleet| with_leave(fleet) == there).map(|_| began.elapsed());
        let row = vec![json!(old), json!(new), secs(keeps), secs(first), secs(half), secs(all)];
        self.table(KEEPER, &columns, vec![row]);
    }

    fn ill(&mut self) {
        let fleet = &self.fleet;
        let shared = &fleet.shared;
        shared.looks.store(false, Relaxed);
        shared.rate.store(self.args.statements_a_second, Relaxed);
        std::thread::sleep(SETTLES);
        // Those that most goes to: of others nobody would find out.
        let used: Vec<u64> = shared.used.iter().map(load).collect();
        let of = |zone: usize| (zone..used.len()).step_by(ZONES);
        let one = (0..used.len()).max_by_key(|at| used[*at]).unwrap_or(0);
        let zone = (0..ZONES).max_by_key(|zone| of(*zone).map(|at| used[at]).sum::<u64>()).unwrap_or(0);
        let cases: [(&str, Vec<usize>); 2] = [("one engine", vec![one]), ("a zone", of(zone).collect())];
        let rows = cases.map(|(what, chosen)| self.one_ill(what, &chosen));
        let shared = &self.fleet.shared;
        shared.rate.store(0, Relaxed);
        let columns = [
            "ill",
            "of them",
            "executions/s there before",
            "users in 4 s before",
            "left s",
            "lost there",
            "users in the last 4 s",
            "words",
            "all B/s a gateway",
            "most B/s",
            "gateway % core",
            "used again s",
            "words then",
            "completed %",
        ];
        self.table(ILL, &columns, rows.into_iter().collect());
    }

    fn one_ill(&self, what: &str, chosen: &[usize]) -> Vec<Value> {
        let (fleet, shared) = (&self.fleet, &self.fleet.shared);
        let seats = fleet.plan.seats;
        let each = || shared.seen.iter().map(|seen| load(&seen.watched)).collect::<Vec<_>>();
        let users = |before: &[u64]| each().iter().zip(before).filter(|(now, before)| now > before).count();
        let all = || sum(fleet, |seen| load(&seen.watched));
        chosen.iter().for_each(|at| shared.watched[*at].store(true, Relaxed));
        let (before, total) = (each(), all());
        std::thread::sleep(LOOKED_AT / 2);
        let usual = (all() - total) as f64 / (LOOKED_AT / 2).as_secs_f64();
        let users_before = users(&before);
        let statements = || sum(fleet, |seen| load(&seen.completed));
        let offered =
            || sum(fleet, |seen| load(&seen.completed) + load(&seen.rejected) + load(&seen.aborted));
        let (completed, answered) = (statements(), offered());
        chosen.iter().for_each(|at| shared.ill[*at].store(true, Relaxed));
        let from = Counts::now(fleet);
        let mut ill = by_quarters(LOOKED_AT / 2, all, |_| false);
        let middle = each();
        ill.extend(by_quarters(LOOKED_AT / 2, all, |_| false));
        let last = users(&middle);
        let span = Span { before: from, after: Counts::now(fleet) };
        // Where hardly anything went there, nothing can be said of when it was left.
        let left = first(&ill, |sent| sent < usual / 4.0).filter(|_| usual >= SOME);
        let well_at = Counts::now(fleet);
        chosen.iter().for_each(|at| shared.ill[*at].store(false, Relaxed));
        let is_used = |sent| sent >= usual / 2.0;
        let well = by_quarters(LOOKED_AT * 3 / 2, all, |well| first(well, is_used).is_some());
        let again = first(&well, is_used).filter(|_| usual >= SOME);
        let then = Span { before: well_at, after: Counts::now(fleet) };
        chosen.iter().for_each(|at| shared.watched[*at].store(false, Relaxed));
        let words = |span: &Span| span.after.sent[WORDS] - span.before.sent[WORDS];
        let share = (statements() - completed) as f64 / (offered() - answered).max(1) as f64;
        vec![
            json!(what),
            json!(chosen.len()),
            json!(usual),
            json!(users_before),
            secs(left),
            json!(ill.iter().sum::<u64>()),
            json!(last),
            json!(words(&span)),
            json!(span.each(|counts| counts.bytes.iter().sum())),
            json!(span.most_bytes(seats)),
            json!(span.without_seat(seats)),
            secs(again),
            json!(words(&then)),
            json!(share * 100.0),
        ]
    }

    fn lost(&mut self) {
        let fleet = &self.fleet;
        let row = vec![
            json!(sum(fleet, |seen| load(&seen.not_sent))),
            json!(sum(fleet, |seen| load(&seen.held_back))),
            json!(fleet.lost()),
            json!(sum(fleet, |seen| load(&seen.passed_over))),
            json!(sum(fleet, |seen| load(&seen.heard))),
        ];
        let columns = ["could not be sent", "held back", "lost by full buffers", "passed over", "heard"];
        self.table("Datagrams of the whole measurement", &columns, vec![row]);
    }

    /// What was measured beside what is allowed; of figures that there are several of, the largest.
    fn limits(&mut self) {
        let of = |title: &str, column: &str, only: &str| {
            let table = self.tables.iter().find(|table| table.title == title)?;
            let rows = (0..table.rows.len()).filter(|at| only.is_empty() || table.rows[*at][2] == only);
            rows.filter_map(|at| table.figure(at, column)).reduce(f64::max)
        };
        let in_force = "in force at all there s";
        let limits = [
            ("bytes a second a gateway at rest", 2000.0, of(SENT_AT_REST, "all B/s", "")),
            ("bytes a second a gateway, engines ill", 2000.0, of(ILL, "all B/s a gateway", "")),
            ("bytes a second of one gateway, engines ill", 2000.0, of(ILL, "most B/s", "")),
            ("percent of a core a gateway at rest", 1.4, of(AT_REST, "gateway % core", "")),
            ("percent of a core of the keeper at rest", 1.4, of(AT_REST, "keeper % core", "")),
            ("MB a hollow gateway", 64.0, of(AT_REST, "MB a gateway", "")),
            ("MB a real process", 64.0, of(AT_REST, "MB real", "")),
            ("s until a policy is in force, all there", 8.0, of(CHANGES, in_force, "all there")),
            ("s until a policy is in force, 5% cut off", 8.0, of(CHANGES, in_force, "5% cut off")),
            ("s until a policy is in force, 20% cut off", 8.0, of(CHANGES, in_force, "20% cut off")),
            ("s until another keeper has given all leave", 14.0, of(KEEPER, "all have leave s", "")),
        ];
        let rows = limits.map(|(what, limit, measured)| {
            let holds = match measured {
                Some(measured) if measured <= limit => "holds",
                Some(_) => "fails",
                None => "not measured",
            };
            vec![json!(what), json!(limit), json!(measured), json!(holds)]
        });
        self.table("Limits", &["of", "limit", "measured", "it"], rows.into_iter().collect());
    }
}
