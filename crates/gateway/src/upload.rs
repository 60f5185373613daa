//! A text that is kept apart, on its way to an engine: awc sends it piece by piece, and an engine that answers before all of it
//! has come is heard at once. The clock of an answer runs from the last piece, and neither a client that is slow nor a disk
//! counts against the engine.

use crate::connection::Connection;
use actix_http::body::{BodySize, MessageBody};
use actix_rt::time::sleep;
use bramblewharf_bodies::store::Progress;
use bramblewharf_bodies::Outgoing;
use bytes::Bytes;
use futures_core::Stream as _;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

/// How often it is looked at, and how long an engine may take nothing of what is ready for it.
const LOOK: Duration = Duration::from_millis(20);
const TAKES_NOTHING: Duration = Duration::from_secs(2);
/// What stands for the rest of a text that nobody wants: none of it is written.
static FILLER: [u8; 64 * 1024] = [0; 64 * 1024];

/// Set once the engine has answered: nothing more is written.
#[derive(Default)]
pub struct Cut {
    cut: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

/// The body of a call, as awc wants it.
pub struct Sending {
    outgoing: Outgoing,
    cut: Rc<Cut>,
    left: Option<u64>,
}

impl Sending {
    pub fn new(outgoing: Outgoing, cut: Rc<Cut>) -> Sending {
        let left = outgoing.length();
        Sending { outgoing, cut, left }
    }
}

impl MessageBody for Sending {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.left.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let this = self.get_mut();
        if this.cut.cut.get() {
            let length = this.left.unwrap_or(0).min(FILLER.len() as u64);
            this.left = this.left.map(|left| left - length);
            return Poll::Ready((length > 0).then(|| Ok(Bytes::from_static(&FILLER[..length as usize]))));
        }
        this.cut.waker.set(Some(cx.waker().clone()));
        let next = ready!(Pin::new(&mut this.outgoing).poll_next(cx));
        if let (Some(Ok(piece)), Some(left)) = (&next, &mut this.left) {
            *left = left.saturating_sub(piece.len() as u64);
        }
        Poll::Ready(next)
    }
}

/// Who watches over it.
pub struct Upload {
    pace: Rc<Progress>,
    connection: Rc<Connection>,
    cut: Rc<Cut>,
}

impl Upload {
    pub fn new(outgoing: &Outgoing, connection: Rc<Connection>) -> Upload {
        Upload { pace: outgoing.progress.clone(), connection, cut: Rc::default() }
    }

    pub fn cut(&self) -> Rc<Cut> {
        self.cut.clone()
    }

    /// What came of the call, if the engine goes on taking pieces, answers soon after the last, and is whole `within` that time once
    /// it has begun early. None as soon as it may no longer come whole, or nothing comes: its connection is then reset.
    pub async fn watch<T>(
        self,
        within: Duration,
        may_arrive: &dyn Fn() -> bool,
        answered: impl Future<Output = T>,
    ) -> Option<T> {
        let mut answered = pin!(answered);
        loop {
            tokio::select! {
                biased;
                reply = &mut answered => return Some(reply),
                () = sleep(LOOK) => {}
            }
            if !may_arrive() {
                return None;
            }
            if !self.cut.cut.get() && !self.pace.finished.get() && self.connection.check_early_answer() {
                self.cut.cut.set(true);
                self.pace.last_activity.set(std::time::Instant::now());
                self.cut.waker.take().into_iter().for_each(Waker::wake);
            }
            let over = self.pace.finished.get() || self.cut.cut.get();
            // Behind the last piece megabytes may still be in the system's buffers.
            let patience = if self.cut.cut.get() { within } else { TAKES_NOTHING };
            if (over || !self.pace.waits_for_data.get()) && self.pace.last_activity.get().elapsed() > patience
            {
                return None;
            }
        }
    }
}
