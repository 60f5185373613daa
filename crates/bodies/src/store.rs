//! Holds bodies as they arrive from clients and sends them to engines. All decisions are made by
//! `BodyAccounting`; this module carries out its effects. For one thread, inside a local task set.

use crate::accounting::{
    BodyAccounting, BodyId, Bounds, Counts, Effect, Input, Refusal, Tier, PASS_THROUGH_WINDOW_BYTES,
};
use crate::spool::{IoThreads, Spool, SpoolError, CHUNK_BYTES};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Instant;
use tokio::sync::Notify;

/// Bytes that one body sends before it yields to other tasks of its thread: a fast engine would otherwise
/// take megabytes at once.
const YIELD_AFTER_BYTES: usize = 64 * 1024;

/// Bytes kept of the beginning of a body for inspection.
const PREFIX_BYTES: usize = 16 * 1024;

/// All bodies of a gateway.
pub struct BodyStore {
    accounting: RefCell<BodyAccounting>,
    threads: Option<IoThreads>,
    /// Bodies that are not dropped yet.
    bodies: RefCell<BTreeMap<BodyId, Weak<Body>>>,
    next_id: Cell<BodyId>,
    /// The last error of a spool file, for the log; cleared when it is read.
    last_error: RefCell<Option<String>>,
}

enum Content {
    Memory(Vec<Bytes>),
    /// The file, and bytes that do not fill a chunk yet.
    File(Spool, BytesMut),
    /// `kept`: the file written before the body was no longer kept, and the next chunk to send from it.
    /// `queue`: bytes received since.
    PassThrough {
        kept: Option<(Spool, usize)>,
        queue: VecDeque<Bytes>,
        queued_bytes: u64,
    },
    Released,
}

/// The body of one statement. Dropping it frees its memory and its file.
pub struct Body {
    id: BodyId,
    store: Rc<BodyStore>,
    tier: Cell<Tier>,
    /// Declared by the client.
    length: Option<u64>,
    received: Cell<u64>,
    complete: Cell<bool>,
    /// It will never be complete: the client disconnected, or sent too much or too slowly.
    aborted: Cell<bool>,
    /// Its stored bytes can't be read back.
    corrupted: Cell<bool>,
    /// It was passed through to an execution that has ended.
    abandoned: Cell<bool>,
    /// Set once it is no longer kept. Shared, because it is read after the body is dropped.
    not_kept: Rc<Cell<bool>>,
    /// Of a body that is passed through: whether an execution reads it, how many pieces that was given, and
    /// the first one.
    reader_assigned: Cell<bool>,
    pieces_sent: Cell<u32>,
    first_piece: RefCell<Option<Bytes>>,
    /// Its first bytes, for inspection; freed when they are taken.
    prefix: RefCell<BytesMut>,
    content: RefCell<Content>,
    /// The execution that waits for more bytes.
    reader_waker: RefCell<Option<Waker>>,
    /// Notified when the queue has space again.
    queue_space: Notify,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({}, {:?}, {} bytes)", self.id, self.tier.get(), self.received.get())
    }
}

impl BodyStore {
    /// Without I/O threads there is no file tier, whatever the bounds say.
    pub fn new(mut bounds: Bounds, threads: Option<IoThreads>) -> Rc<BodyStore> {
        bounds.files = bounds.files.filter(|_| threads.is_some());
        let (accounting, bodies) = (RefCell::new(BodyAccounting::new(bounds)), RefCell::default());
        Rc::new(BodyStore {
            accounting,
            threads,
            bodies,
            next_id: Cell::new(0),
            last_error: RefCell::default(),
        })
    }

    /// The present use of the tiers, and totals since the start.
    pub fn counts(&self) -> Counts {
        self.accounting.borrow().counts()
    }

    /// Size of the largest body that is accepted, in bytes.
    pub fn max_body(&self) -> u64 {
        self.accounting.borrow().bounds().max_body
    }

    /// Bytes handed over for writing to files, and bytes written after compression.
    pub fn spooled_bytes(&self) -> (u64, u64) {
        use std::sync::atomic::Ordering::Relaxed;
        self.threads
            .as_ref()
            .map_or((0, 0), |t| (t.bytes_received.load(Relaxed), t.bytes_written.load(Relaxed)))
    }

    /// The last error of a spool file since the previous call.
    pub fn take_last_error(&self) -> Option<String> {
        self.last_error.borrow_mut().take()
    }

    /// Applies new limits to further bytes. The I/O threads stay as they are.
    pub fn set_bounds(self: &Rc<Self>, mut bounds: Bounds) {
        bounds.files = bounds.files.filter(|_| self.threads.is_some());
        let effects = self.accounting.borrow_mut().set_bounds(bounds);
        self.run_effects(effects);
    }

    /// The tier that would accept a body of this length at present; changes nothing.
    pub fn check_admission(&self, length: Option<u64>, strict: bool) -> Result<Tier, Refusal> {
        self.accounting.borrow().check_admission(length, strict)
    }

    /// Accepts a body that is about to arrive. `length` is what the client declared; a `strict` body is
    /// refused where it can't be kept.
    pub fn begin(self: &Rc<Self>, length: Option<u64>, strict: bool) -> Result<Rc<Body>, Refusal> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let effects = self.accounting.borrow_mut().step(id, Input::Begin { length, strict });
        let mut tier = Err(Refusal::NoCapacity);
        for effect in &effects {
            match effect {
                Effect::Accept(of, kept) if *of == id => tier = Ok(*kept),
                Effect::Refuse(of, why) if *of == id => tier = Err(*why),
                _ => {}
            }
        }
        let body = tier.map(|tier| {
            let content = match tier {
                Tier::Memory => Content::Memory(Vec::new()),
                Tier::File => Content::File(Spool::default(), BytesMut::new()),
                Tier::NotKept => Content::PassThrough { kept: None, queue: VecDeque::new(), queued_bytes: 0 },
            };
            let body = Rc::new(Body {
                id,
                store: self.clone(),
                tier: Cell::new(tier),
                length,
                received: Cell::new(0),
                complete: Cell::new(false),
                aborted: Cell::new(false),
                corrupted: Cell::new(false),
                abandoned: Cell::new(false),
                not_kept: Rc::new(Cell::new(tier == Tier::NotKept)),
                reader_assigned: Cell::new(false),
                pieces_sent: Cell::new(0),
                first_piece: RefCell::default(),
                prefix: RefCell::default(),
                content: RefCell::new(content),
                reader_waker: RefCell::default(),
                queue_space: Notify::new(),
            });
            self.bodies.borrow_mut().insert(id, Rc::downgrade(&body));
            body
        });
        self.run_effects(effects);
        body
    }

    fn step(self: &Rc<Self>, id: BodyId, input: Input) -> Vec<Effect> {
        self.accounting.borrow_mut().step(id, input)
    }

    fn body(&self, id: BodyId) -> Option<Rc<Body>> {
        self.bodies.borrow().get(&id)?.upgrade()
    }

    /// Carries out effects on any body. Those of the body that is being received are handled by
    /// `apply_effects`.
    fn run_effects(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Move(id) => {
                    let store = self.clone();
                    tokio::task::spawn_local(async move { store.move_to_file(id).await });
                }
                Effect::Corrupted(id) => {
                    if let Some(body) = self.body(id) {
                        body.mark_corrupted();
                    }
                }
                _ => {}
            }
        }
    }

    async fn move_to_file(self: &Rc<Self>, id: BodyId) {
        let pieces = self.body(id).and_then(|body| match &*body.content.borrow() {
            Content::Memory(pieces) => Some(pieces.clone()),
            _ => None,
        });
        let spool = Spool::default();
        let written = match (pieces, &self.threads) {
            (Some(pieces), Some(threads)) => threads.write(&spool, join_into_chunks(&pieces)).await,
            _ => Err(SpoolError::Busy),
        };
        let input = match written {
            Ok(()) => Input::Moved,
            Err(error) => {
                self.record_error(&error);
                Input::MoveFailed
            }
        };
        let effects = self.step(id, input);
        let body = self.body(id);
        if let Some(body) = body.filter(|_| effects.contains(&Effect::FreeMemory(id))) {
            body.content.replace(Content::File(spool, BytesMut::new()));
            body.tier.set(Tier::File);
        } else if let Some(threads) = &self.threads {
            threads.close(spool);
        }
        self.run_effects(effects);
    }

    fn record_error(&self, error: &SpoolError) {
        self.last_error.replace(Some(error.to_string()));
    }
}

/// Joins small pieces into chunks: each piece costs a checksum and a chunk entry, whatever its size.
fn join_into_chunks(pieces: &[Bytes]) -> Vec<Bytes> {
    if pieces.iter().all(|piece| piece.len() >= CHUNK_BYTES / 2) {
        return pieces.to_vec();
    }
    let mut joined = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    pieces.iter().for_each(|piece| joined.extend_from_slice(piece));
    let joined = joined.freeze();
    (0..joined.len())
        .step_by(CHUNK_BYTES)
        .map(|at| joined.slice(at..joined.len().min(at + CHUNK_BYTES)))
        .collect()
}

impl Body {
    /// The tier that holds it.
    pub fn tier(&self) -> Tier {
        self.tier.get()
    }

    /// It can be sent any number of times.
    pub fn is_kept(&self) -> bool {
        self.tier.get() != Tier::NotKept && !self.corrupted.get()
    }

    /// An execution may start to send it now.
    pub fn can_send(&self) -> bool {
        match self.tier.get() {
            Tier::NotKept => !self.reader_assigned.get() && !self.is_discarded(),
            _ => !self.corrupted.get(),
        }
    }

    /// All of it has arrived.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Bytes that have arrived.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Takes its first bytes; further calls return nothing.
    pub fn take_prefix(&self) -> Bytes {
        self.prefix.take().freeze()
    }

    /// Its stored bytes can't be read back.
    pub fn is_corrupted(&self) -> bool {
        self.corrupted.get()
    }

    /// It will never be complete.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Its length, if that is known already.
    pub fn length(&self) -> Option<u64> {
        self.length.or(self.complete.get().then_some(self.received.get()))
    }

    /// Adds bytes that have arrived. Waits for queue space where the body is passed through and for the write
    /// where it goes to a file, so that a client can't send faster than an engine reads or a disk writes.
    pub async fn push(&self, bytes: Bytes) -> Result<(), Refusal> {
        if self.tier.get() == Tier::NotKept {
            // Once the reader has gone, nothing frees queue space any more.
            while !self.aborted.get()
                && !self.is_discarded()
                && self.queued_bytes() >= PASS_THROUGH_WINDOW_BYTES / 2
            {
                self.queue_space.notified().await;
            }
            if self.is_discarded() {
                return Ok(());
            }
        }
        let effects = self.store.step(self.id, Input::Received(bytes.len() as u64));
        self.received.set(self.received.get() + bytes.len() as u64);
        self.record_prefix(&bytes);
        match &mut *self.content.borrow_mut() {
            Content::Memory(pieces) => pieces.push(bytes),
            Content::File(_, pending) => pending.extend_from_slice(&bytes),
            Content::PassThrough { queue, queued_bytes, .. } => {
                *queued_bytes += bytes.len() as u64;
                queue.push_back(bytes);
            }
            Content::Released => {}
        }
        self.wake_reader();
        self.apply_effects(effects).await?;
        self.write_chunks(CHUNK_BYTES).await
    }

    fn record_prefix(&self, bytes: &[u8]) {
        let mut prefix = self.prefix.borrow_mut();
        let missing = PREFIX_BYTES.saturating_sub(prefix.len()).min(bytes.len());
        prefix.extend_from_slice(&bytes[..missing]);
    }

    /// Writes the last bytes and marks the body as complete.
    pub async fn finish(&self) -> Result<(), Refusal> {
        self.write_chunks(1).await?;
        self.complete.set(true);
        let effects = self.store.step(self.id, Input::Complete);
        self.store.run_effects(effects);
        self.wake_reader();
        Ok(())
    }

    /// Stops receiving: the body will never be complete.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.wake_reader();
        self.queue_space.notify_one();
    }

    /// Carries out the effects on this body after more bytes have arrived.
    async fn apply_effects(&self, effects: Vec<Effect>) -> Result<(), Refusal> {
        let (mut must_spill, mut must_pass_through, mut refused) = (false, false, None);
        for effect in &effects {
            match effect {
                Effect::Spill(id) if *id == self.id => must_spill = true,
                Effect::PassThrough(id) if *id == self.id => must_pass_through = true,
                Effect::Refuse(id, why) if *id == self.id => refused = Some(*why),
                _ => {}
            }
        }
        self.store.run_effects(effects);
        if let Some(why) = refused {
            self.content.replace(Content::Released);
            self.abort();
            return Err(why);
        }
        if must_pass_through {
            self.switch_to_pass_through();
        }
        if must_spill {
            self.spill().await?;
        }
        Ok(())
    }

    /// Writes the bytes in memory to a file. They are freed only once the file has them.
    async fn spill(&self) -> Result<(), Refusal> {
        let pieces = match &*self.content.borrow() {
            Content::Memory(pieces) => join_into_chunks(pieces),
            _ => return Ok(()),
        };
        let spool = Spool::default();
        let written = match &self.store.threads {
            Some(threads) => threads.write(&spool, pieces).await,
            None => Err(SpoolError::Busy),
        };
        match written {
            Ok(()) => {
                self.content.replace(Content::File(spool, BytesMut::new()));
                self.tier.set(Tier::File);
                let effects = self.store.step(self.id, Input::Spilled);
                self.store.run_effects(effects);
                Ok(())
            }
            Err(error) => self.handle_write_failure(&error),
        }
    }

    /// Writes pending bytes to the file in chunks, as long as there are at least `min_bytes`.
    async fn write_chunks(&self, min_bytes: usize) -> Result<(), Refusal> {
        loop {
            let (spool, bytes) = match &mut *self.content.borrow_mut() {
                Content::File(spool, pending) if pending.len() >= min_bytes => {
                    let length = pending.len().min(CHUNK_BYTES);
                    (spool.clone(), pending.split_to(length).freeze())
                }
                _ => return Ok(()),
            };
            let written = match &self.store.threads {
                Some(threads) => threads.write(&spool, vec![bytes.clone()]).await,
                None => Err(SpoolError::Busy),
            };
            if let Err(error) = written {
                // Puts the unwritten bytes back in front of those that follow.
                if let Content::File(_, pending) = &mut *self.content.borrow_mut() {
                    let rest = std::mem::replace(pending, BytesMut::from(&bytes[..]));
                    pending.extend_from_slice(&rest);
                }
                self.handle_write_failure(&error)?;
            }
        }
    }

    /// Passes the body through after a failed write, or refuses it where that is not possible.
    fn handle_write_failure(&self, error: &SpoolError) -> Result<(), Refusal> {
        self.store.record_error(error);
        let effects = self.store.step(self.id, Input::SpoolFailed);
        let refused = effects.iter().find_map(|effect| match effect {
            Effect::Refuse(id, why) if *id == self.id => Some(*why),
            _ => None,
        });
        self.store.run_effects(effects);
        match refused {
            Some(why) => {
                self.content.replace(Content::Released);
                self.abort();
                Err(why)
            }
            None => {
                self.switch_to_pass_through();
                Ok(())
            }
        }
    }

    /// Keeps it no longer: buffered and further bytes are sent once.
    fn switch_to_pass_through(&self) {
        let mut content = self.content.borrow_mut();
        let (kept, queue): (_, VecDeque<Bytes>) = match std::mem::replace(&mut *content, Content::Released) {
            Content::Memory(pieces) => (None, pieces.into()),
            Content::File(spool, pending) => (Some((spool, 0)), [pending.freeze()].into()),
            pass_through => {
                *content = pass_through;
                return;
            }
        };
        let queued_bytes = queue.iter().map(|piece| piece.len() as u64).sum();
        *content = Content::PassThrough { kept, queue, queued_bytes };
        self.tier.set(Tier::NotKept);
        self.not_kept.set(true);
    }

    fn queued_bytes(&self) -> u64 {
        match &*self.content.borrow() {
            Content::PassThrough { queued_bytes, .. } => *queued_bytes,
            _ => 0,
        }
    }

    fn mark_corrupted(&self) {
        self.corrupted.set(true);
        self.not_kept.set(true);
        self.free();
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// A stream of its bytes for one execution; none where it can't be sent any more.
    pub fn start_sending(self: &Rc<Self>) -> Option<Outgoing> {
        if !self.can_send() {
            return None;
        }
        if self.tier.get() == Tier::NotKept {
            self.reader_assigned.set(true);
        }
        let effects = self.store.step(self.id, Input::ReadStarted);
        self.store.run_effects(effects);
        let progress = Rc::new(Progress {
            last_activity: Cell::new(Instant::now()),
            waits_for_data: Cell::new(false),
            finished: Cell::new(false),
        });
        Some(Outgoing { body: self.clone(), next_piece: 0, reading: None, bytes_since_yield: 0, progress })
    }

    /// Frees a body that is passed through, because its execution has ended. `push` discards further bytes
    /// and does not wait.
    pub fn abandon(&self) {
        if self.tier.get() == Tier::NotKept {
            self.abandoned.set(true);
            self.free();
        }
    }

    /// No execution will read more of it.
    fn is_discarded(&self) -> bool {
        self.corrupted.get() || self.abandoned.get()
    }

    fn free(&self) {
        if let Content::File(spool, _) | Content::PassThrough { kept: Some((spool, _)), .. } =
            self.content.replace(Content::Released)
        {
            self.store.threads.iter().for_each(|threads| threads.close(spool.clone()));
        }
        self.wake_reader();
        self.queue_space.notify_one();
    }

    /// A flag that is set once the body is no longer kept; it outlives the body.
    pub fn not_kept(&self) -> Rc<Cell<bool>> {
        self.not_kept.clone()
    }

    /// Returns the first piece to the queue, for a call of which not a byte was written: another execution
    /// may send the body.
    pub fn return_unsent(&self) {
        if self.tier.get() != Tier::NotKept || self.pieces_sent.get() > 1 {
            return;
        }
        if let (Some(first_piece), Content::PassThrough { queue, queued_bytes, .. }) =
            (self.first_piece.borrow_mut().take(), &mut *self.content.borrow_mut())
        {
            *queued_bytes += first_piece.len() as u64;
            queue.push_front(first_piece);
        }
        self.pieces_sent.set(0);
        self.reader_assigned.set(false);
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.store.bodies.borrow_mut().remove(&self.id);
        let effects = self.store.step(self.id, Input::Released);
        self.free();
        self.store.run_effects(effects);
    }
}

/// Progress of sending a body, for the watchdog of the upload.
pub struct Progress {
    /// When the engine last asked for a piece, whether or not one was ready.
    pub last_activity: Cell<Instant>,
    /// Sending waits for the client or a disk, not for the engine.
    pub waits_for_data: Cell<bool>,
    /// The engine has taken all of it.
    pub finished: Cell<bool>,
}

type Reading = Pin<Box<dyn Future<Output = Result<Bytes, SpoolError>>>>;

/// The stream of a body to one engine.
pub struct Outgoing {
    body: Rc<Body>,
    /// Index of the next piece in memory, or of the next chunk in the file.
    next_piece: usize,
    reading: Option<Reading>,
    /// Bytes sent since it last yielded to other tasks.
    bytes_since_yield: usize,
    /// Shared with whoever watches over the upload.
    pub progress: Rc<Progress>,
}

impl Outgoing {
    /// The length of the body, if that is known already.
    pub fn length(&self) -> Option<u64> {
        self.body.length()
    }

    fn read(&mut self, spool: Spool, number: usize) {
        let body = self.body.clone();
        self.reading = Some(Box::pin(async move {
            match &body.store.threads {
                Some(threads) => threads.read(&spool, number).await,
                None => Err(SpoolError::Busy),
            }
        }));
    }

    /// Polls for the next piece.
    fn next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, SpoolError>>> {
        loop {
            if let Some(reading) = &mut self.reading {
                let read = std::task::ready!(reading.as_mut().poll(cx));
                self.reading = None;
                return Poll::Ready(Some(read));
            }
            let body = self.body.clone();
            let mut content = body.content.borrow_mut();
            let complete = body.complete.get();
            match &mut *content {
                Content::Memory(pieces) => {
                    let piece = pieces.get(self.next_piece).cloned();
                    self.next_piece += 1;
                    return Poll::Ready(piece.map(Ok));
                }
                Content::File(spool, _) => {
                    if self.next_piece >= spool.chunks() {
                        return Poll::Ready(None);
                    }
                    let (spool, at) = (spool.clone(), self.next_piece);
                    self.next_piece += 1;
                    drop(content);
                    self.read(spool, at);
                }
                Content::PassThrough { kept, queue, queued_bytes } => {
                    if let Some((spool, at)) = kept.take() {
                        if at < spool.chunks() {
                            *kept = Some((spool.clone(), at + 1));
                            drop(content);
                            self.read(spool, at);
                            continue;
                        }
                        body.store.threads.iter().for_each(|threads| threads.close(spool.clone()));
                    }
                    if let Some(piece) = queue.pop_front() {
                        *queued_bytes -= piece.len() as u64;
                        body.queue_space.notify_one();
                        return Poll::Ready(Some(Ok(piece)));
                    }
                    if body.aborted.get() {
                        return Poll::Ready(Some(Err(SpoolError::Io(io::ErrorKind::UnexpectedEof.into()))));
                    }
                    if complete {
                        return Poll::Ready(None);
                    }
                    *body.reader_waker.borrow_mut() = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Content::Released => return Poll::Ready(Some(Err(SpoolError::Checksum))),
            }
        }
    }
}

impl Stream for Outgoing {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let this = self.get_mut();
        if this.bytes_since_yield >= YIELD_AFTER_BYTES {
            this.bytes_since_yield = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let next = this.next(cx);
        this.progress.waits_for_data.set(next.is_pending());
        this.progress.last_activity.set(Instant::now());
        match next {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                this.progress.finished.set(true);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(piece))) => {
                this.bytes_since_yield += piece.len();
                let body = &this.body;
                body.pieces_sent.set(body.pieces_sent.get().saturating_add(1));
                // Kept until the second piece is taken: by then the first has been written.
                let first_piece =
                    (body.tier.get() == Tier::NotKept && body.pieces_sent.get() == 1).then(|| piece.clone());
                body.first_piece.replace(first_piece);
                Poll::Ready(Some(Ok(piece)))
            }
            Poll::Ready(Some(Err(error))) => {
                // A disconnected client leaves the stored bytes valid; a failed read means that they are
                // corrupted.
                if !this.body.aborted.get() {
                    this.body.store.record_error(&error);
                    let effects = this.body.store.step(this.body.id, Input::ReadFailed);
                    this.body.store.run_effects(effects);
                }
                Poll::Ready(Some(Err(io::Error::other(error.to_string()))))
            }
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let effects = self.body.store.step(self.body.id, Input::ReadEnded);
        self.body.store.run_effects(effects);
        if self.body.tier.get() == Tier::NotKept && self.body.pieces_sent.get() > 1 {
            self.body.abandon();
        }
    }
}
