//! Tests of calls over reused connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use damaskstile_http::{Call, PooledClient};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of a call in these tests.
const LIMIT: Duration = Duration::from_millis(500);
/// Number of connections on which the server answers only the first call.
const DEAD_CONNECTIONS: usize = 3;

/// Starts an HTTP server whose first `DEAD_CONNECTIONS` connections answer one call and nothing after it.
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let number = opened.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer(stream, number < DEAD_CONNECTIONS));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, answers_once: bool) {
    let mut buffer = [0; 1024];
    let mut answered = 0;
    while let Ok(1..) = stream.read(&mut buffer).await {
        if answers_once && answered > 0 {
            continue;
        }
        // Delays the response, so that concurrent calls overlap and each opens a new connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.unwrap();
        answered += 1;
    }
}

#[tokio::test]
async fn a_call_that_times_out_closes_all_idle_connections() {
    // Guards against several calls in a row timing out after an outage, although new connections
    // work. All idle connections go dead at once, without a reset; if only the connection of the
    // failed call is closed, the next call uses another dead one.

    // Arrange
    let address = server().await;
    let client = PooledClient::new(&address.to_string());
    let call = Call::new("store", Method::GET, "/a");
    let first = (0..DEAD_CONNECTIONS).map(|_| client.call(&call, LIMIT));
    for reply in futures_util::future::join_all(first).await {
        reply.unwrap();
    }

    // Act
    let unanswered = client.call(&call, LIMIT).await;
    let next = client.call(&call, LIMIT).await;

    // Assert
    assert!(unanswered.is_err());
    assert_eq!(next.unwrap().text(), "ok");
}

/// Starts a server that answers one call byte by byte, with the given pause before each byte.
async fn slow_server(pieces: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 1024];
        let _ = stream.read(&mut buffer).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {pieces}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..pieces {
            tokio::time::sleep(pause).await;
            // In some tests the client gives up and closes the connection.
            if stream.write_all(b"x").await.is_err() {
                return;
            }
        }
        let _ = stream.read(&mut buffer).await;
    });
    address
}

#[tokio::test]
async fn a_slow_response_that_makes_progress_is_read_to_its_end() {
    // Guards against a livelock after all instances were killed: hundreds read the ledger at once,
    // the store's link needs 1.4 s to serve all, and each reader discards its partial response
    // after 1.2 s and starts again, which keeps the link saturated. It came about when the limit
    // was for the whole response, whatever its progress.

    // Arrange
    let address = slow_server(12, LIMIT / 8).await;
    let client = PooledClient::new(&address.to_string());

    // Act
    let call = Call::new("store", Method::GET, "/a");
    let reply = client.call(&call, LIMIT);

    // Assert
    assert_eq!(reply.await.unwrap().text().len(), 12);
}

#[tokio::test]
async fn a_response_that_stalls_times_out() {
    // Arrange
    let address = slow_server(2, Duration::from_secs(30)).await;
    let client = PooledClient::new(&address.to_string());
    let began_at = std::time::Instant::now();

    // Act
    let call = Call::new("store", Method::GET, "/a");
    let reply = client.call(&call, LIMIT);

    // Assert
    assert!(reply.await.is_err());
    assert!(began_at.elapsed() < Duration::from_secs(3));
}
