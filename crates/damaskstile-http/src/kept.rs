//! `kept` makes calls over connections that are kept for the next call.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;

use crate::client::{Call, Reply, build, read_whole};
use crate::errors::{Error, Result};
use crate::socket::connect;

/// Connections that are kept at most; calls are few at a time.
const KEPT_MAX: usize = 4;

/// `KeptClient` makes calls to one address over kept connections.
///
/// A call on a connection that the other side closes meanwhile counts as broken. That suits
/// calls whose repeat does no harm or whose effect can be looked up.
#[derive(Debug)]
pub struct KeptClient {
    address: String,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
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

    /// Makes a call and reads the whole answer, within a time limit.
    ///
    /// # Errors
    ///
    /// `NotConnected` where no byte was sent, `Broken` where some may have been.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Reply> {
        if let Ok(reply) = tokio::time::timeout(limit, self.exchange(call)).await {
            return reply;
        }
        // The idle connections may have fallen silent with this one, and each would cost a limit.
        self.drop_idle();
        Err(Error::Broken("no answer in time".to_owned()))
    }

    async fn exchange(&self, call: &Call) -> Result<Reply> {
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
        let reply = read_whole(head, body).await?;
        self.keep(sender);
        Ok(reply)
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>> {
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

    fn take(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        std::iter::from_fn(|| idle.pop()).find(|sender| !sender.is_closed())
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < KEPT_MAX && !sender.is_closed() {
            idle.push(sender);
        }
    }
}
