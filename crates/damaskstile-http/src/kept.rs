//! `kept` makes calls over connections that are kept for the next call.

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

/// Longest pause within an answer: many times what a packet takes over a link that others fill.
const PROGRESS_LIMIT: Duration = Duration::from_millis(800);
/// Longest time of a call that has no longer limit: what changes must be in force in seconds, and an
/// answer that takes so long brings what was true before.
const WHOLE_LIMIT: Duration = Duration::from_secs(5);

type Sender = SendRequest<Full<Bytes>>;

/// Connections that are kept at most; calls are few at a time.
const KEPT_MAX: usize = 4;

/// `KeptClient` makes calls to one address over kept connections.
///
/// A call on a connection that the other side closes meanwhile counts as broken. That suits
/// calls whose repeat does no harm or whose effect can be looked up.
#[derive(Debug)]
pub struct KeptClient {
    address: String,
    idle: Mutex<Vec<Sender>>,
}

impl KeptClient {
    /// Makes a client without connections.
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

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Makes a call and reads the whole answer. The limit is for the time until the answer begins;
    /// after that it is waited for as long as bytes come.
    ///
    /// Where hundreds read a large object at once, none is done within a limit for the whole: all
    /// are thrown away and begun anew, and the load that this makes keeps the next ones from ending
    /// too. One notices it by calls broken off one after another while the other side is up.
    ///
    /// # Errors
    ///
    /// `NotConnected` where no byte was sent, `Broken` where some may have been.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let exchange = tokio::time::timeout(WHOLE_LIMIT.max(limit), self.exchange(call, limit));
        match exchange.await {
            Ok(Err(Error::Silent)) | Err(_) => {}
            Ok(reply) => return reply,
        }
        // The idle connections may have fallen silent with this one, and each would cost a limit.
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

    /// Sends a call and waits for the head of its answer.
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
                // The connection was closed before the call was written to it.
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
            // How the connection ends shows in the call that was made on it.
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
