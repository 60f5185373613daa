//! Collects the pages of a result. A page counts only once what followed its answer on the same connection has
//! proven that the answer was complete: a declared length that is too short looks like a good answer.

use bytes::Bytes;

/// How often in a row a call may bring no progress.
const MAX_FAILURES: usize = 8;

/// Why a result can't be returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// It is no longer available, or none of its pages could be proven complete in time.
    Gone,
    /// The answers are malformed or contradict each other; the result may be requested again.
    Malformed,
}

/// The pages of a result so far.
pub struct ResultPages {
    /// None while no complete answer brought the page.
    pages: Vec<Option<Bytes>>,
    /// The page that was received last, as long as nothing proves that it is complete.
    unproven: Option<UnprovenPage>,
    /// The number of columns, once a row is proven.
    columns: Option<usize>,
    failures: usize,
}

struct UnprovenPage {
    number: usize,
    page: Bytes,
    columns: Option<usize>,
}

impl ResultPages {
    /// Starts with the first page of a result of `count` pages.
    pub fn start(count: usize, first: Bytes) -> Result<ResultPages, FetchError> {
        let mut pages = ResultPages { pages: vec![None; count], unproven: None, columns: None, failures: 0 };
        match pages.receive(0, first) {
            true => Ok(pages),
            false => Err(FetchError::Malformed),
        }
    }

    /// The page to request next; none once the result is complete. The call for a page that is still missing
    /// also shows what follows the one before it; behind the last one the first page is requested again, as
    /// the engine repeats it.
    pub fn next_request(&self) -> Option<usize> {
        let unproven = self.unproven.as_ref().map(|unproven| unproven.number);
        let is_missing = |number: &usize| self.pages[*number].is_none() && Some(*number) != unproven;
        let missing = (0..self.pages.len()).find(is_missing);
        missing.or(unproven.map(|_| 0))
    }

    /// Whether the page was already received and proven.
    pub fn has(&self, number: usize) -> bool {
        self.pages[number].is_some()
    }

    /// What followed the page that was received last has proven it complete, or can't do so any more: then
    /// the page is requested again.
    pub fn settle_unproven(&mut self, is_complete: bool) {
        let Some(UnprovenPage { number, page, columns }) = self.unproven.take() else { return };
        if is_complete {
            self.pages[number] = Some(page);
            self.columns = columns;
            self.failures = 0;
        }
    }

    /// Receives a page that is not proven complete yet. Returns whether it is well-formed.
    pub fn receive(&mut self, number: usize, page: Bytes) -> bool {
        let mut columns = self.columns;
        let is_well_formed = is_well_formed_page(&page, &mut columns);
        if is_well_formed {
            self.unproven = Some(UnprovenPage { number, page, columns });
        }
        is_well_formed
    }

    /// A call is about to be made; fails after too many without progress.
    pub fn count_call(&mut self) -> Result<usize, FetchError> {
        let failures = self.failures;
        self.failures += 1;
        match failures <= MAX_FAILURES {
            true => Ok(failures),
            false => Err(FetchError::Gone),
        }
    }

    /// The bytes of all pages so far.
    pub fn byte_len(&self) -> usize {
        let unproven = self.unproven.iter().map(|unproven| &unproven.page);
        self.pages.iter().flatten().chain(unproven).map(Bytes::len).sum()
    }

    /// All pages in order, once the result is complete.
    pub fn finish(self) -> Vec<Bytes> {
        self.pages.into_iter().flatten().collect()
    }
}

/// Whether a page consists of complete rows, all with the same number of columns.
fn is_well_formed_page(page: &[u8], columns: &mut Option<usize>) -> bool {
    let Ok(text) = std::str::from_utf8(page) else { return false };
    if !text.is_empty() && !text.ends_with('\n') {
        return false;
    }
    text.split_terminator('\n').all(|row| {
        let count = row.split('\t').count();
        *columns.get_or_insert(count) == count
    })
}

#[cfg(test)]
mod tests;
