//! Builds the HTTP responses of calls: streamed, buffered, or from a plain service.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile::core::hex::from_hex;
use damaskstile::core::prelude::*;
use dropshot::Body;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::completion::{self, Asked, Tokens};
use crate::front::{Front, ToCaller};
use crate::plain_answer::PlainAnswer;
use crate::problem::{Answer, Problem, finish, json_answer};

/// A call in progress.
///
/// It is dropped once the caller has the response or has disconnected; this closes the call.
#[derive(Debug)]
pub struct OpenCall {
    front: Arc<Front>,
    handle: RequestHandle,
    messages: UnboundedReceiver<ToCaller>,
    key: RequestKey,
}

impl OpenCall {
    /// Wraps an opened call and counts it as an open response.
    pub fn new(
        front: &Arc<Front>,
        handle: RequestHandle,
        messages: UnboundedReceiver<ToCaller>,
    ) -> Self {
        front.stream_opened();
        Self {
            front: Arc::clone(front),
            handle,
            messages,
            key: String::new(),
        }
    }

    /// Returns the next chunk or the outcome, or `None` if the decision thread has ended.
    async fn next(&mut self) -> Option<ToCaller> {
        loop {
            match self.messages.recv().await? {
                ToCaller::Accepted(key) => self.key = key,
                other => return Some(other),
            }
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.front.close(self.handle);
        self.front.stream_closed();
    }
}

/// Collects all chunks of an answer, up to and with the outcome.
async fn collect(call: &mut OpenCall) -> (Vec<String>, Option<Outcome>) {
    let mut pieces = Vec::new();
    loop {
        match call.next().await {
            Some(ToCaller::Piece(piece)) => pieces.push(piece),
            Some(ToCaller::Answer(outcome)) => return (pieces, Some(outcome)),
            _ => return (pieces, None),
        }
    }
}

fn lost() -> Answer {
    // The decision thread has ended without an outcome, so the request may or may not have run.
    let response = Response::builder().status(StatusCode::BAD_GATEWAY);
    finish(response, "{\"outcome\":\"outcome_unknown\"}")
}

/// Returns a completion as a single JSON response.
pub async fn whole(mut call: OpenCall, asked: &Asked) -> Answer {
    let (pieces, outcome) = collect(&mut call).await;
    match outcome {
        Some(Outcome::Answered(receipt)) => {
            let tokens = Tokens::new(receipt.prompt_tokens, receipt.output_tokens);
            let value = completion::whole(&call.key, &asked.model, &pieces, tokens);
            let mut answer = json_answer(&value)?;
            if let Ok(key) = call.key.parse() {
                answer.headers_mut().insert("idempotency-key", key);
            }
            Ok(answer)
        }
        Some(outcome) => problem(&outcome, &call.key),
        None => lost(),
    }
}

/// Returns the response of a plain service.
pub async fn plain(mut call: OpenCall) -> Answer {
    let (pieces, outcome) = collect(&mut call).await;
    let answer = pieces
        .first()
        .and_then(|piece| serde_json::from_str::<PlainAnswer>(piece).ok());
    match (outcome, answer) {
        (Some(Outcome::Answered(_)), Some(answer)) => {
            let response = Response::builder()
                .status(answer.status)
                .header("content-type", answer.content_type)
                .header("idempotency-key", &call.key);
            finish(response, from_hex(&answer.body_hex).unwrap_or_default())
        }
        (Some(outcome), _) if !outcome.is_answered() => problem(&outcome, &call.key),
        _ => lost(),
    }
}

fn problem(outcome: &Outcome, key: &str) -> Answer {
    match Problem::of(outcome, key) {
        Some(problem) => problem.answer(key),
        None => lost(),
    }
}

/// Returns a completion as a stream of server-sent events.
///
/// A request that fails before its first chunk gets an ordinary error response instead.
pub async fn stream(mut call: OpenCall, asked: &Asked) -> Answer {
    let first = match call.next().await {
        Some(ToCaller::Answer(outcome)) if !outcome.is_answered() => {
            return problem(&outcome, &call.key);
        }
        Some(first) => first,
        None => return lost(),
    };
    let key = call.key.clone();
    let pieces = futures_util::stream::unfold(
        Pieces {
            call,
            first: Some(first),
            model: asked.model.clone(),
            wants_usage: asked.wants_usage,
            is_ended: false,
        },
        next_frame,
    );
    let response = Response::builder()
        .status(StatusCode::OK)
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-cache")
        .header("idempotency-key", key);
    finish(response, Body::wrap(StreamBody::new(pieces)))
}

struct Pieces {
    call: OpenCall,
    first: Option<ToCaller>,
    model: String,
    wants_usage: bool,
    is_ended: bool,
}

async fn next_frame(mut pieces: Pieces) -> Option<(Result<Frame<Bytes>, Infallible>, Pieces)> {
    if pieces.is_ended {
        return None;
    }
    let message = match pieces.first.take() {
        Some(first) => Some(first),
        None => pieces.call.next().await,
    };
    let text = match message {
        Some(ToCaller::Piece(piece)) => format!("data: {piece}\n\n"),
        Some(ToCaller::Answer(outcome)) => {
            pieces.is_ended = true;
            last_events(&outcome, &pieces)
        }
        // The stream ends without its last event, which shows the caller that it is incomplete.
        _ => return None,
    };
    Some((Ok(Frame::data(Bytes::from(text))), pieces))
}

/// Returns the last events of a stream: `[DONE]` after a complete answer, otherwise an error event.
fn last_events(outcome: &Outcome, pieces: &Pieces) -> String {
    let key = &pieces.call.key;
    match outcome {
        Outcome::Answered(receipt) => {
            let done = "data: [DONE]\n\n";
            if !pieces.wants_usage {
                return done.to_owned();
            }
            let tokens = Tokens::new(receipt.prompt_tokens, receipt.output_tokens);
            let usage = completion::usage_chunk(key, &pieces.model, tokens);
            format!("data: {usage}\n\n{done}")
        }
        _ => match Problem::of(outcome, key) {
            Some(problem) => format!("event: error\ndata: {}\n\n", problem.body),
            None => String::new(),
        },
    }
}
