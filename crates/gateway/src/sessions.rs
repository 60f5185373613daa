//! Statements whose clients come back for the answer: one that takes long is answered with a path first, so that neither a
//! broken connection nor a client that vanished without a word decides over it for long.

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

/// A client without a call open for so long is absent, and nothing new begins for it: it may have gone. It calls again at once
/// where its connection broke.
const ABSENT: Duration = Duration::from_millis(80);
/// One that does not come back for so long has left, and an answer is kept for so long after it was asked for.
const LEFT: Duration = Duration::from_secs(2);

pub struct Session {
    id: Id,
    /// What the client comes back to: nobody else can name it, as nobody else can stop it.
    pub path: String,
    answer: RefCell<Option<Answer>>,
    answered: Notify,
    /// Calls that wait now, when the last one ended, and that a first one came or the last one ended.
    waiting: Cell<usize>,
    seen: Cell<Instant>,
    called: Notify,
    /// The answer was handed to a call.
    handed: Cell<bool>,
    /// The text was not kept, as that stands.
    pub unkept: Option<Rc<Cell<bool>>>,
}

/// Bounded by `most`; emptied of a session once its client has been absent.
pub struct Sessions {
    by_path: RefCell<HashMap<String, Rc<Session>>>,
    most: usize,
    /// Paths are the hashes of a count under keys of the system's own: who knows his own path knows no other.
    keys: RandomState,
    given: Cell<u64>,
}

impl Sessions {
    pub fn new(most: usize) -> Sessions {
        Sessions { by_path: RefCell::default(), most, keys: RandomState::new(), given: Cell::new(0) }
    }

    pub fn have_room(&self) -> bool {
        self.by_path.borrow().len() < self.most
    }

    /// Answers that no call has been given yet.
    pub fn owed(&self) -> usize {
        self.by_path.borrow().values().filter(|session| !session.handed.get()).count()
    }

    pub fn get(&self, path: &str) -> Option<Rc<Session>> {
        self.by_path.borrow().get(path).cloned()
    }

    /// The client does not want it any longer.
    pub fn remove(&self, core: &Rc<Core>, path: &str) -> bool {
        let session = self.by_path.borrow_mut().remove(path);
        if let Some(session) = &session {
            if session.answer.borrow().is_none() {
                core.input(Input::ClientDisconnected(session.id.clone()));
            }
        }
        session.is_some()
    }

    /// From now on the answer is to be had by coming back to the path that is returned.
    pub fn open(
        self: &Rc<Self>,
        core: &Rc<Core>,
        id: Id,
        mut answer: oneshot::Receiver<Answer>,
        unkept: Option<Rc<Cell<bool>>>,
    ) -> String {
        self.given.set(self.given.get() + 1);
        let path = format!("{:016x}", self.keys.hash_one(self.given.get()));
        let session = Rc::new(Session {
            id: id.clone(),
            path: path.clone(),
            answer: RefCell::default(),
            answered: Notify::new(),
            waiting: Cell::new(0),
            seen: Cell::new(Instant::now()),
            called: Notify::new(),
            handed: Cell::new(false),
            unkept,
        });
        self.by_path.borrow_mut().insert(path.clone(), session.clone());
        let (sessions, core) = (self.clone(), core.clone());
        actix_rt::spawn(async move {
            let mut absent = false;
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answer => {
                        session.give(answer.unwrap_or(Answer::Aborted));
                        break;
                    }
                    () = session.called.notified() => {}
                    () = session.alone_for(if absent { LEFT } else { ABSENT }) => {}
                }
                core.settled().await;
                let alone = session.alone();
                if alone >= LEFT {
                    // Its answer comes at once, by the same way.
                    core.input(Input::ClientDisconnected(id.clone()));
                } else if absent != (alone >= ABSENT) {
                    absent = !absent;
                    core.input(Input::ClientAway(id.clone(), absent));
                }
            }
            while session.alone() < LEFT {
                tokio::select! {
                    () = session.called.notified() => {}
                    () = session.alone_for(LEFT) => core.settled().await,
                }
            }
            sessions.by_path.borrow_mut().remove(&session.path);
        });
        path
    }
}

impl Session {
    fn give(&self, answer: Answer) {
        self.answer.replace(Some(answer));
        self.answered.notify_waiters();
    }

    /// How long no call has been open.
    fn alone(&self) -> Duration {
        if self.waiting.get() == 0 {
            self.seen.get().elapsed()
        } else {
            Duration::ZERO
        }
    }

    /// Returns once no call has been open for so long; never while one is.
    async fn alone_for(&self, span: Duration) {
        match self.waiting.get() {
            0 => sleep_until((self.seen.get() + span).into()).await,
            _ => std::future::pending().await,
        }
    }

    /// The answer, if it comes within `within` and before `gone`.
    pub async fn wait(
        &self,
        within: Duration,
        gone: impl std::future::Future<Output = ()>,
    ) -> Option<Answer> {
        self.waiting.set(self.waiting.get() + 1);
        self.called.notify_one();
        let _call = Calling(self);
        let answered = async {
            while self.answer.borrow().is_none() {
                self.answered.notified().await;
            }
        };
        tokio::select! {
            biased;
            _ = timeout(within, answered) => {}
            () = gone => return None,
        }
        let answer = self.answer.borrow().clone();
        self.handed.set(answer.is_some());
        answer
    }
}

struct Calling<'a>(&'a Session);

impl Drop for Calling<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        self.0.seen.set(Instant::now());
        self.0.called.notify_one();
    }
}
