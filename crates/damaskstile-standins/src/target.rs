//! HTTP API of the stand-in for a target: a replica of a model engine or a plain service.

mod engine;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, Path, RequestContext, TypedBody, UntypedBody, endpoint,
};
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{HandlerResult, json};

pub use engine::{Engine, Faults, Run, StartError};

/// Header with the identifier of the run.
pub const RUN_HEADER: &str = "x-damaskstile-run";
/// Header with the name of the client account.
pub const ACCOUNT_HEADER: &str = "x-damaskstile-account";
/// Header with the key of the request.
pub const KEY_HEADER: &str = "x-damaskstile-key";
/// Header with the index of the chunk from which a run is resumed.
pub const RESUME_HEADER: &str = "x-damaskstile-resume-from";

#[derive(Debug, Deserialize, JsonSchema)]
struct RunPath {
    run: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    path: Vec<String>,
}

/// A platform's order to a target, such as to load a model, with a fencing number.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number; a target that checks it refuses an order unless its number is higher than
    /// those of all orders accepted before.
    pub fencing: u64,
    /// Action, such as `load_model`.
    pub order: String,
    /// Argument of the action, such as the name of a model.
    pub argument: String,
}

fn header<'a>(rqctx: &'a RequestContext<Arc<Engine>>, name: &str) -> &'a str {
    rqctx
        .request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Runs a completion, or resumes one.
#[endpoint { method = POST, path = "/v1/chat/completions", unpublished = true }]
async fn complete(rqctx: RequestContext<Arc<Engine>>, body: UntypedBody) -> HandlerResult {
    let engine = Arc::clone(rqctx.context());
    let text = body.as_str()?.to_owned();
    let resume_from: usize = header(&rqctx, RESUME_HEADER).parse().unwrap_or(0);
    let mut run = header(&rqctx, RUN_HEADER).to_owned();
    if run.is_empty() {
        run = engine.generate_run_id();
    }
    let account = header(&rqctx, ACCOUNT_HEADER).to_owned();
    let key = header(&rqctx, KEY_HEADER).to_owned();
    match engine.start(&run, &account, &key, &text, resume_from > 0) {
        Ok(()) => {}
        Err(StartError::Busy) => return json(StatusCode::TOO_MANY_REQUESTS, &"busy"),
        Err(StartError::Leaving) => return json(StatusCode::SERVICE_UNAVAILABLE, &"leaving"),
        Err(StartError::Unknown) => return json(StatusCode::CONFLICT, &"no such run"),
        Err(StartError::Malformed) => return json(StatusCode::BAD_REQUEST, &"malformed"),
    }
    let stream = futures_util::stream::unfold(
        (engine, run, resume_from),
        |(engine, run, next)| async move {
            let text = engine.next_event(&run, next).await?;
            let frame = Frame::data(Bytes::from(text));
            Some((Ok::<_, Infallible>(frame), (engine, run, next + 1)))
        },
    );
    Response::builder()
        .status(StatusCode::OK)
        .header("content-type", "text/event-stream")
        .body(Body::wrap(StreamBody::new(stream)))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Answers a call of a plain service.
#[endpoint { method = POST, path = "/plain/{path:.*}", unpublished = true }]
async fn plain_call(
    rqctx: RequestContext<Arc<Engine>>,
    path: Path<CallPath>,
    body: UntypedBody,
) -> HandlerResult {
    let engine = rqctx.context();
    let path = path.into_inner().path.join("/");
    let run = header(&rqctx, RUN_HEADER).to_owned();
    let account = header(&rqctx, ACCOUNT_HEADER).to_owned();
    let key = header(&rqctx, KEY_HEADER).to_owned();
    let size = body.as_bytes().len();
    if !engine.start_plain(&run, &account, &key).await {
        return json(StatusCode::CONFLICT, &"fenced");
    }
    json(
        StatusCode::OK,
        &serde_json::json!({"path": path, "received_bytes": size}),
    )
}

/// Returns the state of a run. An unknown run is fenced, so that it cannot start later.
#[endpoint { method = GET, path = "/v1/runs/{run}" }]
async fn get_run(rqctx: RequestContext<Arc<Engine>>, path: Path<RunPath>) -> HandlerResult {
    let state = rqctx.context().state_of(&path.into_inner().run);
    json(StatusCode::OK, &state)
}

/// Cancels a run.
#[endpoint { method = DELETE, path = "/v1/runs/{run}" }]
async fn cancel_run(rqctx: RequestContext<Arc<Engine>>, path: Path<RunPath>) -> HandlerResult {
    rqctx.context().cancel(&path.into_inner().run);
    json(StatusCode::OK, &"cancelled")
}

/// Returns the status of the target, with its load as of `report_lag_ms` ago.
#[endpoint { method = GET, path = "/status" }]
async fn get_status(rqctx: RequestContext<Arc<Engine>>) -> HandlerResult {
    json(StatusCode::OK, &rqctx.context().status())
}

/// Returns all runs that the target executed, as the reference for billing.
#[endpoint { method = GET, path = "/ledger" }]
async fn get_ledger(rqctx: RequestContext<Arc<Engine>>) -> HandlerResult {
    json(StatusCode::OK, &rqctx.context().ledger())
}

/// Replaces the faults.
#[endpoint { method = PUT, path = "/faults" }]
async fn put_faults(rqctx: RequestContext<Arc<Engine>>, body: TypedBody<Faults>) -> HandlerResult {
    rqctx.context().set_faults(body.into_inner());
    json(StatusCode::OK, &"set")
}

/// Executes an order.
#[endpoint { method = PUT, path = "/orders" }]
async fn put_order(rqctx: RequestContext<Arc<Engine>>, body: TypedBody<Order>) -> HandlerResult {
    let order = body.into_inner();
    // A real order takes a while; the stand-in records it and applies only `drain` and `return`.
    tokio::time::sleep(Duration::from_millis(1)).await;
    if rqctx.context().execute_order(order) {
        json(StatusCode::OK, &"done")
    } else {
        json(StatusCode::CONFLICT, &"old fencing number")
    }
}

/// Lists the accepted orders.
#[endpoint { method = GET, path = "/orders" }]
async fn get_orders(rqctx: RequestContext<Arc<Engine>>) -> HandlerResult {
    json(StatusCode::OK, &rqctx.context().orders())
}

/// Builds the API of the stand-in.
///
/// # Errors
///
/// Returns an error if two endpoints conflict.
pub fn api() -> anyhow::Result<ApiDescription<Arc<Engine>>> {
    let mut api = ApiDescription::new();
    api.register(complete)?;
    api.register(plain_call)?;
    api.register(get_run)?;
    api.register(cancel_run)?;
    api.register(get_status)?;
    api.register(get_ledger)?;
    api.register(put_faults)?;
    api.register(put_order)?;
    api.register(get_orders)?;
    Ok(api)
}
