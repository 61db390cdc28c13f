//! HTTP endpoints for operations: readiness for the balancer, and metrics.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::{Body, Incoming};

use crate::caller_connection::CallerConnection;
use crate::caller_resources::Endpoint;
use crate::gateway::Gateway;
use crate::objects::ObjectStore;
use crate::readiness::Readiness;
use crate::reply::{ReplyBody, full_body};

/// Path of the balancer's readiness check.
const READINESS_PATH: &str = "/v1/readiness";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers a request to an endpoint for operations. Its body is of no use and is not read.
pub(crate) fn serve(
    gateway: &Arc<Gateway>,
    caller: &CallerConnection,
    endpoint: Endpoint,
    request: &Request<Incoming>,
) -> Response<ReplyBody> {
    caller.set_unread(!request.body().is_end_stream());
    let path = match endpoint {
        Endpoint::Metrics => METRICS_PATH,
        Endpoint::Readiness | Endpoint::Callers => READINESS_PATH,
    };
    if request.uri().path() != path {
        return respond(StatusCode::NOT_FOUND, "text/plain", String::new());
    }
    if ![Method::GET, Method::HEAD].contains(request.method()) {
        return respond(StatusCode::METHOD_NOT_ALLOWED, "text/plain", String::new());
    }
    match endpoint {
        Endpoint::Metrics => metrics(gateway),
        Endpoint::Readiness | Endpoint::Callers => readiness(gateway),
    }
}

fn respond(status: StatusCode, content_type: &'static str, text: String) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns 200 if the balancer should send new connections here, 503 if not.
fn readiness(gateway: &Gateway) -> Response<ReplyBody> {
    let is_ready = Readiness::of(gateway) == Readiness::Ready;
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    respond(status, "application/json", "{}".to_owned())
}

/// Returns the metrics in the `OpenMetrics` text format.
fn metrics(gateway: &Gateway) -> Response<ReplyBody> {
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
