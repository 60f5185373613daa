//! Clients that close their connection before its end has been read.

use super::*;
use crate::connection::{BodyFraming, CallMemoryBook, Connections, TrackedStream};
use actix_rt::net::{TcpListener, TcpStream};

const CALL_MEMORY: u64 = 10_000_000;
const LONG: Duration = Duration::from_secs(60);

/// A client connection with an open call, and the client's end.
async fn connection_with_call() -> (TcpStream, TrackedStream) {
    let connections = Connections::for_clients(4, CallMemoryBook::new(CALL_MEMORY), LONG, LONG);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let stream = connections.track(listener.accept().await.unwrap().0);
    stream.0.begin_call(BodyFraming::Complete);
    (peer, stream)
}

/// Waits until a close of the peer has reached the socket, which is not read.
async fn wait_for_close(stream: &TrackedStream) {
    while !stream.0.has_hung_up() {
        tokio::task::yield_now().await;
    }
}

/// Guards against sending for a client whose disconnect is not read yet.
#[actix_rt::test]
async fn a_closed_connection_is_noticed_before_its_end_is_read() {
    let now = Instant::now();
    let (peer, stream) = connection_with_call().await;
    let client = ClientPresence::new(now);
    let _call = client.open_call(Some(&stream.0));
    assert_eq!(client.status(now, Duration::ZERO), ClientStatus::Present);
    drop(peer);
    wait_for_close(&stream).await;
    assert_eq!(client.status(now, Duration::ZERO), ClientStatus::Disconnected);
}

/// A client that polls and closes a connection may poll on another; after a pause of this process it may have
/// been away for as long as that.
#[actix_rt::test]
async fn a_polling_client_is_away_for_as_long_as_its_close_may_have_waited() {
    let now = Instant::now();
    let (peer, stream) = connection_with_call().await;
    let client = ClientPresence::new(now);
    client.begin_polling(now);
    let _call = client.open_call(Some(&stream.0));
    drop(peer);
    wait_for_close(&stream).await;
    assert_eq!(client.status(now, Duration::ZERO), ClientStatus::Present);
    assert_eq!(client.status(now, NOT_POLLING_AFTER), ClientStatus::Away);
    let (_peer, other) = connection_with_call().await;
    let _other_call = client.open_call(Some(&other.0));
    assert_eq!(client.status(now, NOT_POLLING_AFTER), ClientStatus::Present);
}

/// The time that a client is away counts from when it closed its connection at the earliest, and not from when
/// that was read.
#[actix_rt::test]
async fn the_time_away_counts_from_the_close_of_the_connection() {
    let now = Instant::now();
    let closed = now + Duration::from_secs(1);
    let (_peer, stream) = connection_with_call().await;
    let client = ClientPresence::new(now);
    client.begin_polling(now);
    let call = client.open_call(Some(&stream.0));
    assert_eq!(client.idle_time(closed + NOT_POLLING_AFTER), Duration::ZERO);
    call.closed_by_client(closed);
    drop(call);
    assert_eq!(client.idle_time(closed + NOT_POLLING_AFTER), NOT_POLLING_AFTER);
    assert_eq!(client.status(closed + NOT_POLLING_AFTER, Duration::ZERO), ClientStatus::Away);
}
