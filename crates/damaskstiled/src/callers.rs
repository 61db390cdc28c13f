//! HTTP server for callers: chat completions, plain services and request look-ups.

mod relay;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile::core::codes::RefusalCode;
use damaskstile::core::hex::to_hex;
use damaskstile::core::prelude::*;
use damaskstile::core::random::stable_hash;
use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServerStarter, Path, RequestContext,
    UntypedBody, endpoint,
};
use http::{HeaderMap, Method};
use schemars::JsonSchema;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use slog::Logger;

use crate::completion;
use crate::config::Config;
use crate::problem::{HandlerResult, Problem, json_response};
use crate::shared::{RawRequest, SharedState, ToCaller};
use crate::threads;

/// Maximum size of a request body, in bytes.
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

type Context = RequestContext<Arc<SharedState>>;

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    path: Vec<String>,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct KeyPath {
    key: String,
}

/// Starts the server on a dedicated runtime with two worker threads.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or a thread cannot be started.
pub fn start(config: &Config, shared: Arc<SharedState>) -> anyhow::Result<()> {
    let api = api()?;
    let server_config = ConfigDropshot {
        bind_address: config.callers_address,
        default_request_body_max_bytes: BODY_BYTES_MAX,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The server would log each call; the numbered events already do.
    let quiet = Logger::root(slog::Discard, slog::o!());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("callers")
        .enable_all()
        .build()?;
    let server = runtime.block_on(async {
        HttpServerStarter::new(&server_config, api, shared, &quiet)
            .map_err(|error| anyhow::anyhow!("cannot start the callers' server: {error}"))
            .map(HttpServerStarter::start)
    })?;
    threads::spawn("callers", move || {
        let _ = runtime.block_on(server);
    })?;
    Ok(())
}

fn api() -> anyhow::Result<ApiDescription<Arc<SharedState>>> {
    let mut api = ApiDescription::new();
    api.register(complete)?;
    api.register(service_get)?;
    api.register(service_post)?;
    api.register(service_put)?;
    api.register(service_delete)?;
    api.register(explain)?;
    Ok(api)
}

/// Handles a chat completion, streamed or buffered as the body asks.
#[endpoint { method = POST, path = "/v1/chat/completions", unpublished = true }]
async fn complete(rqctx: Context, body: UntypedBody) -> HandlerResult {
    let body = Bytes::copy_from_slice(body.as_bytes());
    let chat = match completion::read(&body) {
        Ok(chat) => chat,
        Err(error) => return Problem::not_run(RefusalCode::BadRequest, &error).to_response(""),
    };
    let headers = rqctx.request.headers();
    let mut request = match new_request(headers, &chat.model, &body) {
        Ok(request) => request,
        Err(problem) => return problem.to_response(""),
    };
    request.prompt_bytes = chat.prompt_bytes;
    request.max_output_tokens = chat.max_output_tokens;
    request.is_streamed = chat.is_streamed;
    let raw = RawRequest {
        method: Method::POST,
        path: String::new(),
        content_type: "application/json".to_owned(),
        body,
    };
    let shared = rqctx.context();
    match submit(shared, request, raw) {
        Ok(call) if chat.is_streamed => relay::streamed(call, &chat).await,
        Ok(call) => relay::buffered(call, &chat).await,
        Err(problem) => problem.to_response(""),
    }
}

async fn call_service(rqctx: Context, path: ServicePath, body: UntypedBody) -> HandlerResult {
    let body = Bytes::copy_from_slice(body.as_bytes());
    let headers = rqctx.request.headers();
    let request = match new_request(headers, &path.service, &body) {
        Ok(request) => request,
        Err(problem) => return problem.to_response(""),
    };
    let content_type = header(headers, "content-type").unwrap_or("application/octet-stream");
    let query = rqctx.request.uri().query();
    let query = query.map_or(String::new(), |query| format!("?{query}"));
    let raw = RawRequest {
        method: rqctx.request.method().clone(),
        path: format!("{}{query}", path.path.join("/")),
        content_type: content_type.to_owned(),
        body,
    };
    match submit(rqctx.context(), request, raw) {
        Ok(call) => relay::plain(call).await,
        Err(problem) => problem.to_response(""),
    }
}

/// Handles a GET call of a plain service.
#[endpoint { method = GET, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_get(rqctx: Context, path: Path<ServicePath>, body: UntypedBody) -> HandlerResult {
    call_service(rqctx, path.into_inner(), body).await
}

/// Handles a POST call of a plain service.
#[endpoint { method = POST, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_post(rqctx: Context, path: Path<ServicePath>, body: UntypedBody) -> HandlerResult {
    call_service(rqctx, path.into_inner(), body).await
}

/// Handles a PUT call of a plain service.
#[endpoint { method = PUT, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_put(rqctx: Context, path: Path<ServicePath>, body: UntypedBody) -> HandlerResult {
    call_service(rqctx, path.into_inner(), body).await
}

/// Handles a DELETE call of a plain service.
#[endpoint { method = DELETE, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn service_delete(
    rqctx: Context,
    path: Path<ServicePath>,
    body: UntypedBody,
) -> HandlerResult {
    call_service(rqctx, path.into_inner(), body).await
}

/// Returns what is known of an earlier request of the caller's client account.
#[endpoint { method = GET, path = "/v1/requests/{key}", unpublished = true }]
async fn explain(rqctx: Context, path: Path<KeyPath>) -> HandlerResult {
    let Some(token_sha256) = token_sha256(rqctx.request.headers()) else {
        return Problem::not_run(RefusalCode::UnknownAccount, "no bearer token").to_response("");
    };
    let shared = rqctx.context();
    let (request, mut messages) = shared.open(None);
    let event = Event::Explain {
        request,
        token_sha256,
        key: path.into_inner().key,
    };
    if !shared.try_submit(event) {
        shared.close(request);
        return Problem::not_run(RefusalCode::Overloaded, "too many events wait").to_response("");
    }
    if let Some(ToCaller::Explained(Some(explanation))) = messages.recv().await {
        return json_response(&serde_json::to_value(&explanation).unwrap_or_default());
    }
    let response = http::Response::builder().status(http::StatusCode::NOT_FOUND);
    crate::problem::with_body(response, "{\"code\":\"unknown_request\"}")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn token_sha256(headers: &HeaderMap) -> Option<String> {
    let token = header(headers, "authorization")?.strip_prefix("Bearer ")?;
    Some(to_hex(&Sha256::digest(token.trim().as_bytes())))
}

/// Builds a request from its headers and body.
///
/// The handle, the prompt size and the options of the body are left at their defaults.
fn new_request(headers: &HeaderMap, service: &str, body: &Bytes) -> Result<NewRequest, Problem> {
    let Some(token_sha256) = token_sha256(headers) else {
        return Err(Problem::not_run(
            RefusalCode::UnknownAccount,
            "no bearer token",
        ));
    };
    let priority = match header(headers, "x-priority") {
        None => None,
        Some("urgent") => Some(Priority::Urgent),
        Some("normal") => Some(Priority::Normal),
        Some("bulk") => Some(Priority::Bulk),
        Some(other) => {
            let detail =
                format!("header `x-priority`: found `{other}`, expected urgent, normal or bulk");
            return Err(Problem::not_run(RefusalCode::BadRequest, &detail));
        }
    };
    let time_limit = match header(headers, "x-time-limit-ms").map(str::parse) {
        None => None,
        Some(Ok(millis)) => Some(Duration::from_millis(millis)),
        Some(Err(_)) => {
            let detail = "header `x-time-limit-ms`: expected whole milliseconds";
            return Err(Problem::not_run(RefusalCode::BadRequest, detail));
        }
    };
    let text = String::from_utf8_lossy(body);
    Ok(NewRequest {
        request: 0,
        token_sha256,
        key: header(headers, "idempotency-key").map(str::to_owned),
        service: service.to_owned(),
        body_hash: stable_hash(&[&text]),
        prompt_bytes: 0,
        max_output_tokens: None,
        non_idempotent: header(headers, "x-non-idempotent") == Some("true"),
        is_streamed: false,
        priority,
        time_limit,
    })
}

fn submit(
    shared: &Arc<SharedState>,
    mut request: NewRequest,
    raw: RawRequest,
) -> Result<relay::OpenCall, Problem> {
    let (handle, messages) = shared.open(Some(raw));
    request.request = handle;
    if shared.try_submit(Event::Request(request)) {
        return Ok(relay::OpenCall::new(shared, handle, messages));
    }
    shared.drop_body(handle);
    shared.close(handle);
    Err(Problem::not_run(
        RefusalCode::Overloaded,
        "too many events wait",
    ))
}
