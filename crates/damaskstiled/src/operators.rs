//! HTTP server for operators: metrics, health and status. Also handles stop signals.

use std::sync::Arc;

use damaskstile::core::event::Event;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServerStarter, RequestContext, endpoint,
};
use http::{Response, StatusCode};
use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};

use crate::config::Config;
use crate::problem::{HandlerResult, with_body};
use crate::shared::SharedState;
use crate::status::Status;
use crate::threads;

struct Operators {
    shared: Arc<SharedState>,
    status: Arc<Status>,
}

/// Starts the server and the signal handler on one dedicated thread.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the thread cannot be started.
pub fn start(config: &Config, shared: Arc<SharedState>, status: Arc<Status>) -> anyhow::Result<()> {
    let mut api = ApiDescription::new();
    api.register(get_metrics)?;
    api.register(get_health)?;
    api.register(get_status)?;
    let server_config = ConfigDropshot {
        bind_address: config.operators_address,
        ..ConfigDropshot::default()
    };
    let quiet = Logger::root(slog::Discard, slog::o!());
    let stopper = Arc::clone(&shared);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let server = runtime.block_on(async {
        HttpServerStarter::new(&server_config, api, Operators { shared, status }, &quiet)
            .map_err(|error| anyhow::anyhow!("cannot start the operators' server: {error}"))
            .map(HttpServerStarter::start)
    })?;
    threads::spawn("operators", move || {
        runtime.block_on(async move {
            tokio::spawn(stop_on_signal(stopper));
            let _ = server.await;
        });
    })?;
    Ok(())
}

async fn stop_on_signal(shared: Arc<SharedState>) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shared.submit(Event::Stop).await;
}

/// Returns the metrics in the `OpenMetrics` text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(rqctx: RequestContext<Operators>) -> Result<Response<Body>, HttpError> {
    let text = rqctx.context().shared.metrics.encode();
    let response = Response::builder().header(
        "content-type",
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    );
    with_body(response, text)
}

/// Health check of the load balancer: 200 while the instance accepts work, otherwise 503.
#[endpoint { method = GET, path = "/healthz" }]
async fn get_health(rqctx: RequestContext<Operators>) -> HandlerResult {
    let is_ready = rqctx.context().status.latest().is_ready;
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    with_body(Response::builder().status(status), "{}")
}

/// Returns the latest status snapshot as JSON.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(rqctx: RequestContext<Operators>) -> HandlerResult {
    let snapshot = rqctx.context().status.latest();
    let value = serde_json::to_value(&snapshot)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    crate::problem::json_response(&value)
}
