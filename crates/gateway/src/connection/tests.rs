use super::*;
use actix_rt::time::timeout;
use bramblewharf::call_memory::{CHUNKED_STEP_BYTES, READ_AHEAD_BYTES};
use futures_util::FutureExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const LONG: Duration = Duration::from_secs(60);
/// Bytes for calls that are arriving.
const CALL_MEMORY: u64 = 1 << 20;

/// The peer of a new connection, and its tracked stream.
async fn pair(connections: &Connections) -> (TcpStream, TrackedStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (peer, connections.track(listener.accept().await.unwrap().0))
}

#[actix_rt::test]
async fn idle_connections_are_closed_and_their_readers_woken_unless_a_call_is_open() {
    let connections =
        Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), Duration::ZERO, Duration::ZERO);
    let (mut peer, mut idle) = pair(&connections).await;
    let (_busy_peer, busy) = pair(&connections).await;
    busy.0.begin_call(BodyFraming::Declared(10));
    let reader = actix_rt::spawn(async move { idle.read(&mut [0; 8]).await });
    tokio::task::yield_now().await;
    connections.close_idle();
    assert_eq!(reader.await.unwrap().unwrap(), 0);
    assert_eq!(peer.read(&mut [0; 8]).await.unwrap(), 0);
    assert_eq!(connections.count(), 1);
    assert!(!connections.close_one_idle(Duration::ZERO, Duration::ZERO));
    busy.0.end_call();
    connections.close_idle();
    assert_eq!(connections.count(), 0);
}

/// Of a call's body just its length is handed on. What follows is read up to a bound, and handed on once the
/// call is over.
#[actix_rt::test]
async fn reading_ahead_is_bounded_while_a_call_is_open() {
    let connections = Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG);
    let (mut peer, mut stream) = pair(&connections).await;
    stream.0.begin_call(BodyFraming::Declared(4));
    let next_call = [b'x'; 2 * READ_AHEAD_BYTES];
    peer.write_all(b"1234").await.unwrap();
    peer.write_all(&next_call).await.unwrap();
    let connection = stream.0.clone();
    let reader = actix_rt::spawn(async move {
        let (mut body, mut next) = ([0; 4], vec![0; 2 * READ_AHEAD_BYTES]);
        stream.read_exact(&mut body).await.unwrap();
        stream.read_exact(&mut next).await.unwrap();
        (body, next)
    });
    while connection.deferred.borrow().len() < READ_AHEAD_BYTES {
        tokio::task::yield_now().await;
    }
    tokio::task::yield_now().await;
    assert_eq!(connection.deferred.borrow().len(), READ_AHEAD_BYTES);
    assert!(!reader.is_finished());
    connection.end_call();
    assert_eq!(reader.await.unwrap(), (*b"1234", next_call.to_vec()));
}

/// Guards against decoding more of a body than is copied: a chunked body is handed on in small steps, each
/// once the one before it has been taken.
#[actix_rt::test]
async fn a_chunked_body_is_handed_on_step_by_step() {
    let connections = Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG);
    let (mut peer, mut stream) = pair(&connections).await;
    stream.0.begin_call(BodyFraming::Chunked);
    peer.write_all(&[b'1'; 3 * CHUNKED_STEP_BYTES]).await.unwrap();
    for _ in 0..3 {
        let mut step = [0; CHUNKED_STEP_BYTES];
        stream.read_exact(&mut step).await.unwrap();
        let mut more = [0; 1];
        assert!(stream.read(&mut more).now_or_never().is_none());
        stream.0.allow_next_step();
    }
}

/// A call that gets no memory is not read any further, and goes on once another one has released some.
#[actix_rt::test]
async fn a_call_without_memory_waits_unread_and_goes_on_later() {
    let connections = Rc::new(Connections::for_clients(4, CallMemoryBook::new(64 * 1024), LONG, LONG));
    let effects = connections.clone();
    actix_rt::spawn(async move { effects.run_call_memory().await });
    let (_other_peer, other) = pair(&connections).await;
    let (mut peer, mut stream) = pair(&connections).await;
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    let hold =
        |bytes: usize| move |arriving: &mut bramblewharf::call_memory::Arriving| arriving.text_bytes = bytes;
    assert!(other.0.memory().unwrap().update(hold(60_000)));
    other.0.memory().unwrap().set_complete(true);
    peer.write_all(head.as_bytes()).await.unwrap();
    let length = head.len();
    let reader = actix_rt::spawn(async move {
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes).await.unwrap();
        bytes
    });
    while connections.call_memory().unwrap().waiting() == 0 {
        tokio::task::yield_now().await;
    }
    assert!(!reader.is_finished());
    other.0.memory().unwrap().update(hold(0));
    assert_eq!(reader.await.unwrap(), head.as_bytes());
    assert_eq!(connections.call_memory().unwrap().rejected(), 0);
}

/// Guards against a grant that is taken by whoever waits for the rejection in the same task: a text would wait
/// until its time is over.
#[actix_rt::test]
async fn a_text_that_waits_for_memory_goes_on_when_it_is_granted() {
    let connections = Rc::new(Connections::for_clients(4, CallMemoryBook::new(64 * 1024), LONG, LONG));
    let effects = connections.clone();
    actix_rt::spawn(async move { effects.run_call_memory().await });
    let (_other_peer, other) = pair(&connections).await;
    let (_peer, stream) = pair(&connections).await;
    let hold =
        |bytes: usize| move |arriving: &mut bramblewharf::call_memory::Arriving| arriving.text_bytes = bytes;
    assert!(other.0.memory().unwrap().update(hold(60_000)));
    other.0.memory().unwrap().set_complete(true);
    let connection = stream.0.clone();
    let waiting = actix_rt::spawn(async move {
        let memory = connection.memory().unwrap();
        let granted = async {
            // The rejection is waited for first.
            tokio::task::yield_now().await;
            memory.acquire(hold(40_000)).await
        };
        tokio::select! {
            biased;
            granted = granted => granted,
            () = memory.wait_for_rejection() => false,
        }
    });
    while connections.call_memory().unwrap().waiting() == 0 {
        tokio::task::yield_now().await;
    }
    other.0.memory().unwrap().update(hold(0));
    assert!(timeout(LONG / 60, waiting).await.unwrap().unwrap());
}

/// An answer without memory is given up in time, and leaves nothing asked for; one that gets memory keeps it for
/// the buffer of its connection.
#[actix_rt::test]
async fn an_answer_waits_for_memory_for_a_limited_time() {
    let book = CallMemoryBook::new(64 * 1024);
    let (full, answer) = (book.claim(), book.claim());
    assert!(full.update(|arriving| arriving.text_bytes = 60_000));
    assert!(!answer.acquire_answer(20_000).await);
    assert_eq!((book.waiting(), answer.waits()), (0, false));
    let held = book.granted();
    full.update(|arriving| arriving.text_bytes = 0);
    assert!(held > 0 && book.granted() == 0);
    assert!(answer.acquire_answer(20_000).await);
    answer.end_call();
    assert!(book.granted() > 0);
    drop(answer);
    assert_eq!(book.granted(), 0);
}

/// A page of a result waits until there is memory for it, and is counted until its last copy is dropped.
#[actix_rt::test]
async fn a_page_is_counted_until_its_last_copy_is_dropped() {
    let connections = Rc::new(Connections::for_clients(4, CallMemoryBook::new(64 * 1024), LONG, LONG));
    let effects = connections.clone();
    actix_rt::spawn(async move { effects.run_call_memory().await });
    let book = connections.call_memory().unwrap();
    let full = book.count_page(&[1; 60_000]).await;
    let mut waiting = Box::pin(book.count_page(&[2; 8_000]));
    assert!(waiting.as_mut().now_or_never().is_none() && book.waiting() == 1);
    let copy = full.clone();
    drop(full);
    assert!(timeout(LONG / 600, waiting.as_mut()).await.is_err());
    drop(copy);
    let page = timeout(LONG, waiting).await.unwrap();
    assert_eq!((page.len(), book.granted()), (8_000, 8_000));
    // One that is no longer wanted leaves nothing asked for.
    let mut abandoned = Box::pin(book.count_page(&[3; 60_000]));
    assert!(abandoned.as_mut().now_or_never().is_none());
    drop(abandoned);
    assert_eq!((book.waiting(), book.granted()), (0, 8_000));
}

/// A call must not be written to a connection that has ended or holds unsolicited bytes.
#[actix_rt::test]
async fn a_call_is_written_only_to_a_quiet_connection() {
    let connections = Connections::for_engines(100, LONG);
    let (mut peer, mut quiet) = pair(&connections).await;
    quiet.write_all(b"call").await.unwrap();
    let mut bytes = [0; 4];
    peer.read_exact(&mut bytes).await.unwrap();
    assert!(&bytes == b"call" && quiet.0.has_sent() && !quiet.0.is_reusable());
    quiet.0.close(CloseReason::Done);
    assert!(quiet.read(&mut bytes).await.is_err());
    for ended in [true, false] {
        let (mut peer, mut stream) = pair(&connections).await;
        peer.write_all(b"HTTP/1.1 200 X\r\n").await.unwrap();
        if ended {
            drop(peer);
        }
        while is_quiet(stream.0.stream.borrow().as_ref().unwrap()) {
            tokio::task::yield_now().await;
        }
        assert!(stream.write_all(b"call").await.is_err() && !stream.0.has_sent() && !stream.0.is_reusable());
    }
}

/// Guards against sending a call with headers that were computed before a pause of this process.
#[actix_rt::test]
async fn a_call_whose_first_byte_is_late_is_not_written() {
    let connections = Connections::for_engines(100, LONG);
    let (mut peer, mut stream) = pair(&connections).await;
    stream.0.prepare_send();
    stream.0.send_prepared_at.set(Instant::now().checked_sub(FIRST_BYTE_DEADLINE + Duration::from_millis(1)));
    assert!(stream.write_all(b"call").await.is_err() && stream.0.was_late() && !stream.0.has_sent());
    drop(stream);
    let mut bytes = [0; 4];
    assert_eq!(peer.read(&mut bytes).await.unwrap(), 0);
    // After the first byte there is no deadline for the rest.
    let (mut peer, mut stream) = pair(&connections).await;
    stream.0.prepare_send();
    stream.write_all(b"ca").await.unwrap();
    stream.0.send_prepared_at.set(Instant::now().checked_sub(LONG));
    stream.write_all(b"ll").await.unwrap();
    peer.read_exact(&mut bytes).await.unwrap();
    assert!(&bytes == b"call" && !stream.0.was_late());
}

/// A closed connection is shut down for writing and drained: bytes that arrive during the close must not
/// destroy the answer by a reset, and none of them is handed on.
#[actix_rt::test]
async fn unread_bytes_do_not_reset_a_closed_connection() {
    let connections = Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG);
    let linger = connections.linger.clone();
    actix_rt::spawn(async move { linger.run().await });
    let (mut peer, mut stream) = pair(&connections).await;
    stream.write_all(b"answer").await.unwrap();
    peer.write_all(b"half a call").await.unwrap();
    while is_quiet(stream.0.stream.borrow().as_ref().unwrap()) {
        tokio::task::yield_now().await;
    }
    stream.0.close(CloseReason::Done);
    assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0);
    peer.write_all(b", and its rest").await.unwrap();
    let mut read = Vec::new();
    peer.read_to_end(&mut read).await.unwrap();
    assert_eq!(read, b"answer");
    drop(peer);
    while connections.linger.count() > 0 {
        tokio::task::yield_now().await;
    }
    // The number of lingering connections is bounded; the oldest is dropped first.
    let mut others = Vec::new();
    for _ in 0..9 {
        let (peer, stream) = pair(&connections).await;
        stream.0.close(CloseReason::Done);
        others.push(peer);
    }
    assert_eq!(connections.linger.count(), 4);
}

/// An idle connection on which a call has begun to arrive is not closed, neither by timeout nor to make room.
#[actix_rt::test]
async fn a_connection_with_an_unread_call_is_not_closed_as_idle() {
    let connections =
        Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), Duration::ZERO, Duration::ZERO);
    let (mut peer, stream) = pair(&connections).await;
    stream.0.begin_call(BodyFraming::Declared(10));
    stream.0.end_call();
    peer.write_all(b"POST").await.unwrap();
    while is_quiet(stream.0.stream.borrow().as_ref().unwrap()) {
        tokio::task::yield_now().await;
    }
    connections.close_idle();
    assert!(!connections.close_one_idle(Duration::ZERO, Duration::ZERO));
    assert_eq!(connections.count(), 1);
}

/// Small writes must not be delayed by the kernel: closing with unread bytes would drop them.
#[actix_rt::test]
async fn nagle_algorithm_is_disabled_on_both_sides() {
    for connections in [
        Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG),
        Connections::for_engines(100, LONG),
    ] {
        let (_peer, stream) = pair(&connections).await;
        assert!(stream.0.stream.borrow().as_ref().unwrap().nodelay().unwrap());
    }
}

/// Waiting for the end of a connection with paused reads polls it periodically instead of spinning.
#[actix_rt::test]
async fn waiting_for_the_end_of_a_paused_connection_does_not_spin() {
    use std::future::Future as _;
    let connections = Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG);
    let (_peer, mut stream) = pair(&connections).await;
    stream.0.begin_call(BodyFraming::Chunked);
    stream.0.read_allowance.set(0);
    let connection = stream.0.clone();
    let mut ended = std::pin::pin!(connection.wait_for_end());
    let mut polls = 0;
    // One task polls both, as in the server.
    let both = std::future::poll_fn(|cx| {
        polls += 1;
        let _ = Pin::new(&mut stream).poll_read(cx, &mut ReadBuf::new(&mut [0; 8]));
        ended.as_mut().poll(cx)
    });
    assert!(timeout(10 * HANG_UP_CHECK_INTERVAL, both).await.is_err());
    assert!((3..30).contains(&polls), "{polls} polls");
}

/// Guards against a deadline that counts from when a call was read, and not from when it arrived: bytes may wait
/// in the socket before the connection is accepted or read.
#[actix_rt::test]
async fn a_call_counts_as_arrived_when_its_bytes_reached_the_socket() {
    let connections = Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    peer.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let sent_at = Instant::now();
    let accepted = listener.accept().await.unwrap().0;
    while unread_time::unread_time(&accepted).is_zero() {
        tokio::task::yield_now().await;
    }
    let waited = sent_at.elapsed();
    let mut stream = connections.track(accepted);
    assert_eq!(stream.read(&mut [0; 64]).await.unwrap(), 18);
    let read_after = stream.0.arrived_at().saturating_duration_since(sent_at);
    assert!(read_after < waited, "{read_after:?} after it was sent, read after {waited:?}");
    stream.0.begin_call(BodyFraming::Complete);
    stream.0.end_call();
    // What arrives later has not waited.
    peer.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert_eq!(stream.read(&mut [0; 64]).await.unwrap(), 18);
    assert!(stream.0.arrived_at() > sent_at + waited);
}
