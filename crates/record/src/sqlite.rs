//! A store embedded in the process: SQLite with a write-ahead log and full synchronisation, so that committed
//! transactions survive a power failure. Calls block, so it needs a thread of its own.

use crate::operations::{Key, OperationId, Reply};
use crate::store::{Content, Digest, Owner, Revision, Store, LEASE};
use rusqlite::{params, Connection, ErrorCode, OptionalExtension as _, Transaction, TransactionBehavior};
use rusqlite_migration::{Migrations, M};
use std::path::Path;
use std::time::Duration;

/// How long a call waits for a lock of another process before it fails.
const BUSY_TIMEOUT: Duration = Duration::from_millis(500);

/// Schema of the first migration.
const INITIAL_SCHEMA: &str = "
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

/// Stored for a revision whose statement named no table group.
const NO_TABLE_GROUP: i64 = -1;

/// A store in an SQLite database.
pub struct SqliteStore {
    connection: Connection,
    /// Added to the system clock, for tests of leases.
    pub clock_offset: Duration,
}

/// Why a database can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Its schema is from a later version of this program.
    NewerSchema,
    /// SQLite reports an error.
    Sqlite(rusqlite::Error),
    /// A migration failed.
    Other(String),
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OpenError::NewerSchema => f.write_str(
                "the database schema is from a later version: run that version, or use another file",
            ),
            OpenError::Sqlite(error) => write!(f, "{error}"),
            OpenError::Other(error) => f.write_str(error),
        }
    }
}

impl From<rusqlite::Error> for OpenError {
    fn from(error: rusqlite::Error) -> OpenError {
        OpenError::Sqlite(error)
    }
}

type SqlResult<T> = Result<T, rusqlite::Error>;

/// A row of the table `intent`.
struct Intent {
    digest: Vec<u8>,
    owner: Owner,
    id: OperationId,
    fence: u64,
    in_doubt: bool,
}

impl SqliteStore {
    /// Opens the database, or creates it, and migrates it to the current schema.
    pub fn open(path: &Path) -> Result<SqliteStore, OpenError> {
        SqliteStore::from_connection(Connection::open(path)?)
    }

    fn from_connection(mut connection: Connection) -> Result<SqliteStore, OpenError> {
        connection.busy_timeout(BUSY_TIMEOUT)?;
        connection.pragma_update(None, "journal_mode", "WAL")?;
        connection.pragma_update(None, "synchronous", "FULL")?;
        connection.pragma_update(None, "foreign_keys", "ON")?;
        let migrations = Migrations::new(vec![M::up(INITIAL_SCHEMA)]);
        migrations.to_latest(&mut connection).map_err(|error| match error {
            rusqlite_migration::Error::MigrationDefinition(
                rusqlite_migration::MigrationDefinitionError::DatabaseTooFarAhead,
            ) => OpenError::NewerSchema,
            other => OpenError::Other(other.to_string()),
        })?;
        Ok(SqliteStore { connection, clock_offset: Duration::ZERO })
    }

    /// Limits the size of the file, for tests of a full disk.
    pub fn limit_pages(&self, pages: u32) -> SqlResult<()> {
        self.connection.pragma_update(None, "max_page_count", pages)
    }

    /// Runs one transaction and returns its reply. If it fails before the commit, nothing was written.
    fn transact(&mut self, body: impl FnOnce(&Transaction, i64) -> SqlResult<Reply>) -> Reply {
        let clock_offset = self.clock_offset;
        let result = (|| {
            let tx = self.connection.transaction_with_behavior(TransactionBehavior::Immediate)?;
            let seconds: f64 =
                tx.query_row("SELECT (julianday('now') - 2440587.5) * 86400.0", [], |row| row.get(0))?;
            let reply = body(&tx, (seconds * 1e3) as i64 + clock_offset.as_millis() as i64)?;
            tx.commit()?;
            Ok(reply)
        })();
        result.unwrap_or_else(|error: rusqlite::Error| match error.sqlite_error_code() {
            // The commit may have reached the file: `check_recorded` finds out.
            Some(ErrorCode::SystemIoFailure | ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase) => {
                Reply::Unknown
            }
            _ => Reply::Failed,
        })
    }

    /// All revisions, ordered by table group and number.
    pub fn revisions(&self) -> SqlResult<Vec<Revision>> {
        let mut statement = self.connection.prepare(
            "SELECT key, customer, workload, table_group, number, digest, gateway, incarnation, at_ms
             FROM revision ORDER BY table_group, number",
        )?;
        let rows = statement.query_map([], |row| {
            let group: i64 = row.get(3)?;
            Ok(Revision {
                key: row.get(0)?,
                customer: row.get(1)?,
                workload: row.get(2)?,
                table_group: (group != NO_TABLE_GROUP).then_some(group as u64),
                number: row.get::<_, i64>(4)? as u64,
                digest: Digest(row.get::<_, Vec<u8>>(5)?.try_into().unwrap_or_default()),
                owner: Owner { gateway: row.get(6)?, incarnation: row.get::<_, i64>(7)? as u64 },
                at_ms: row.get::<_, i64>(8)? as u64,
            })
        })?;
        rows.collect()
    }

    /// Keys of operations in doubt: they may have run, but have no revision.
    pub fn in_doubt(&self) -> SqlResult<Vec<String>> {
        let mut statement = self.connection.prepare("SELECT key FROM intent WHERE unclear ORDER BY key")?;
        let keys = statement.query_map([], |row| row.get(0))?.collect();
        keys
    }

    /// Checks the stored revisions and returns one line for each problem: a digest that does not match its
    /// content, or a gap in the numbers.
    pub fn verify(&self) -> SqlResult<Vec<String>> {
        let mut problems = Vec::new();
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
                problems.push(format!("{}: content does not match its digest", revision.key));
            }
            if last.0 != Some(revision.table_group) {
                last = (Some(revision.table_group), 0);
            }
            if revision.number != last.1 + 1 {
                problems
                    .push(format!("{}: number {} follows number {}", revision.key, revision.number, last.1));
            }
            last.1 = revision.number;
        }
        Ok(problems)
    }
}

fn next_fence(tx: &Transaction) -> SqlResult<u64> {
    let fence: i64 = tx.query_row("UPDATE fence SET last = last + 1 RETURNING last", [], |row| row.get(0))?;
    Ok(fence as u64)
}

fn find_intent(tx: &Transaction, key: &Key) -> SqlResult<Option<Intent>> {
    let row = |row: &rusqlite::Row| {
        Ok(Intent {
            digest: row.get(0)?,
            owner: Owner { gateway: row.get(1)?, incarnation: row.get::<_, i64>(2)? as u64 },
            id: row.get::<_, i64>(3)? as u64,
            fence: row.get::<_, i64>(4)? as u64,
            in_doubt: row.get(5)?,
        })
    };
    let sql = "SELECT digest, gateway, incarnation, operation, fence, unclear FROM intent WHERE key = ?";
    tx.query_row(sql, [&**key], row).optional()
}

/// The reply for a key that has a revision already.
fn existing_revision(tx: &Transaction, key: &Key, digest: &Digest) -> SqlResult<Option<Reply>> {
    let row = |row: &rusqlite::Row| row.get::<_, Vec<u8>>(0);
    let found = tx.query_row("SELECT digest FROM revision WHERE key = ?", [&**key], row).optional()?;
    Ok(found.map(|found| if found == digest.0 { Reply::Recorded } else { Reply::Conflict }))
}

/// Whether the lease of this owner is valid.
fn has_valid_lease(tx: &Transaction, owner: &Owner, now: i64) -> SqlResult<bool> {
    let sql = "SELECT 1 FROM owner WHERE gateway = ? AND incarnation = ? AND lease_until_ms > ?";
    let found =
        tx.query_row(sql, params![owner.gateway, owner.incarnation as i64, now], |_| Ok(())).optional()?;
    Ok(found.is_some())
}

/// Whether the intent still belongs to this owner under this fencing token.
fn is_owned_by(intent: &Option<Intent>, owner: &Owner, fence: u64) -> bool {
    intent.as_ref().is_some_and(|intent| intent.owner == *owner && intent.fence == fence && !intent.in_doubt)
}

impl Store for SqliteStore {
    fn renew_lease(&mut self, owner: &Owner) -> Reply {
        self.transact(|tx, now| {
            tx.execute(
                "INSERT INTO owner VALUES (?, ?, ?) ON CONFLICT DO UPDATE SET lease_until_ms = excluded.lease_until_ms",
                params![owner.gateway, owner.incarnation as i64, now + LEASE.as_millis() as i64],
            )?;
            Ok(Reply::Done)
        })
    }

    fn intend(
        &mut self,
        owner: &Owner,
        id: OperationId,
        key: &Key,
        digest: &Digest,
        replace_in_doubt: bool,
    ) -> Reply {
        self.transact(|tx, now| {
            if let Some(reply) = existing_revision(tx, key, digest)? {
                return Ok(reply);
            }
            if let Some(intent) = find_intent(tx, key)? {
                if intent.digest != digest.0 {
                    return Ok(Reply::Conflict);
                }
                // An intent whose owner died without resolving it is in doubt: it may have run.
                if !intent.in_doubt && has_valid_lease(tx, &intent.owner, now)? {
                    return Ok(Reply::HeldByOther);
                }
                if !replace_in_doubt {
                    tx.execute("UPDATE intent SET unclear = 1 WHERE key = ?", [&**key])?;
                    return Ok(Reply::InDoubt);
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
        self.transact(|tx, now| {
            if let Some(reply) = existing_revision(tx, key, digest)? {
                return Ok(reply);
            }
            if !is_owned_by(&find_intent(tx, key)?, owner, fence) {
                return Ok(Reply::Fenced);
            }
            let group = content.table_group.map_or(NO_TABLE_GROUP, |group| group as i64);
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

    fn check_recorded(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64) -> Reply {
        self.transact(|tx, _| {
            if let Some(reply) = existing_revision(tx, key, digest)? {
                return Ok(reply);
            }
            if !is_owned_by(&find_intent(tx, key)?, owner, fence) {
                return Ok(Reply::Fenced);
            }
            let fence = next_fence(tx)?;
            tx.execute("UPDATE intent SET fence = ? WHERE key = ?", params![fence as i64, &**key])?;
            Ok(Reply::NotRecorded { fence })
        })
    }

    fn withdraw(&mut self, owner: &Owner, id: OperationId, key: &Key) -> Reply {
        self.transact(|tx, _| {
            let intent = find_intent(tx, key)?;
            let owned = intent.as_ref().is_some_and(|i| i.owner == *owner && i.id == id && !i.in_doubt);
            if !owned {
                return Ok(Reply::Fenced);
            }
            tx.execute("DELETE FROM intent WHERE key = ?", [&**key])?;
            Ok(Reply::Done)
        })
    }

    fn mark_in_doubt(&mut self, owner: &Owner, key: &Key, fence: u64) -> Reply {
        self.transact(|tx, _| {
            if !is_owned_by(&find_intent(tx, key)?, owner, fence) {
                return Ok(Reply::Fenced);
            }
            tx.execute("UPDATE intent SET unclear = 1 WHERE key = ?", [&**key])?;
            Ok(Reply::Done)
        })
    }
}
