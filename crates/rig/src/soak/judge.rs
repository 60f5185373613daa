//! Checks the invariants against the records of clients, engines, the name service and gateway processes.

use super::client::{Request, RequestOutcome, Workload, ANSWER_SLACK, WORKLOADS};
use super::discovery::{Departure, Notification};
use super::engine::{Arrival, Ended};
use super::gateways::{Exit, ProcessRun};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// A change of the engine list counts as known to a gateway after this time, whether or not an answer reached
/// it.
const NOTIFICATION_LIMIT: Duration = Duration::from_millis(1500);
/// `stopSendingWithinUs` of the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Slack of the drain rule, whose effect is observed over sockets.
const RULE_SLACK: Duration = Duration::from_millis(50);
/// An attempt may start this long after its client disconnected.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// The deadline passed to an engine may exceed the client's remaining time by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A request on a reused connection that closes within this time raced with the close of an idle connection;
/// real clients repeat it.
const IDLE_CLOSE_RACE: Duration = Duration::from_millis(50);
/// Timer lateness below this is not recorded.
const MIN_RECORDED_LATENESS: Duration = Duration::from_millis(5);

/// The rules that every run must keep; the names are printed in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets exactly one final answer, in time.
    Answered,
    /// The rows of a result are those that one engine produced for the request.
    TrueRows,
    /// No attempt starts for a client that has disconnected.
    NothingForTheGone,
    /// Nothing is sent to a draining or removed engine once the gateway counts as notified and the grace
    /// period is over.
    DrainKept,
    /// A non-repeatable statement runs once; where second copies are forbidden, one attempt is in flight at a
    /// time.
    NoDoubleEffect,
    /// The deadline passed to an engine is no longer than the client's remaining time.
    DeadlinePassedOn,
    /// The statement is forwarded unchanged.
    Unchanged,
    /// No process crashes, and each ends by itself after SIGTERM with exit code 0.
    NoCrash,
    /// No gateway reports a violation of its own internal checks.
    GuardsHold,
}

/// A broken invariant with a description of the case.
#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.description)
    }
}

/// How late timers of the test process fired and when. Time limits are relaxed by this, as the records are
/// late by as much.
#[derive(Clone, Debug, Default)]
pub struct Lateness(pub Vec<(Instant, Duration)>);

impl Lateness {
    /// Records a timer that fired late, unless the lateness is negligible.
    pub fn record(&mut self, at: Instant, late: Duration) {
        if late >= MIN_RECORDED_LATENESS {
            self.0.push((at, late));
        }
    }

    /// Sum of the lateness recorded in a span.
    pub fn within(&self, from: Instant, until: Instant) -> Duration {
        let from = from.checked_sub(Duration::from_millis(50)).unwrap_or(from);
        self.0
            .iter()
            .filter(|(at, _)| (from..=until + Duration::from_millis(50)).contains(at))
            .map(|(_, late)| *late)
            .sum()
    }

    /// The largest recorded lateness.
    pub fn max(&self) -> Duration {
        self.0.iter().map(|(_, late)| *late).max().unwrap_or_default()
    }
}

/// The records of one gateway.
pub struct GatewayRecord {
    pub number: usize,
    pub runs: Vec<ProcessRun>,
    pub notifications: Vec<Notification>,
    /// When the faults of its name server changed.
    pub name_fault_changes: Vec<Instant>,
    /// Start and end of each pause of its process.
    pub pauses: Vec<(Instant, Option<Instant>)>,
    pub log: String,
}

/// All records of one run.
pub struct Records {
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub departures: Vec<Departure>,
    /// When each ended engine ended, by engine id.
    pub engine_ends: HashMap<String, Instant>,
    pub gateways: Vec<GatewayRecord>,
    pub second_copies: bool,
    pub lateness: Lateness,
    pub started_at: Instant,
}

impl Records {
    /// All violations of the invariants.
    pub fn judge(&self) -> Vec<Violation> {
        let requests: HashMap<&str, &Request> =
            self.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        let mut by_id: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &self.arrivals {
            by_id.entry(&arrival.id).or_default().push(arrival);
        }
        by_id.values_mut().for_each(|arrivals| arrivals.sort_by_key(|arrival| arrival.read_at));
        let mut found = Vec::new();
        for request in &self.requests {
            let arrivals = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.check_answer(request, arrivals, &mut found);
        }
        for (id, arrivals) in &by_id {
            let Some(request) = requests.get(id) else { continue };
            self.check_attempts(request, arrivals, &mut found);
        }
        self.gateways.iter().for_each(|gateway| self.check_process(gateway, &mut found));
        found
    }

    /// Number of statements that reached an engine although no client of this run sent them.
    pub fn foreign_attempts(&self) -> usize {
        let requests: HashSet<&str> = self.requests.iter().map(|request| request.id.as_str()).collect();
        self.arrivals.iter().filter(|arrival| !requests.contains(arrival.id.as_str())).count()
    }

    fn format_time(&self, at: Instant) -> String {
        format!("{:.3}", at.saturating_duration_since(self.started_at).as_secs_f64())
    }

    fn describe(&self, request: &Request) -> String {
        let class = WORKLOADS[request.workload].name;
        format!("{} {class} at g-{} sent {}", request.id, request.gateway, self.format_time(request.sent_at))
    }

    /// For how long within a span a gateway's process was paused.
    fn paused_time(&self, gateway: usize, from: Instant, until: Instant) -> Duration {
        let record = self.gateways.iter().find(|record| record.number == gateway);
        let pauses = record.into_iter().flat_map(|record| &record.pauses);
        let within = |(since, to): &(Instant, Option<Instant>)| {
            to.unwrap_or(until).min(until).saturating_duration_since((*since).max(from))
        };
        pauses.map(within).sum()
    }

    /// The process of a gateway at a time.
    fn run_at(&self, gateway: usize, at: Instant) -> Option<&ProcessRun> {
        let runs = &self.gateways.iter().find(|record| record.number == gateway)?.runs;
        runs.iter().rev().find(|run| run.started_at <= at)
    }

    fn check_answer(&self, request: &Request, arrivals: &[&Arrival], found: &mut Vec<Violation>) {
        let mut add = |invariant, what: String| {
            found.push(Violation { invariant, description: format!("{}: {what}", self.describe(request)) });
        };
        match &request.outcome {
            RequestOutcome::WrongRows(answer) => add(Invariant::TrueRows, answer.clone()),
            RequestOutcome::NoAnswer { connection_ended, after } => {
                let killed =
                    self.run_at(request.gateway, request.sent_at).and_then(|run| run.ended).is_some_and(
                        |(at, exit)| exit == Exit::Killed && at <= request.ended_at + DISCONNECT_SLACK,
                    );
                let slack = self.lateness.within(request.sent_at, request.ended_at);
                let closed_while_idle =
                    *connection_ended && request.reused_connection && *after <= IDLE_CLOSE_RACE + slack;
                // A request that raced with the close of its connection is lost all the same if the gateway
                // read and forwarded it.
                let lost = if closed_while_idle { !arrivals.is_empty() } else { true };
                // A paused process can't answer; a pause shorter than the slack is no excuse.
                let paused = self.paused_time(request.gateway, request.sent_at, request.ended_at);
                let late_harness = !*connection_ended && slack + paused >= ANSWER_SLACK;
                if lost && !killed && !late_harness {
                    let how = if *connection_ended { "connection closed" } else { "timed out" };
                    let seen = arrivals.len();
                    add(
                        Invariant::Answered,
                        format!("{how} {after:?} after the request was sent, {seen} attempts seen"),
                    );
                }
            }
            _ => {}
        }
    }

    /// An attempt counts as sent when its first byte reached the engine, and as in flight from when the
    /// engine read it.
    fn check_attempts(&self, request: &Request, arrivals: &[&Arrival], found: &mut Vec<Violation>) {
        let Workload { deadline, repeatable, .. } = WORKLOADS[request.workload];
        let mut add = |invariant, what: String| {
            found.push(Violation { invariant, description: format!("{}: {what}", self.describe(request)) });
        };
        for (number, arrival) in arrivals.iter().enumerate() {
            let attempt =
                format!("attempt {number} at {} {}", arrival.engine, self.format_time(arrival.read_at));
            let slack = self.lateness.within(request.sent_at, arrival.received_at);
            if arrival.body != request.body.as_bytes() {
                add(Invariant::Unchanged, attempt.clone());
            }
            let remaining = (request.sent_at + deadline).saturating_duration_since(arrival.received_at);
            let passed = Duration::from_millis(arrival.max_ms);
            if passed > remaining + DEADLINE_SLACK + slack {
                add(
                    Invariant::DeadlinePassedOn,
                    format!("{attempt}: {passed:?} passed, {remaining:?} remaining"),
                );
            }
            if let Some(disconnected_at) =
                request.disconnected_at.filter(|at| arrival.received_at > *at + DISCONNECT_SLACK)
            {
                let late = arrival.received_at - disconnected_at;
                if late > DISCONNECT_SLACK + self.lateness.within(disconnected_at, arrival.received_at) {
                    add(
                        Invariant::NothingForTheGone,
                        format!("{attempt}, {late:?} after its client disconnected"),
                    );
                }
            }
            if let Some(notified) = self.notified_at(request.gateway, arrival) {
                let late = arrival.received_at.saturating_duration_since(notified);
                let allowed = DRAIN_GRACE + RULE_SLACK + self.lateness.within(notified, arrival.received_at);
                if late > allowed {
                    let when = self
                        .departures
                        .iter()
                        .find(|of| of.engine == arrival.engine)
                        .map(|of| self.format_time(of.at));
                    let notified = self.format_time(notified);
                    let what = format!(
                        "{attempt}, {late:?} after the gateway counts as notified (drained {when:?}, notified {notified})"
                    );
                    add(Invariant::DrainKept, what);
                }
            }
            let Some(previous) = number.checked_sub(1).map(|previous| arrivals[previous]) else { continue };
            let never_ran = matches!(previous.ended, Some((_, Ended::TurnedAway)));
            if !repeatable && !never_ran {
                add(
                    Invariant::NoDoubleEffect,
                    format!("{attempt} after one that may have run at {}", previous.engine),
                );
            }
            if !self.second_copies && arrival.read_at < self.latest_end(previous) {
                let other = (
                    self.format_time(previous.read_at),
                    previous.ended.map(|(at, how)| (self.format_time(at), how)),
                );
                let end = self.engine_ends.get(&previous.engine).map(|at| self.format_time(*at));
                let what = format!(
                    "{attempt} while another is in flight at {} {other:?}, engine ended {end:?}",
                    previous.engine
                );
                add(Invariant::NoDoubleEffect, what);
            }
        }
    }

    /// The latest time at which an attempt can have ended: when its engine ended it, or the engine itself
    /// ended.
    fn latest_end(&self, attempt: &Arrival) -> Instant {
        let ended = attempt.ended.map_or(attempt.read_at + Duration::from_secs(2), |(at, _)| at);
        self.engine_ends.get(&attempt.engine).map_or(ended, |end| ended.min(*end))
    }

    /// When the gateway counts as notified that the engine drains or was removed.
    fn notified_at(&self, gateway: usize, arrival: &Arrival) -> Option<Instant> {
        let departure = self.departures.iter().find(|departure| departure.engine == arrival.engine)?;
        let run = self.run_at(gateway, arrival.received_at)?;
        if run.list_serial >= departure.serial {
            return Some(run.started_at);
        }
        let record = self.gateways.iter().find(|record| record.number == gateway)?;
        // An answer on a dead path reaches a gateway that asks again from another socket, unless another
        // fault begins before it can.
        let counts = |notification: &Notification| {
            let received_by = notification.sent_at + DRAIN_GRACE + RULE_SLACK;
            !notification.on_dead_path
                || !record
                    .name_fault_changes
                    .iter()
                    .any(|at| (notification.sent_at..received_by).contains(at))
        };
        let answers = record
            .notifications
            .iter()
            .filter(|sent| sent.sent_at >= run.started_at && sent.serial >= departure.serial && counts(sent));
        let by_answer = answers.map(|sent| sent.sent_at).min();
        let at_latest = (departure.at + NOTIFICATION_LIMIT).max(run.started_at);
        Some(by_answer.map_or(at_latest, |at| at.min(at_latest)))
    }

    fn check_process(&self, gateway: &GatewayRecord, found: &mut Vec<Violation>) {
        let mut add = |invariant, what: String| {
            found.push(Violation { invariant, description: format!("g-{}: {what}", gateway.number) });
        };
        for run in &gateway.runs {
            match run.ended {
                Some((at, Exit::Crashed)) => {
                    add(Invariant::NoCrash, format!("crashed at {}", self.format_time(at)))
                }
                Some((at, Exit::Terminated(code))) if code != Some(0) => {
                    add(Invariant::NoCrash, format!("ended with {code:?} at {}", self.format_time(at)));
                }
                Some((at, Exit::KilledAfterTerm)) => {
                    let slack = run.terminated_at.map(|since| self.lateness.within(since, at));
                    if slack.unwrap_or_default() < Duration::from_millis(100) {
                        add(
                            Invariant::NoCrash,
                            format!("still running when killed after SIGTERM, {}", self.format_time(at)),
                        );
                    }
                }
                _ => {}
            }
        }
        for line in gateway.log.lines() {
            let broken = line.split("broken: [").nth(1).is_some_and(|rest| !rest.starts_with(']'));
            let faults = line.split("faults: ").nth(1).is_some_and(|rest| !rest.starts_with('0'));
            let guards = line.split("violations: [").nth(1).is_some_and(|rest| !rest.starts_with(']'));
            if line.contains("figures") && (broken || faults || guards) {
                let counted = ["broken: [", "faults: ", "violations: ["];
                let parts = counted.iter().filter_map(|name| {
                    let rest = &line[line.find(name)?..];
                    Some(rest.chars().take(100).collect::<String>())
                });
                add(Invariant::GuardsHold, parts.collect::<Vec<_>>().join(" ... "));
            }
            if line.contains("panicked") {
                add(Invariant::NoCrash, line.to_string());
            }
        }
    }
}
