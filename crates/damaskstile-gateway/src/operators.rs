//! HTTP endpoints for operations: readiness for the balancer, and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, HttpServerStarter, RequestContext,
    endpoint,
};
use http::{Response, StatusCode};
use slog::Logger;

use crate::gateway::Gateway;
use crate::objects::ObjectStore;
use crate::readiness::Readiness;

type Server = HttpServer<Arc<Gateway>>;
type Answer = Result<Response<Body>, HttpError>;

/// Starts the server for the balancer's readiness check.
///
/// # Errors
///
/// Returns an error where the address cannot be used.
pub fn start_readiness(gateway: &Arc<Gateway>, address: SocketAddr) -> anyhow::Result<Server> {
    let mut api = ApiDescription::new();
    api.register(get_readiness)?;
    start(gateway, address, api)
}

/// Starts the server for metrics.
///
/// # Errors
///
/// Returns an error where the address cannot be used.
pub fn start_metrics(gateway: &Arc<Gateway>, address: SocketAddr) -> anyhow::Result<Server> {
    let mut api = ApiDescription::new();
    api.register(get_metrics)?;
    start(gateway, address, api)
}

fn start(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
    api: ApiDescription<Arc<Gateway>>,
) -> anyhow::Result<Server> {
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    let no_log = Logger::root(slog::Discard, slog::o!());
    let starter = HttpServerStarter::new(&config, api, Arc::clone(gateway), &no_log)
        .map_err(|error| anyhow::anyhow!("cannot listen at {address}: {error}"))?;
    Ok(starter.start())
}

fn respond(status: StatusCode, content_type: &str, text: String) -> Answer {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Returns 200 if the balancer should send new connections here, 503 if not.
#[endpoint { method = GET, path = "/v1/readiness" }]
async fn get_readiness(rqctx: RequestContext<Arc<Gateway>>) -> Answer {
    let is_ready = Readiness::of(rqctx.context()) == Readiness::Ready;
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    respond(status, "application/json", "{}".to_owned())
}

/// Returns the metrics in the `OpenMetrics` text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(rqctx: RequestContext<Arc<Gateway>>) -> Answer {
    let gateway = rqctx.context();
    let now = gateway.now();
    let state = gateway.state();
    let prepaid = state
        .catalogue
        .get()
        .map(|catalogue| catalogue.prepaid_tokens())
        .unwrap_or_default();
    let free = prepaid
        .into_keys()
        .map(|account| {
            let tokens = state.holder.free_tokens(now, &account);
            (account, tokens)
        })
        .collect();
    let (age, version) = (state.contact.age(now), state.catalogue.version());
    let followed_at = state.followed_at.clone();
    let counts = state.target_table.counts();
    let paused = state.target_table.targets_in_backoff(now);
    drop(state);
    for (followed, at) in followed_at {
        let age = now.saturating_sub(at);
        gateway.metrics.sample_watch(followed.name(), age);
    }
    gateway.metrics.count_targets(&counts);
    gateway.metrics.sample_backoff(paused);
    gateway.metrics.sample(&free, age, version);
    let readiness = Readiness::of(gateway);
    gateway.metrics.load.sample_readiness(readiness);
    let (share, mean_share) = {
        let mut state = gateway.state();
        let mean_share = state.load_sharing.neighbours().mean_share;
        (state.pressure.share(now), mean_share)
    };
    gateway.metrics.load.sample_load(share, mean_share);
    gateway
        .metrics
        .load
        .sample_busy(gateway.busy_times.counts());
    gateway.metrics.sample_history(gateway.store.history());
    gateway.metrics.sample_open_calls(gateway.open_calls());
    gateway.metrics.sample_store_calls(gateway.store.counts());
    gateway
        .metrics
        .sample_peer_bytes(gateway.sent_bytes.counts());
    let (cold, limited, evacuated) = {
        let table = &gateway.state().target_table;
        let evacuated = table.evacuations().names().len();
        (table.cold_targets(now), table.limited_targets(), evacuated)
    };
    gateway
        .metrics
        .sample_limited_targets(cold, limited, evacuated);
    let speeds = gateway.state().target_table.speed_percents(now);
    gateway.metrics.sample_target_speeds(&speeds);
    let (made, open) = {
        let lender = &gateway.state().lender;
        (lender.lent_loans(), lender.open_loans())
    };
    gateway.metrics.sample_loans(made, open);
    let contents = gateway.state().suspects.counts();
    gateway.metrics.sample_contents(contents);
    let (partitioned, brittle) = {
        let state = gateway.state();
        let partitioned = state.reach.partitioned_services().count();
        (partitioned, state.target_table.brittle_services())
    };
    gateway.metrics.paths.sample_services(partitioned, brittle);
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    respond(StatusCode::OK, content_type, gateway.metrics.encode())
}
