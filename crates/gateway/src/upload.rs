//! Uploads a body from the body store to an engine. awc sends it chunk by chunk, and an answer that comes
//! before the end of the body is noticed at once. The time limit of an answer runs from the last chunk, so
//! that neither a slow client nor a slow disk counts against the engine.

use crate::connection::Connection;
use actix_http::body::{BodySize, MessageBody};
use actix_rt::time::sleep;
use bramblewharf_bodies::store::Progress;
use bramblewharf_bodies::Outgoing;
use bytes::Bytes;
use futures_core::Stream as _;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

/// Interval at which the progress of an upload is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long an engine may accept none of the data that is ready for it.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a text that are handed to the HTTP client at a time.
const SLICE_BYTES: usize = 8 * 1024;
/// Placeholder for the rest of a body after an early answer; it satisfies the declared length and is never
/// written.
static FILLER: [u8; 64 * 1024] = [0; 64 * 1024];

/// Set once the engine has answered early: nothing more of the body is written.
#[derive(Default)]
pub struct StopSignal {
    stopped: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

/// The body of a call to an engine, as awc's `MessageBody`.
pub struct UploadBody {
    outgoing: Outgoing,
    stop_signal: Rc<StopSignal>,
    /// Bytes not yet sent, if the length is known.
    remaining: Option<u64>,
}

impl UploadBody {
    /// A body that sends `outgoing` until the signal is set.
    pub fn new(outgoing: Outgoing, stop_signal: Rc<StopSignal>) -> UploadBody {
        let remaining = outgoing.length();
        UploadBody { outgoing, stop_signal, remaining }
    }
}

impl MessageBody for UploadBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.remaining.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let this = self.get_mut();
        if this.stop_signal.stopped.get() {
            let length = this.remaining.unwrap_or(0).min(FILLER.len() as u64);
            this.remaining = this.remaining.map(|remaining| remaining - length);
            return Poll::Ready((length > 0).then(|| Ok(Bytes::from_static(&FILLER[..length as usize]))));
        }
        this.stop_signal.waker.set(Some(cx.waker().clone()));
        let next = ready!(Pin::new(&mut this.outgoing).poll_next(cx));
        if let (Some(Ok(chunk)), Some(remaining)) = (&next, &mut this.remaining) {
            *remaining = remaining.saturating_sub(chunk.len() as u64);
        }
        Poll::Ready(next)
    }
}

/// A text that is sent in slices, so that no buffer has to hold a copy of all of it.
pub struct SlicedText(Bytes);

impl SlicedText {
    /// Sends this text.
    pub fn new(text: Bytes) -> SlicedText {
        SlicedText(text)
    }
}

impl MessageBody for SlicedText {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        let text = &mut self.get_mut().0;
        let slice = text.split_to(text.len().min(SLICE_BYTES));
        Poll::Ready((!slice.is_empty()).then_some(Ok(slice)))
    }
}

/// Watches the progress of an upload and the connection it uses.
pub struct UploadWatch {
    progress: Rc<Progress>,
    connection: Rc<Connection>,
    stop_signal: Rc<StopSignal>,
}

impl UploadWatch {
    /// Watches `outgoing` as it is sent on `connection`.
    pub fn new(outgoing: &Outgoing, connection: Rc<Connection>) -> UploadWatch {
        UploadWatch { progress: outgoing.progress.clone(), connection, stop_signal: Rc::default() }
    }

    /// The signal that ends the upload's body early.
    pub fn stop_signal(&self) -> Rc<StopSignal> {
        self.stop_signal.clone()
    }

    /// Waits for the result of the call. None if the engine stops accepting chunks, does not answer soon
    /// after the last one, does not finish an early answer `within` that time, or if the call may no longer
    /// arrive: its connection is then reset.
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
                () = sleep(CHECK_INTERVAL) => {}
            }
            if !may_arrive() {
                return None;
            }
            if !self.stop_signal.stopped.get()
                && !self.progress.finished.get()
                && self.connection.check_early_answer()
            {
                self.stop_signal.stopped.set(true);
                self.progress.last_activity.set(std::time::Instant::now());
                self.stop_signal.waker.take().into_iter().for_each(Waker::wake);
            }
            let all_sent = self.progress.finished.get() || self.stop_signal.stopped.get();
            // After the last chunk, megabytes may still be in the kernel's socket buffers.
            let time_limit = if self.stop_signal.stopped.get() { within } else { STALL_TIMEOUT };
            if (all_sent || !self.progress.waits_for_data.get())
                && self.progress.last_activity.get().elapsed() > time_limit
            {
                return None;
            }
        }
    }
}
