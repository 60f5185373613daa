//! Parses the settings of a site from JSON into the types of the decisions.

use bramblewharf::interface::*;
use serde_json::Value;
use std::time::Duration;

/// Names that later messages refer to, by index.
#[derive(Clone, Debug)]
pub struct Names {
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    /// Whether the fields `x0` and `x1` of a load report are granted memory and busy disks.
    pub x0_is_memory: bool,
    pub x1_is_disks: bool,
}

impl Names {
    /// A load report; `value` looks up the fields that an engine reports, by their names.
    pub fn report(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        LoadReport {
            utilisation: value("cpu_share"),
            active_statements: value("busy_reqs"),
            mem_waiting: value("pending"),
            mem_granted: value("x0").filter(|_| self.x0_is_memory),
            disks_busy: value("x1").filter(|_| self.x1_is_disks),
        }
    }
}

/// One object of the settings, with its path for error messages.
struct Section<'a> {
    path: String,
    value: &'a Value,
}

type Parsed<T> = Result<T, String>;

impl<'a> Section<'a> {
    fn section(&self, key: &str) -> Parsed<Section<'a>> {
        let value = self.get(key);
        match value {
            Value::Object(_) | Value::Null => Ok(Section { path: format!("{}.{key}", self.path), value }),
            other => Err(self.type_error(key, other, "an object")),
        }
    }

    fn get(&self, key: &str) -> &'a Value {
        self.value.get(key).unwrap_or(&Value::Null)
    }

    fn type_error(&self, key: &str, value: &Value, expected: &str) -> String {
        format!("member {}.{key}: {value} is not {expected}", self.path)
    }

    fn number(&self, key: &str, default: f64) -> Parsed<f64> {
        match self.get(key) {
            Value::Null => Ok(default),
            v => v.as_f64().filter(|n| *n >= 0.0).ok_or_else(|| self.type_error(key, v, "a number from 0")),
        }
    }

    fn above_zero(&self, key: &str, default: f64) -> Parsed<f64> {
        let n = self.number(key, default)?;
        if n > 0.0 {
            Ok(n)
        } else {
            Err(self.type_error(key, self.get(key), "above 0"))
        }
    }

    fn micros(&self, key: &str) -> Parsed<Option<Duration>> {
        match self.get(key) {
            Value::Null => Ok(None),
            v => match v.as_u64() {
                Some(n) => Ok(Some(Duration::from_micros(n))),
                None => Err(self.type_error(key, v, "a whole number of microseconds")),
            },
        }
    }

    fn positive_duration(&self, key: &str) -> Parsed<Duration> {
        match self.micros(key)? {
            Some(span) if !span.is_zero() => Ok(span),
            _ => Err(self.type_error(key, self.get(key), "a duration above 0")),
        }
    }

    fn boolean(&self, key: &str, default: bool) -> Parsed<bool> {
        match self.get(key) {
            Value::Null => Ok(default),
            v => v.as_bool().ok_or_else(|| self.type_error(key, v, "true or false")),
        }
    }

    fn string(&self, key: &str, default: &'a str) -> Parsed<&'a str> {
        match self.get(key) {
            Value::Null => Ok(default),
            v => v.as_str().ok_or_else(|| self.type_error(key, v, "a string")),
        }
    }

    fn list(&self, key: &str) -> Parsed<&'a [Value]> {
        match self.get(key) {
            Value::Null => Ok(&[]),
            Value::Array(list) => Ok(list),
            v => Err(self.type_error(key, v, "a list")),
        }
    }

    fn names(&self, key: &str) -> Parsed<Option<Vec<Id>>> {
        if self.get(key).is_null() {
            return Ok(None);
        }
        let name = |v: &Value| v.as_str().map(Id::from).ok_or_else(|| self.type_error(key, v, "a name"));
        self.list(key)?.iter().map(name).collect::<Parsed<Vec<Id>>>().map(Some)
    }

    /// The number at an index of a list that is parallel to another; `None` if it is missing or null.
    fn positive_number_at(&self, key: &str, at: usize) -> Parsed<Option<f64>> {
        match self.list(key)?.get(at) {
            None | Some(Value::Null) => Ok(None),
            Some(v) => match v.as_f64().filter(|n| *n > 0.0) {
                Some(n) => Ok(Some(n)),
                None => Err(self.type_error(key, v, "above 0")),
            },
        }
    }

    fn boolean_at(&self, key: &str, at: usize) -> Parsed<bool> {
        match self.list(key)?.get(at) {
            None | Some(Value::Null) => Ok(false),
            Some(v) => v.as_bool().ok_or_else(|| self.type_error(key, v, "true or false")),
        }
    }

    fn sections(&self, key: &str) -> Parsed<Vec<Section<'a>>> {
        let section = |(at, value)| Section { path: format!("{}.{key}[{at}]", self.path), value };
        Ok(self.list(key)?.iter().enumerate().map(section).collect())
    }
}

/// Parses the settings object of a site.
pub fn read(conf: &Value) -> Parsed<(Site, Names)> {
    if !conf.is_object() {
        return Err(format!("member conf: {conf} is not an object"));
    }
    let conf = Section { path: "conf".into(), value: conf };
    let (allowed, rules, domain) =
        (conf.section("allowed")?, conf.section("rules")?, conf.section("domain")?);
    let mut names = Names {
        workloads: Vec::new(),
        customers: Vec::new(),
        x0_is_memory: domain.string("reportX0", "")?.contains("memory"),
        x1_is_disks: domain.string("reportX1", "")?.contains("disk"),
    };
    let mut workloads = Vec::new();
    for (at, profile) in conf.sections("profiles")?.iter().enumerate() {
        names.workloads.push(profile.string("name", "")?.to_string());
        workloads.push(workload(profile, &domain, at)?);
    }
    if workloads.is_empty() {
        return Err("member conf.profiles: names no workload".into());
    }
    let mut customers = Vec::new();
    for tenant in conf.sections("tenants")? {
        let name = tenant.string("name", "")?;
        names.customers.push(name.to_string());
        let allowance_per_s = tenant.number("allowancePerS", f64::INFINITY)?;
        customers.push(Customer { name: name.into(), allowance_per_s });
    }
    let mut kinds = Vec::new();
    for (at, name) in conf.names("kinds")?.unwrap_or_default().into_iter().enumerate() {
        kinds.push(Kind {
            name,
            cores: domain.positive_number_at("sizeCores", at)?,
            mem_mb: domain.positive_number_at("kindMemoryMb", at)?,
        });
    }
    let retry_budget = match rules.micros("budgetSpanUs")? {
        None => None,
        Some(_) => Some(RetryBudget {
            window: rules.positive_duration("budgetSpanUs")?,
            min_retries: rules.number("extraFree", 0.0)?,
            retry_ratio: rules.number("repeatRatio", 0.0)?,
        }),
    };
    let is_asked = match conf.string("discovery", "pushed")? {
        "pushed" => false,
        "on_request" => true,
        other => return Err(format!("member conf.discovery: {other} is not known")),
    };
    let site = Site {
        gateway: conf.number("rank", 0.0)? as u32,
        gateways: conf.above_zero("balancers", 1.0)? as u32,
        zone: conf.string("zone", "")?.into(),
        tick: conf.micros("tickUs")?.unwrap_or(Duration::from_millis(1)),
        workloads,
        customers,
        kinds,
        slow_start: SlowStart {
            capacity: rules.number("startCapacity", 1.0)?,
            warm_after: rules.micros("coldUs")?.unwrap_or_default(),
            multiple: rules.number("fallMultiple", 1.0)?,
            window: match rules.micros("tipAfterUs")? {
                None => Duration::from_secs(1),
                Some(_) => rules.positive_duration("tipAfterUs")?,
            },
        },
        retry_budget,
        order_pause: rules.micros("orderPauseUs")?.unwrap_or_default(),
        drain_grace: rules.micros("stopSendingWithinUs")?.unwrap_or_default(),
        list_is_polled: is_asked,
        list_poll_interval: if is_asked { rules.positive_duration("askEveryUs")? } else { Duration::ZERO },
        max_executions: allowed.above_zero("tryLimit", 1.0)? as usize,
        concurrent_executions: allowed.boolean("secondCopies", false)?,
        can_cancel: allowed.boolean("mayCancel", false)?,
        can_gossip: allowed.boolean("peers", false)?,
        max_retry_after: match allowed.boolean("retryAfter", false)? {
            true => allowed.micros("maxRetryAfterUs")?,
            false => None,
        },
        cross_zone_priced: conf.section("prices")?.number("crossZone", 0.0)? > 0.0,
        honors_memory_grants: domain.boolean("takesGrants", false)?,
        max_grant_share: domain.number("maxGrantShare", 1.0)?,
        honors_priorities: domain.boolean("lanesCount", false)?,
        over_share_value: conf.number("overShareWorth", 1.0)?,
    };
    Ok((site, names))
}

fn workload(profile: &Section, domain: &Section, at: usize) -> Parsed<WorkloadConfig> {
    let group = match profile.string("group", "all")? {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => return Err(format!("member {}.group: {other} is not known", profile.path)),
    };
    Ok(WorkloadConfig {
        threads: domain.positive_number_at("classThreads", at)?.unwrap_or(1.0),
        importance: profile.number("gain", 1.0)?,
        slo_time: profile.positive_duration("promiseUs")?,
        slo_stretch: profile.number("aimStretch", 0.0)?,
        late_value: profile.number("lateValue", 0.0)?,
        effect: match profile.string("effect", "non_idempotent")? {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated(group),
            "non_idempotent" => Effect::NonIdempotent,
            other => return Err(format!("member {}.effect: {other} is not known", profile.path)),
        },
        dedup_window: profile.micros("memorySpanUs")?.unwrap_or_default(),
        zones: profile.names("zonesOnly")?,
        kinds: profile.names("servedOn")?,
        ordered: profile.boolean("keepOrder", false)?,
        holds_group: domain.boolean_at("classLoad", at)?,
        waits_for_group: domain.boolean_at("blockedByLoads", at)?,
    })
}
