//! Options of the connections to targets, peers and the store.

use std::time::Duration;

use damaskstile_http::socket::connect;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Silence of a sound target that its connections must survive: a second or so.
const SILENCE: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn a_connection_survives_a_short_silence_of_its_peer() {
    // Guards against runs that are cut off because their target sends nothing for a second. The
    // limit on unacknowledged bytes also ends the keep-alive probes, and counts from the last
    // packet, up to one idle time before the silence.

    // Arrange
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();

    // Act
    let stream = connect(listener.local_addr().unwrap()).await.unwrap();

    // Assert
    let socket = SockRef::from(&stream);
    let limit = socket.tcp_user_timeout().unwrap().unwrap();
    let idle = socket.tcp_keepalive_time().unwrap();
    assert!(limit > idle + SILENCE, "{limit:?} {idle:?}");
}
