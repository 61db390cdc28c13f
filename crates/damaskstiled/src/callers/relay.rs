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

use crate::completion::{self, ChatRequest, Usage};
use crate::plain_answer::PlainAnswer;
use crate::problem::{HandlerResult, Problem, json_response, with_body};
use crate::shared::{SharedState, ToCaller};

/// A call in progress.
///
/// It is dropped once the caller has the response or has disconnected; this closes the call.
#[derive(Debug)]
pub struct OpenCall {
    shared: Arc<SharedState>,
    handle: RequestHandle,
    messages: UnboundedReceiver<ToCaller>,
    key: RequestKey,
}

impl OpenCall {
    /// Wraps an opened call and counts it as an open response.
    pub fn new(
        shared: &Arc<SharedState>,
        handle: RequestHandle,
        messages: UnboundedReceiver<ToCaller>,
    ) -> Self {
        shared.response_opened();
        Self {
            shared: Arc::clone(shared),
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
        self.shared.close(self.handle);
        self.shared.response_closed();
    }
}

/// Collects all chunks of an answer, up to and with the outcome.
async fn collect(call: &mut OpenCall) -> (Vec<String>, Option<Outcome>) {
    let mut chunks = Vec::new();
    loop {
        match call.next().await {
            Some(ToCaller::Chunk(chunk)) => chunks.push(chunk),
            Some(ToCaller::Finished(outcome)) => return (chunks, Some(outcome)),
            _ => return (chunks, None),
        }
    }
}

fn unknown_outcome() -> HandlerResult {
    // The decision thread has ended without an outcome, so the request may or may not have run.
    let response = Response::builder().status(StatusCode::BAD_GATEWAY);
    with_body(response, "{\"outcome\":\"outcome_unknown\"}")
}

/// Returns a completion as a single JSON response.
pub async fn buffered(mut call: OpenCall, chat: &ChatRequest) -> HandlerResult {
    let (chunks, outcome) = collect(&mut call).await;
    match outcome {
        Some(Outcome::Answered(receipt)) => {
            let usage = Usage::new(receipt.prompt_tokens, receipt.output_tokens);
            let value = completion::assemble(&call.key, &chat.model, &chunks, usage);
            let mut answer = json_response(&value)?;
            if let Ok(key) = call.key.parse() {
                answer.headers_mut().insert("idempotency-key", key);
            }
            Ok(answer)
        }
        Some(outcome) => problem(&outcome, &call.key),
        None => unknown_outcome(),
    }
}

/// Returns the response of a plain service.
pub async fn plain(mut call: OpenCall) -> HandlerResult {
    let (chunks, outcome) = collect(&mut call).await;
    let answer = chunks
        .first()
        .and_then(|chunk| serde_json::from_str::<PlainAnswer>(chunk).ok());
    match (outcome, answer) {
        (Some(Outcome::Answered(_)), Some(answer)) => {
            let response = Response::builder()
                .status(answer.status)
                .header("content-type", answer.content_type)
                .header("idempotency-key", &call.key);
            with_body(response, from_hex(&answer.body_hex).unwrap_or_default())
        }
        (Some(outcome), _) if !outcome.is_answered() => problem(&outcome, &call.key),
        _ => unknown_outcome(),
    }
}

fn problem(outcome: &Outcome, key: &str) -> HandlerResult {
    match Problem::from_outcome(outcome, key) {
        Some(problem) => problem.to_response(key),
        None => unknown_outcome(),
    }
}

/// Returns a completion as a stream of server-sent events.
///
/// A request that fails before its first chunk gets an ordinary error response instead.
pub async fn streamed(mut call: OpenCall, chat: &ChatRequest) -> HandlerResult {
    let first = match call.next().await {
        Some(ToCaller::Finished(outcome)) if !outcome.is_answered() => {
            return problem(&outcome, &call.key);
        }
        Some(first) => first,
        None => return unknown_outcome(),
    };
    let key = call.key.clone();
    let frames = futures_util::stream::unfold(
        StreamState {
            call,
            first: Some(first),
            model: chat.model.clone(),
            wants_usage: chat.wants_usage,
            is_ended: false,
        },
        next_frame,
    );
    let response = Response::builder()
        .status(StatusCode::OK)
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-cache")
        .header("idempotency-key", key);
    with_body(response, Body::wrap(StreamBody::new(frames)))
}

struct StreamState {
    call: OpenCall,
    first: Option<ToCaller>,
    model: String,
    wants_usage: bool,
    is_ended: bool,
}

async fn next_frame(
    mut state: StreamState,
) -> Option<(Result<Frame<Bytes>, Infallible>, StreamState)> {
    if state.is_ended {
        return None;
    }
    let message = match state.first.take() {
        Some(first) => Some(first),
        None => state.call.next().await,
    };
    let text = match message {
        Some(ToCaller::Chunk(chunk)) => format!("data: {chunk}\n\n"),
        Some(ToCaller::Finished(outcome)) => {
            state.is_ended = true;
            last_events(&outcome, &state)
        }
        // The stream ends without its last event, which shows the caller that it is incomplete.
        _ => return None,
    };
    Some((Ok(Frame::data(Bytes::from(text))), state))
}

/// Returns the last events of a stream: `[DONE]` after a complete answer, otherwise an error event.
fn last_events(outcome: &Outcome, state: &StreamState) -> String {
    let key = &state.call.key;
    match outcome {
        Outcome::Answered(receipt) => {
            let done = "data: [DONE]\n\n";
            if !state.wants_usage {
                return done.to_owned();
            }
            let usage = Usage::new(receipt.prompt_tokens, receipt.output_tokens);
            let chunk = completion::usage_chunk(key, &state.model, usage);
            format!("data: {chunk}\n\n{done}")
        }
        _ => match Problem::from_outcome(outcome, key) {
            Some(problem) => format!("event: error\ndata: {}\n\n", problem.body),
            None => String::new(),
        },
    }
}
