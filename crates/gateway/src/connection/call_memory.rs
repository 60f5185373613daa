//! The memory of calls on the side of the connections: each connection's claim, what texts and results hold, and
//! the decisions on all of them. What is decided stands in `bramblewharf::call_memory`.

use actix_rt::time::timeout;
use bramblewharf::call_memory::{
    Arriving, CallMemory, ConnectionNumber, Effect, ANSWER_WAIT, ORDINARY_TEXT_BYTES,
};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which the decisions are looked at again while a connection waits.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// The memory of the calls that are arriving on all connections.
pub struct CallMemoryBook {
    decisions: RefCell<CallMemory>,
    start: Instant,
    next_number: Cell<ConnectionNumber>,
    changed: Arc<Changed>,
    /// Results that wait for memory, by the number that they ask with.
    results: RefCell<BTreeMap<ConnectionNumber, Rc<WaitingResult>>>,
}

/// Memory that was given back by other owners than connections, and the signal to look at it.
#[derive(Default)]
struct Changed {
    given_back: AtomicU64,
    notify: Notify,
}

impl Changed {
    fn notify_one(&self) {
        self.notify.notify_one();
    }
}

#[derive(Default)]
struct WaitingResult {
    is_granted: Cell<bool>,
    granted: Notify,
}

/// Memory that is given back when this is dropped, by whichever owner.
struct DetachedMemory {
    bytes: u64,
    changed: Arc<Changed>,
}

impl Drop for DetachedMemory {
    fn drop(&mut self) {
        self.changed.given_back.fetch_add(self.bytes, Ordering::Relaxed);
        self.changed.notify_one();
    }
}

/// Bytes whose memory is counted until their last copy is dropped.
struct CountedBytes {
    bytes: Bytes,
    _memory: DetachedMemory,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl CallMemoryBook {
    /// `capacity`: bytes for all calls together.
    pub fn new(capacity: u64) -> Rc<CallMemoryBook> {
        Rc::new(CallMemoryBook {
            decisions: RefCell::new(CallMemory::new(capacity)),
            start: Instant::now(),
            next_number: Cell::new(0),
            changed: Arc::default(),
            results: RefCell::default(),
        })
    }

    /// The claim of a new connection.
    pub fn claim(self: &Rc<Self>) -> MemoryClaim {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        MemoryClaim {
            book: self.clone(),
            number,
            arriving: Cell::default(),
            granted: Cell::new(0),
            wanted: Cell::new(0),
            waits: Cell::new(false),
            is_rejected: Cell::new(false),
            is_complete: Cell::new(false),
            decided: Notify::new(),
        }
    }

    /// Bytes granted at present.
    pub fn granted(&self) -> u64 {
        self.decisions.borrow().granted()
    }

    /// Connections that wait for memory.
    pub fn waiting(&self) -> usize {
        self.decisions.borrow().waiting()
    }

    /// Calls rejected for want of memory, since the start.
    pub fn rejected(&self) -> u64 {
        self.decisions.borrow().rejected()
    }

    /// The next decisions, once something has changed or others may be due.
    pub async fn next_effects(&self) -> Vec<Effect> {
        if self.decisions.borrow().waiting() == 0 {
            self.changed.notify.notified().await;
        } else {
            let _ = timeout(REVIEW_INTERVAL, self.changed.notify.notified()).await;
        }
        self.collect_given_back();
        let effects = self.decisions.borrow_mut().review(self.start.elapsed());
        for effect in &effects {
            let Effect::Resume(number) = effect else { continue };
            if let Some(result) = self.results.borrow_mut().remove(number) {
                result.is_granted.set(true);
                result.granted.notify_one();
            }
        }
        effects
    }

    fn collect_given_back(&self) {
        let bytes = self.changed.given_back.swap(0, Ordering::Relaxed);
        self.decisions.borrow_mut().give_back(bytes);
    }

    /// A page of a result, in a buffer of its own that is counted; returns once there is memory for it.
    pub async fn count_page(&self, page: &[u8]) -> Bytes {
        let bytes = page.len() as u64;
        let asking = AskingResult { book: self, number: self.next_number.get() };
        self.next_number.set(asking.number + 1);
        if !self.hold(asking.number, bytes) {
            self.decisions.borrow_mut().set_complete(asking.number, true);
            let waiting = Rc::new(WaitingResult::default());
            self.results.borrow_mut().insert(asking.number, waiting.clone());
            while !waiting.is_granted.get() {
                waiting.granted.notified().await;
            }
        }
        self.detached(asking.number, bytes, Bytes::copy_from_slice(page))
    }

    /// These bytes, counted with memory that was granted to this number.
    fn detached(&self, number: ConnectionNumber, memory: u64, bytes: Bytes) -> Bytes {
        self.decisions.borrow_mut().detach(number, memory);
        let memory = DetachedMemory { bytes: memory, changed: self.changed.clone() };
        Bytes::from_owner(CountedBytes { bytes, _memory: memory })
    }

    fn hold(&self, number: ConnectionNumber, bytes: u64) -> bool {
        self.collect_given_back();
        let is_granted = self.decisions.borrow_mut().hold(self.start.elapsed(), number, bytes);
        if !is_granted {
            self.changed.notify_one();
        }
        is_granted
    }

    fn release(&self, number: ConnectionNumber, bytes: u64) {
        let mut decisions = self.decisions.borrow_mut();
        decisions.release(number, bytes);
        if decisions.waiting() > 0 {
            self.changed.notify_one();
        }
    }
}

/// A result that asks for memory. Dropping it withdraws what was not detached.
struct AskingResult<'a> {
    book: &'a CallMemoryBook,
    number: ConnectionNumber,
}

impl Drop for AskingResult<'_> {
    fn drop(&mut self) {
        self.book.results.borrow_mut().remove(&self.number);
        self.book.release(self.number, 0);
    }
}

/// What one connection holds, and has been granted, of that memory. Dropping it releases all.
pub struct MemoryClaim {
    book: Rc<CallMemoryBook>,
    number: ConnectionNumber,
    arriving: Cell<Arriving>,
    granted: Cell<u64>,
    wanted: Cell<u64>,
    /// A grant is outstanding: nothing more is taken in.
    waits: Cell<bool>,
    /// The call is rejected, as others need the memory.
    is_rejected: Cell<bool>,
    /// No call is arriving that could be rejected.
    is_complete: Cell<bool>,
    /// Wakes all who wait: one task may wait for the grant and for the rejection.
    decided: Notify,
}

impl MemoryClaim {
    /// The number of the connection in decisions.
    pub fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Whether a grant is outstanding.
    pub fn waits(&self) -> bool {
        self.waits.get()
    }

    /// Changes what the connection holds. False if it may take in nothing more until the memory is granted.
    pub fn update(&self, change: impl FnOnce(&mut Arriving)) -> bool {
        let mut arriving = self.arriving.get();
        change(&mut arriving);
        self.arriving.set(arriving);
        let (needed, granted) = (arriving.extra_memory(), self.granted.get());
        if needed < granted && !self.waits.get() {
            self.granted.set(needed);
            self.book.release(self.number, needed);
        } else if needed > granted {
            self.wanted.set(needed);
            self.waits.set(!self.book.hold(self.number, needed));
            self.set_complete(self.is_complete.get());
            if !self.waits.get() {
                self.granted.set(needed);
            }
        }
        !self.waits.get()
    }

    /// These lines are put back: they are counted again when they are read again, and their memory stays asked
    /// for until then.
    pub fn put_lines_back(&self, head_lines: usize, body_lines: usize) {
        let mut arriving = self.arriving.get();
        arriving.head_lines -= head_lines;
        arriving.body_lines -= body_lines;
        self.arriving.set(arriving);
    }

    /// Changes what the connection holds once the memory is granted. False if the call is rejected instead.
    pub async fn acquire(&self, change: impl FnOnce(&mut Arriving)) -> bool {
        let mut is_granted = self.update(change);
        while !is_granted && !self.is_rejected.get() {
            self.decided.notified().await;
            is_granted = !self.waits.get();
        }
        !self.is_rejected.get()
    }

    /// Waits until there is memory for an answer of this length; false if there is none in time. The call is
    /// complete, so that it is not rejected meanwhile.
    pub async fn acquire_answer(&self, length: usize) -> bool {
        let before = self.arriving.get();
        let mut is_granted =
            self.update(|arriving| arriving.answer_bytes = arriving.answer_bytes.max(length));
        self.set_complete(true);
        let granted = async {
            while !is_granted {
                self.decided.notified().await;
                is_granted = !self.waits.get();
            }
        };
        let in_time = timeout(ANSWER_WAIT, granted).await.is_ok();
        if !in_time {
            self.waits.set(false);
            self.arriving.set(before);
            self.book.release(self.number, self.granted.get());
        }
        in_time
    }

    /// Returns once the call is rejected.
    pub async fn wait_for_rejection(&self) {
        while !self.is_rejected.get() {
            self.decided.notified().await;
        }
    }

    /// The text, once it has arrived. What it holds beyond an ordinary text is counted until it is dropped.
    pub fn detach_text(&self, text: Bytes) -> Bytes {
        let mut arriving = self.arriving.get();
        let extra = arriving.text_bytes.saturating_sub(ORDINARY_TEXT_BYTES) as u64;
        if extra == 0 || extra > self.granted.get() {
            return text;
        }
        arriving.text_bytes = 0;
        self.arriving.set(arriving);
        self.granted.set(self.granted.get() - extra);
        self.book.detached(self.number, extra, text)
    }

    /// Whether the call is complete, or nothing of it is received: it is not rejected then.
    pub fn set_complete(&self, is_complete: bool) {
        self.is_complete.set(is_complete);
        if self.granted.get() > 0 || self.waits.get() {
            self.book.decisions.borrow_mut().set_complete(self.number, is_complete);
        }
    }

    /// The call is over; the buffers that its head and its answer needed stay.
    pub fn end_call(&self) {
        let Arriving { head_bytes, answer_bytes, .. } = self.arriving.get();
        self.waits.set(false);
        self.is_complete.set(false);
        self.update(|arriving| *arriving = Arriving { head_bytes, answer_bytes, ..Arriving::default() });
        self.mark_idle();
    }

    /// The connection carries no call, or its answer is still being written: what it holds may be taken back,
    /// but not at once.
    pub fn mark_idle(&self) {
        if self.granted.get() > 0 {
            let now = self.book.start.elapsed();
            self.book.decisions.borrow_mut().mark_idle(now, self.number);
        }
    }

    /// The memory that was waited for is granted.
    pub fn resume(&self) {
        self.waits.set(false);
        self.granted.set(self.wanted.get());
        self.decided.notify_waiters();
    }

    /// The call gives its memory up.
    pub fn reject(&self) {
        self.is_rejected.set(true);
        self.decided.notify_waiters();
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        if self.granted.get() > 0 || self.waits.get() {
            self.book.release(self.number, 0);
        }
    }
}
