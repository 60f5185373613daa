//! Cancels executions at their engines, and finds out whether engines have read what was sent to them.

use super::*;

impl EngineClient {
    /// Cancels an execution, and returns what is known of it then. A failed call may not have arrived, and is
    /// retried.
    pub async fn stop(&self, target: EngineTarget<'_>, id: &str, cancel: Cancel) -> CancelOutcome {
        let uri = format!("http://{}/x/{id}", target.destination.address);
        let delete = |client: &Client| client.delete(&uri);
        let (began, mut pause, mut arrived) = (Instant::now(), RETRY_PAUSE, cancel.arrived);
        let (mut answered, mut unanswered): (Option<Instant>, u32) = (None, 0);
        let (mut unreachable, mut connected) = (false, false);
        let mut contacts = ContactHistory::default();
        // An engine may read a cancel before the statement that it is for, which would then start.
        let check_arrival = cancel.awaited;
        while began.elapsed() < cancel.within {
            let checking = check_arrival && !arrived;
            let asked = Instant::now();
            let call = match checking {
                true => self.get(&mut EngineChannel::new(target), id, 0, response_timeout(unanswered)).await,
                false => {
                    self.call(
                        &mut EngineChannel::new(target),
                        delete,
                        &EMPTY_BODY,
                        response_timeout(unanswered),
                        UNGUARDED,
                    )
                    .await
                }
            };
            unanswered += u32::from(!matches!(call, CallResult::Answered(_)));
            let proves_end = call.proves_end(&mut contacts, asked, target);
            unreachable |= matches!(call, CallResult::NotSent(false));
            connected |= !matches!(call, CallResult::NotSent(_) | CallResult::NoCapacity);
            let has_read = matches!(call, CallResult::Answered(_))
                && answered.is_some_and(|first| asked >= first + READ_BOUND);
            match call {
                CallResult::Answered(reply) if checking => {
                    arrived = matches!(
                        self.classify(&reply),
                        ExecutionState::Running(_) | ExecutionState::Completed(_)
                    );
                    if contacts.answer_proves_end(asked, arrived, (target.listing)()) {
                        return CancelOutcome::Gone;
                    }
                    answered.get_or_insert(asked);
                    if arrived {
                        continue;
                    }
                    if unreachable && has_read {
                        return CancelOutcome::CutOff;
                    }
                }
                CallResult::Answered(_) if arrived => return CancelOutcome::Over,
                // Nothing waits for the result: one cancel is enough.
                CallResult::Answered(_) => return CancelOutcome::Unread,
                CallResult::Replaced => return CancelOutcome::Gone,
                CallResult::NotSent(true) if proves_end => return CancelOutcome::Gone,
                CallResult::NotSent(false) if proves_end => return CancelOutcome::CutOff,
                // Nothing waits for the end of the execution, which nobody asks for any more.
                CallResult::NotSent(true) if !cancel.awaited => return CancelOutcome::Gone,
                // Where concurrent executions are allowed nothing waits for the cancel, and it must not take
                // connections from calls that are waited for.
                _ if !self.one_at_a_time && self.connections() >= self.bounds.engines * 3 / 4 => break,
                _ if check_arrival && unreachable && !connected && began.elapsed() >= MIN_CANCEL_WINDOW => {
                    return CancelOutcome::CutOff;
                }
                _ => {}
            }
            sleep(if answered.is_some() { READ_BOUND } else { pause }).await;
            pause = (pause * 2).min(MAX_CANCEL_PAUSE);
        }
        answered.map_or(CancelOutcome::Unknown, |_| CancelOutcome::Unread)
    }

    /// Whether an engine has read all that was sent to it before, as it answers two calls that are
    /// `READ_BOUND` apart, or its process is gone. `name` is the id of no statement.
    pub async fn confirm_reads(&self, target: EngineTarget<'_>, name: &str, within: Duration) -> bool {
        let (began, mut unanswered) = (Instant::now(), 0);
        let mut answered: Option<Instant> = None;
        let mut contacts = ContactHistory::default();
        while began.elapsed() < within {
            let asked = Instant::now();
            let call = self.get(&mut EngineChannel::new(target), name, 0, response_timeout(unanswered)).await;
            let proves_end = call.proves_end(&mut contacts, asked, target);
            match call {
                CallResult::Answered(_) if answered.is_some_and(|first| asked >= first + READ_BOUND) => {
                    return true
                }
                CallResult::Answered(_) => drop(answered.get_or_insert_with(Instant::now)),
                CallResult::Replaced => return true,
                CallResult::NotSent(_) if proves_end => return true,
                _ => unanswered += 1,
            }
            sleep(if answered.is_some() { READ_BOUND } else { RETRY_PAUSE }).await;
        }
        false
    }

    /// Cancels an execution whose body was cut off, or whose answers are malformed.
    pub(super) async fn cancel_unusable(&self, dispatch: &Dispatch<'_>, id: &str) {
        let cancel = Cancel { arrived: true, within: MIN_CANCEL_WINDOW, awaited: self.one_at_a_time };
        self.stop(dispatch.target, id, cancel).await;
    }
}
