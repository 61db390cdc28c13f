//! Answers that are none, as clients of a server with a fault see them.

use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_http::{Call, PooledClient, Reply, Result, send_and_collect};
use http::Method;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(5);
/// Size of a long upload, more than the sockets on its way keep.
const UPLOAD_BYTES: usize = 4_000_000;
/// Receive buffer of the server, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Starts a server that reads the beginning of each call, answers with the given bytes, ends its
/// side of the connection and resets it.
fn start(answer: &'static str) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    address
}

/// Makes the same call with both clients.
async fn call(address: SocketAddr, body: Vec<u8>) -> [Result<Reply>; 2] {
    let call = Call::new(&address.to_string(), Method::POST, "/x").body(body);
    let pooled = PooledClient::new(&address.to_string());
    [
        pooled.call(&call, LIMIT).await,
        send_and_collect(call, LIMIT).await,
    ]
}

#[tokio::test]
async fn a_status_that_ends_no_call_is_an_error() {
    // Guards against a status that the protocol does not know and that is taken for an answer.
    for answer in [
        "HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n",
    ] {
        for reply in call(start(answer), Vec::new()).await {
            assert!(reply.is_err(), "{reply:?}");
        }
    }
}

#[tokio::test]
async fn a_part_of_an_answer_beside_an_upload_is_an_error() {
    // Guards against a part of an answer without a length that looks complete: its server ends its
    // side and resets the connection while the call is still written.
    let address = start("HTTP/1.1 200 OK\r\n\r\npart");
    for reply in call(address, vec![b'u'; UPLOAD_BYTES]).await {
        assert!(reply.is_err(), "{reply:?}");
    }
}
