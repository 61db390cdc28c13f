//! HTTP client that keeps its connections open and reuses them.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;

use crate::client::{Call, Reply, build, check_status, collect_body};
use crate::errors::{Error, Result};
use crate::orderly_stream::{OrderlyStream, bound_unsent};
use crate::socket::connect;

/// Longest gap between two frames of a response; many times the delay of a packet on a link that
/// other traffic fills.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a whole call, unless the caller's limit is longer. Changes must be in force within
/// seconds, so a response that takes longer than this would carry outdated data.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(5);

type Sender = SendRequest<Full<Bytes>>;

/// Maximum number of idle connections; few calls are made at a time.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// HTTP client for one address that reuses its connections.
///
/// A call fails with `Broken` if the server closes the connection while the call is sent, and it
/// may still have taken effect. So use it only for calls that can be repeated safely or whose
/// effect can be looked up.
#[derive(Debug)]
pub struct PooledClient {
    address: String,
    idle: Mutex<Vec<Sender>>,
}

impl PooledClient {
    /// Creates a client; connections are opened on demand.
    ///
    /// ```
    /// let client = damaskstile_http::PooledClient::new("127.0.0.1:80");
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
    /// would all time out, discard what they have and start again, and this load would keep the
    /// next attempts from finishing too. The symptom is calls that time out one after another while the
    /// server is up.
    ///
    /// # Errors
    ///
    /// `Invalid` if the call cannot be built, `NotConnected` if no byte was sent, `Broken` if some
    /// may have been, and `TimedOut` if one of the limits passed.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let exchange = tokio::time::timeout(TOTAL_TIMEOUT.max(limit), self.exchange(call, limit));
        match exchange.await {
            Ok(Err(Error::TimedOut)) | Err(_) => {}
            Ok(reply) => return reply,
        }
        // The idle connections may be dead as well, and each would cost a call its time limit.
        self.drop_idle();
        Err(Error::TimedOut)
    }

    async fn exchange(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let starting = tokio::time::timeout(limit, self.start(call));
        let (sender, head, body) = starting.await.map_err(|_| Error::TimedOut)??;
        let reply = collect_body(head, body, READ_TIMEOUT).await?;
        self.return_idle(sender);
        Ok(reply)
    }

    /// Sends a call and waits for the head of the response.
    async fn start(&self, call: &Call) -> Result<(Sender, response::Parts, Incoming)> {
        let request = build(call)?;
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.open_connection().await?,
        };
        let (head, body) = match sender.try_send_request(request).await {
            Ok(answer) => check_status(answer)?.into_parts(),
            Err(mut error) => {
                let Some(request) = error.take_message() else {
                    return Err(error.into_error().into());
                };
                // The connection was closed before the call was written to it, so it is safe to
                // send the call again on a new one.
                sender = self.open_connection().await?;
                check_status(sender.send_request(request).await?)?.into_parts()
            }
        };
        Ok((sender, head, body))
    }

    async fn open_connection(&self) -> Result<Sender> {
        let stream = connect(&self.address).await.map_err(Error::NotConnected)?;
        bound_unsent(&stream).map_err(Error::NotConnected)?;
        let stream = TokioIo::new(OrderlyStream::new(stream));
        let (sender, connection) = handshake(stream).await?;
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

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        std::iter::from_fn(|| idle.pop()).find(|sender| !sender.is_closed())
    }

    fn return_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
    }
}
