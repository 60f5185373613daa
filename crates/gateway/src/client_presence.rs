//! Whether the client of a statement is still there. Its connections are looked at right before an execution is
//! sent: their end may not have been read yet, as it came during a pause of this process or just now.

use crate::connection::Connection;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A client with no open call for this long is not polling, and no new execution starts for it, as it may
/// have disconnected. A client whose connection broke calls again at once.
pub const NOT_POLLING_AFTER: Duration = Duration::from_millis(80);

/// Where a statement's client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStatus {
    /// It waits for the answer.
    Present,
    /// It polls for the answer, and has not been seen for some time.
    Away,
    /// It closed the connection on which it waited for the answer.
    Disconnected,
}

/// The calls on which a statement's client waits for the answer.
pub struct ClientPresence {
    open_calls: RefCell<Vec<Weak<Connection>>>,
    /// The client has a path to poll, and may do so on any connection.
    polls: Cell<bool>,
    /// When the last call ended.
    last_call_ended: Cell<Instant>,
    /// A call has begun or ended.
    calls_changed: Notify,
    /// What the scheduler was told last.
    reported_away: Cell<bool>,
}

impl ClientPresence {
    /// A client without an open call, seen at `now`.
    pub fn new(now: Instant) -> Rc<ClientPresence> {
        Rc::new(ClientPresence {
            open_calls: RefCell::default(),
            polls: Cell::new(false),
            last_call_ended: Cell::new(now),
            calls_changed: Notify::new(),
            reported_away: Cell::new(false),
        })
    }

    /// The client gets a path to poll: the end of a connection is not the client's any more.
    pub fn begin_polling(&self, now: Instant) {
        self.polls.set(true);
        self.last_call_ended.set(now);
    }

    /// Counts a call as open until the guard is dropped.
    pub fn open_call(self: &Rc<Self>, connection: Option<&Rc<Connection>>) -> OpenCall {
        let connection = connection.map_or_else(Weak::new, Rc::downgrade);
        self.open_calls.borrow_mut().push(connection.clone());
        self.calls_changed.notify_one();
        OpenCall { client: self.clone(), connection, closed_at: Cell::new(None) }
    }

    /// Whether a call is open.
    pub fn has_open_call(&self) -> bool {
        !self.open_calls.borrow().is_empty()
    }

    /// When the last call ended.
    pub fn last_call_ended(&self) -> Instant {
        self.last_call_ended.get()
    }

    /// Returns once a call has begun or ended.
    pub async fn calls_changed(&self) {
        self.calls_changed.notified().await;
    }

    /// How long no call has been open.
    pub fn idle_time(&self, now: Instant) -> Duration {
        match self.has_open_call() {
            true => Duration::ZERO,
            false => now.saturating_duration_since(self.last_call_ended.get()),
        }
    }

    /// Where the client is, by what its sockets tell right now. `queueing_delay`: how long the end of a
    /// connection may have waited to be read.
    pub fn status(&self, now: Instant, queueing_delay: Duration) -> ClientStatus {
        let has_closed = self.has_closed_all();
        if !self.polls.get() {
            return if has_closed { ClientStatus::Disconnected } else { ClientStatus::Present };
        }
        let absent_for = if has_closed { queueing_delay } else { self.idle_time(now) };
        if absent_for >= NOT_POLLING_AFTER {
            ClientStatus::Away
        } else {
            ClientStatus::Present
        }
    }

    /// Whether calls are open, and the client has closed the connections of all of them.
    fn has_closed_all(&self) -> bool {
        let calls = self.open_calls.borrow();
        let has_closed = |call: &Weak<Connection>| call.upgrade().is_some_and(|call| call.has_hung_up());
        !calls.is_empty() && calls.iter().all(has_closed)
    }

    /// Whether this differs from what the scheduler was told last, which it is now told.
    pub fn report_away(&self, away: bool) -> bool {
        self.reported_away.replace(away) != away
    }
}

/// A call on which the client waits, until it is dropped.
pub struct OpenCall {
    client: Rc<ClientPresence>,
    connection: Weak<Connection>,
    closed_at: Cell<Option<Instant>>,
}

impl OpenCall {
    /// The client closed the call's connection, at this time or later.
    pub fn closed_by_client(&self, at: Instant) {
        self.closed_at.set(Some(at));
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut calls = self.client.open_calls.borrow_mut();
        if let Some(index) = calls.iter().position(|call| call.ptr_eq(&self.connection)) {
            calls.swap_remove(index);
        }
        drop(calls);
        let ended = self.closed_at.get().unwrap_or_else(Instant::now);
        self.client.last_call_ended.set(ended.max(self.client.last_call_ended.get()));
        self.client.calls_changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
