//! Fetches the result of a completed execution.

use super::*;

impl EngineClient {
    /// Collects all pages of a result. A result with a page that is missing, unreadable or not proven complete
    /// does not count as completed.
    pub(super) async fn fetch(
        &self,
        channel: &mut EngineChannel<'_>,
        id: &str,
        first: &Reply,
        count: usize,
    ) -> Result<ExecutionResult, FetchError> {
        let work = first.parsed_header::<f64>("Work-Ms").filter(|ms| *ms >= 0.0 && ms.is_finite());
        let mem =
            first.parsed_header::<f64>("Peak-Mb").filter(|mb| *mb >= 0.0 && mb.is_finite()).unwrap_or(0.0);
        let consumed = work.map(|ms| (Duration::from_secs_f64((ms / 1e3).min(1e6)), mem));
        // The first page is part of an ordinary result.
        let mut pages = ResultPages::start(count, Bytes::copy_from_slice(&first.body))?;
        let mut position = channel.last_answer();
        loop {
            let is_proven = || position.as_ref().is_some_and(AnswerPosition::is_proven_complete);
            if is_proven() {
                pages.settle_unproven(true);
            }
            let Some(number) = pages.next_request() else { break };
            let call = self.request_page(channel, id, number, pages.count_call()?).await;
            pages.settle_unproven(is_proven());
            let reply = match call {
                CallResult::Answered(reply) => reply,
                CallResult::Replaced => return Err(FetchError::Gone),
                _ => continue,
            };
            position = channel.last_answer();
            let is_page = match number {
                0 => match self.classify(&reply) {
                    ExecutionState::Completed(pages) if pages == count => true,
                    ExecutionState::Completed(_) => return Err(FetchError::Malformed),
                    _ => false,
                },
                _ => reply.status == StatusCode::OK && reply.parsed_header("Page-No") == Some(number),
            };
            if pages.has(number) {
                continue;
            }
            if reply.status != StatusCode::OK {
                return Err(FetchError::Gone);
            }
            let page = match number {
                0 => Bytes::copy_from_slice(&reply.body),
                _ => self.call_memory.count_page(&reply.body).await,
            };
            // The answer to another call, or corrupted on its way: the next answer on this connection could be
            // as wrong.
            if !is_page || !pages.receive(number, page) {
                channel.discard_connection();
                continue;
            }
            if pages.byte_len() > self.bounds.result {
                return Err(FetchError::Gone);
            }
        }
        Ok(ExecutionResult {
            outcome: Outcome::Completed,
            pages: pages.finish(),
            consumed,
            report: self.report(first),
            unread: false,
        })
    }

    /// Requests a page, after `failures` calls in a row that brought no progress.
    async fn request_page(
        &self,
        channel: &mut EngineChannel<'_>,
        id: &str,
        number: usize,
        failures: usize,
    ) -> CallResult {
        if failures > 0 {
            self.count_retry();
        }
        if failures > 1 {
            sleep(RETRY_PAUSE).await;
        }
        let within = match failures.checked_sub(1) {
            None => PAGE_TIMEOUT,
            Some(unanswered) => response_timeout(unanswered as u32),
        };
        self.get(channel, id, number, within).await
    }
}
