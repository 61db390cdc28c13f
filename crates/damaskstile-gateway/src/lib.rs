//! Gateway that passes calls from callers to targets, and their answers back.
//!
//! It applies the decisions on routes, targets and tokens that other crates of the workspace make.
//! The protocols of callers, targets and the platform's store are behind the traits
//! [`Dialect`](dialect::Dialect), [`Directory`](directory::Directory) and
//! [`ObjectStore`](objects::ObjectStore).

pub mod account_demand;
pub mod admission;
pub mod admission_counts;
pub mod admitted_stream;
pub mod answer;
pub mod answer_body;
mod answer_signals;
mod awaited_answer;
pub mod backlog;
mod body_failure;
mod broken_run;
pub mod bulk_metrics;
mod bulk_targets;
pub mod busiest_account;
pub mod busy_times;
pub mod call;
pub mod call_cost;
pub mod call_times;
pub mod caller_connection;
pub mod caller_metrics;
pub mod caller_resources;
mod caller_socket;
mod caller_sweep;
pub mod charge;
pub mod clock;
pub mod cold_options;
pub mod connection_shedding;
pub mod contact;
pub mod content_changes;
pub(crate) mod copy_metrics;
pub mod copy_options;
pub mod copy_outcome;
pub mod copy_reason;
mod counted_connection;
pub mod counted_store;
pub mod delisted_targets;
pub mod dialect;
pub mod directory;
pub(crate) mod evacuated_list;
pub mod events;
pub mod exchange;
pub mod fault;
pub mod follow;
pub mod front;
pub mod gateway;
pub mod handling;
mod held_answer;
pub mod held_call;
pub mod holdings;
pub mod lease;
pub mod ledger_fault;
mod lingering_close;
pub mod link_times;
mod load;
pub mod load_metrics;
pub mod load_sample;
pub mod load_sharing;
pub mod loan;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod neighbours;
pub mod objects;
pub mod open_call;
pub mod open_connection;
mod open_target_connection;
mod open_tunnel;
pub mod operators;
pub mod options;
mod origin_source;
pub mod outbound_call;
pub mod outgoing;
pub mod path_metrics;
mod paths;
pub mod peer_load;
pub mod peers;
pub mod phase;
pub mod pool;
mod prepared_send;
pub mod pressure;
pub mod prompt_decision;
pub mod prompt_place;
pub mod prompt_queue;
pub mod prompt_queues;
pub mod queued_prompt;
pub mod readiness;
pub mod record;
pub mod relay;
pub mod reply;
pub mod reservation;
pub mod rotation;
pub mod rotation_options;
pub mod rounds;
pub mod run;
pub mod run_copies;
pub mod run_copy;
pub mod run_end;
pub mod running;
pub mod segments;
mod send;
pub mod send_options;
pub mod sent_bytes;
pub mod served_accounts;
mod silent_run;
mod start_check;
pub mod state;
pub mod stop;
pub mod stop_times;
pub mod store_probe;
mod stream_marks;
pub(crate) mod stream_origins;
mod succession;
pub(crate) mod succession_metrics;
mod successor;
mod suspicion;
mod target_connection;
pub mod target_ends;
pub mod target_list;
mod target_speeds;
mod tunnel_failure;
mod tunnel_stream;
pub mod wait_limit;
pub mod wanted;
mod watched_stream;

use std::sync::Arc;

use anyhow::Context;
use damaskstile_core::prelude::*;
use tokio::sync::mpsc::Receiver;

use crate::caller_resources::Endpoint;
use crate::follow::{Followed, follow};
use crate::gateway::Gateway;
use crate::outgoing::Outgoing;
use crate::peers::{Peers, serve_pulls};

/// Interval between two prunings of the connection pool.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);

/// Serves until the process is told to stop, then shuts down gracefully.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn serve(gateway: Arc<Gateway>, outbox: Receiver<Outgoing>) -> anyhow::Result<()> {
    let options = &gateway.options;
    let endpoints = [
        (Endpoint::Callers, options.callers_address),
        (Endpoint::Readiness, options.readiness_address),
        (Endpoint::Metrics, options.metrics_address),
    ];
    let mut listeners = Vec::new();
    for (endpoint, address) in endpoints {
        let listener = front::listen_bounded(address, &options.callers);
        let listener = listener.with_context(|| format!("cannot listen at {address}"))?;
        listeners.push((endpoint, listener));
    }
    let pulls = front::listen(options.peers_address)?;
    let peers = Peers::try_new(&gateway).await?;
    let data_centre = options.identity.data_centre.clone();
    gateway.log(EventCode::Started, &[("data_centre", &data_centre)]);

    let following = |followed| follow(Arc::clone(&gateway), followed);
    spawn_counted(&gateway, "follow", following(Followed::Catalogue));
    spawn_counted(&gateway, "follow", following(Followed::Targets));
    if options.target_table.empties_data_centres {
        spawn_counted(&gateway, "follow", following(Followed::Evacuated));
    }
    tokio::spawn(store_probe::keep(Arc::clone(&gateway)));
    spawn_counted(&gateway, "rounds", rounds::keep(Arc::clone(&gateway)));
    tokio::spawn(holdings::log_periodically(Arc::clone(&gateway)));
    tokio::spawn(serve_pulls(Arc::clone(&gateway), pulls));
    spawn_counted(&gateway, "tell", Arc::clone(&peers).send_digests());
    tokio::spawn(Arc::clone(&peers).request_tokens());
    tokio::spawn(Arc::clone(&peers).report_ended_loans());
    tokio::spawn(Arc::clone(&peers).answer_waiting_loans());
    tokio::spawn(Arc::clone(&peers).report_streams());
    spawn_counted(&gateway, "send_out", Arc::clone(&peers).send_queued(outbox));
    spawn_counted(&gateway, "hear", peers.receive());
    tokio::spawn(prune(Arc::clone(&gateway)));
    tokio::spawn(load::sample_periodically(Arc::clone(&gateway)));
    for (endpoint, listener) in listeners {
        tokio::spawn(front::accept(Arc::clone(&gateway), listener, endpoint));
    }
    stop::run(Arc::clone(&gateway)).await?;
    Ok(())
}

/// Spawns a background task whose processor time is counted.
pub(crate) fn spawn_counted(
    gateway: &Arc<Gateway>,
    duty: &'static str,
    future: impl Future<Output = ()> + Send + 'static,
) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move { gateway.busy_times.count(duty, future).await });
}

async fn prune(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let state = gateway.state();
        gateway
            .pool
            .prune(|target| state.target_table.lists(target));
        gateway
            .pool
            .close_tunnels(|peer| state.is_tunnel_peer(peer));
    }
}
