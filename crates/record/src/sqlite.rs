//! The embedded store: SQLite, with a write-ahead log and full synchronisation, so that what was committed outlives the machine's
//! power. For a thread of its own; each call is one transaction.

use crate::ledger::{Id, Key, Reply};
use crate::store::{Content, Digest, Owner, Revision, Store, LEASE};
use rusqlite::{params, Connection, ErrorCode, OptionalExtension as _, Transaction, TransactionBehavior};
use rusqlite_migration::{Migrations, M};
use std::path::Path;
use std::time::Duration;

/// How long another process may hold the database before a call counts as failed.
const BUSY: Duration = Duration::from_millis(500);

const FIRST: &str = "
    CREATE TABLE owner (
        gateway TEXT NOT NULL, incarnation INTEGER NOT NULL, lease_until_ms INTEGER NOT NULL,
        PRIMARY KEY (gateway, incarnation)) WITHOUT ROWID;
    CREATE TABLE intent (
        key TEXT PRIMARY KEY, digest BLOB NOT NULL, gateway TEXT NOT NULL, incarnation INTEGER NOT NULL,
        operation INTEGER NOT NULL, fence INTEGER NOT NULL, unclear INTEGER NOT NULL DEFAULT 0, at_ms INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE revision (
        key TEXT PRIMARY KEY, customer TEXT NOT NULL, workload TEXT NOT NULL, table_group INTEGER NOT NULL,
        number INTEGER NOT NULL, digest BLOB NOT NULL, gateway TEXT NOT NULL, incarnation INTEGER NOT NULL,
        at_ms INTEGER NOT NULL, UNIQUE (table_group, number)) WITHOUT ROWID;
    CREATE TABLE content (
        key TEXT NOT NULL REFERENCES revision (key), chunk INTEGER NOT NULL, bytes BLOB NOT NULL,
        PRIMARY KEY (key, chunk)) WITHOUT ROWID;
    CREATE TABLE fence (one INTEGER PRIMARY KEY CHECK (one = 1), last INTEGER NOT NULL);
    INSERT INTO fence VALUES (1, 0);
";

/// Of a revision whose text named no table group.
const NO_GROUP: i64 = -1;

pub struct Sqlite {
    connection: Connection,
    /// Added to the system's clock, for tests of leases.
    pub clock_ahead: Duration,
}

#[derive(Debug)]
pub enum Unusable {
    /// Made by a later version of this program.
    Newer,
    Sqlite(rusqlite::Error),
    Other(String),
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unusable::Newer => {
                f.write_str("the database was made by a later version: use that one, or another file")
            }
            Unusable::Sqlite(error) => write!(f, "{error}"),
            Unusable::Other(error) => f.write_str(error),
        }
    }
}

impl From<rusqlite::Error> for Unusable {
    fn from(error: rusqlite::Error) -> Unusable {
        Unusable::Sqlite(error)
    }
}

type Done<T> = Result<T, rusqlite::Error>;

/// The row of an intent.
struct Intent {
    digest: Vec<u8>,
    owner: Owner,
    id: Id,
    fence: u64,
    unclear: bool,
}

impl Sqlite {
    pub fn open(path: &Path) -> Result<Sqlite, Unusable> {
        Sqlite::on(Connection::open(path)?)
    }

    fn on(mut connection: Connection) -> Result<Sqlite, Unusable> {
        connection.busy_timeout(BUSY)?;
        connection.pragma_update(None, "journal_mode", "WAL")?;
        connection.pragma_update(None, "synchronous", "FULL")?;
        connection.pragma_update(None, "foreign_keys", "ON")?;
        let migrations = Migrations::new(vec![M::up(FIRST)]);
        migrations.to_latest(&mut connection).map_err(|error| match error {
            rusqlite_migration::Error::MigrationDefinition(
                rusqlite_migration::MigrationDefinitionError::DatabaseTooFarAhead,
            ) => Unusable::Newer,
            other => Unusable::Other(other.to_string()),
        })?;
        Ok(Sqlite { connection, clock_ahead: Duration::ZERO })
    }

    /// The most pages that the file may have, for a disk that is full on purpose.
    pub fn limit_pages(&self, pages: u32) -> Done<()> {
        self.connection.pragma_update(None, "max_page_count", pages)
    }

    /// One transaction, as the reply that it comes to. What fails before it is committed was not written.
    fn write(&mut self, work: impl FnOnce(&Transaction, i64) -> Done<Reply>) -> Reply {
        let ahead = self.clock_ahead;
        let done = (|| {
            let tx = self.connection.transaction_with_behavior(TransactionBehavior::Immediate)?;
            let seconds: f64 =
                tx.query_row("SELECT (julianday('now') - 2440587.5) * 86400.0", [], |row| row.get(0))?;
            let reply = work(&tx, (seconds * 1e3) as i64 + ahead.as_millis() as i64)?;
            tx.commit()?;
            Ok(reply)
        })();
        done.unwrap_or_else(|error: rusqlite::Error| match error.sqlite_error_code() {
            // Whether a commit that met these is in the file is for the next look to say.
            Some(ErrorCode::SystemIoFailure | ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase) => {
                Reply::Lost
            }
            _ => Reply::Failed,
        })
    }

    /// In the order of their groups and numbers.
    pub fn revisions(&self) -> Done<Vec<Revision>> {
        let mut all = self.connection.prepare(
            "SELECT key, customer, workload, table_group, number, digest, gateway, incarnation, at_ms
             FROM revision ORDER BY table_group, number",
        )?;
        let rows = all.query_map([], |row| {
            let group: i64 = row.get(3)?;
            Ok(Revision {
                key: row.get(0)?,
                customer: row.get(1)?,
                workload: row.get(2)?,
                table_group: (group != NO_GROUP).then_some(group as u64),
                number: row.get::<_, i64>(4)? as u64,
                digest: Digest(row.get::<_, Vec<u8>>(5)?.try_into().unwrap_or_default()),
                owner: Owner { gateway: row.get(6)?, incarnation: row.get::<_, i64>(7)? as u64 },
                at_ms: row.get::<_, i64>(8)? as u64,
            })
        })?;
        rows.collect()
    }

    /// Keys whose outcome was never settled.
    pub fn unclear(&self) -> Done<Vec<String>> {
        let mut all = self.connection.prepare("SELECT key FROM intent WHERE unclear ORDER BY key")?;
        let keys = all.query_map([], |row| row.get(0))?.collect();
        keys
    }

    /// What is wrong with what is there, a line each: digests that do not fit their content, numbers with gaps.
    pub fn verify(&self) -> Done<Vec<String>> {
        let mut wrong = Vec::new();
        let mut last = (None, 0);
        for revision in self.revisions()? {
            let mut hasher = blake3::Hasher::new();
            let mut chunks =
                self.connection.prepare_cached("SELECT bytes FROM content WHERE key = ? ORDER BY chunk")?;
            let mut rows = chunks.query([&revision.key])?;
            while let Some(row) = rows.next()? {
                hasher.update(row.get_ref(0)?.as_blob().unwrap_or_default());
            }
            if hasher.finalize().as_bytes() != &revision.digest.0 {
                wrong.push(format!("{}: its content is not that of its digest", revision.key));
            }
            if last.0 != Some(revision.table_group) {
                last = (Some(revision.table_group), 0);
            }
            if revision.number != last.1 + 1 {
                wrong.push(format!("{}: number {} comes after {}", revision.key, revision.number, last.1));
            }
            last.1 = revision.number;
        }
        Ok(wrong)
    }
}

fn next_fence(tx: &Transaction) -> Done<u64> {
    let fence: i64 = tx.query_row("UPDATE fence SET last = last + 1 RETURNING last", [], |row| row.get(0))?;
    Ok(fence as u64)
}

fn intent_of(tx: &Transaction, key: &Key) -> Done<Option<Intent>> {
    let row = |row: &rusqlite::Row| {
        Ok(Intent {
            digest: row.get(0)?,
            owner: Owner { gateway: row.get(1)?, incarnation: row.get::<_, i64>(2)? as u64 },
            id: row.get::<_, i64>(3)? as u64,
            fence: row.get::<_, i64>(4)? as u64,
            unclear: row.get(5)?,
        })
    };
    let query = "SELECT digest, gateway, incarnation, operation, fence, unclear FROM intent WHERE key = ?";
    tx.query_row(query, [&**key], row).optional()
}

/// The revision of a key, as a reply.
fn recorded(tx: &Transaction, key: &Key, digest: &Digest) -> Done<Option<Reply>> {
    let row = |row: &rusqlite::Row| row.get::<_, Vec<u8>>(0);
    let found = tx.query_row("SELECT digest FROM revision WHERE key = ?", [&**key], row).optional()?;
    Ok(found.map(|found| if found == digest.0 { Reply::Recorded } else { Reply::Conflict }))
}

fn lives(tx: &Transaction, owner: &Owner, now: i64) -> Done<bool> {
    let query = "SELECT 1 FROM owner WHERE gateway = ? AND incarnation = ? AND lease_until_ms > ?";
    let found =
        tx.query_row(query, params![owner.gateway, owner.incarnation as i64, now], |_| Ok(())).optional()?;
    Ok(found.is_some())
}

/// Whether the intent is still this owner's, under this fence.
fn is_ours(intent: &Option<Intent>, owner: &Owner, fence: u64) -> bool {
    intent.as_ref().is_some_and(|intent| intent.owner == *owner && intent.fence == fence && !intent.unclear)
}

impl Store for Sqlite {
    fn renew(&mut self, owner: &Owner) -> Reply {
        self.write(|tx, now| {
            tx.execute(
                "INSERT INTO owner VALUES (?, ?, ?) ON CONFLICT DO UPDATE SET lease_until_ms = excluded.lease_until_ms",
                params![owner.gateway, owner.incarnation as i64, now + LEASE.as_millis() as i64],
            )?;
            Ok(Reply::Done)
        })
    }

    fn intend(&mut self, owner: &Owner, id: Id, key: &Key, digest: &Digest, again: bool) -> Reply {
        self.write(|tx, now| {
            if let Some(reply) = recorded(tx, key, digest)? {
                return Ok(reply);
            }
            if let Some(intent) = intent_of(tx, key)? {
                if intent.digest != digest.0 {
                    return Ok(Reply::Conflict);
                }
                // One that a dead owner left, and nobody has settled, is unclear: it may have run.
                if !intent.unclear && lives(tx, &intent.owner, now)? {
                    return Ok(Reply::Held);
                }
                if !again {
                    tx.execute("UPDATE intent SET unclear = 1 WHERE key = ?", [&**key])?;
                    return Ok(Reply::IsUnclear);
                }
            }
            let fence = next_fence(tx)?;
            tx.execute(
                "INSERT OR REPLACE INTO intent VALUES (?, ?, ?, ?, ?, ?, 0, ?)",
                params![
                    &**key,
                    &digest.0[..],
                    owner.gateway,
                    owner.incarnation as i64,
                    id as i64,
                    fence as i64,
                    now
                ],
            )?;
            Ok(Reply::Intended { fence })
        })
    }

    fn record(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64, content: &Content) -> Reply {
        self.write(|tx, now| {
            if let Some(reply) = recorded(tx, key, digest)? {
                return Ok(reply);
            }
            if !is_ours(&intent_of(tx, key)?, owner, fence) {
                return Ok(Reply::Fenced);
            }
            let group = content.table_group.map_or(NO_GROUP, |group| group as i64);
            let number: i64 = tx.query_row(
                "SELECT COALESCE(MAX(number), 0) + 1 FROM revision WHERE table_group = ?",
                [group],
                |row| row.get(0),
            )?;
            tx.execute(
                "INSERT INTO revision VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)",
                params![
                    &**key,
                    content.customer,
                    content.workload,
                    group,
                    number,
                    &digest.0[..],
                    owner.gateway,
                    owner.incarnation as i64,
                    now
                ],
            )?;
            let mut insert = tx.prepare_cached("INSERT INTO content VALUES (?, ?, ?)")?;
            for (number, chunk) in content.chunks.iter().enumerate() {
                insert.execute(params![&**key, number as i64, chunk])?;
            }
            tx.execute("DELETE FROM intent WHERE key = ?", [&**key])?;
            Ok(Reply::Done)
        })
    }

    fn look(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64) -> Reply {
        self.write(|tx, _| {
            if let Some(reply) = recorded(tx, key, digest)? {
                return Ok(reply);
            }
            if !is_ours(&intent_of(tx, key)?, owner, fence) {
                return Ok(Reply::Fenced);
            }
            let fence = next_fence(tx)?;
            tx.execute("UPDATE intent SET fence = ? WHERE key = ?", params![fence as i64, &**key])?;
            Ok(Reply::Absent { fence })
        })
    }

    fn withdraw(&mut self, owner: &Owner, id: Id, key: &Key) -> Reply {
        self.write(|tx, _| {
            let intent = intent_of(tx, key)?;
            let ours = intent.as_ref().is_some_and(|i| i.owner == *owner && i.id == id && !i.unclear);
            if !ours {
                return Ok(Reply::Fenced);
            }
            tx.execute("DELETE FROM intent WHERE key = ?", [&**key])?;
            Ok(Reply::Done)
        })
    }

    fn mark_unclear(&mut self, owner: &Owner, key: &Key, fence: u64) -> Reply {
        self.write(|tx, _| {
            if !is_ours(&intent_of(tx, key)?, owner, fence) {
                return Ok(Reply::Fenced);
            }
            tx.execute("UPDATE intent SET unclear = 1 WHERE key = ?", [&**key])?;
            Ok(Reply::Done)
        })
    }
}
