//! `client` makes single calls, each over a connection of its own.
//!
//! A pooled connection may be closed by the other side just as a call is written to it. Then
//! nobody can tell whether the call was read. With a connection of its own a call that could not
//! connect is proved not to have been sent.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;

use crate::errors::{Error, Result};
use crate::socket::connect;

/// Largest body that is read as a whole, in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// `Call` is one HTTP call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address as IP and port.
    pub address: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides host and length.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Makes a call without headers and body.
    ///
    /// ```
    /// use damaskstile_http::Call;
    /// let call = Call::new("127.0.0.1:80", http::Method::GET, "/status");
    /// assert!(call.body.is_empty());
    /// ```
    #[must_use]
    pub fn new(address: &str, method: Method, path: &str) -> Self {
        Self {
            address: address.to_owned(),
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// `Reply` is an answer that was read whole.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as text, with unreadable bytes replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a call and returns the answer's head; its body is still to come.
///
/// # Errors
///
/// `NotConnected` where no byte was sent, `Broken` where some may have been.
pub async fn send(call: Call) -> Result<Response<Incoming>> {
    let request = build(&call)?;
    let stream = connect(&call.address).await.map_err(Error::NotConnected)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // The connection ends with the answer's body; its error shows there.
        let _ = connection.await;
    });
    Ok(sender.send_request(request).await?)
}

/// Sends a call and reads the whole answer, within a time limit.
///
/// # Errors
///
/// `NotConnected` where no byte was sent, `Broken` where some may have been.
pub async fn send_whole(call: Call, limit: Duration) -> Result<Reply> {
    let exchange = async {
        let (head, body) = send(call).await?.into_parts();
        read_whole(head, body, limit).await
    };
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(Error::Silent))
}

/// Reads the rest of an answer, in which no pause is longer than the limit.
pub(crate) async fn read_whole(
    head: response::Parts,
    body: Incoming,
    pause_limit: Duration,
) -> Result<Reply> {
    let mut body = http_body_util::Limited::new(body, BODY_BYTES_MAX);
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(pause_limit, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Error::Silent)? else {
            break;
        };
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            whole.extend_from_slice(&bytes);
        }
    }
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: whole.freeze(),
    })
}

pub(crate) fn build(call: &Call) -> Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, &call.address);
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    request
        .body(Full::new(call.body.clone()))
        .map_err(|error| Error::Invalid(error.to_string()))
}
