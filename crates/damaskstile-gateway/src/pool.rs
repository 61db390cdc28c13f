//! `pool` keeps connections to targets for the next call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_http::socket::connect;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

/// Part of the time for which a target keeps a connection that is used. Closer to the end the
/// target may close it just as a call is written, and nobody could tell whether the call ran.
const REUSE_PERCENT: u32 = 70;
/// Time in which a connection whose answer was read must be ready again.
const READY_LIMIT: Duration = Duration::from_millis(5);
/// Connections kept for one target.
const KEPT_MAX: usize = 64;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Kept {
    sender: Sender,
    task: AbortHandle,
    usable_until: std::time::Instant,
}

/// `Pool` keeps connections to targets for the next call.
#[derive(Debug, Default)]
pub struct Pool {
    kept: Mutex<BTreeMap<TargetId, Vec<Kept>>>,
}

/// `Lease` is a connection in use. Dropped before it is given back, it is closed, which cancels
/// what the target does on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    target: TargetId,
    sender: Option<Sender>,
    /// Whether calls were sent on it before.
    pub is_reused: bool,
    task: AbortHandle,
    is_returned: bool,
}

/// `SendError` tells how far a call got that was not answered.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was sent.
    NotSent,
    /// It may have been read.
    Broken(String),
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns a kept connection to a target, or makes one.
    ///
    /// # Errors
    ///
    /// Returns why no connection was made; nothing has been sent then.
    pub async fn lease(
        self: &Arc<Self>,
        target: &str,
        address: SocketAddr,
    ) -> std::io::Result<Lease> {
        if let Some(kept) = self.take(target) {
            return Ok(self.make_lease(target, kept.sender, kept.task, true));
        }
        let stream = connect(address).await?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // How the connection ends shows in the answer that was read from it.
            let _ = connection.await;
        });
        Ok(self.make_lease(target, sender, task.abort_handle(), false))
    }

    /// Closes the connections that are no longer usable, and all to targets not in the list.
    pub fn prune(&self, is_listed: impl Fn(&str) -> bool) {
        let now = std::time::Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|target, connections| {
            connections.retain(|one| {
                let is_usable =
                    now < one.usable_until && !one.sender.is_closed() && is_listed(target);
                if !is_usable {
                    one.task.abort();
                }
                is_usable
            });
            !connections.is_empty()
        });
    }

    fn take(&self, target: &str) -> Option<Kept> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let of_target = kept.get_mut(target)?;
        while let Some(one) = of_target.pop() {
            let is_usable = std::time::Instant::now() < one.usable_until && one.sender.is_ready();
            if is_usable {
                return Some(one);
            }
            one.task.abort();
        }
        None
    }

    fn make_lease(
        self: &Arc<Self>,
        target: &str,
        sender: Sender,
        task: AbortHandle,
        is_reused: bool,
    ) -> Lease {
        Lease {
            pool: Arc::clone(self),
            target: target.to_owned(),
            sender: Some(sender),
            is_reused,
            task,
            is_returned: false,
        }
    }
}

impl Lease {
    /// Sends a call; the answer's body is still to come.
    ///
    /// # Errors
    ///
    /// Returns how it failed, and whether the call is proved not to have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(sender) = &mut self.sender else {
            return Err(SendError::NotSent);
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Gives the connection back for another call, once its answer was read to the end.
    pub async fn give_back(mut self, reuse_for: Option<Duration>) {
        let (Some(reuse_for), Some(mut sender)) = (reuse_for, self.sender.take()) else {
            return;
        };
        // The answer's end and the connection's readiness are two steps of the same task.
        let ready = tokio::time::timeout(READY_LIMIT, sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let pool = Arc::clone(&self.pool);
        let mut kept = pool.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let of_target = kept.entry(self.target.clone()).or_default();
        if of_target.len() < KEPT_MAX {
            of_target.push(Kept {
                sender,
                task: self.task.clone(),
                usable_until: std::time::Instant::now() + reuse_for * REUSE_PERCENT / 100,
            });
            self.is_returned = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_returned {
            self.task.abort();
        }
    }
}
