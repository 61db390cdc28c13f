//! `front` takes connections from callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::caller_link::CallerLink;
use crate::exchange::serve;
use crate::gateway::Gateway;
use crate::spawn_counted;
use crate::watched_stream::WatchedStream;

/// Smallest buffer for a head that the HTTP library takes, in bytes.
const HEAD_BYTES_MIN: usize = 8 * 1024;
/// Connections that may wait to be accepted. Callers come back all at once after an outage, and
/// a full queue costs them seconds.
const BACKLOG: u32 = 1024;
/// Pause after a failure to accept, which means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for callers.
///
/// # Errors
///
/// Returns an error where the address cannot be used.
pub fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes connections until a stop closes them.
///
/// An instance that is closing still takes them: a caller whose call is refused knows that it has
/// not run, and one whose connection is dropped knows nothing.
pub async fn accept(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.cut() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_counted(&gateway, "callers", converse(Arc::clone(&gateway), stream));
            }
            Err(error) => {
                let error = error.to_string();
                gateway.log(EventCode::HostFailed, &[("accept", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection. It is closed with the first answer during a stop, and at the stop's end
/// once all that was written to it is sent.
async fn converse(gateway: Arc<Gateway>, stream: TcpStream) {
    let _open = gateway.open_connection();
    // An answer must not wait to be sent together with the next one.
    let _ = stream.set_nodelay(true);
    let limits = gateway
        .state()
        .catalogue
        .get()
        .map(|catalogue| *catalogue.limits())
        .unwrap_or_default();
    let stream = Arc::new(stream);
    let caller = CallerLink::new(&stream);
    let stream = WatchedStream::new(&stream, &gateway.link_times, "write_to_caller");
    let service = service_fn(|request| {
        let (gateway, caller) = (Arc::clone(&gateway), caller.clone());
        async move { Ok::<_, Infallible>(serve(gateway, caller, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time before a head as part of the head's time, so the
        // longer of the two limits is the one that can be set.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut ending = pin!(gateway.cut());
    let mut is_ending = false;
    loop {
        tokio::select! {
            // How a caller's connection ends is told by the records of its calls.
            _ = connection.as_mut() => return,
            () = ending.as_mut(), if !is_ending => {
                is_ending = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
