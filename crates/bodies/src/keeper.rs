//! Carries out what the ledger asks for: bodies as they come from clients, and as executions send them. It decides nothing.
//! For one thread, inside a local task set.

use crate::ledger::{Bounds, Counts, Effect, Id, Input, Ledger, Refusal, Tier, WINDOW};
use crate::spool::{Fault, Spool, Threads, CHUNK};
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

/// What one body sends before all else on this thread has its turn: a fast engine would take megabytes at once.
const TURN: usize = 64 * 1024;

/// How much of its beginning is looked at.
const BEGINNING: usize = 16 * 1024;

/// All bodies of a gateway.
pub struct Keeper {
    ledger: RefCell<Ledger>,
    threads: Option<Threads>,
    /// Emptied of a body when it is dropped.
    bodies: RefCell<BTreeMap<Id, Weak<Body>>>,
    given: Cell<Id>,
    /// The last fault of a file, for the log; emptied as it is read.
    fault: RefCell<Option<String>>,
}

enum Store {
    Memory(Vec<Bytes>),
    /// What is there, and what is not yet a whole chunk.
    File(Spool, BytesMut),
    /// What was kept before it fell, from this chunk on, and what has come since.
    Passing {
        kept: Option<(Spool, usize)>,
        queue: VecDeque<Bytes>,
        queued: u64,
    },
    Gone,
}

/// The text of one statement. Dropped, all of it is let go.
pub struct Body {
    id: Id,
    keeper: Rc<Keeper>,
    tier: Cell<Tier>,
    /// Told at its head.
    length: Option<u64>,
    got: Cell<u64>,
    whole: Cell<bool>,
    /// It will never be whole: the client left, or sent too much or too slowly.
    broken: Cell<bool>,
    /// It can't be read back.
    spoilt: Cell<bool>,
    /// It passed to an execution that has ended.
    abandoned: Cell<bool>,
    /// Set as soon as it is not kept, for whoever outlives it.
    unkept: Rc<Cell<bool>>,
    /// In passing: an execution has it, and how many pieces went to that; the first of them.
    taken: Cell<bool>,
    pieces: Cell<u32>,
    first: RefCell<Option<Bytes>>,
    /// Its first bytes, for whoever looks what it is about; let go as they are taken.
    beginning: RefCell<BytesMut>,
    store: RefCell<Store>,
    /// Who waits for more of it to come, and for room to put more.
    reader: RefCell<Option<Waker>>,
    room: Notify,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({}, {:?}, {} bytes)", self.id, self.tier.get(), self.got.get())
    }
}

impl Keeper {
    /// Without threads there are no files, whatever the bounds say.
    pub fn new(mut bounds: Bounds, threads: Option<Threads>) -> Rc<Keeper> {
        bounds.files = bounds.files.filter(|_| threads.is_some());
        let (ledger, bodies) = (RefCell::new(Ledger::new(bounds)), RefCell::default());
        Rc::new(Keeper { ledger, threads, bodies, given: Cell::new(0), fault: RefCell::default() })
    }

    pub fn counts(&self) -> Counts {
        self.ledger.borrow().counts()
    }

    pub fn largest(&self) -> u64 {
        self.ledger.borrow().bounds().largest
    }

    /// Bytes that came for files, and what of them was written.
    pub fn written(&self) -> (u64, u64) {
        use std::sync::atomic::Ordering::Relaxed;
        self.threads.as_ref().map_or((0, 0), |t| (t.came.load(Relaxed), t.written.load(Relaxed)))
    }

    pub fn take_fault(&self) -> Option<String> {
        self.fault.borrow_mut().take()
    }

    /// New bounds for what comes; the threads stay as they are.
    pub fn set_bounds(self: &Rc<Self>, mut bounds: Bounds) {
        bounds.files = bounds.files.filter(|_| self.threads.is_some());
        let effects = self.ledger.borrow_mut().set_bounds(bounds);
        self.carry_out(effects);
    }

    pub fn would_take(&self, length: Option<u64>, strict: bool) -> Result<Tier, Refusal> {
        self.ledger.borrow().would_take(length, strict)
    }

    /// A body begins to come.
    pub fn begin(self: &Rc<Self>, length: Option<u64>, strict: bool) -> Result<Rc<Body>, Refusal> {
        let id = self.given.get();
        self.given.set(id + 1);
        let effects = self.ledger.borrow_mut().step(id, Input::Head { length, strict });
        let mut tier = Err(Refusal::NoRoom);
        for effect in &effects {
            match effect {
                Effect::Keep(of, kept) if *of == id => tier = Ok(*kept),
                Effect::Refuse(of, why) if *of == id => tier = Err(*why),
                _ => {}
            }
        }
        let body = tier.map(|tier| {
            let store = match tier {
                Tier::Memory => Store::Memory(Vec::new()),
                Tier::File => Store::File(Spool::default(), BytesMut::new()),
                Tier::NotKept => Store::Passing { kept: None, queue: VecDeque::new(), queued: 0 },
            };
            let body = Rc::new(Body {
                id,
                keeper: self.clone(),
                tier: Cell::new(tier),
                length,
                got: Cell::new(0),
                whole: Cell::new(false),
                broken: Cell::new(false),
                spoilt: Cell::new(false),
                abandoned: Cell::new(false),
                unkept: Rc::new(Cell::new(tier == Tier::NotKept)),
                taken: Cell::new(false),
                pieces: Cell::new(0),
                first: RefCell::default(),
                beginning: RefCell::default(),
                store: RefCell::new(store),
                reader: RefCell::default(),
                room: Notify::new(),
            });
            self.bodies.borrow_mut().insert(id, Rc::downgrade(&body));
            body
        });
        self.carry_out(effects);
        body
    }

    fn step(self: &Rc<Self>, id: Id, input: Input) -> Vec<Effect> {
        self.ledger.borrow_mut().step(id, input)
    }

    fn body(&self, id: Id) -> Option<Rc<Body>> {
        self.bodies.borrow().get(&id)?.upgrade()
    }

    /// What concerns other bodies than the one that comes.
    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Move(id) => {
                    let keeper = self.clone();
                    tokio::task::spawn_local(async move { keeper.move_to_file(id).await });
                }
                Effect::Spoilt(id) => {
                    if let Some(body) = self.body(id) {
                        body.spoil();
                    }
                }
                _ => {}
            }
        }
    }

    async fn move_to_file(self: &Rc<Self>, id: Id) {
        let pieces = self.body(id).and_then(|body| match &*body.store.borrow() {
            Store::Memory(pieces) => Some(pieces.clone()),
            _ => None,
        });
        let spool = Spool::default();
        let written = match (pieces, &self.threads) {
            (Some(pieces), Some(threads)) => threads.write(&spool, join(&pieces)).await,
            _ => Err(Fault::Busy),
        };
        let input = match written {
            Ok(()) => Input::Moved,
            Err(fault) => {
                self.note(&fault);
                Input::MoveFailed
            }
        };
        let effects = self.step(id, input);
        let body = self.body(id);
        if let Some(body) = body.filter(|_| effects.contains(&Effect::LetGo(id))) {
            body.store.replace(Store::File(spool, BytesMut::new()));
            body.tier.set(Tier::File);
        } else if let Some(threads) = &self.threads {
            threads.drop_spool(spool);
        }
        self.carry_out(effects);
    }

    fn note(&self, fault: &Fault) {
        self.fault.replace(Some(fault.to_string()));
    }
}

/// In pieces of a chunk each: a checksum and a look-up each would otherwise be had for every few bytes.
fn join(pieces: &[Bytes]) -> Vec<Bytes> {
    if pieces.iter().all(|piece| piece.len() >= CHUNK / 2) {
        return pieces.to_vec();
    }
    let mut whole = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    pieces.iter().for_each(|piece| whole.extend_from_slice(piece));
    let whole = whole.freeze();
    (0..whole.len()).step_by(CHUNK).map(|at| whole.slice(at..whole.len().min(at + CHUNK))).collect()
}

impl Body {
    pub fn tier(&self) -> Tier {
        self.tier.get()
    }

    /// All of it can be sent again, for as long as it is held.
    pub fn is_kept(&self) -> bool {
        self.tier.get() != Tier::NotKept && !self.spoilt.get()
    }

    /// An execution may send it now.
    pub fn may_be_sent(&self) -> bool {
        match self.tier.get() {
            Tier::NotKept => !self.taken.get() && !self.is_unwanted(),
            _ => !self.spoilt.get(),
        }
    }

    /// All of it has come.
    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    /// Bytes that have come.
    pub fn got(&self) -> u64 {
        self.got.get()
    }

    /// Its first bytes, to be had once.
    pub fn beginning(&self) -> Bytes {
        self.beginning.take().freeze()
    }

    /// What was kept of it can't be had back, or what passed has gone.
    pub fn is_spoilt(&self) -> bool {
        self.spoilt.get()
    }

    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Its length, where that is known yet.
    pub fn length(&self) -> Option<u64> {
        self.length.or(self.whole.get().then_some(self.got.get()))
    }

    /// More of it has come. Where it is held in passing, waits until there is room; where it goes into a file, until it is
    /// there: a client that sends faster than a disk takes is slowed down.
    pub async fn push(&self, bytes: Bytes) -> Result<(), Refusal> {
        if self.tier.get() == Tier::NotKept {
            // Whoever no longer reads never makes room.
            while !self.broken.get() && !self.is_unwanted() && self.queued() >= WINDOW / 2 {
                self.room.notified().await;
            }
            if self.is_unwanted() {
                return Ok(());
            }
        }
        let effects = self.keeper.step(self.id, Input::Part(bytes.len() as u64));
        self.got.set(self.got.get() + bytes.len() as u64);
        self.remember(&bytes);
        match &mut *self.store.borrow_mut() {
            Store::Memory(pieces) => pieces.push(bytes),
            Store::File(_, pending) => pending.extend_from_slice(&bytes),
            Store::Passing { queue, queued, .. } => {
                *queued += bytes.len() as u64;
                queue.push_back(bytes);
            }
            Store::Gone => {}
        }
        self.wake();
        self.follow(effects).await?;
        self.write(CHUNK).await
    }

    fn remember(&self, bytes: &[u8]) {
        let mut beginning = self.beginning.borrow_mut();
        let wanted = BEGINNING.saturating_sub(beginning.len()).min(bytes.len());
        beginning.extend_from_slice(&bytes[..wanted]);
    }

    /// All of it has come.
    pub async fn end(&self) -> Result<(), Refusal> {
        self.write(1).await?;
        self.whole.set(true);
        let effects = self.keeper.step(self.id, Input::Whole);
        self.keeper.carry_out(effects);
        self.wake();
        Ok(())
    }

    /// It will never be whole.
    pub fn break_off(&self) {
        self.broken.set(true);
        self.wake();
        self.room.notify_one();
    }

    /// What the ledger wants of a body that comes.
    async fn follow(&self, effects: Vec<Effect>) -> Result<(), Refusal> {
        let (mut spills, mut passes, mut refused) = (false, false, None);
        for effect in &effects {
            match effect {
                Effect::Spill(id) if *id == self.id => spills = true,
                Effect::Pass(id) if *id == self.id => passes = true,
                Effect::Refuse(id, why) if *id == self.id => refused = Some(*why),
                _ => {}
            }
        }
        self.keeper.carry_out(effects);
        if let Some(why) = refused {
            self.store.replace(Store::Gone);
            self.break_off();
            return Err(why);
        }
        if passes {
            self.pass();
        }
        if spills {
            self.spill().await?;
        }
        Ok(())
    }

    /// From memory into a file. What is in memory is let go only once it is there.
    async fn spill(&self) -> Result<(), Refusal> {
        let pieces = match &*self.store.borrow() {
            Store::Memory(pieces) => join(pieces),
            _ => return Ok(()),
        };
        let spool = Spool::default();
        let written = match &self.keeper.threads {
            Some(threads) => threads.write(&spool, pieces).await,
            None => Err(Fault::Busy),
        };
        match written {
            Ok(()) => {
                self.store.replace(Store::File(spool, BytesMut::new()));
                self.tier.set(Tier::File);
                let effects = self.keeper.step(self.id, Input::Spilled);
                self.keeper.carry_out(effects);
                Ok(())
            }
            Err(fault) => self.fall(&fault),
        }
    }

    /// Chunks that are whole go to the file; of the last one, what there is.
    async fn write(&self, least: usize) -> Result<(), Refusal> {
        loop {
            let (spool, bytes) = match &mut *self.store.borrow_mut() {
                Store::File(spool, pending) if pending.len() >= least => {
                    let length = pending.len().min(CHUNK);
                    (spool.clone(), pending.split_to(length).freeze())
                }
                _ => return Ok(()),
            };
            let written = match &self.keeper.threads {
                Some(threads) => threads.write(&spool, vec![bytes.clone()]).await,
                None => Err(Fault::Busy),
            };
            if let Err(fault) = written {
                // What could not be written is here still, and so is what was to follow it.
                if let Store::File(_, pending) = &mut *self.store.borrow_mut() {
                    let rest = std::mem::replace(pending, BytesMut::from(&bytes[..]));
                    pending.extend_from_slice(&rest);
                }
                self.fall(&fault)?;
            }
        }
    }

    fn fall(&self, fault: &Fault) -> Result<(), Refusal> {
        self.keeper.note(fault);
        let effects = self.keeper.step(self.id, Input::SpoolFailed);
        let refused = effects.iter().find_map(|effect| match effect {
            Effect::Refuse(id, why) if *id == self.id => Some(*why),
            _ => None,
        });
        self.keeper.carry_out(effects);
        match refused {
            Some(why) => {
                self.store.replace(Store::Gone);
                self.break_off();
                Err(why)
            }
            None => {
                self.pass();
                Ok(())
            }
        }
    }

    /// What there is of it goes out once, and so does what comes.
    fn pass(&self) {
        let mut store = self.store.borrow_mut();
        let (kept, queue): (_, VecDeque<Bytes>) = match std::mem::replace(&mut *store, Store::Gone) {
            Store::Memory(pieces) => (None, pieces.into()),
            Store::File(spool, pending) => (Some((spool, 0)), [pending.freeze()].into()),
            passing => {
                *store = passing;
                return;
            }
        };
        let queued = queue.iter().map(|piece| piece.len() as u64).sum();
        *store = Store::Passing { kept, queue, queued };
        self.tier.set(Tier::NotKept);
        self.unkept.set(true);
    }

    fn queued(&self) -> u64 {
        match &*self.store.borrow() {
            Store::Passing { queued, .. } => *queued,
            _ => 0,
        }
    }

    fn spoil(&self) {
        self.spoilt.set(true);
        self.unkept.set(true);
        self.let_go();
    }

    fn wake(&self) {
        if let Some(waker) = self.reader.borrow_mut().take() {
            waker.wake();
        }
    }

    /// For one execution to send; none where it can't be sent any more.
    pub fn send(self: &Rc<Self>) -> Option<Outgoing> {
        if !self.may_be_sent() {
            return None;
        }
        if self.tier.get() == Tier::NotKept {
            self.taken.set(true);
        }
        let effects = self.keeper.step(self.id, Input::ReadBegan);
        self.keeper.carry_out(effects);
        let pace = Rc::new(Pace {
            moved: Cell::new(Instant::now()),
            waits: Cell::new(false),
            ended: Cell::new(false),
        });
        Some(Outgoing { body: self.clone(), at: 0, reading: None, in_turn: 0, pace })
    }

    /// What passes goes to one execution, and that has ended: nothing of it is wanted any more, and who pushes need not wait.
    pub fn abandon(&self) {
        if self.tier.get() == Tier::NotKept {
            self.abandoned.set(true);
            self.let_go();
        }
    }

    /// Nobody will ever read more of it.
    fn is_unwanted(&self) -> bool {
        self.spoilt.get() || self.abandoned.get()
    }

    fn let_go(&self) {
        if let Store::File(spool, _) | Store::Passing { kept: Some((spool, _)), .. } =
            self.store.replace(Store::Gone)
        {
            self.keeper.threads.iter().for_each(|threads| threads.drop_spool(spool.clone()));
        }
        self.wake();
        self.room.notify_one();
    }

    /// Whether it is not kept, as that stands from now on.
    pub fn unkept(&self) -> Rc<Cell<bool>> {
        self.unkept.clone()
    }

    /// Not a byte of the call it was for was written: what passes is given back.
    pub fn take_back(&self) {
        if self.tier.get() != Tier::NotKept || self.pieces.get() > 1 {
            return;
        }
        if let (Some(first), Store::Passing { queue, queued, .. }) =
            (self.first.borrow_mut().take(), &mut *self.store.borrow_mut())
        {
            *queued += first.len() as u64;
            queue.push_front(first);
        }
        self.pieces.set(0);
        self.taken.set(false);
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.keeper.bodies.borrow_mut().remove(&self.id);
        let effects = self.keeper.step(self.id, Input::Over);
        self.let_go();
        self.keeper.carry_out(effects);
    }
}

/// How sending goes on, for whoever waits for its end.
pub struct Pace {
    /// When a piece was last taken, or had been waited for.
    pub moved: Cell<Instant>,
    /// It waits for the client or a disk, and not for the engine.
    pub waits: Cell<bool>,
    /// All was taken.
    pub ended: Cell<bool>,
}

type Reading = Pin<Box<dyn Future<Output = Result<Bytes, Fault>>>>;

/// A body on its way to one engine.
pub struct Outgoing {
    body: Rc<Body>,
    at: usize,
    reading: Option<Reading>,
    /// Sent since others had their turn.
    in_turn: usize,
    pub pace: Rc<Pace>,
}

impl Outgoing {
    pub fn length(&self) -> Option<u64> {
        self.body.length()
    }

    fn read(&mut self, spool: Spool, number: usize) {
        let body = self.body.clone();
        self.reading = Some(Box::pin(async move {
            match &body.keeper.threads {
                Some(threads) => threads.read(&spool, number).await,
                None => Err(Fault::Busy),
            }
        }));
    }

    /// The next piece, if it is here; else what is to be waited for.
    fn next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            if let Some(reading) = &mut self.reading {
                let read = std::task::ready!(reading.as_mut().poll(cx));
                self.reading = None;
                return Poll::Ready(Some(read));
            }
            let body = self.body.clone();
            let mut store = body.store.borrow_mut();
            let whole = body.whole.get();
            match &mut *store {
                Store::Memory(pieces) => {
                    let piece = pieces.get(self.at).cloned();
                    self.at += 1;
                    return Poll::Ready(piece.map(Ok));
                }
                Store::File(spool, _) => {
                    if self.at >= spool.chunks() {
                        return Poll::Ready(None);
                    }
                    let (spool, at) = (spool.clone(), self.at);
                    self.at += 1;
                    drop(store);
                    self.read(spool, at);
                }
                Store::Passing { kept, queue, queued } => {
                    if let Some((spool, at)) = kept.take() {
                        if at < spool.chunks() {
                            *kept = Some((spool.clone(), at + 1));
                            drop(store);
                            self.read(spool, at);
                            continue;
                        }
                        body.keeper.threads.iter().for_each(|threads| threads.drop_spool(spool.clone()));
                    }
                    if let Some(piece) = queue.pop_front() {
                        *queued -= piece.len() as u64;
                        body.room.notify_one();
                        return Poll::Ready(Some(Ok(piece)));
                    }
                    if body.broken.get() {
                        return Poll::Ready(Some(Err(Fault::Io(io::ErrorKind::UnexpectedEof.into()))));
                    }
                    if whole {
                        return Poll::Ready(None);
                    }
                    *body.reader.borrow_mut() = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Store::Gone => return Poll::Ready(Some(Err(Fault::Checksum))),
            }
        }
    }
}

impl Stream for Outgoing {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let this = self.get_mut();
        if this.in_turn >= TURN {
            this.in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let next = this.next(cx);
        this.pace.waits.set(next.is_pending());
        this.pace.moved.set(Instant::now());
        match next {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                this.pace.ended.set(true);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(piece))) => {
                this.in_turn += piece.len();
                let body = &this.body;
                body.pieces.set(body.pieces.get().saturating_add(1));
                // Kept only until a second one is taken: by then the first has been written.
                let first =
                    (body.tier.get() == Tier::NotKept && body.pieces.get() == 1).then(|| piece.clone());
                body.first.replace(first);
                Poll::Ready(Some(Ok(piece)))
            }
            Poll::Ready(Some(Err(fault))) => {
                // A client that left spoils nothing that is kept; a file that is wrong does.
                if !this.body.broken.get() {
                    this.body.keeper.note(&fault);
                    let effects = this.body.keeper.step(this.body.id, Input::ReadFailed);
                    this.body.keeper.carry_out(effects);
                }
                Poll::Ready(Some(Err(io::Error::other(fault.to_string()))))
            }
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let effects = self.body.keeper.step(self.body.id, Input::ReadEnded);
        self.body.keeper.carry_out(effects);
        if self.body.tier.get() == Tier::NotKept && self.body.pieces.get() > 1 {
            self.body.abandon();
        }
    }
}
