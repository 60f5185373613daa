//! The settings of the wire's first message, read into what the site states.

use bramblewharf::interface::*;
use serde_json::Value;
use std::time::Duration;

/// Names that later lines use.
#[derive(Clone, Debug)]
pub struct Names {
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    pub x0_is_memory: bool,
    pub x1_is_disks: bool,
}

impl Names {
    /// A load report, from what an engine tells by the names of the settings.
    pub fn report(&self, told: impl Fn(&str) -> Option<f64>) -> LoadReport {
        LoadReport {
            utilisation: told("cpu_share"),
            active_statements: told("busy_reqs"),
            mem_waiting: told("pending"),
            mem_granted: told("x0").filter(|_| self.x0_is_memory),
            disks_busy: told("x1").filter(|_| self.x1_is_disks),
        }
    }
}

/// One object of the settings, and where it stands.
struct Part<'a> {
    path: String,
    value: &'a Value,
}

type Read<T> = Result<T, String>;

impl<'a> Part<'a> {
    fn part(&self, key: &str) -> Read<Part<'a>> {
        let value = self.get(key);
        match value {
            Value::Object(_) | Value::Null => Ok(Part { path: format!("{}.{key}", self.path), value }),
            other => Err(self.wrong(key, other, "an object")),
        }
    }

    fn get(&self, key: &str) -> &'a Value {
        self.value.get(key).unwrap_or(&Value::Null)
    }

    fn wrong(&self, key: &str, value: &Value, want: &str) -> String {
        format!("member {}.{key}: {value} is not {want}", self.path)
    }

    fn number(&self, key: &str, absent: f64) -> Read<f64> {
        match self.get(key) {
            Value::Null => Ok(absent),
            v => v.as_f64().filter(|n| *n >= 0.0).ok_or_else(|| self.wrong(key, v, "a number from 0")),
        }
    }

    fn above_zero(&self, key: &str, absent: f64) -> Read<f64> {
        let n = self.number(key, absent)?;
        if n > 0.0 {
            Ok(n)
        } else {
            Err(self.wrong(key, self.get(key), "above 0"))
        }
    }

    fn micros(&self, key: &str) -> Read<Option<Duration>> {
        match self.get(key) {
            Value::Null => Ok(None),
            v => match v.as_u64() {
                Some(n) => Ok(Some(Duration::from_micros(n))),
                None => Err(self.wrong(key, v, "a whole number of microseconds")),
            },
        }
    }

    fn span(&self, key: &str) -> Read<Duration> {
        match self.micros(key)? {
            Some(span) if !span.is_zero() => Ok(span),
            _ => Err(self.wrong(key, self.get(key), "a span above 0")),
        }
    }

    fn truth(&self, key: &str, absent: bool) -> Read<bool> {
        match self.get(key) {
            Value::Null => Ok(absent),
            v => v.as_bool().ok_or_else(|| self.wrong(key, v, "true or false")),
        }
    }

    fn text(&self, key: &str, absent: &'a str) -> Read<&'a str> {
        match self.get(key) {
            Value::Null => Ok(absent),
            v => v.as_str().ok_or_else(|| self.wrong(key, v, "a text")),
        }
    }

    fn list(&self, key: &str) -> Read<&'a [Value]> {
        match self.get(key) {
            Value::Null => Ok(&[]),
            Value::Array(list) => Ok(list),
            v => Err(self.wrong(key, v, "a list")),
        }
    }

    fn names(&self, key: &str) -> Read<Option<Vec<Id>>> {
        if self.get(key).is_null() {
            return Ok(None);
        }
        let name = |v: &Value| v.as_str().map(Id::from).ok_or_else(|| self.wrong(key, v, "a name"));
        self.list(key)?.iter().map(name).collect::<Read<Vec<Id>>>().map(Some)
    }

    /// The figure for one row of a list that runs beside another; `None` where it is not told.
    fn row(&self, key: &str, at: usize) -> Read<Option<f64>> {
        match self.list(key)?.get(at) {
            None | Some(Value::Null) => Ok(None),
            Some(v) => match v.as_f64().filter(|n| *n > 0.0) {
                Some(n) => Ok(Some(n)),
                None => Err(self.wrong(key, v, "above 0")),
            },
        }
    }

    fn flag(&self, key: &str, at: usize) -> Read<bool> {
        match self.list(key)?.get(at) {
            None | Some(Value::Null) => Ok(false),
            Some(v) => v.as_bool().ok_or_else(|| self.wrong(key, v, "true or false")),
        }
    }

    fn rows(&self, key: &str) -> Read<Vec<Part<'a>>> {
        let row = |(at, value)| Part { path: format!("{}.{key}[{at}]", self.path), value };
        Ok(self.list(key)?.iter().enumerate().map(row).collect())
    }
}

pub fn read(conf: &Value) -> Read<(Site, Names)> {
    if !conf.is_object() {
        return Err(format!("member conf: {conf} is not an object"));
    }
    let conf = Part { path: "conf".into(), value: conf };
    let (allowed, rules, domain) = (conf.part("allowed")?, conf.part("rules")?, conf.part("domain")?);
    let mut names = Names {
        workloads: Vec::new(),
        customers: Vec::new(),
        x0_is_memory: domain.text("reportX0", "")?.contains("memory"),
        x1_is_disks: domain.text("reportX1", "")?.contains("disk"),
    };
    let mut workloads = Vec::new();
    for (at, row) in conf.rows("profiles")?.iter().enumerate() {
        names.workloads.push(row.text("name", "")?.to_string());
        workloads.push(workload(row, &domain, at)?);
    }
    if workloads.is_empty() {
        return Err("member conf.profiles: names no workload".into());
    }
    let mut customers = Vec::new();
    for row in conf.rows("tenants")? {
        let name = row.text("name", "")?;
        names.customers.push(name.to_string());
        let allowance_per_s = row.number("allowancePerS", f64::INFINITY)?;
        customers.push(Customer { name: name.into(), allowance_per_s });
    }
    let mut kinds = Vec::new();
    for (at, name) in conf.names("kinds")?.unwrap_or_default().into_iter().enumerate() {
        kinds.push(Kind {
            name,
            cores: domain.row("sizeCores", at)?,
            mem_mb: domain.row("kindMemoryMb", at)?,
        });
    }
    let retry_budget = match rules.micros("budgetSpanUs")? {
        None => None,
        Some(_) => Some(RetryBudget {
            window: rules.span("budgetSpanUs")?,
            min_retries: rules.number("extraFree", 0.0)?,
            retry_ratio: rules.number("repeatRatio", 0.0)?,
        }),
    };
    let asked = match conf.text("discovery", "pushed")? {
        "pushed" => false,
        "on_request" => true,
        other => return Err(format!("member conf.discovery: {other} is not known")),
    };
    let site = Site {
        gateway: conf.number("rank", 0.0)? as u32,
        gateways: conf.above_zero("balancers", 1.0)? as u32,
        zone: conf.text("zone", "")?.into(),
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
                Some(_) => rules.span("tipAfterUs")?,
            },
        },
        retry_budget,
        order_pause: rules.micros("orderPauseUs")?.unwrap_or_default(),
        drain_grace: rules.micros("stopSendingWithinUs")?.unwrap_or_default(),
        list_is_polled: asked,
        list_poll_interval: if asked { rules.span("askEveryUs")? } else { Duration::ZERO },
        max_executions: allowed.above_zero("tryLimit", 1.0)? as usize,
        concurrent_executions: allowed.truth("secondCopies", false)?,
        can_cancel: allowed.truth("mayCancel", false)?,
        can_gossip: allowed.truth("peers", false)?,
        max_retry_after: match allowed.truth("retryAfter", false)? {
            true => allowed.micros("maxRetryAfterUs")?,
            false => None,
        },
        cross_zone_priced: conf.part("prices")?.number("crossZone", 0.0)? > 0.0,
        honors_memory_grants: domain.truth("takesGrants", false)?,
        max_grant_share: domain.number("maxGrantShare", 1.0)?,
        honors_priorities: domain.truth("lanesCount", false)?,
        over_share_value: conf.number("overShareWorth", 1.0)?,
    };
    Ok((site, names))
}

fn workload(row: &Part, domain: &Part, at: usize) -> Read<WorkloadConfig> {
    let group = match row.text("group", "all")? {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => return Err(format!("member {}.group: {other} is not known", row.path)),
    };
    Ok(WorkloadConfig {
        threads: domain.row("classThreads", at)?.unwrap_or(1.0),
        importance: row.number("gain", 1.0)?,
        slo_time: row.span("promiseUs")?,
        slo_stretch: row.number("aimStretch", 0.0)?,
        late_value: row.number("lateValue", 0.0)?,
        effect: match row.text("effect", "non_idempotent")? {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated(group),
            "non_idempotent" => Effect::NonIdempotent,
            other => return Err(format!("member {}.effect: {other} is not known", row.path)),
        },
        dedup_window: row.micros("memorySpanUs")?.unwrap_or_default(),
        zones: row.names("zonesOnly")?,
        kinds: row.names("servedOn")?,
        ordered: row.truth("keepOrder", false)?,
        holds_group: domain.flag("classLoad", at)?,
        waits_for_group: domain.flag("blockedByLoads", at)?,
    })
}
