//! Accepts and serves connections from callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::caller_connection::CallerConnection;
use crate::exchange::serve;
use crate::gateway::Gateway;
use crate::phase::Phase;
use crate::spawn_counted;
use crate::watched_stream::WatchedStream;

/// Smallest buffer for a request head that the HTTP library accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8 * 1024;
/// Length of the accept queue. Callers reconnect all at once after an outage, and a full queue
/// delays them by seconds.
const ACCEPT_QUEUE: u32 = 1024;
/// Pause after a failed accept, which means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens the listening socket for callers.
///
/// # Errors
///
/// Returns an error where the address cannot be used.
pub fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Accepts connections until the shutdown closes them.
///
/// An instance in shutdown still accepts connections: a caller whose call is refused knows that it
/// was not executed, and one whose connection is dropped does not.
pub async fn accept(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.cut() => return,
        };
        match accepted {
            Ok((stream, _)) if closes_unread(&gateway) => drop(stream),
            Ok((stream, _)) => {
                spawn_counted(
                    &gateway,
                    "callers",
                    serve_connection(Arc::clone(&gateway), stream),
                );
            }
            Err(error) => {
                let error = error.to_string();
                gateway.log(EventCode::HostFailed, &[("accept", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns whether a new connection is closed unread. During a shutdown none is: a refusal tells its
/// caller more.
fn closes_unread(gateway: &Gateway) -> bool {
    if *gateway.phase.borrow() != Phase::Serving {
        return false;
    }
    let now = gateway.now();
    let closes = gateway.state().closes_connection(now);
    if closes {
        gateway.metrics.load.connection_closed_unread();
    }
    closes
}

/// Serves one connection. During a shutdown it is closed after the next answer, or at the end of
/// the shutdown when everything written to it has been sent.
async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let _open = gateway.open_connection();
    // Disables Nagle's algorithm: an answer must not wait to be sent together with the next one.
    let _ = stream.set_nodelay(true);
    let limits = gateway
        .state()
        .catalogue
        .get()
        .map(|catalogue| *catalogue.limits())
        .unwrap_or_default();
    let stream = Arc::new(stream);
    let caller = CallerConnection::new(&stream);
    let stream = WatchedStream::new(&stream, &gateway.link_times, "write_to_caller");
    let service = service_fn(|request| {
        let (gateway, caller) = (Arc::clone(&gateway), caller.clone());
        async move { Ok::<_, Infallible>(serve(gateway, caller, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's timeout for the head includes the idle time before it, so the longer of the
        // two limits has to be set.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut ending = pin!(gateway.cut());
    let mut is_ending = false;
    loop {
        tokio::select! {
            // Errors of the connection show in the log records of its calls.
            _ = connection.as_mut() => return,
            () = ending.as_mut(), if !is_ending => {
                is_ending = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
