//! The operators' file, in HCL: the one place where it is read, checked and given defaults. Each message names the key, its
//! line and the rule. What the platform states is in the configuration (`config`), not here.

use bramblewharf_bodies as bodies;
use bytesize::ByteSize;
use hcl::edit::structure::{Body, Structure};
use hcl::edit::Span as _;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// What every statement may have, in bytes: a text up to this goes the ordinary path.
pub const ORDINARY: u64 = 64 * 1024;
/// The largest text that can be allowed, the most files and the most threads for them.
const LARGEST: u64 = 4 << 30;
const MOST_FILES: usize = 100_000;
const MOST_THREADS: usize = 64;

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Operators {
    pub bodies: Bodies,
}

/// Texts beyond the ordinary 64 KiB. Sizes are texts such as `"16 MiB"`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bodies {
    /// The largest text that is taken.
    pub largest: ByteSize,
    /// Beyond the time that ordinary texts have, one may come as slowly as so many bytes a second.
    pub slowest: ByteSize,
    pub not_kept: NotKept,
    pub memory: Memory,
    pub files: Option<Files>,
    pub workload: BTreeMap<String, OfWorkload>,
}

/// What becomes of a text for which no tier that keeps it has room.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum NotKept {
    /// It goes through to one engine as it comes, once.
    #[default]
    Stream,
    /// It is rejected.
    Reject,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Of one text, and of all together.
    pub each: ByteSize,
    pub pool: ByteSize,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Files {
    pub dir: PathBuf,
    pub each: ByteSize,
    pub pool: ByteSize,
    #[serde(default = "default_count")]
    pub count: usize,
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Chunks are compressed where that makes them smaller.
    #[serde(default)]
    pub zstd: bool,
    /// The folder is in memory, whatever its name: its files count there too.
    #[serde(default)]
    pub in_memory: bool,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OfWorkload {
    pub not_kept: NotKept,
}

fn default_count() -> usize {
    64
}

fn default_threads() -> usize {
    2
}

impl Default for Bodies {
    fn default() -> Bodies {
        Bodies {
            largest: ByteSize(ORDINARY),
            slowest: ByteSize::kib(64),
            not_kept: NotKept::Stream,
            memory: Memory::default(),
            files: None,
            workload: BTreeMap::new(),
        }
    }
}

impl Default for Memory {
    fn default() -> Memory {
        Memory { each: ByteSize::mib(1), pool: ByteSize::mib(8) }
    }
}

impl Bodies {
    /// Whether any text beyond the ordinary ones is taken.
    pub fn is_on(&self) -> bool {
        self.largest.as_u64() > ORDINARY
    }

    /// Memory (bytes) and descriptors that are set apart.
    pub fn takes(&self) -> (u64, usize) {
        let files = self.files.as_ref();
        match self.is_on() {
            // A file being read or written has a descriptor; the lock has one.
            true => (self.memory.pool.as_u64(), files.map_or(0, |files| files.count + files.threads + 2)),
            false => (0, 0),
        }
    }

    pub fn bounds(&self) -> bodies::Bounds {
        bodies::Bounds {
            largest: self.largest.as_u64(),
            memory_each: self.memory.each.as_u64(),
            memory_all: self.memory.pool.as_u64(),
            files: self.files.as_ref().map(|files| bodies::Files {
                each: files.each.as_u64(),
                all: files.pool.as_u64(),
                count: files.count,
                are_memory: files.in_memory,
            }),
        }
    }

    /// Differs in nothing that waits for a restart.
    pub fn is_alike(&self, newer: &Bodies) -> bool {
        let fixed = |bodies: &Bodies| {
            let files = bodies.files.as_ref().filter(|_| bodies.is_on());
            let files = files.map(|f| (f.dir.clone(), f.threads, f.zstd));
            (files, bodies.takes(), bodies.slowest, bodies.not_kept, bodies.workload.clone())
        };
        fixed(self) == fixed(newer)
    }

    /// Of a workload: its texts are kept, or not taken.
    pub fn is_strict(&self, workload: &str) -> bool {
        self.workload.get(workload).map_or(self.not_kept, |own| own.not_kept) == NotKept::Reject
    }
}

/// Reads the file; without one, all is as if nothing were said.
pub fn load(path: Option<&Path>, workloads: &[String]) -> Result<Operators, String> {
    let Some(path) = path else { return Ok(Operators::default()) };
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    read(&text, Some(workloads)).map_err(|e| format!("{shown}:{e}"))
}

/// Without a configuration nothing is known of workloads.
pub fn check_alone(path: &Path) -> Result<(), String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    read(&text, None).map(drop).map_err(|e| format!("{shown}:{e}"))
}

/// Messages are `LINE: KEY: RULE`.
pub fn read(text: &str, workloads: Option<&[String]>) -> Result<Operators, String> {
    let parsed: Body = text
        .parse()
        .map_err(|e: hcl::edit::parser::Error| format!("{}: {}", e.location().line(), e.message()))?;
    let place = |key: &str| format!("{}: {key}", line_of(&parsed, text, key));
    let body = hcl::from_str::<hcl::Body>(text).map_err(|e| format!("1: {e}"))?;
    let read: Result<Operators, _> = serde_path_to_error::deserialize(hcl::de::Deserializer::from_body(body));
    let operators = read.map_err(|e| {
        let path = e.path().to_string();
        let why = e.inner().to_string();
        // Of a key that is not known, the path is that of what it stands in.
        let unknown = why.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        let key = match unknown {
            Some(key) if path == "." => key.to_string(),
            Some(key) if !path.ends_with(key) => format!("{path}.{key}"),
            _ => path,
        };
        format!("{}: {why}", place(&key))
    })?;
    check(&operators, workloads).map_err(|(key, why)| format!("{}: {why}", place(&key)))?;
    Ok(operators)
}

type Broken = (String, String);

/// What must hold between what is said. What the folder is like is looked at where files are first made.
fn check(operators: &Operators, workloads: Option<&[String]>) -> Result<(), Broken> {
    let bodies = &operators.bodies;
    let must = |holds: bool, key: &str, why: &str| match holds {
        true => Ok(()),
        false => Err((format!("bodies.{key}"), why.to_string())),
    };
    let (largest, memory) = (bodies.largest.as_u64(), &bodies.memory);
    must(largest >= ORDINARY, "largest", "is under the 64 KiB that every statement may have")?;
    must(largest <= LARGEST, "largest", "is over 4 GiB")?;
    must(
        bodies.slowest.as_u64() >= 1024,
        "slowest",
        "is under 1 KiB a second: a slow sender would hold its place",
    )?;
    must(memory.each <= memory.pool, "memory.each", "is more than bodies.memory.pool")?;
    let window = bodies::ledger::WINDOW;
    must(
        memory.pool.as_u64() >= window,
        "memory.pool",
        "is under the 128 KiB that one text takes in passing",
    )?;
    if let Some(files) = &bodies.files {
        must(files.each <= files.pool, "files.each", "is more than bodies.files.pool")?;
        must(files.each.as_u64() >= ORDINARY, "files.each", "is under 64 KiB: no text would go there")?;
        must((1..=MOST_FILES).contains(&files.count), "files.count", "is not a number from 1 to 100000")?;
        must((1..=MOST_THREADS).contains(&files.threads), "files.threads", "is not a number from 1 to 64")?;
        must(files.dir.is_absolute(), "files.dir", "is not an absolute path")?;
        let fits = !files.in_memory || files.pool <= memory.pool;
        must(fits, "files.pool", "is more than bodies.memory.pool, and these files are in memory")?;
    }
    for name in bodies.workload.keys() {
        let known = workloads.is_none_or(|workloads| workloads.contains(name));
        must(known, &format!("workload.{name}"), "is no workload of the configuration")?;
    }
    Ok(())
}

/// The line on which a key stands, or what it would stand in; 1 where neither is there.
fn line_of(body: &Body, text: &str, key: &str) -> usize {
    let mut found = 0;
    let mut bodies = vec![body];
    let mut words = key.split('.').peekable();
    while let Some(word) = words.next() {
        let mut next = Vec::new();
        for structure in bodies.iter().flat_map(|body| body.iter()) {
            match structure {
                Structure::Attribute(attribute) if attribute.key.as_str() == word => {
                    found = attribute.span().map_or(found, |span| span.start);
                }
                Structure::Block(block) if block.ident.as_str() == word => {
                    let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
                    if labels.iter().all(|label| words.clone().any(|word| word == *label))
                        || labels.is_empty()
                    {
                        found = block.span().map_or(found, |span| span.start);
                        next.push(&block.body);
                    }
                }
                _ => {}
            }
        }
        if !next.is_empty() {
            // A label is a word of the path too.
            let labelled = bodies.iter().flat_map(|body| body.iter()).any(|structure| {
                structure
                    .as_block()
                    .is_some_and(|block| block.ident.as_str() == word && !block.labels.is_empty())
            });
            if labelled {
                words.next();
            }
        }
        bodies = next;
    }
    1 + text.as_bytes()[..found.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}
