//! Sessions of statements whose clients poll for the answer. A statement that takes long is first answered
//! with a path to poll, so that a broken connection does not end it and a client that disappeared silently
//! does not keep it running for long.

use crate::client_presence::{ClientPresence, ClientStatus, NOT_POLLING_AFTER};
use crate::connection::Connection;
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
    client: Rc<ClientPresence>,
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
        client: Rc<ClientPresence>,
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
            client: client.clone(),
            delivered: Cell::new(false),
            not_kept,
        });
        client.begin_polling(Instant::now());
        self.by_path.borrow_mut().insert(path.clone(), session.clone());
        let (sessions, core) = (self.clone(), core.clone());
        actix_rt::spawn(async move {
            let mut status = ClientStatus::Present;
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answer => {
                        session.set_answer(answer.unwrap_or(Answer::Aborted));
                        break;
                    }
                    () = client.calls_changed() => {}
                    () = session.idle_for(match status {
                        ClientStatus::Present => NOT_POLLING_AFTER,
                        _ => DISCONNECTED_AFTER,
                    }) => {}
                }
                core.wait_for_backlog().await;
                if client.idle_time(Instant::now()) >= DISCONNECTED_AFTER {
                    // The reducer answers at once, which ends this loop.
                    core.input(Input::ClientDisconnected(id.clone()));
                } else {
                    status = core.check_client(&id, &client);
                }
            }
            while client.idle_time(Instant::now()) < DISCONNECTED_AFTER {
                tokio::select! {
                    () = client.calls_changed() => {}
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

    /// Returns once no call has been open for `span`; never while a call is open.
    async fn idle_for(&self, span: Duration) {
        match self.client.has_open_call() {
            false => sleep_until((self.client.last_call_ended() + span).into()).await,
            true => std::future::pending().await,
        }
    }

    /// The answer, if there is one within `time_limit` and before the client has closed its connection.
    pub async fn wait_for_answer(
        &self,
        core: &Core,
        time_limit: Duration,
        connection: Option<&Rc<Connection>>,
    ) -> Option<Answer> {
        let call = self.client.open_call(connection);
        let answered = async {
            while self.answer.borrow().is_none() {
                self.answered.notified().await;
            }
        };
        tokio::select! {
            biased;
            _ = timeout(time_limit, answered) => {}
            () = client_closed(connection.map(Rc::as_ref)) => {
                call.closed_by_client(core.earliest_arrival(Instant::now()));
                return None;
            }
        }
        let answer = self.answer.borrow().clone();
        self.delivered.set(answer.is_some());
        answer
    }
}

/// Returns once the client has closed its side of the connection.
pub async fn client_closed(connection: Option<&Connection>) {
    match connection {
        Some(connection) => connection.wait_for_end().await,
        None => std::future::pending().await,
    }
}
