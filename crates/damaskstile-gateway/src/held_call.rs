//! Guard of what is held for a call.

use std::sync::Arc;

use bytes::Bytes;
use http::request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;

use crate::body_failure::BodyFailure;
use crate::caller_connection::CallerConnection;
use crate::caller_resources::{CallNumber, ConnectionNumber, ReleaseCause};
use crate::gateway::Gateway;

/// Counts what is held for a call until it is dropped.
#[derive(Debug, Default)]
pub struct HeldCall {
    /// `None` if nothing is held.
    held: Option<Held>,
}

#[derive(Debug)]
struct Held {
    gateway: Arc<Gateway>,
    connection: ConnectionNumber,
    call: CallNumber,
    denied: Arc<Notify>,
}

impl HeldCall {
    /// Begins to count a call whose head was received.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for the call.
    pub fn begin(
        gateway: &Arc<Gateway>,
        caller: &CallerConnection,
        head: &request::Parts,
    ) -> Result<Self, ReleaseCause> {
        let now = gateway.now();
        let fields = head.headers.iter();
        let bytes = fields.map(|(name, value)| name.as_str().len() + value.len());
        let bytes = bytes.sum::<usize>() + head.uri.path().len();
        let count = head.headers.len();
        let call = gateway
            .caller_resources()
            .begin_call(now, caller.number, count, bytes)?;
        Ok(Self {
            held: Some(Held {
                gateway: Arc::clone(gateway),
                connection: caller.number,
                call,
                denied: Arc::clone(&caller.denied),
            }),
        })
    }

    /// Receives the body of the call.
    ///
    /// # Errors
    ///
    /// Returns why the body is not complete; the call has not run then.
    pub(crate) async fn receive(
        &self,
        mut body: Incoming,
        bytes_max: usize,
    ) -> Result<Bytes, BodyFailure> {
        let Some(held) = &self.held else {
            return Err(BodyFailure::Denied);
        };
        let announced = body.size_hint();
        let is_within = |bytes: u64| usize::try_from(bytes).is_ok_and(|bytes| bytes <= bytes_max);
        if !is_within(announced.lower()) {
            return Err(BodyFailure::TooLarge);
        }
        let expected = announced.exact().map_or(bytes_max, |bytes| {
            usize::try_from(bytes).unwrap_or(bytes_max)
        });
        let mut received = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = held.denied.notified() => {
                    // A notification that is left over from an earlier call means nothing.
                    if held.gateway.caller_resources().is_denied(held.connection) {
                        return Err(BodyFailure::Denied);
                    }
                    continue;
                }
                frame = body.frame() => frame,
            };
            let data = match frame {
                None => break,
                Some(Err(_)) => return Err(BodyFailure::Broken),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            received += data.len();
            if received > bytes_max {
                return Err(BodyFailure::TooLarge);
            }
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            resources
                .receive(now, held.connection, &data, expected)
                .map_err(|_| BodyFailure::Denied)?;
        }
        let now = held.gateway.now();
        let mut resources = held.gateway.caller_resources();
        if resources.is_denied(held.connection) {
            return Err(BodyFailure::Denied);
        }
        Ok(resources.take_body(now, held.connection))
    }
}

impl Drop for HeldCall {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            resources.end_call(now, held.connection, held.call);
        }
    }
}
