//! Leases: connections to targets while calls use them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_http::UnreadAnswer;
use http::{Request, Response};
use http_body_util::Full;
use tokio::task::AbortHandle;

use crate::answer_body::AnswerBody;
use crate::pool::{Pool, Sender};
use crate::target_connection::TargetConnection;

/// Percentage of the target's keep-alive time during which a connection is reused. Close to its end
/// the target may close the connection just as a call is written, and it would be unknown whether
/// the call ran.
const REUSE_PERCENT: u32 = 70;
/// Time limit for a connection to become ready again after its answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// `Lease` is a connection in use. If it is dropped before it is given back, the connection is
/// closed, which cancels the target's work on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    target: TargetIdentity,
    sender: Option<Sender>,
    /// Whether earlier calls were sent on this connection.
    pub is_reused: bool,
    /// The peer through which the connection leads, if it is not direct.
    pub peer: Option<SocketAddr>,
    task: AbortHandle,
    unread: Arc<UnreadAnswer>,
    is_returned: bool,
}

/// `SendError` tells how far an unanswered call got.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the call was sent.
    NotSent,
    /// The target may have read the call.
    Broken(String),
}

impl Lease {
    pub(crate) fn new(
        pool: &Arc<Pool>,
        target: &TargetIdentity,
        connection: TargetConnection,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            target: target.clone(),
            sender: Some(connection.sender),
            is_reused: false,
            peer: connection.peer,
            task: connection.task,
            unread: connection.unread,
            is_returned: false,
        }
    }

    /// Marks the connection as one on which earlier calls were sent.
    pub(crate) fn reused(mut self) -> Self {
        self.is_reused = true;
        self
    }

    /// Sends a call and returns the head of the answer; its body is still to be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; it tells whether the call is proved not to have been
    /// sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, SendError> {
        let Some(sender) = &mut self.sender else {
            return Err(SendError::NotSent);
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.unread.clear();
                Ok(response.map(|body| AnswerBody::new(body, &self.unread)))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Waits until another call can be sent after an answer was read to the end; returns whether one
    /// can.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        let Some(sender) = &mut self.sender else {
            return false;
        };
        // The end of the answer and the readiness of the connection are two steps of the same task.
        let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Returns the connection to the pool once its answer was read to the end.
    pub async fn give_back(mut self, reuse_for: Option<Duration>) {
        let Some(reuse_for) = reuse_for else {
            return;
        };
        if !self.is_reusable().await {
            return;
        }
        let Some(sender) = self.sender.take() else {
            return;
        };
        let usable_until = std::time::Instant::now() + reuse_for * REUSE_PERCENT / 100;
        let connection = TargetConnection {
            sender,
            task: self.task.clone(),
            unread: Arc::clone(&self.unread),
            peer: self.peer,
        };
        let kept = self.pool.keep(&self.target, connection, usable_until);
        self.is_returned = kept;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_returned {
            self.task.abort();
        }
    }
}
