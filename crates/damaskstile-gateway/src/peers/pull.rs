//! `pull` fetches from a peer what is too large for a datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_http::socket::connect;
use damaskstile_targets::Listed;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::follow::take_catalogue;
use crate::gateway::Gateway;
use crate::member::Member;
use crate::objects::StoredObject;

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

#[derive(prost::Message, Clone, PartialEq)]
struct PullRequest {
    /// Whether the list of targets is wanted, and not the catalogue.
    #[prost(bool, tag = "1")]
    is_targets: bool,
}

#[derive(prost::Message, Clone, PartialEq)]
struct PullAnswer {
    /// Version of the catalogue's object or of the list.
    #[prost(uint64, tag = "1")]
    version: u64,
    /// Name of the catalogue's object.
    #[prost(string, tag = "2")]
    name: String,
    /// The catalogue as stored.
    #[prost(bytes = "bytes", tag = "3")]
    content: Bytes,
    /// The list of targets.
    #[prost(message, repeated, tag = "4")]
    targets: Vec<PulledTarget>,
    /// Whether the sender waits for entries that the list may lack because of an outage.
    #[prost(bool, tag = "5")]
    is_around_outage: bool,
}

#[derive(prost::Message, Clone, PartialEq)]
struct PulledTarget {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(string, tag = "4")]
    data_centre: String,
    #[prost(uint64, tag = "5")]
    slots_requests: u64,
    #[prost(bool, tag = "6")]
    is_ready: bool,
    #[prost(uint64, optional, tag = "7")]
    started_at_unix_ms: Option<u64>,
    #[prost(uint64, tag = "8")]
    cold_for_ms: u64,
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
        pull_once(&gateway, source(&gateway, peer, wanted), wanted).await;
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

async fn pull_once(gateway: &Gateway, peer: SocketAddr, wanted: Wanted) {
    let is_targets = matches!(wanted, Wanted::Targets(_));
    let answer = tokio::time::timeout(PULL_LIMIT, fetch(peer, is_targets)).await;
    // A pull that fails is made again, from another.
    let Ok(Ok(answer)) = answer else {
        return;
    };
    let source = peer.to_string();
    if is_targets {
        take_targets(gateway, answer, &source);
    } else {
        let object = StoredObject {
            name: answer.name,
            version: answer.version,
            content: answer.content,
        };
        take_catalogue(gateway, &object, &source);
    }
}

async fn fetch(peer: SocketAddr, is_targets: bool) -> std::io::Result<PullAnswer> {
    let mut frames = Framed::new(connect(peer).await?, codec());
    let request = PullRequest { is_targets };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames
        .next()
        .await
        .ok_or(std::io::ErrorKind::UnexpectedEof)??;
    PullAnswer::decode(frame).map_err(std::io::Error::other)
}

fn take_targets(gateway: &Gateway, answer: PullAnswer, source: &str) {
    let now = gateway.now();
    let mut state = gateway.state();
    if answer.version <= state.targets_version {
        return;
    }
    let book = &state.book;
    let all = answer
        .targets
        .into_iter()
        .filter_map(|pulled| {
            Some(Ok(Listed {
                // A peer of an older version does not tell incarnations. Taken for unstated, its
                // whole list would be refused during an upgrade of the fleet.
                incarnation: pulled
                    .started_at_unix_ms
                    .or_else(|| book.newest(&pulled.target)),
                target: pulled.target,
                service: pulled.service,
                address: pulled.address.parse().ok()?,
                data_centre: pulled.data_centre,
                slots_requests: pulled.slots_requests,
                is_ready: pulled.is_ready,
                cold_for: Duration::from_millis(pulled.cold_for_ms),
            }))
        })
        .collect();
    // Entries that lapsed in an outage are waited for here as where the list was read. An instance
    // that goes by its peers may have asked the store nothing meanwhile, and know of no outage.
    let is_around_outage = answer.is_around_outage || state.contact.is_around_outage(now);
    state.take_list(now, answer.version, all, is_around_outage);
    drop(state);
    let version = answer.version.to_string();
    gateway.log(
        EventCode::CatalogueFromPeer,
        &[("targets_version", &version), ("source", source)],
    );
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
    let answer = make_answer(&gateway, request.is_targets);
    frames.send(Bytes::from(answer.encode_to_vec())).await
}

fn make_answer(gateway: &Gateway, is_targets: bool) -> PullAnswer {
    let now = gateway.now();
    let state = gateway.state();
    if is_targets {
        let targets = state.book.present().map(|listed| PulledTarget {
            target: listed.target.clone(),
            started_at_unix_ms: listed.incarnation,
            service: listed.service.clone(),
            address: listed.address.to_string(),
            data_centre: listed.data_centre.clone(),
            slots_requests: listed.slots_requests,
            is_ready: listed.is_ready,
            cold_for_ms: unix_ms(state.book.cold_for(now, &listed.target)),
        });
        return PullAnswer {
            version: state.targets_version,
            targets: targets.collect(),
            is_around_outage: state.contact.is_around_outage(now),
            ..PullAnswer::default()
        };
    }
    match &state.stored_catalogue {
        Some(object) => PullAnswer {
            version: object.version,
            name: object.name.clone(),
            content: object.content.clone(),
            ..PullAnswer::default()
        },
        None => PullAnswer::default(),
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}
