use super::*;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;

const LONG: Duration = Duration::from_secs(60);

/// The other end of a new link, and the link.
async fn pair(connections: &Connections) -> (TcpStream, TrackedStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let there = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (there, connections.track(listener.accept().await.unwrap().0))
}

#[actix_rt::test]
async fn what_is_idle_is_closed_and_its_reader_woken_and_what_is_open_is_not() {
    let connections = Connections::for_clients(4, Duration::ZERO, Duration::ZERO);
    let (mut there, mut idle) = pair(&connections).await;
    let (_busy_there, busy) = pair(&connections).await;
    busy.0.begin_call(10);
    let reader = actix_rt::spawn(async move { idle.read(&mut [0; 8]).await });
    tokio::task::yield_now().await;
    connections.close_idle();
    assert_eq!(reader.await.unwrap().unwrap(), 0);
    assert_eq!(there.read(&mut [0; 8]).await.unwrap(), 0);
    assert_eq!(connections.count(), 1);
    assert!(!connections.close_one_idle(Duration::ZERO, Duration::ZERO));
    busy.0.end_call();
    connections.close_idle();
    assert_eq!(connections.count(), 0);
}

#[actix_rt::test]
async fn no_more_is_read_ahead_than_allowed_while_a_call_is_open() {
    let connections = Connections::for_clients(4, LONG, LONG);
    let (there, mut link) = pair(&connections).await;
    link.0.begin_call(4);
    there.writable().await.unwrap();
    assert_eq!(there.try_write(b"12345678").unwrap(), 8);
    let connection = link.0.clone();
    let reader = actix_rt::spawn(async move {
        let mut bytes = [0; 4];
        link.read_exact(&mut bytes).await.unwrap();
        link.read_exact(&mut bytes).await.unwrap();
        bytes
    });
    while connection.allowed.get() > 0 {
        tokio::task::yield_now().await;
    }
    tokio::task::yield_now().await;
    assert!(!reader.is_finished());
    connection.end_call();
    assert_eq!(&reader.await.unwrap(), b"5678");
}

/// A call must not go out on a connection that has ended or holds what no call asked for; nothing of it is written then.
#[actix_rt::test]
async fn a_call_goes_out_on_a_quiet_connection_only() {
    use tokio::io::AsyncWriteExt as _;
    let connections = Connections::for_engines(100, LONG);
    let (mut there, mut quiet) = pair(&connections).await;
    quiet.write_all(b"call").await.unwrap();
    let mut bytes = [0; 4];
    there.read_exact(&mut bytes).await.unwrap();
    assert!(&bytes == b"call" && quiet.0.has_sent() && !quiet.0.is_reusable());
    quiet.0.close(CloseReason::Done);
    assert!(quiet.read(&mut bytes).await.is_err());
    for ended in [true, false] {
        let (mut there, mut link) = pair(&connections).await;
        there.write_all(b"HTTP/1.1 200 X\r\n").await.unwrap();
        if ended {
            drop(there);
        }
        while is_quiet(link.0.stream.borrow().as_ref().unwrap()) {
            tokio::task::yield_now().await;
        }
        assert!(link.write_all(b"call").await.is_err() && !link.0.has_sent() && !link.0.is_reusable());
    }
}

/// Guards against a call that goes out by what was worked out before a pause of this process.
#[actix_rt::test]
async fn a_call_whose_first_byte_is_late_is_not_written() {
    use tokio::io::AsyncWriteExt as _;
    let connections = Connections::for_engines(100, LONG);
    let (mut there, mut link) = pair(&connections).await;
    link.0.prepare_send();
    link.0.asked.set(Instant::now().checked_sub(FIRST_BYTE_WITHIN + Duration::from_millis(1)));
    assert!(link.write_all(b"call").await.is_err() && link.0.was_late() && !link.0.has_sent());
    drop(link);
    let mut bytes = [0; 4];
    assert_eq!(there.read(&mut bytes).await.unwrap(), 0);
    // Once its first byte is out the rest may take its time.
    let (mut there, mut link) = pair(&connections).await;
    link.0.prepare_send();
    link.write_all(b"ca").await.unwrap();
    link.0.asked.set(Instant::now().checked_sub(LONG));
    link.write_all(b"ll").await.unwrap();
    there.read_exact(&mut bytes).await.unwrap();
    assert!(&bytes == b"call" && !link.0.was_late());
}

/// What is let go is shut for writing and read out: bytes that came in this very moment cost the client no answer by a reset, and
/// nothing of them is handed on.
#[actix_rt::test]
async fn a_connection_is_let_go_without_a_reset_over_unread_bytes() {
    use tokio::io::AsyncWriteExt as _;
    let connections = Connections::for_clients(4, LONG, LONG);
    let linger = connections.linger.clone();
    actix_rt::spawn(async move { linger.run().await });
    let (mut there, mut link) = pair(&connections).await;
    link.write_all(b"answer").await.unwrap();
    there.write_all(b"half a call").await.unwrap();
    while is_quiet(link.0.stream.borrow().as_ref().unwrap()) {
        tokio::task::yield_now().await;
    }
    link.0.close(CloseReason::Done);
    assert_eq!(link.read(&mut [0; 8]).await.unwrap(), 0);
    there.write_all(b", and its rest").await.unwrap();
    let mut read = Vec::new();
    there.read_to_end(&mut read).await.unwrap();
    assert_eq!(read, b"answer");
    drop(there);
    while connections.linger.count() > 0 {
        tokio::task::yield_now().await;
    }
    // Those that are let go at once are bounded, the oldest goes first.
    let mut others = Vec::new();
    for _ in 0..9 {
        let (there, link) = pair(&connections).await;
        link.0.close(CloseReason::Done);
        others.push(there);
    }
    assert_eq!(connections.linger.count(), 4);
}

/// On a connection that rests, a call that has begun to come is read before it is closed for its age or to make room.
#[actix_rt::test]
async fn a_call_that_comes_in_the_moment_of_the_close_is_read() {
    use tokio::io::AsyncWriteExt as _;
    let connections = Connections::for_clients(4, Duration::ZERO, Duration::ZERO);
    let (mut there, link) = pair(&connections).await;
    link.0.begin_call(10);
    link.0.end_call();
    there.write_all(b"POST").await.unwrap();
    while is_quiet(link.0.stream.borrow().as_ref().unwrap()) {
        tokio::task::yield_now().await;
    }
    connections.close_idle();
    assert!(!connections.close_one_idle(Duration::ZERO, Duration::ZERO));
    assert_eq!(connections.count(), 1);
}

/// Small writes are never held back by the system: a close over unread bytes would take them with it.
#[actix_rt::test]
async fn nothing_is_held_back_on_either_side() {
    for connections in [Connections::for_clients(4, LONG, LONG), Connections::for_engines(100, LONG)] {
        let (_there, link) = pair(&connections).await;
        assert!(link.0.stream.borrow().as_ref().unwrap().nodelay().unwrap());
    }
}

/// Waiting for the end of a connection on which more waits than may be read costs a look now and then, not the core.
#[actix_rt::test]
async fn a_connection_that_is_held_back_is_looked_at_now_and_then() {
    use std::future::Future as _;
    let connections = Connections::for_clients(4, LONG, LONG);
    let (_there, mut link) = pair(&connections).await;
    link.0.begin_call(0);
    let connection = link.0.clone();
    let mut ended = std::pin::pin!(connection.wait_for_end());
    let mut polls = 0;
    // As a server's task does, one thing polls both.
    let both = std::future::poll_fn(|cx| {
        polls += 1;
        let _ = Pin::new(&mut link).poll_read(cx, &mut ReadBuf::new(&mut [0; 8]));
        ended.as_mut().poll(cx)
    });
    assert!(timeout(10 * HUNG_UP, both).await.is_err());
    assert!((3..30).contains(&polls), "{polls} polls");
}
