//! `lease` is a connection to a target while a call uses it.

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::task::AbortHandle;

use crate::pool::{Pool, Sender};

/// Part of the time for which a target keeps a connection that is used. Closer to the end the
/// target may close it just as a call is written, and nobody could tell whether the call ran.
const REUSE_PERCENT: u32 = 70;
/// Time in which a connection whose answer was read must be ready again.
const READY_LIMIT: Duration = Duration::from_millis(5);

/// `Lease` is a connection in use. Dropped before it is given back, it is closed, which cancels
/// what the target does on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    target: TargetIdentity,
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

impl Lease {
    pub(crate) fn new(
        pool: &Arc<Pool>,
        target: &TargetIdentity,
        sender: Sender,
        task: AbortHandle,
        is_reused: bool,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            target: target.clone(),
            sender: Some(sender),
            is_reused,
            task,
            is_returned: false,
        }
    }

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
        let usable_until = std::time::Instant::now() + reuse_for * REUSE_PERCENT / 100;
        let task = self.task.clone();
        self.is_returned = self.pool.keep(&self.target, sender, task, usable_until);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_returned {
            self.task.abort();
        }
    }
}
