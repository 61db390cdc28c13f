//! Accepts and serves connections over HTTP: those of callers, and those for operations.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_routes::Limits;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::caller_connection::CallerConnection;
use crate::caller_resources::{CallerLimits, Endpoint, OpenedConnection};
use crate::caller_socket::CallerSocket;
use crate::counted_connection::CountedConnection;
use crate::exchange::serve;
use crate::gateway::Gateway;
use crate::lingering_close::linger;
use crate::operators;
use crate::phase::Phase;
use crate::reply::ReplyBody;
use crate::spawn_counted;
use crate::watched_stream::WatchedStream;

/// Smallest buffer for a request head that the HTTP library accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8 * 1024;
/// Bytes of the shortest header field: a name of one letter, a colon and the end of the line.
const FIELD_BYTES_MIN: usize = 4;
/// Length of the accept queue. Callers reconnect all at once after an outage, and a full queue
/// delays them by seconds.
const ACCEPT_QUEUE: u32 = 1024;
/// Pause after a failed accept, which means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listening socket.
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

/// Opens a listening socket whose connections have buffers of limited size: what the system keeps
/// for callers that send ahead or do not read is memory too.
///
/// # Errors
///
/// Returns an error where the address cannot be used.
pub fn listen_bounded(
    address: std::net::SocketAddr,
    limits: &CallerLimits,
) -> std::io::Result<TcpListener> {
    let listener = listen(address)?;
    let socket = SockRef::from(&listener);
    socket.set_recv_buffer_size(limits.receive_buffer_bytes)?;
    socket.set_send_buffer_size(limits.send_buffer_bytes)?;
    Ok(listener)
}

/// Accepts connections until the shutdown closes them; those for operations until the process ends.
///
/// An instance in shutdown still accepts connections: a caller whose call is refused knows that it
/// was not executed, and one whose connection is dropped does not.
pub async fn accept(gateway: Arc<Gateway>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.cut(), if endpoint == Endpoint::Callers => return,
        };
        match accepted {
            Ok((stream, _)) if endpoint == Endpoint::Callers && closes_unread(&gateway) => {
                drop(stream);
            }
            Ok((stream, _)) => admit(&gateway, stream, endpoint).await,
            Err(error) => {
                let error = error.to_string();
                gateway.log(EventCode::HostFailed, &[("accept", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a new connection if there is room for it; otherwise it is closed unread.
async fn admit(gateway: &Arc<Gateway>, stream: TcpStream, endpoint: Endpoint) {
    let stream = Arc::new(stream);
    let marks = Arc::default();
    let queue = Arc::new(CallerSocket::new(&stream, &marks));
    let now = gateway.now();
    let opened = gateway.caller_resources().open(now, endpoint, Some(queue));
    let Some(opened) = opened else {
        return;
    };
    let has_displaced = opened.has_displaced;
    let watched = WatchedStream::new(&stream, &gateway.link_times, "write_to_caller");
    let watched = watched.with_marks(&marks);
    let counted = CountedConnection::new(gateway, &opened, endpoint);
    let duty = match endpoint {
        Endpoint::Callers => "callers",
        Endpoint::Readiness | Endpoint::Metrics => "operators",
    };
    let serving = serve_connection(counted, stream, watched, opened, endpoint);
    spawn_counted(gateway, duty, serving);
    if has_displaced {
        // Lets the task of the connection that gives way close it.
        tokio::task::yield_now().await;
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
async fn serve_connection(
    counted: CountedConnection,
    stream: Arc<TcpStream>,
    watched: WatchedStream,
    opened: OpenedConnection,
    endpoint: Endpoint,
) {
    let gateway = counted.gateway();
    // Disables Nagle's algorithm: an answer must not wait to be sent together with the next one.
    let _ = stream.set_nodelay(true);
    let limits = gateway.limits();
    let caller = CallerConnection::counted(&stream, &opened);
    let service = service_fn(|request| {
        let (gateway, caller) = (Arc::clone(gateway), caller.clone());
        async move { Ok::<_, Infallible>(answer(gateway, caller, endpoint, request).await) }
    });
    let connection = builder(&limits).serve_connection(TokioIo::new(watched), service);
    {
        let mut connection = pin!(connection);
        let mut ending = pin!(gateway.cut());
        let mut is_ending = endpoint != Endpoint::Callers;
        loop {
            tokio::select! {
                // Errors of the connection show in the log records of its calls.
                _ = connection.as_mut() => break,
                () = opened.closing.notified() => {
                    counted.set_abort(&stream);
                    return;
                }
                () = ending.as_mut(), if !is_ending => {
                    is_ending = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
    if caller.has_unread() {
        let now = gateway.now();
        gateway.caller_resources().linger(now, opened.number);
        tokio::select! {
            () = linger(&stream, limits.body_bytes) => {}
            () = opened.closing.notified() => {}
        }
    }
}

fn builder(limits: &Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library's timeout for the head includes the idle time before it, so the longer of the
        // two limits has to be set.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
        // The configuration limits the bytes of a head, not the number of its fields.
        .max_headers(limits.header_bytes / FIELD_BYTES_MIN);
    builder
}

async fn answer(
    gateway: Arc<Gateway>,
    caller: CallerConnection,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    match endpoint {
        Endpoint::Callers => serve(gateway, caller, request).await,
        Endpoint::Readiness | Endpoint::Metrics => {
            operators::serve(&gateway, &caller, endpoint, &request)
        }
    }
}
