//! Pool of connections to targets.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_http::socket::connect;
use damaskstile_http::{OrderlyStream, bound_unsent};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::busy_times::BusyTimes;
use crate::caller_resources::CallerLimits;
use crate::lease::Lease;
use crate::link_times::LinkTimes;
use crate::open_target_connection::OpenTargetConnection;
use crate::open_tunnel::OpenTunnel;
use crate::target_connection::TargetConnection;
use crate::tunnel_stream::TunnelStream;
use crate::watched_stream::WatchedStream;

/// Largest buffer into which an answer is read, in bytes, and largest head of an answer. While there
/// is no room for an answer, it is all that is read of it.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;
/// Idle connections kept per target.
const IDLE_PER_TARGET_MAX: usize = 64;

pub(crate) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    open: TargetConnection,
    usable_until: std::time::Instant,
}

/// Pool of idle connections to targets, keyed by incarnation: a connection leads to the process
/// that accepted it for as long as that lives, even if its successor is already serving.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<TargetIdentity, Vec<IdleConnection>>>,
    link_times: Arc<LinkTimes>,
    busy_times: Arc<BusyTimes>,
    /// Open connections, those in use included.
    open: Arc<AtomicUsize>,
    /// Number of open connections from which on an idle one is closed for each new one.
    connections_max: usize,
    /// Size that is set for the receive buffers of connections; `None` to leave it to the system.
    receive_buffer_bytes: Option<usize>,
}

impl Pool {
    /// Creates an empty pool that records connect times and processor time.
    #[must_use]
    pub fn new(link_times: &Arc<LinkTimes>, busy_times: &Arc<BusyTimes>) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::default(),
            link_times: Arc::clone(link_times),
            busy_times: Arc::clone(busy_times),
            open: Arc::default(),
            connections_max: usize::MAX,
            receive_buffer_bytes: None,
        })
    }

    /// Creates an empty pool with limits on the number of connections, idle ones included, and on
    /// what the system keeps unread for each.
    #[must_use]
    pub fn bounded(
        link_times: &Arc<LinkTimes>,
        busy_times: &Arc<BusyTimes>,
        limits: &CallerLimits,
    ) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::default(),
            link_times: Arc::clone(link_times),
            busy_times: Arc::clone(busy_times),
            open: Arc::default(),
            connections_max: limits.target_connections_max,
            receive_buffer_bytes: Some(limits.receive_buffer_bytes),
        })
    }

    /// Returns an idle connection to a target, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the reason why no connection was made; nothing has been sent in that case.
    pub async fn lease(
        self: &Arc<Self>,
        target: &TargetIdentity,
        address: SocketAddr,
    ) -> std::io::Result<Lease> {
        match self.take_idle(target, |_| true) {
            Some(lease) => Ok(lease),
            None => self.connect(target, address).await,
        }
    }

    /// Returns an idle connection to a target, direct or through a peer that may be used.
    pub(crate) fn take_idle(
        self: &Arc<Self>,
        target: &TargetIdentity,
        may_use: impl Fn(SocketAddr) -> bool,
    ) -> Option<Lease> {
        let connection = self.take(target, may_use)?;
        Some(Lease::new(self, target, connection).reused())
    }

    /// Opens a direct connection to a target.
    ///
    /// # Errors
    ///
    /// Returns the reason why no connection was made; nothing has been sent in that case.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        target: &TargetIdentity,
        address: SocketAddr,
    ) -> std::io::Result<Lease> {
        self.close_one_if_full();
        let began_at = std::time::Instant::now();
        let stream = connect(address).await;
        self.link_times.note("connect", began_at.elapsed());
        let stream = stream?;
        self.bound_buffers(&stream)?;
        let stream = WatchedStream::new(&Arc::new(stream), &self.link_times, "write_to_target");
        self.open(target, stream, None).await
    }

    /// Uses a tunnel as a connection to a target.
    ///
    /// # Errors
    ///
    /// Returns the reason why the tunnel cannot be used; nothing has been sent in that case.
    pub(crate) async fn connect_through(
        self: &Arc<Self>,
        target: &TargetIdentity,
        tunnel: OpenTunnel,
    ) -> std::io::Result<Lease> {
        self.bound_buffers(&tunnel.stream)?;
        let stream = Arc::new(tunnel.stream);
        let stream = WatchedStream::new(&stream, &self.link_times, "write_to_peer");
        let stream = TunnelStream::new(stream, &tunnel.received);
        self.open(target, stream, Some(tunnel.peer)).await
    }

    async fn open(
        self: &Arc<Self>,
        target: &TargetIdentity,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        peer: Option<SocketAddr>,
    ) -> std::io::Result<Lease> {
        let unread = Arc::default();
        let stream = OrderlyStream::new(stream).bounded(&unread);
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let busy_times = Arc::clone(&self.busy_times);
        let open = OpenTargetConnection::new(&self.open);
        let task = tokio::spawn(async move {
            let _open = open;
            // Errors of the connection show in the answer that is read from it.
            let _ = busy_times.count("targets", connection).await;
        });
        let connection = TargetConnection {
            sender,
            task: task.abort_handle(),
            unread,
            peer,
        };
        Ok(Lease::new(self, target, connection))
    }

    /// Limits what the system keeps unsent and unread.
    fn bound_buffers(&self, stream: &TcpStream) -> std::io::Result<()> {
        bound_unsent(stream)?;
        match self.receive_buffer_bytes {
            Some(bytes) => SockRef::from(stream).set_recv_buffer_size(bytes),
            None => Ok(()),
        }
    }

    /// Closes an idle connection if there are too many connections. Those in use are as many as
    /// calls, whose number is limited.
    fn close_one_if_full(&self) {
        if self.open.load(Ordering::Relaxed) < self.connections_max {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let most = idle
            .values_mut()
            .max_by_key(|connections| connections.len());
        if let Some(connection) = most.and_then(Vec::pop) {
            connection.open.task.abort();
        }
    }

    /// Closes the connections that are no longer usable, and all to incarnations that are not
    /// listed.
    pub fn prune(&self, is_listed: impl Fn(&TargetIdentity) -> bool) {
        let now = std::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|target, connections| {
            connections.retain(|connection| {
                let is_usable = now < connection.usable_until
                    && !connection.open.sender.is_closed()
                    && is_listed(target);
                if !is_usable {
                    connection.open.task.abort();
                }
                is_usable
            });
            !connections.is_empty()
        });
    }

    /// Returns a connection to the pool; returns false if the pool is full for this target.
    pub(crate) fn keep(
        &self,
        target: &TargetIdentity,
        connection: TargetConnection,
        usable_until: std::time::Instant,
    ) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_target = idle.entry(target.clone()).or_default();
        let has_room = of_target.len() < IDLE_PER_TARGET_MAX;
        if has_room {
            of_target.push(IdleConnection {
                open: connection,
                usable_until,
            });
        }
        has_room
    }

    /// Closes the idle direct connections to the targets that `is_lost` names.
    pub(crate) fn close_direct(&self, is_lost: impl Fn(&TargetIdentity) -> bool) {
        self.close_idle(|target, connection| connection.open.peer.is_none() && is_lost(target));
    }

    /// Closes the idle connections through peers that may no longer be used.
    pub(crate) fn close_tunnels(&self, may_use: impl Fn(SocketAddr) -> bool) {
        self.close_idle(|_, connection| connection.open.peer.is_some_and(|peer| !may_use(peer)));
    }

    fn close_idle(&self, is_closed: impl Fn(&TargetIdentity, &IdleConnection) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for (target, connections) in idle.iter_mut() {
            connections.retain(|connection| {
                let is_kept = !is_closed(target, connection);
                if !is_kept {
                    connection.open.task.abort();
                }
                is_kept
            });
        }
    }

    fn take(
        &self,
        target: &TargetIdentity,
        may_use: impl Fn(SocketAddr) -> bool,
    ) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_target = idle.get_mut(target)?;
        while let Some(connection) = of_target.pop() {
            let is_usable = std::time::Instant::now() < connection.usable_until
                && connection.open.sender.is_ready()
                && connection.open.peer.is_none_or(&may_use);
            if is_usable {
                return Some(connection.open);
            }
            connection.open.task.abort();
        }
        None
    }
}
