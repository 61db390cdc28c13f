//! HTTP client that opens a new connection for each call.
//!
//! The server may close a pooled connection just as a call is written to it, and then it is unknown
//! whether the call was read. With a new connection for each call, a failure to connect proves that
//! nothing was sent.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;

use crate::errors::{Error, Result};
use crate::orderly_stream::{OrderlyStream, bound_unsent};
use crate::socket::connect;
use crate::status::is_final_status;

/// Maximum size of a response body that is read into memory, in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// An HTTP call to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the server, as IP and port.
    pub address: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers other than `host` and `content-length`, which are set on sending.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// Creates a call without headers and with an empty body.
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

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a call and returns the response as soon as its head has arrived.
///
/// The body is read from the returned response.
///
/// # Errors
///
/// `Invalid` if the call cannot be built, `NotConnected` if no byte was sent, `Broken` if some may
/// have been.
pub async fn send(call: Call) -> Result<Response<Incoming>> {
    let request = build(&call)?;
    let stream = connect(&call.address).await.map_err(Error::NotConnected)?;
    bound_unsent(&stream).map_err(Error::NotConnected)?;
    let stream = TokioIo::new(OrderlyStream::new(stream));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    tokio::spawn(async move {
        // An error of the connection also shows when the response body is read.
        let _ = connection.await;
    });
    check_status(sender.send_request(request).await?)
}

/// Returns an answer if its status is one that ends a call.
pub(crate) fn check_status<B>(answer: Response<B>) -> Result<Response<B>> {
    let status = answer.status();
    if is_final_status(status) {
        Ok(answer)
    } else {
        Err(Error::Broken(format!(
            "status {} ends no call",
            status.as_u16()
        )))
    }
}

/// Sends a call and reads the complete response within a time limit.
///
/// # Errors
///
/// `Invalid` if the call cannot be built, `NotConnected` if no byte was sent, `Broken` if some may
/// have been, and `TimedOut` if the time limit passed.
pub async fn send_and_collect(call: Call, limit: Duration) -> Result<Reply> {
    let exchange = async {
        let (head, body) = send(call).await?.into_parts();
        collect_body(head, body, limit).await
    };
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(Error::TimedOut))
}

/// Reads a response body into memory; each gap between two frames must be within the limit.
pub(crate) async fn collect_body(
    head: response::Parts,
    body: Incoming,
    gap_limit: Duration,
) -> Result<Reply> {
    let mut body = http_body_util::Limited::new(body, BODY_BYTES_MAX);
    let mut collected = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(gap_limit, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Error::TimedOut)? else {
            break;
        };
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            collected.extend_from_slice(&bytes);
        }
    }
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: collected.freeze(),
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
