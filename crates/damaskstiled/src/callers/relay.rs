//! `relay` passes answers on to callers, streamed or whole.

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

/// `OpenCall` is a call on its way. When it is dropped the caller has its answer, or has gone.
#[derive(Debug)]
pub struct OpenCall {
    front: Arc<Front>,
    handle: RequestHandle,
    messages: UnboundedReceiver<ToCaller>,
    key: RequestKey,
}

impl OpenCall {
    /// Makes the call.
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

    /// Returns the next piece or the final word.
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

/// Reads all pieces of an answer, up to the final word.
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
    // The deciding thread has ended; whether the request ran is not known here.
    let response = Response::builder().status(StatusCode::BAD_GATEWAY);
    finish(response, "{\"outcome\":\"outcome_unknown\"}")
}

/// Answers a completion in one piece.
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

/// Answers a call of a plain service.
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

/// Answers a completion as a stream. A request that was refused gets no stream.
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
        // Without the last event the caller sees that the stream was cut.
        _ => return None,
    };
    Some((Ok(Frame::data(Bytes::from(text))), pieces))
}

/// Ends a stream: with the customary mark if the answer is whole, with a problem if it is not.
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
