//! The targets thread: sends requests to targets, reads their answers and queries their state.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use damaskstile::core::hex::to_hex;
use damaskstile::core::prelude::*;
use damaskstile_http::{AnswerReader, Call, Error, RequestTarget, send, send_and_collect};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::AbortHandle;

use crate::completion;
use crate::plain_answer::PlainAnswer;
use crate::shared::{RawRequest, SharedState};
use crate::threads;
use damaskstile_gateway::clock::Clock;

/// Capacity of the queue to the targets thread.
const TARGETS_QUEUE_SIZE: usize = 4096;
/// Timeout of a cancellation or of a query for a run's state or a target's load.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest gap between two frames of an answer before the run counts as broken; for a plain service
/// the time limit of the whole call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A message to the targets thread.
#[derive(Debug)]
pub enum ToTargets {
    /// Sends a request.
    Dispatch(Box<Dispatch>),
    /// Cancels a run.
    Cancel {
        /// The run.
        run: RunId,
    },
    /// Asks a target for the state of a run.
    Inquire {
        /// The run.
        run: RunId,
        /// Address of the target.
        address: String,
    },
    /// Asks a target for its status.
    Probe {
        /// The target.
        target: TargetId,
        /// Address of the target.
        address: String,
    },
}

/// Runs whose answers are being read, each with its target's address and its reader task.
type ActiveRuns = Arc<Mutex<BTreeMap<RunId, (String, AbortHandle)>>>;

/// Starts the thread and returns the queue to it.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start(shared: Arc<SharedState>, clock: Clock) -> anyhow::Result<Sender<ToTargets>> {
    let (sender, receiver) = mpsc::channel(TARGETS_QUEUE_SIZE);
    threads::spawn_async("targets", run(shared, clock, receiver))?;
    Ok(sender)
}

async fn run(shared: Arc<SharedState>, clock: Clock, mut messages: Receiver<ToTargets>) {
    let active_runs: ActiveRuns = Arc::default();
    while let Some(message) = messages.recv().await {
        let shared = Arc::clone(&shared);
        match message {
            ToTargets::Dispatch(dispatch) => {
                let run = dispatch.run.clone();
                let address = dispatch.address.clone();
                let runs = Arc::clone(&active_runs);
                let task = tokio::spawn(async move {
                    let run = dispatch.run.clone();
                    dispatch_run(&shared, clock, *dispatch).await;
                    lock(&runs).remove(&run);
                });
                lock(&active_runs).insert(run, (address, task.abort_handle()));
            }
            ToTargets::Cancel { run } => {
                if let Some((address, task)) = lock(&active_runs).remove(&run) {
                    task.abort();
                    tokio::spawn(cancel(run, address));
                }
            }
            ToTargets::Inquire { run, address } => {
                tokio::spawn(inquire(shared, run, address));
            }
            ToTargets::Probe { target, address } => {
                tokio::spawn(probe(shared, target, address));
            }
        }
    }
}

fn lock(
    active_runs: &ActiveRuns,
) -> std::sync::MutexGuard<'_, BTreeMap<RunId, (String, AbortHandle)>> {
    active_runs.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn report(shared: &SharedState, run: &RunId, report: RunReport) {
    let event = Event::Run {
        run: run.clone(),
        report,
    };
    shared.submit(event).await;
}

async fn dispatch_run(shared: &SharedState, clock: Clock, dispatch: Dispatch) {
    let run = dispatch.run.clone();
    let Some(raw) = shared.body(dispatch.request) else {
        report(shared, &run, RunReport::Unreachable).await;
        return;
    };
    // The process may have been paused since the decision, and the target may be leaving by now.
    // Nothing has been sent yet, so the run is reported as unreachable.
    if clock.now() > dispatch.expires_at {
        report(shared, &run, RunReport::Unreachable).await;
        return;
    }
    let is_resumed = dispatch.resume_from > 0;
    let answer = if raw.path.is_empty() {
        complete(shared, &dispatch, &raw).await
    } else {
        call_plain(shared, &dispatch, &raw).await
    };
    let last = match answer {
        Ok(()) => return,
        Err(Error::NotConnected(_) | Error::Invalid(_)) if !is_resumed => RunReport::Unreachable,
        Err(Error::Unexpected { status, .. }) if !is_resumed => report_for_status(status),
        Err(_) => RunReport::Broken,
    };
    report(shared, &run, last).await;
}

/// Maps an error status of a target to a report.
fn report_for_status(status: u16) -> RunReport {
    match status {
        // The target did not accept the request.
        409 | 429 | 503 => RunReport::Refused,
        400..=499 => RunReport::Rejected,
        _ => RunReport::Broken,
    }
}

fn with_run_headers(call: Call, dispatch: &Dispatch) -> Call {
    call.header("x-damaskstile-run", &dispatch.run)
        .header("x-damaskstile-account", &dispatch.account)
        .header("x-damaskstile-key", &dispatch.key)
        .header(
            "x-damaskstile-priority",
            &format!("{:?}", dispatch.priority).to_lowercase(),
        )
        .header(
            "x-damaskstile-resume-from",
            &dispatch.resume_from.to_string(),
        )
}

async fn complete(
    shared: &SharedState,
    dispatch: &Dispatch,
    raw: &RawRequest,
) -> Result<(), Error> {
    let body = completion::target_body(&raw.body, dispatch.cap_tokens)
        .map_err(|error| Error::Invalid(error.to_string()))?;
    let call = Call::new(&dispatch.address, Method::POST, "/v1/chat/completions")
        .header("content-type", "application/json")
        .body(body);
    let response = send(with_run_headers(call, dispatch)).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Unexpected {
            status: response.status().as_u16(),
            body: String::new(),
        });
    }
    let mut body = response.into_body();
    let mut reader = AnswerReader::new(dispatch.resume_from);
    loop {
        let frame = tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else {
            return Err(Error::Broken(
                "the stream ended or stalled before its last event".to_owned(),
            ));
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        for chunk_report in reader.push(&bytes) {
            report(shared, &dispatch.run, chunk_report).await;
        }
        if reader.is_done() {
            return Ok(());
        }
    }
}

async fn call_plain(
    shared: &SharedState,
    dispatch: &Dispatch,
    raw: &RawRequest,
) -> Result<(), Error> {
    let path = format!("/{}", raw.path);
    let call = Call::new(&dispatch.address, raw.method.clone(), &path)
        .header("content-type", &raw.content_type)
        .body(raw.body.clone());
    let reply = send_and_collect(with_run_headers(call, dispatch), IDLE_TIMEOUT).await?;
    let content_type = reply
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let answer = PlainAnswer {
        status: reply.status.as_u16(),
        content_type: content_type.to_owned(),
        body_hex: to_hex(&reply.body),
    };
    let data = serde_json::to_string(&answer).map_err(|error| Error::Broken(error.to_string()))?;
    let chunk = RunReport::Chunk {
        index: 0,
        tokens: 0,
        data,
    };
    report(shared, &dispatch.run, chunk).await;
    let finished = RunReport::Finished {
        chunks: 1,
        prompt_tokens: u64::MAX,
        output_tokens: 0,
    };
    report(shared, &dispatch.run, finished).await;
    Ok(())
}

fn run_path(run: &str) -> String {
    let target = RequestTarget::new("/v1/runs").segment(run);
    target.to_string()
}

async fn cancel(run: RunId, address: String) {
    let call = Call::new(&address, Method::DELETE, &run_path(&run));
    let _ = send_and_collect(call, QUERY_TIMEOUT).await;
}

async fn inquire(shared: Arc<SharedState>, run: RunId, address: String) {
    let call = Call::new(&address, Method::GET, &run_path(&run));
    let state = match send_and_collect(call, QUERY_TIMEOUT).await {
        Ok(reply) if reply.status == StatusCode::OK => {
            serde_json::from_slice(&reply.body).unwrap_or(RunState::Unreachable)
        }
        _ => RunState::Unreachable,
    };
    report(&shared, &run, RunReport::State(state)).await;
}

async fn probe(shared: Arc<SharedState>, target: TargetId, address: String) {
    let call = Call::new(&address, Method::GET, "/status");
    let status = match send_and_collect(call, QUERY_TIMEOUT).await {
        Ok(reply) if reply.status == StatusCode::OK => serde_json::from_slice(&reply.body).ok(),
        _ => None,
    };
    shared.submit(Event::TargetStatus { target, status }).await;
}
