//! Counts the allocations of one thread. A program with `CountingAllocator` as its global allocator counts
//! only on threads that ask for it; every other allocation costs the check of a thread-local flag.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::hint::black_box;

/// Number of allocations, their bytes, and the bytes retained: freed bytes are subtracted, whichever thread
/// allocated them.
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

/// The system allocator with counters.
pub struct CountingAllocator;

fn count(bytes: usize, freed: usize) {
    // A thread that ends may free memory after its thread-local values are destroyed.
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

// SAFETY: every call is forwarded unchanged to the system allocator.
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

    // The default implementation would copy where the system allocator can grow in place.
    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        count(size, layout.size());
        System.realloc(at, layout, size)
    }
}

/// Runs `work` and returns what this thread allocated meanwhile; all zero in a program with another
/// allocator, see `is_counting`.
pub fn count_during<T>(work: impl FnOnce() -> T) -> (T, Allocated) {
    let before = TOTALS.get();
    COUNTING_ENABLED.set(true);
    let result = work();
    COUNTING_ENABLED.set(false);
    let after = TOTALS.get();
    let counted = Allocated {
        calls: after.calls - before.calls,
        bytes: after.bytes - before.bytes,
        retained: after.retained - before.retained,
    };
    (result, counted)
}

/// Whether this program counts allocations; if not, a count of zero means unknown.
pub fn is_counting() -> bool {
    count_during(|| drop(black_box(Box::new(1u64)))).1.calls > 0
}
