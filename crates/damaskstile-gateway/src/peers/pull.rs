//! `pull` fetches from a peer what is too large for a datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_http::socket::connect;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::gateway::Gateway;
use crate::member::Member;

use super::pull_messages::{PullAnswer, PullRequest};
use super::{catalogue_answer, list_answer};

/// Largest frame: a stored object with room for its name.
const FRAME_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Time that a pull may take: 100 KB for each of ten peers at once over 10 Mbit/s, with room.
const PULL_LIMIT: Duration = Duration::from_millis(1_500);
/// Pulls that are tried until one brings what is wanted. Then a peer's next digest brings more.
const PULLS_MAX: usize = 4;
/// Longest pause between them.
const PULL_PAUSE_MS: u64 = 100;
/// Pulls that are answered at once. More would share the link until all of them take too long;
/// whoever is refused asks another.
const ANSWERS_MAX: usize = 6;
/// Age past which a peer's digest says nothing of what it has: as old as a digest of each peer of
/// the largest fleet in view may be.
const SOURCE_AGE_MAX: Duration = Duration::from_secs(15);
/// Time for which a pulled catalogue may fill a link. Instances that have one hand it on, so all of
/// some hundreds have it after eight such times, well within the time that a change may take.
const PULLED_TIME_MAX: Duration = Duration::from_millis(60);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// `Pulled` is what can be pulled from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pulled {
    /// The catalogue.
    Catalogue,
    /// The list of targets.
    Targets,
}

/// `Wanted` is what an instance lacks, with the version that the peer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wanted {
    Catalogue(Version),
    Targets(Version),
}

/// Pulls from a peer, unless the store was faster.
pub(super) async fn pull(gateway: Arc<Gateway>, peer: SocketAddr, wanted: Wanted, delay: Duration) {
    let pulled = match wanted {
        Wanted::Catalogue(_) => Pulled::Catalogue,
        Wanted::Targets(_) => Pulled::Targets,
    };
    // One at a time: many digests tell of the same version, and pulls beside each other would
    // only share the peers' links until all of them take too long.
    if !gateway.state().pulling.insert(pulled) {
        return;
    }
    tokio::time::sleep(delay).await;
    for _ in 0..PULLS_MAX {
        if !lacks(&gateway, wanted) {
            break;
        }
        if !pull_once(&gateway, source(&gateway, peer, wanted), wanted).await {
            break;
        }
        let pause_ms = gateway.state().random.below(PULL_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    gateway.state().pulling.remove(&pulled);
    if pulled == Pulled::Catalogue && lacks(&gateway, wanted) {
        gateway.catalogue_wanted.notify_one();
    }
}

fn lacks(gateway: &Gateway, wanted: Wanted) -> bool {
    let state = gateway.state();
    match wanted {
        Wanted::Catalogue(version) => state.catalogue.version() < version,
        Wanted::Targets(version) => state.targets_version < version,
    }
}

/// Returns the peer to pull from: any that has what is wanted, in the own data centre if there is
/// one. If all pulled from the few that have it first, those would be busy for seconds.
fn source(gateway: &Gateway, peer: SocketAddr, wanted: Wanted) -> SocketAddr {
    let now = gateway.now();
    let own = &gateway.options.identity.data_centre;
    let mut state = gateway.state();
    let has_it = |member: &&Member| {
        let is_there = now.saturating_sub(member.heard_at) < SOURCE_AGE_MAX;
        is_there
            && match wanted {
                Wanted::Catalogue(version) => member.catalogue_version >= version,
                Wanted::Targets(version) => member.targets_version >= version,
            }
    };
    let all: Vec<&Member> = state.members.values().filter(has_it).collect();
    let near = all.iter().filter(|member| member.data_centre == *own);
    let near: Vec<SocketAddr> = near.map(|member| member.address).collect();
    let all: Vec<SocketAddr> = all.iter().map(|member| member.address).collect();
    let from = if near.is_empty() { all } else { near };
    let index = state.random.index(from.len());
    from.get(index).copied().unwrap_or(peer)
}

/// Returns the size of the largest catalogue that is pulled whole. A larger one is read faster from
/// the store than from a peer with a narrow link.
fn whole_bytes_max(gateway: &Gateway) -> u64 {
    if gateway.state().contact.is_lost() {
        return 0;
    }
    let link_bytes_per_s = u128::from(gateway.options.link_bytes_per_s);
    let bytes = link_bytes_per_s * PULLED_TIME_MAX.as_millis() / 1000;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// Pulls from one peer; returns whether another may have what is wanted, should it still lack.
async fn pull_once(gateway: &Gateway, peer: SocketAddr, wanted: Wanted) -> bool {
    let is_targets = matches!(wanted, Wanted::Targets(_));
    let request = if is_targets {
        let now = gateway.now();
        list_answer::request(&mut gateway.state(), now)
    } else {
        let bytes_max = whole_bytes_max(gateway);
        catalogue_answer::request(&gateway.state(), bytes_max)
    };
    let answer = tokio::time::timeout(PULL_LIMIT, fetch(peer, request)).await;
    // A pull that fails is made again, from another.
    let Ok(Ok(answer)) = answer else {
        return true;
    };
    let is_too_large = !is_targets && answer.version == 0;
    let source = peer.to_string();
    if is_targets {
        list_answer::take(gateway, answer, &source);
    } else {
        catalogue_answer::take(gateway, answer, &source);
    }
    !is_too_large
}

async fn fetch(peer: SocketAddr, request: PullRequest) -> std::io::Result<PullAnswer> {
    let mut frames = Framed::new(connect(peer).await?, codec());
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames
        .next()
        .await
        .ok_or(std::io::ErrorKind::UnexpectedEof)??;
    PullAnswer::decode(frame).map_err(std::io::Error::other)
}

/// Answers pulls until the process ends.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(ANSWERS_MAX));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                    continue;
                };
                let answering = answer(Arc::clone(&gateway), stream);
                tokio::spawn(async move {
                    // Whoever does not get its answer pulls again.
                    let _ = tokio::time::timeout(PULL_LIMIT, answering).await;
                    drop(place);
                });
            }
            Err(error) => {
                let error = error.to_string();
                gateway.log(EventCode::HostFailed, &[("pulls", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(gateway: Arc<Gateway>, stream: TcpStream) -> std::io::Result<()> {
    let mut frames = Framed::new(stream, codec());
    let Some(frame) = frames.next().await else {
        return Ok(());
    };
    let request = PullRequest::decode(frame?).map_err(std::io::Error::other)?;
    let answer = make_answer(&gateway, &request);
    let duty = match (request.is_targets, answer.since, answer.base) {
        (false, _, 0) => "catalogue",
        (false, _, _) => "catalogue_changes",
        (true, 0, _) => "list",
        (true, _, _) => "list_changes",
    };
    let bytes = answer.encode_to_vec();
    gateway.sent_bytes.add(duty, bytes.len());
    frames.send(Bytes::from(bytes)).await
}

fn make_answer(gateway: &Gateway, request: &PullRequest) -> PullAnswer {
    if request.is_targets {
        return list_answer::make(gateway, request);
    }
    catalogue_answer::make(gateway, request)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}
