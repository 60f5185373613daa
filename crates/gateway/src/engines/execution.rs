//! Follows one execution from its first call to its end.

use super::*;

/// What is known of an execution while it has not ended.
#[derive(Default)]
struct Progress {
    /// Its first call is over: the engine may have the statement.
    started: bool,
    /// The engine has shown that it received the statement.
    arrived: bool,
    /// The connection fell silent, and nothing shows that the engine has read the statement.
    unread: bool,
    /// The first call brought no answer.
    lost: bool,
    /// The engine has said once that it does not know the execution.
    unknown: bool,
    failures_in_a_row: u32,
    malformed_answers: usize,
    contacts: ContactHistory,
}

impl Progress {
    fn record_failure(&mut self, call: &CallResult) {
        self.lost |= !self.started;
        self.unread |= !self.started && matches!(call, CallResult::TimedOut);
        // No connection can be established to a machine that is cut off: what it had not received is not
        // delivered any more, as its connection was reset, and what it had received it has read. A refusal
        // shows neither.
        self.unread &= !matches!(call, CallResult::NotSent(false));
        self.failures_in_a_row += 1;
    }
}

impl EngineClient {
    /// Runs one execution to its end; `on_update` receives its arrival and the notes of the engine.
    pub async fn run(&self, dispatch: Dispatch<'_>, on_update: impl Fn(ExecutionUpdate)) -> ExecutionResult {
        let mut channel = EngineChannel::new(dispatch.target);
        let result = self.run_on(&mut channel, &dispatch, on_update).await;
        let connection = channel.connection.take().filter(|connection| connection.is_reusable());
        if let Some(stream) = connection.and_then(|connection| connection.take_stream()) {
            let destination = dispatch.target.destination.clone();
            let since = Instant::now();
            self.idle_connections.borrow_mut().push_back(IdleConnection { destination, since, stream });
        }
        result
    }

    async fn run_on<'a>(
        &self,
        channel: &mut EngineChannel<'a>,
        dispatch: &Dispatch<'a>,
        on_update: impl Fn(ExecutionUpdate),
    ) -> ExecutionResult {
        let id = String::from_utf8_lossy(&dispatch.engine_request.id);
        let mut call = self.first_call(channel, dispatch, &id).await;
        let mut progress = Progress::default();
        let mut asked = Instant::now();
        loop {
            let proves_end = call.proves_end(&mut progress.contacts, asked, dispatch.target);
            let ended = match call {
                CallResult::Answered(reply) => {
                    self.process_answer(channel, dispatch, &id, (&reply, asked), &mut progress, &on_update)
                        .await
                }
                failed => self.process_failure(failed, proves_end, dispatch, &id, &mut progress).await,
            };
            if let Some(result) = ended {
                return result;
            }
            progress.started = true;
            asked = Instant::now();
            call = self.get(channel, &id, 0, response_timeout(progress.failures_in_a_row)).await;
            let is_running = matches!(&call, CallResult::Answered(r) if r.status == StatusCode::ACCEPTED);
            if is_running && asked.elapsed() < MIN_POLL_DURATION {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends the statement. Returns the answer to it, or of a poll on another connection where that has the
    /// result sooner.
    async fn first_call<'a>(
        &self,
        channel: &mut EngineChannel<'a>,
        dispatch: &Dispatch<'a>,
        id: &str,
    ) -> CallResult {
        let mut second = EngineChannel::new(dispatch.target);
        let first = tokio::select! {
            biased;
            call = self.post(channel, dispatch) => Ok(call),
            reply = self.poll_on_second_connection(&mut second, id) => Err(reply),
        };
        first.unwrap_or_else(|reply| {
            std::mem::swap(channel, &mut second);
            CallResult::Answered(reply)
        })
    }

    /// Processes a call without an answer; returns the result if the execution has ended with it.
    async fn process_failure(
        &self,
        call: CallResult,
        proves_end: bool,
        dispatch: &Dispatch<'_>,
        id: &str,
        progress: &mut Progress,
    ) -> Option<ExecutionResult> {
        match call {
            CallResult::NoCapacity if !progress.started => return Some(Outcome::Skipped.into()),
            // The engine is not at fault. It cannot have run an incomplete body, but nothing proves that.
            CallResult::BodyFailed => {
                self.cancel_unusable(dispatch, id).await;
                return Some(Outcome::Cancelled.into());
            }
            CallResult::NotSent(_) if !progress.started => return Some(Outcome::Refused.into()),
            CallResult::Replaced if !progress.started => return Some(Outcome::Skipped.into()),
            // The engine is gone, and the execution with it.
            CallResult::Replaced => return Some(Outcome::Reset.into()),
            CallResult::NotSent(_) if proves_end => return Some(Outcome::Reset.into()),
            // The execution may run on, but the next attempt may run beside it.
            CallResult::NotSent(true) if !self.one_at_a_time => return Some(Outcome::Reset.into()),
            _ => {}
        }
        self.count_retry();
        progress.record_failure(&call);
        if progress.failures_in_a_row > 1 {
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Processes an answer; returns the result if the execution has ended with it.
    async fn process_answer(
        &self,
        channel: &mut EngineChannel<'_>,
        dispatch: &Dispatch<'_>,
        id: &str,
        (reply, asked): (&Reply, Instant),
        progress: &mut Progress,
        on_update: &impl Fn(ExecutionUpdate),
    ) -> Option<ExecutionResult> {
        progress.failures_in_a_row = 0;
        let state = self.classify(reply);
        let is_known = !matches!(state, ExecutionState::Failed(Outcome::Error));
        let listing = (dispatch.target.listing)();
        if progress.contacts.answer_proves_end(asked, is_known, listing) {
            return Some(Outcome::Reset.into());
        }
        match state {
            ExecutionState::Running(note) => {
                if !std::mem::replace(&mut progress.arrived, true) {
                    on_update(ExecutionUpdate::Arrived);
                }
                progress.unread = false;
                note.into_iter().for_each(|note| on_update(ExecutionUpdate::Note(note)));
            }
            ExecutionState::Failed(outcome) => {
                if let Some(outcome) = self.confirm_failure(outcome, progress).await {
                    let unread = progress.unread && outcome == Outcome::Reset;
                    return Some(ExecutionResult { report: self.report(reply), unread, ..outcome.into() });
                }
            }
            ExecutionState::Completed(pages) => match self.fetch(channel, id, reply, pages).await {
                Ok(result) => return Some(result),
                Err(FetchError::Gone) => {
                    return Some(ExecutionResult { report: self.report(reply), ..Outcome::Error.into() });
                }
                Err(FetchError::Malformed) => progress.malformed_answers += 1,
            },
            ExecutionState::Malformed => progress.malformed_answers += 1,
        }
        if progress.malformed_answers > 0 {
            self.count_retry();
            channel.discard_connection();
        }
        if progress.malformed_answers >= MAX_TRIES {
            self.cancel_unusable(dispatch, id).await;
            return Some(Outcome::Error.into());
        }
        None
    }

    /// The outcome of an execution that its engine says has failed; none if the engine may not know it yet
    /// and has to be asked again.
    async fn confirm_failure(&self, outcome: Outcome, progress: &mut Progress) -> Option<Outcome> {
        if outcome != Outcome::Error {
            return Some(outcome);
        }
        // The request may wait unread at the engine for an unknown time, or still be on its way, so that the
        // next attempt would run beside it.
        let may_arrive = progress.unread || (progress.lost && !progress.unknown);
        if may_arrive && self.one_at_a_time {
            progress.unknown |= !progress.unread;
            sleep(REUSE_DELAY).await;
            return None;
        }
        // An engine that does not know the execution may never have received it completely; the path is at
        // fault.
        Some(if progress.lost { Outcome::Reset } else { outcome })
    }

    /// Polls for a statement whose own answer is slow, and returns only once it has completed: while the
    /// request may still be on its way, other answers mean nothing. Leaves connections for executions that
    /// have none yet.
    async fn poll_on_second_connection(&self, channel: &mut EngineChannel<'_>, id: &str) -> Reply {
        sleep(SECOND_POLL_DELAY).await;
        let recently_retried = self.last_retry.get().is_some_and(|at| at.elapsed() < SECOND_POLL_PERIOD);
        for _ in 0..MAX_TRIES {
            if !recently_retried || self.connections() >= self.bounds.engines * 3 / 4 {
                break;
            }
            match self.get(channel, id, 0, RESPONSE_TIMEOUT).await {
                CallResult::Answered(reply)
                    if matches!(self.classify(&reply), ExecutionState::Completed(_)) =>
                {
                    return reply
                }
                CallResult::ConnectionLost | CallResult::TimedOut => {}
                _ => break,
            }
        }
        std::future::pending().await
    }
}
