//! The memory of arriving calls on the side of the connections: each connection's claim, and the decisions on
//! all of them. What is decided stands in `bramblewharf::call_memory`.

use actix_rt::time::timeout;
use bramblewharf::call_memory::{Arriving, CallMemory, ConnectionNumber, Effect};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which the decisions are looked at again while a connection waits.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// The memory of the calls that are arriving on all connections.
pub struct CallMemoryBook {
    decisions: RefCell<CallMemory>,
    start: Instant,
    next_number: Cell<ConnectionNumber>,
    changed: Notify,
}

impl CallMemoryBook {
    /// `capacity`: bytes for all calls together.
    pub fn new(capacity: u64) -> Rc<CallMemoryBook> {
        Rc::new(CallMemoryBook {
            decisions: RefCell::new(CallMemory::new(capacity)),
            start: Instant::now(),
            next_number: Cell::new(0),
            changed: Notify::new(),
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
            self.changed.notified().await;
        } else {
            let _ = timeout(REVIEW_INTERVAL, self.changed.notified()).await;
        }
        self.decisions.borrow_mut().review(self.start.elapsed())
    }

    fn hold(&self, number: ConnectionNumber, bytes: u64) -> bool {
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

    /// Returns once the call is rejected.
    pub async fn wait_for_rejection(&self) {
        while !self.is_rejected.get() {
            self.decided.notified().await;
        }
    }

    /// The call has arrived, and is not rejected any more.
    pub fn mark_arrived(&self) {
        if self.granted.get() > 0 {
            self.book.decisions.borrow_mut().mark_complete(self.number);
        }
    }

    /// The call is over; the buffer that its head needed stays.
    pub fn end_call(&self) {
        let head_bytes = self.arriving.get().head_bytes;
        self.waits.set(false);
        self.update(|arriving| *arriving = Arriving { head_bytes, ..Arriving::default() });
        if self.granted.get() > 0 {
            let now = self.book.start.elapsed();
            self.book.decisions.borrow_mut().mark_idle(now, self.number);
        }
    }

    /// The memory that was waited for is granted.
    pub fn resume(&self) {
        self.waits.set(false);
        self.granted.set(self.wanted.get());
        self.decided.notify_one();
    }

    /// The call gives its memory up.
    pub fn reject(&self) {
        self.is_rejected.set(true);
        self.decided.notify_one();
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        if self.granted.get() > 0 || self.waits.get() {
            self.book.release(self.number, 0);
        }
    }
}
