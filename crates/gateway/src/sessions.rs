//! Sessions of statements whose clients poll for the answer. A statement that takes long is first answered
//! with a path to poll, so that a broken connection does not end it and a client that disappeared silently
//! does not keep it running for long.

use crate::reducer::{Answer, Input};
use crate::runtime::Core;
use actix_rt::time::{sleep_until, timeout};
use bramblewharf::interface::Id;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher as _, RandomState};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};

/// A client with no open call for this long is not polling, and no new execution starts for it, as it may
/// have disconnected. A client whose connection broke calls again at once.
const NOT_POLLING_AFTER: Duration = Duration::from_millis(80);
/// A client with no open call for this long has disconnected. An answer is kept for this long after the last
/// poll.
const DISCONNECTED_AFTER: Duration = Duration::from_secs(2);

/// A statement whose client polls for the answer.
pub struct Session {
    id: Id,
    /// The path that the client polls. It is secret, so that only this client can fetch the answer or cancel
    /// the statement.
    pub path: String,
    answer: RefCell<Option<Answer>>,
    answered: Notify,
    /// Number of open calls.
    open_calls: Cell<usize>,
    /// When the last call ended.
    last_call_ended: Cell<Instant>,
    /// A call has begun or ended.
    calls_changed: Notify,
    /// The answer was returned to a call.
    delivered: Cell<bool>,
    /// Whether the body is not kept; the body store updates it.
    pub not_kept: Option<Rc<Cell<bool>>>,
}

/// All sessions, at most `max_sessions`. A session is removed some time after its client's last call.
pub struct Sessions {
    by_path: RefCell<HashMap<String, Rc<Session>>>,
    max_sessions: usize,
    /// A path is the hash of a counter under random keys, so that nobody can derive another client's path
    /// from their own.
    path_keys: RandomState,
    paths_issued: Cell<u64>,
}

impl Sessions {
    /// No sessions yet, with room for `max_sessions`.
    pub fn new(max_sessions: usize) -> Sessions {
        Sessions {
            by_path: RefCell::default(),
            max_sessions,
            path_keys: RandomState::new(),
            paths_issued: Cell::new(0),
        }
    }

    /// Whether another session may be opened.
    pub fn has_capacity(&self) -> bool {
        self.by_path.borrow().len() < self.max_sessions
    }

    /// Sessions whose answer has not been returned to a call yet.
    pub fn undelivered_answers(&self) -> usize {
        self.by_path.borrow().values().filter(|session| !session.delivered.get()).count()
    }

    /// The session with this path.
    pub fn get(&self, path: &str) -> Option<Rc<Session>> {
        self.by_path.borrow().get(path).cloned()
    }

    /// Removes a session at its client's request and cancels the statement if it has no answer yet. False if
    /// there is none.
    pub fn remove(&self, core: &Rc<Core>, path: &str) -> bool {
        let session = self.by_path.borrow_mut().remove(path);
        if let Some(session) = &session {
            if session.answer.borrow().is_none() {
                core.input(Input::ClientDisconnected(session.id.clone()));
            }
        }
        session.is_some()
    }

    /// Opens a session for a statement and returns the path at which its client polls for the answer.
    pub fn open(
        self: &Rc<Self>,
        core: &Rc<Core>,
        id: Id,
        mut answer: oneshot::Receiver<Answer>,
        not_kept: Option<Rc<Cell<bool>>>,
    ) -> String {
        self.paths_issued.set(self.paths_issued.get() + 1);
        let path = format!("{:016x}", self.path_keys.hash_one(self.paths_issued.get()));
        let session = Rc::new(Session {
            id: id.clone(),
            path: path.clone(),
            answer: RefCell::default(),
            answered: Notify::new(),
            open_calls: Cell::new(0),
            last_call_ended: Cell::new(Instant::now()),
            calls_changed: Notify::new(),
            delivered: Cell::new(false),
            not_kept,
        });
        self.by_path.borrow_mut().insert(path.clone(), session.clone());
        let (sessions, core) = (self.clone(), core.clone());
        actix_rt::spawn(async move {
            let mut not_polling = false;
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answer => {
                        session.set_answer(answer.unwrap_or(Answer::Aborted));
                        break;
                    }
                    () = session.calls_changed.notified() => {}
                    () = session.idle_for(if not_polling { DISCONNECTED_AFTER } else { NOT_POLLING_AFTER }) => {}
                }
                core.wait_for_backlog().await;
                let idle = session.idle_time();
                if idle >= DISCONNECTED_AFTER {
                    // The reducer answers at once, which ends this loop.
                    core.input(Input::ClientDisconnected(id.clone()));
                } else if not_polling != (idle >= NOT_POLLING_AFTER) {
                    not_polling = !not_polling;
                    core.input(Input::ClientAway(id.clone(), not_polling));
                }
            }
            while session.idle_time() < DISCONNECTED_AFTER {
                tokio::select! {
                    () = session.calls_changed.notified() => {}
                    () = session.idle_for(DISCONNECTED_AFTER) => core.wait_for_backlog().await,
                }
            }
            sessions.by_path.borrow_mut().remove(&session.path);
        });
        path
    }
}

impl Session {
    /// Stores the answer and wakes the calls that wait for it.
    fn set_answer(&self, answer: Answer) {
        self.answer.replace(Some(answer));
        self.answered.notify_waiters();
    }

    /// How long no call has been open.
    fn idle_time(&self) -> Duration {
        if self.open_calls.get() == 0 {
            self.last_call_ended.get().elapsed()
        } else {
            Duration::ZERO
        }
    }

    /// Returns once no call has been open for `span`; never while a call is open.
    async fn idle_for(&self, span: Duration) {
        match self.open_calls.get() {
            0 => sleep_until((self.last_call_ended.get() + span).into()).await,
            _ => std::future::pending().await,
        }
    }

    /// The answer, if there is one within `time_limit` and before the client has closed its connection.
    pub async fn wait_for_answer(
        &self,
        time_limit: Duration,
        client_closed: impl std::future::Future<Output = ()>,
    ) -> Option<Answer> {
        self.open_calls.set(self.open_calls.get() + 1);
        self.calls_changed.notify_one();
        let _call = OpenCall(self);
        let answered = async {
            while self.answer.borrow().is_none() {
                self.answered.notified().await;
            }
        };
        tokio::select! {
            biased;
            _ = timeout(time_limit, answered) => {}
            () = client_closed => return None,
        }
        let answer = self.answer.borrow().clone();
        self.delivered.set(answer.is_some());
        answer
    }
}

/// Counts as an open call on the session until it is dropped.
struct OpenCall<'a>(&'a Session);

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
        self.0.last_call_ended.set(Instant::now());
        self.0.calls_changed.notify_one();
    }
}
