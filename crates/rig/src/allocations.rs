//! What one thread allocates, for whoever measures: a program that has `CountingAllocator` as its allocator counts only where
//! a thread asks for it; every other pays one look at a flag of its own.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::hint::black_box;

/// Allocations made, their bytes, and bytes retained: those given back are taken off, whoever made them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocated {
    pub calls: u64,
    pub bytes: u64,
    pub retained: i64,
}

thread_local! {
    static COUNTING_ENABLED: Cell<bool> = const { Cell::new(false) };
    static TOTALS: Cell<Allocated> = const { Cell::new(Allocated { calls: 0, bytes: 0, retained: 0 }) };
}

pub struct CountingAllocator;

fn count(bytes: usize, freed: usize) {
    // A thread that ends may free more after its own values are gone.
    if !COUNTING_ENABLED.try_with(Cell::get).unwrap_or(false) {
        return;
    }
    let _ = TOTALS.try_with(|totals| {
        let mut sum = totals.get();
        sum.calls += u64::from(bytes > 0);
        sum.bytes += bytes as u64;
        sum.retained += bytes as i64 - freed as i64;
        totals.set(sum);
    });
}

// Guards nothing: it adds a count to the system's own allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size(), 0);
        System.alloc(layout)
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        count(layout.size(), 0);
        System.alloc_zeroed(layout)
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        count(0, layout.size());
        System.dealloc(at, layout)
    }

    // Without this one the system's would copy what it can grow in place.
    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        count(size, layout.size());
        System.realloc(at, layout, size)
    }
}

/// What this thread allocates while `work` is done. All zero where the program has another allocator: see
/// `is_counting`.
pub fn count_during<T>(work: impl FnOnce() -> T) -> (T, Allocated) {
    let before = TOTALS.get();
    COUNTING_ENABLED.set(true);
    let done = work();
    COUNTING_ENABLED.set(false);
    let after = TOTALS.get();
    let counted = Allocated {
        calls: after.calls - before.calls,
        bytes: after.bytes - before.bytes,
        retained: after.retained - before.retained,
    };
    (done, counted)
}

/// Whether this program counts: a figure that nobody counted is not zero but unknown.
pub fn is_counting() -> bool {
    count_during(|| drop(black_box(Box::new(1u64)))).1.calls > 0
}
