//! What must hold whatever breaks, judged from the records of clients, engines, the name service and the gateways' processes.

use super::client::{Class, End, Request, ANSWER_SLACK, CLASSES};
use super::discovery::{Departure, Told};
use super::engine::{Arrival, Ended};
use super::gateways::{Exit, Life};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// What the name service has to tell counts as told so long after it happened, whether or not it was heard.
const TOLD_WITHIN: Duration = Duration::from_millis(1500);
/// The grace of the settings, and the slack of the rules on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
const RULE_SLACK: Duration = Duration::from_millis(50);
/// An attempt that begins longer after its client has gone than this breaks a rule.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// An engine may be passed so much more than the deadline that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A request that crosses the end of a resting connection within this is sent again.
const CROSSING: Duration = Duration::from_millis(50);
/// Lateness of this machine under which nothing is said of it.
const NOTICEABLE: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets its one final answer in time.
    Answered,
    /// Served is what an engine made for the request.
    TrueRows,
    /// Nothing begins for a client that has gone.
    NothingForTheGone,
    /// Nothing goes to an engine that drains or is removed, once that counts as told and the grace is over.
    DrainKept,
    /// What may not be repeated runs once; where second copies are forbidden, one attempt is out at a time.
    NoDoubleEffect,
    /// An engine is passed no more time than the client has left.
    DeadlinePassedOn,
    /// The statement goes on unchanged.
    Unchanged,
    /// No process crashes, and each ends by itself after SIGTERM, with the exit code 0.
    NoCrash,
    /// No gateway counts a violation of its own guards.
    GuardsHold,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.what)
    }
}

/// How late this machine ran its own timers: a judge that is late itself proves nothing by so much.
#[derive(Clone, Debug, Default)]
pub struct Lateness(pub Vec<(Instant, Duration)>);

impl Lateness {
    pub fn note(&mut self, at: Instant, late: Duration) {
        if late >= NOTICEABLE {
            self.0.push((at, late));
        }
    }

    pub fn within(&self, from: Instant, until: Instant) -> Duration {
        let from = from.checked_sub(Duration::from_millis(50)).unwrap_or(from);
        self.0
            .iter()
            .filter(|(at, _)| (from..=until + Duration::from_millis(50)).contains(at))
            .map(|(_, late)| *late)
            .sum()
    }

    pub fn worst(&self) -> Duration {
        self.0.iter().map(|(_, late)| *late).max().unwrap_or_default()
    }
}

/// What a gateway left behind.
pub struct GatewayRecord {
    pub number: usize,
    pub lives: Vec<Life>,
    pub told: Vec<Told>,
    /// When the faults of its name service changed.
    pub name_changes: Vec<Instant>,
    /// From when until when its process stood still.
    pub stops: Vec<(Instant, Option<Instant>)>,
    pub log: String,
}

/// All records of one run.
pub struct Records {
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub departures: Vec<Departure>,
    /// When engines' processes ended.
    pub ends: HashMap<String, Instant>,
    pub gateways: Vec<GatewayRecord>,
    pub second_copies: bool,
    pub lateness: Lateness,
    pub began: Instant,
}

impl Records {
    pub fn judge(&self) -> Vec<Violation> {
        let requests: HashMap<&str, &Request> =
            self.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        let mut by_id: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &self.arrivals {
            by_id.entry(&arrival.id).or_default().push(arrival);
        }
        by_id.values_mut().for_each(|arrivals| arrivals.sort_by_key(|arrival| arrival.at));
        let mut found = Vec::new();
        for request in &self.requests {
            let arrivals = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.answered(request, arrivals, &mut found);
        }
        for (id, arrivals) in &by_id {
            let Some(request) = requests.get(id) else { continue };
            self.attempts(request, arrivals, &mut found);
        }
        self.gateways.iter().for_each(|gateway| self.process(gateway, &mut found));
        found
    }

    /// Statements that came to an engine and that no client here sent.
    pub fn strangers(&self) -> usize {
        let requests: HashSet<&str> = self.requests.iter().map(|request| request.id.as_str()).collect();
        self.arrivals.iter().filter(|arrival| !requests.contains(arrival.id.as_str())).count()
    }

    fn at(&self, at: Instant) -> String {
        format!("{:.3}", at.saturating_duration_since(self.began).as_secs_f64())
    }

    fn say(&self, request: &Request) -> String {
        let class = CLASSES[request.class].name;
        format!("{} {class} at g-{} sent {}", request.id, request.gateway, self.at(request.sent))
    }

    /// For how much of a span a gateway's process was stopped from outside.
    fn stopped(&self, gateway: usize, from: Instant, until: Instant) -> Duration {
        let record = self.gateways.iter().find(|record| record.number == gateway);
        let stops = record.into_iter().flat_map(|record| &record.stops);
        let within = |(since, to): &(Instant, Option<Instant>)| {
            to.unwrap_or(until).min(until).saturating_duration_since((*since).max(from))
        };
        stops.map(within).sum()
    }

    fn life(&self, gateway: usize, at: Instant) -> Option<&Life> {
        let lives = &self.gateways.iter().find(|record| record.number == gateway)?.lives;
        lives.iter().rev().find(|life| life.started <= at)
    }

    fn answered(&self, request: &Request, arrivals: &[&Arrival], found: &mut Vec<Violation>) {
        let mut add = |invariant, what: String| {
            found.push(Violation { invariant, what: format!("{}: {what}", self.say(request)) });
        };
        match &request.end {
            End::WrongRows(answer) => add(Invariant::TrueRows, answer.clone()),
            End::NoAnswer { connection_ended, after } => {
                let killed = self
                    .life(request.gateway, request.sent)
                    .and_then(|life| life.ended)
                    .is_some_and(|(at, exit)| exit == Exit::Killed && at <= request.ended + GONE_SLACK);
                let slack = self.lateness.within(request.sent, request.ended);
                let crossed = *connection_ended && request.reused && *after <= CROSSING + slack;
                // One that crossed the end of its connection is lost all the same if it was read and sent on.
                let lost = if crossed { !arrivals.is_empty() } else { true };
                // No process answers while it is stopped; a stop that leaves it the slack excuses nothing.
                let stopped = self.stopped(request.gateway, request.sent, request.ended);
                let late_harness = !*connection_ended && slack + stopped >= ANSWER_SLACK;
                if lost && !killed && !late_harness {
                    let how = if *connection_ended { "its connection ended" } else { "its time ended" };
                    let seen = arrivals.len();
                    add(
                        Invariant::Answered,
                        format!("{how} {after:?} after it was sent, {seen} attempts seen"),
                    );
                }
            }
            _ => {}
        }
    }

    /// What a gateway sends counts from when it came to its engine; that an attempt is out, from when that read it.
    fn attempts(&self, request: &Request, arrivals: &[&Arrival], found: &mut Vec<Violation>) {
        let Class { deadline, repeatable, .. } = CLASSES[request.class];
        let mut add = |invariant, what: String| {
            found.push(Violation { invariant, what: format!("{}: {what}", self.say(request)) });
        };
        for (number, arrival) in arrivals.iter().enumerate() {
            let where_ = format!("attempt {number} at {} {}", arrival.engine, self.at(arrival.at));
            let slack = self.lateness.within(request.sent, arrival.came);
            if arrival.body != request.body.as_bytes() {
                add(Invariant::Unchanged, where_.clone());
            }
            let left = (request.sent + deadline).saturating_duration_since(arrival.came);
            let passed = Duration::from_millis(arrival.max_ms);
            if passed > left + DEADLINE_SLACK + slack {
                add(Invariant::DeadlinePassedOn, format!("{where_}: {passed:?} passed, {left:?} left"));
            }
            if let Some(gone) = request.left.filter(|gone| arrival.came > *gone + GONE_SLACK) {
                let late = arrival.came - gone;
                if late > GONE_SLACK + self.lateness.within(gone, arrival.came) {
                    add(Invariant::NothingForTheGone, format!("{where_}, {late:?} after its client left"));
                }
            }
            if let Some(told) = self.told_of(request.gateway, arrival) {
                let late = arrival.came.saturating_duration_since(told);
                let allowed = DRAIN_GRACE + RULE_SLACK + self.lateness.within(told, arrival.came);
                if late > allowed {
                    let when = self
                        .departures
                        .iter()
                        .find(|of| of.engine == arrival.engine)
                        .map(|of| self.at(of.at));
                    let told = self.at(told);
                    let what = format!(
                        "{where_}, {late:?} after that counts as told (drained {when:?}, told {told})"
                    );
                    add(Invariant::DrainKept, what);
                }
            }
            let Some(before) = number.checked_sub(1).map(|before| arrivals[before]) else { continue };
            let never_ran = matches!(before.ended, Some((_, Ended::TurnedAway)));
            if !repeatable && !never_ran {
                add(
                    Invariant::NoDoubleEffect,
                    format!("{where_} after one that may have run at {}", before.engine),
                );
            }
            if !self.second_copies && arrival.at < self.over(before) {
                let other = (self.at(before.at), before.ended.map(|(at, how)| (self.at(at), how)));
                let end = self.ends.get(&before.engine).map(|at| self.at(*at));
                let what = format!(
                    "{where_} beside one that is out at {} {other:?}, its end {end:?}",
                    before.engine
                );
                add(Invariant::NoDoubleEffect, what);
            }
        }
    }

    /// When an attempt was surely over: its engine had ended it, or had ended itself.
    fn over(&self, attempt: &Arrival) -> Instant {
        let ended = attempt.ended.map_or(attempt.at + Duration::from_secs(2), |(at, _)| at);
        self.ends.get(&attempt.engine).map_or(ended, |end| ended.min(*end))
    }

    /// When the gateway counts as told that the engine drains or is gone.
    fn told_of(&self, gateway: usize, arrival: &Arrival) -> Option<Instant> {
        let departure = self.departures.iter().find(|departure| departure.engine == arrival.engine)?;
        let life = self.life(gateway, arrival.came)?;
        if life.known >= departure.serial {
            return Some(life.started);
        }
        let record = self.gateways.iter().find(|record| record.number == gateway)?;
        // An answer on a dead path tells whoever asks again from another socket, unless another fault follows before that can be heard.
        let binds = |told: &Told| {
            let heard_by = told.at + DRAIN_GRACE + RULE_SLACK;
            !told.on_dead_path || !record.name_changes.iter().any(|at| (told.at..heard_by).contains(at))
        };
        let answers = record
            .told
            .iter()
            .filter(|told| told.at >= life.started && told.serial >= departure.serial && binds(told));
        let by_answer = answers.map(|told| told.at).min();
        let at_latest = (departure.at + TOLD_WITHIN).max(life.started);
        Some(by_answer.map_or(at_latest, |at| at.min(at_latest)))
    }

    fn process(&self, gateway: &GatewayRecord, found: &mut Vec<Violation>) {
        let mut add = |invariant, what: String| {
            found.push(Violation { invariant, what: format!("g-{}: {what}", gateway.number) });
        };
        for life in &gateway.lives {
            match life.ended {
                Some((at, Exit::Crashed)) => add(Invariant::NoCrash, format!("crashed at {}", self.at(at))),
                Some((at, Exit::Terminated(code))) if code != Some(0) => {
                    add(Invariant::NoCrash, format!("ended with {code:?} at {}", self.at(at)));
                }
                Some((at, Exit::KilledAfterTerm)) => {
                    let slack = life.terminated.map(|since| self.lateness.within(since, at));
                    if slack.unwrap_or_default() < Duration::from_millis(100) {
                        add(
                            Invariant::NoCrash,
                            format!("still there when killed after SIGTERM, {}", self.at(at)),
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
