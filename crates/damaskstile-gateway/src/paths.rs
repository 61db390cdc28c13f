//! Paths to targets: connects to them directly, or through a peer that reaches them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_targets::{Choice, TargetPath};
use tokio::task::JoinHandle;

use crate::gateway::Gateway;
use crate::lease::Lease;
use crate::peers::open_tunnel;
use crate::target_ends::{TargetLiveness, connect};
use crate::tunnel_failure::TunnelFailure;

/// Time after which a direct connection attempt counts as slow, and a peer is asked beside it.
const DIRECT_LIMIT: Duration = Duration::from_millis(150);
/// Peers that must have failed to reach a target too before no further one is asked. One may have
/// lost its paths for the same reason as this instance.
const FAILED_PEERS_MAX: usize = 2;
/// Time for which a connection that was made to check a path is kept, if the target states none.
const CHECK_REUSE: Duration = Duration::from_secs(3);

/// Why no connection to a target could be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathFailure {
    /// The target's address refuses connections, also those of a peer if one could be asked.
    Refused,
    /// No connection was made in time.
    Unreachable,
}

impl From<std::io::Error> for PathFailure {
    fn from(error: std::io::Error) -> Self {
        if error.kind() == ErrorKind::ConnectionRefused {
            Self::Refused
        } else {
            Self::Unreachable
        }
    }
}

/// Returns an idle connection to a target, or makes one: directly, or through a peer if the target
/// does not accept this instance's connection or leaves it waiting.
pub(crate) async fn lease(
    gateway: &Arc<Gateway>,
    service: &str,
    choice: &Choice,
) -> Result<Lease, PathFailure> {
    let identity = choice.identity();
    let idle = {
        let state = gateway.state();
        gateway
            .pool
            .take_idle(&identity, |peer| state.is_tunnel_peer(peer))
    };
    match idle {
        Some(lease) => Ok(lease),
        None => Box::pin(connect_target(gateway, service, choice)).await,
    }
}

/// Makes a new connection to a target like [`lease`].
pub(crate) async fn lease_new(
    gateway: &Arc<Gateway>,
    service: &str,
    choice: &Choice,
) -> Result<Lease, PathFailure> {
    Box::pin(connect_target(gateway, service, choice)).await
}

async fn connect_target(
    gateway: &Arc<Gateway>,
    service: &str,
    choice: &Choice,
) -> Result<Lease, PathFailure> {
    let identity = choice.identity();
    let path = {
        let now = gateway.now();
        gateway.state().reach.path(now, service, &identity.target)
    };
    if path == TargetPath::ThroughPeer {
        probe_if_due(gateway, service, choice);
        if let Ok(lease) = connect_through_peer(gateway, service, &identity).await {
            return Ok(lease);
        }
    }
    let mut direct = tokio::spawn(connect_directly(
        Arc::clone(gateway),
        service.to_owned(),
        choice.clone(),
    ));
    let failure = match tokio::time::timeout(DIRECT_LIMIT, &mut direct).await {
        Ok(connected) => match connected.unwrap_or(Err(PathFailure::Unreachable)) {
            Ok(lease) => return Ok(lease),
            Err(failure) => Some(failure),
        },
        Err(_) => None,
    };
    match failure {
        Some(failure) if path == TargetPath::ThroughPeer => Err(failure),
        None if path == TargetPath::ThroughPeer => {
            direct.await.unwrap_or(Err(PathFailure::Unreachable))
        }
        Some(failure) => match connect_through_peer(gateway, service, &identity).await {
            Ok(lease) => {
                note_lost(gateway, service, &identity, failure);
                Ok(lease)
            }
            // What this instance sees alone does not show that the target has ended.
            Err(TunnelFailure::Unreachable) => Err(PathFailure::Unreachable),
            Err(TunnelFailure::Refused | TunnelFailure::NoPeer) => Err(failure),
        },
        None => first_of(gateway, service, &identity, direct).await,
    }
}

type Connecting = JoinHandle<Result<Lease, PathFailure>>;

/// Waits for a slow direct connection and asks a peer beside it; returns the first that is made.
async fn first_of(
    gateway: &Arc<Gateway>,
    service: &str,
    identity: &TargetIdentity,
    mut direct: Connecting,
) -> Result<Lease, PathFailure> {
    let mut through_peer = pin!(connect_through_peer(gateway, service, identity));
    tokio::select! {
        biased;
        connected = &mut direct => {
            let failure = match connected.unwrap_or(Err(PathFailure::Unreachable)) {
                Ok(lease) => return Ok(lease),
                Err(failure) => failure,
            };
            let lease = through_peer.await.map_err(|_| failure)?;
            note_lost(gateway, service, identity, failure);
            Ok(lease)
        }
        connected = through_peer.as_mut() => {
            let Ok(lease) = connected else {
                return direct.await.unwrap_or(Err(PathFailure::Unreachable));
            };
            let ending = end_direct(
                Arc::clone(gateway),
                service.to_owned(),
                identity.clone(),
                direct,
            );
            tokio::spawn(ending);
            Ok(lease)
        }
    }
}

/// Waits for a direct connection that a peer's was faster than, and records whether it was only
/// slow.
async fn end_direct(
    gateway: Arc<Gateway>,
    service: ServiceId,
    identity: TargetIdentity,
    direct: Connecting,
) {
    match direct.await.unwrap_or(Err(PathFailure::Unreachable)) {
        Ok(lease) => lease.give_back(Some(CHECK_REUSE)).await,
        Err(failure) => note_lost(&gateway, &service, &identity, failure),
    }
}

async fn connect_directly(
    gateway: Arc<Gateway>,
    service: ServiceId,
    choice: Choice,
) -> Result<Lease, PathFailure> {
    let identity = choice.identity();
    let lease = gateway.pool.connect(&identity, choice.address).await?;
    let now = gateway.now();
    let is_back = gateway
        .state()
        .reach
        .note_connected(now, &service, &identity.target);
    if is_back {
        gateway.log(EventCode::TargetsReached, &[("service", &service)]);
        gateway.gossip_wanted.notify_one();
    }
    Ok(lease)
}

/// Connects through a peer, unless peers did not reach the target either just before.
async fn connect_through_peer(
    gateway: &Gateway,
    service: &str,
    identity: &TargetIdentity,
) -> Result<Lease, TunnelFailure> {
    let peers = {
        let now = gateway.now();
        let mut state = gateway.state();
        match state.reach.refused_peer(now, service, &identity.target) {
            Some(true) => return Err(TunnelFailure::Refused),
            Some(false) => return Err(TunnelFailure::Unreachable),
            None => state.tunnel_peers(now, service),
        }
    };
    let mut failure = TunnelFailure::NoPeer;
    let mut failed_peers = Vec::new();
    for peer in peers {
        match open_tunnel(peer, identity).await {
            Ok(tunnel) => {
                gateway.metrics.paths.opened(None);
                let now = gateway.now();
                for failed in failed_peers {
                    let reach = &mut gateway.state().reach;
                    reach.note_failed_peer(now, service, failed);
                }
                let lease = gateway.pool.connect_through(identity, tunnel).await;
                return lease.map_err(|_| TunnelFailure::NoPeer);
            }
            Err(TunnelFailure::NoPeer) => {}
            Err(found) => {
                failure = found;
                failed_peers.push(peer);
                if failed_peers.len() >= FAILED_PEERS_MAX {
                    break;
                }
            }
        }
    }
    gateway.metrics.paths.opened(Some(failure));
    if failure != TunnelFailure::NoPeer {
        let now = gateway.now();
        let reach = &mut gateway.state().reach;
        let is_refused = failure == TunnelFailure::Refused;
        reach.note_unreached(now, service, &identity.target, is_refused);
    }
    Err(failure)
}

/// Records that a peer reached a target that this instance did not.
fn note_lost(gateway: &Gateway, service: &str, identity: &TargetIdentity, failure: PathFailure) {
    let now = gateway.now();
    let is_partitioned = gateway
        .state()
        .reach
        .note_lost(now, service, &identity.target);
    // Where new connections hang the open ones do too, and a call on one would wait in vain. Where
    // they are refused, the open ones may live on.
    if failure == PathFailure::Unreachable {
        let state = gateway.state();
        gateway.pool.close_direct(|pooled| {
            pooled == identity || is_partitioned && state.target_table.serves(pooled, service)
        });
    }
    if is_partitioned {
        let failure = match failure {
            PathFailure::Refused => "refused",
            PathFailure::Unreachable => "unreachable",
        };
        let fields = [("service", service), ("connections", failure)];
        gateway.log(EventCode::TargetsUnreached, &fields);
        gateway.gossip_wanted.notify_one();
    }
}

/// Tries to reach a target directly again, beside the calls that reach it through peers.
fn probe_if_due(gateway: &Arc<Gateway>, service: &str, choice: &Choice) {
    let now = gateway.now();
    let is_due = gateway
        .state()
        .reach
        .take_probe(now, service, &choice.target);
    if is_due {
        let connecting = connect_directly(Arc::clone(gateway), service.to_owned(), choice.clone());
        tokio::spawn(async move {
            if let Ok(lease) = connecting.await {
                lease.give_back(Some(CHECK_REUSE)).await;
            }
        });
    }
}

/// Checks the path to a target whose call has been without an answer since `sent_at`, if nothing
/// has arrived from any target of the service since.
pub(crate) fn check_silence(
    gateway: &Arc<Gateway>,
    service: &str,
    choice: &Choice,
    sent_at: Duration,
) {
    let is_due = {
        let now = gateway.now();
        let reach = &mut gateway.state().reach;
        reach.path(now, service, &choice.target) == TargetPath::Direct
            && reach.take_silence_check(now, service, sent_at)
    };
    if is_due {
        let (gateway, service, choice) = (Arc::clone(gateway), service.to_owned(), choice.clone());
        tokio::spawn(async move {
            if let Ok(lease) = connect_target(&gateway, &service, &choice).await {
                lease.give_back(Some(CHECK_REUSE)).await;
            }
        });
    }
}

/// Tells whether a target lives after a call to it broke. A refused connection shows that the
/// target has ended only if a peer, where one can be asked, is refused as well. Where the own path
/// is lost, only a peer can tell.
pub(crate) async fn liveness(
    gateway: &Gateway,
    service: &str,
    identity: &TargetIdentity,
    address: SocketAddr,
) -> TargetLiveness {
    let path = {
        let now = gateway.now();
        gateway.state().reach.path(now, service, &identity.target)
    };
    let found = match path {
        TargetPath::Direct => connect(address).await,
        TargetPath::ThroughPeer => TargetLiveness::Unknown,
    };
    if found != TargetLiveness::Ended && path == TargetPath::Direct {
        return found;
    }
    match Box::pin(connect_through_peer(gateway, service, identity)).await {
        Ok(lease) => {
            if path == TargetPath::Direct {
                note_lost(gateway, service, identity, PathFailure::Refused);
            }
            lease.give_back(Some(CHECK_REUSE)).await;
            TargetLiveness::Unreached
        }
        Err(TunnelFailure::Refused) => TargetLiveness::Ended,
        Err(TunnelFailure::NoPeer) => found,
        Err(TunnelFailure::Unreachable) => TargetLiveness::Unknown,
    }
}
