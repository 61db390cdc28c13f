//! HTTP client that keeps its connections open and reuses them.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;

use crate::client::{Call, Reply, build, read_whole};
use crate::errors::{Error, Result};
use crate::socket::connect;

/// Longest gap between two frames of a response; many times the delay of a packet on a link that
/// other traffic fills.
const PROGRESS_LIMIT: Duration = Duration::from_millis(800);
/// Timeout of a whole call, unless the caller's limit is longer. Changes must be in force within
/// seconds, so a response that takes longer than this would carry outdated data.
const WHOLE_LIMIT: Duration = Duration::from_secs(5);

type Sender = SendRequest<Full<Bytes>>;

/// Maximum number of idle connections; few calls are made at a time.
const KEPT_MAX: usize = 4;

/// HTTP client for one address that reuses its connections.
///
/// A call fails with `Broken` if the server closes the connection while the call is sent, and it may
/// still have taken effect. So use it only for calls that can be repeated safely or whose effect can
/// be looked up.
#[derive(Debug)]
pub struct KeptClient {
    address: String,
    idle: Mutex<Vec<Sender>>,
}

impl KeptClient {
    /// Creates a client; connections are opened on demand.
    ///
    /// ```
    /// let client = damaskstile_http::KeptClient::new("127.0.0.1:80");
    /// assert_eq!(client.address(), "127.0.0.1:80");
    /// ```
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a call and reads the complete response.
    ///
    /// `limit` applies until the head of the response arrives. After that the body is read for as
    /// long as no gap between two frames exceeds 800 ms, up to 5 s in all or `limit` if longer.
    ///
    /// With one limit for the whole response, hundreds of clients that read a large object at once
    /// would all time out, discard what they have and start again, and this load would keep the next
    /// attempts from finishing too. The symptom is calls that time out one after another while the
    /// server is up.
    ///
    /// # Errors
    ///
    /// `Invalid` if the call cannot be built, `NotConnected` if no byte was sent, `Broken` if some
    /// may have been, and `Silent` if one of the limits passed.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let exchange = tokio::time::timeout(WHOLE_LIMIT.max(limit), self.exchange(call, limit));
        match exchange.await {
            Ok(Err(Error::Silent)) | Err(_) => {}
            Ok(reply) => return reply,
        }
        // The idle connections may be dead as well, and each would cost a call its time limit.
        self.drop_idle();
        Err(Error::Silent)
    }

    async fn exchange(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let beginning = tokio::time::timeout(limit, self.begin(call));
        let (sender, head, body) = beginning.await.map_err(|_| Error::Silent)??;
        let reply = read_whole(head, body, PROGRESS_LIMIT).await?;
        self.keep(sender);
        Ok(reply)
    }

    /// Sends a call and waits for the head of the response.
    async fn begin(&self, call: &Call) -> Result<(Sender, response::Parts, Incoming)> {
        let request = build(call)?;
        let mut sender = match self.take() {
            Some(sender) => sender,
            None => self.open().await?,
        };
        let (head, body) = match sender.try_send_request(request).await {
            Ok(answer) => answer.into_parts(),
            Err(mut error) => {
                let Some(request) = error.take_message() else {
                    return Err(error.into_error().into());
                };
                // The connection was closed before the call was written to it, so it is safe to send
                // the call again on a new one.
                sender = self.open().await?;
                sender.send_request(request).await?.into_parts()
            }
        };
        Ok((sender, head, body))
    }

    async fn open(&self) -> Result<Sender> {
        let stream = connect(&self.address).await.map_err(Error::NotConnected)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // An error of the connection also shows in the call that was made on it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn drop_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    fn take(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        std::iter::from_fn(|| idle.pop()).find(|sender| !sender.is_closed())
    }

    fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < KEPT_MAX && !sender.is_closed() {
            idle.push(sender);
        }
    }
}
